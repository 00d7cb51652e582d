"""Attempts of one request: exchanges, retries and hedges.

`dispatch` calls `AttemptRunner.run` for an admitted request. Slots come
from the `SlotSource`, connections from the `ConnectionPool`; one
`AttemptBudget` limits both retries and hedges.
"""

import asyncio
from collections.abc import Callable
from typing import Final
from typing import NamedTuple
from typing import Protocol

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination.attempt_results import attempt_outcome
from teaselrock.coordination.attempt_results import cancelled_failure
from teaselrock.coordination.attempt_results import CombinedVerdict
from teaselrock.coordination.attempt_results import EndedAttempt
from teaselrock.coordination.attempt_results import excess_failure
from teaselrock.coordination.attempt_results import final_refusal
from teaselrock.coordination.connections import ConnectionPool
from teaselrock.coordination.ports import AttemptBudget
from teaselrock.coordination.ports import BackendConnection
from teaselrock.coordination.ports import Claim
from teaselrock.coordination.ports import HedgePolicy
from teaselrock.coordination.ports import Permission
from teaselrock.coordination.ports import ReportRow
from teaselrock.coordination.ports import Slot
from teaselrock.coordination.ports import SlotSource
from teaselrock.coordination.request_servers import RequestServers
from teaselrock.state import AttemptReason
from teaselrock.state import BackendResponse
from teaselrock.state import BackendServer
from teaselrock.state import ExchangeFailure
from teaselrock.state import FailureKind
from teaselrock.state import LoadReport
from teaselrock.state import Refusal
from teaselrock.state import Request
from teaselrock.state import Verdict

# For requests without a route; includes the first attempt and hedges.
DEFAULT_MAX_ATTEMPTS: Final = 3


class Attempts(Protocol):
    """Runs the attempts of admitted requests."""

    async def run(
        self,
        *,
        request: Request,
        permission: Permission,
        claim: Claim | None,
        row: ReportRow,
        combined: CombinedVerdict,
    ) -> Result[BackendResponse, Refusal]:
        """Make attempts until a response, a final failure or the deadline."""
        ...


class _RequestContext(NamedTuple):
    """A request and what all of its attempts share."""

    request: Request
    permission: Permission
    claim: Claim | None
    row: ReportRow
    combined: CombinedVerdict
    servers: RequestServers


class AttemptRunner:
    """Runs the attempts of requests within one attempt budget."""

    def __init__(
        self,
        *,
        slot_source: SlotSource,
        connections: ConnectionPool,
        budget: AttemptBudget,
        hedge_policy: HedgePolicy,
        on_load_report: Callable[[BackendServer, LoadReport], None]
        | None = None,
    ) -> None:
        self._slot_source = slot_source
        self._connections = connections
        self._budget = budget
        self._hedge_policy = hedge_policy
        self._on_load_report = on_load_report

    async def run(
        self,
        *,
        request: Request,
        permission: Permission,
        claim: Claim | None,
        row: ReportRow,
        combined: CombinedVerdict,
    ) -> Result[BackendResponse, Refusal]:
        """Make attempts until a response, a final failure or the deadline.

        The refusal's verdict covers all attempts, as `combined` does: it is
        `DID_NOT_RUN` only if no attempt may have run.
        """
        max_attempts = _max_attempts(request)
        servers = RequestServers(limit=max_attempts)
        context = _RequestContext(
            request, permission, claim, row, combined, servers
        )
        response: BackendResponse | None = None
        failure: ExchangeFailure | None = None
        for number in range(1, max_attempts + 1):
            reason = AttemptReason.RETRY if number > 1 else None
            if number > 1 and (
                not servers.has_room or not self._may_retry(context)
            ):
                break
            acquired = await self._acquire(context, servers.ids, reason)
            if acquired.is_error():
                if failure is None and response is None:
                    return Error(acquired.error)
                break
            if number == 1:
                self._budget.on_first_attempt()
            for attempt in await self._attempt_with_hedge(
                context, acquired.ok
            ):
                if attempt.is_final(request):
                    return Ok(attempt.result.ok)
                if attempt.result.is_ok():
                    response = attempt.result.ok
                else:
                    failure = attempt.result.error
            if not _has_time(request):
                break
        if response is not None:
            return Ok(response)
        return Error(final_refusal(request, combined.verdict, failure))

    async def _acquire(
        self,
        context: _RequestContext,
        exclude: frozenset[str],
        reason: AttemptReason | None,
    ) -> Result[Slot, Refusal]:
        return await self._slot_source.acquire(
            request=context.request,
            regions=context.permission.regions,
            weight=context.permission.weight,
            exclude=exclude,
            reason=reason,
        )

    def _may_retry(self, context: _RequestContext) -> bool:
        """Whether another attempt is allowed.

        A request whose attempt number is above 1 is already a retry of its
        caller. Callers nest calls up to 21 levels deep, and retries at each
        level would multiply.
        """
        if context.request.is_idempotent:
            return (
                context.request.caller_attempt == 1
                and self._budget.try_spend()
            )
        return (
            context.combined.verdict is Verdict.DID_NOT_RUN
            and self._budget.try_spend()
        )

    async def _attempt_with_hedge(
        self, context: _RequestContext, slot: Slot
    ) -> list[EndedAttempt]:
        """Run an attempt, and a hedge if it is slow.

        After the first final response the other attempt is cancelled, which
        closes its connection. A server error does not end the other attempt,
        which may still succeed.
        """
        delay = None
        is_hedgeable = (
            context.request.is_idempotent
            and context.request.caller_attempt == 1
        )
        if is_hedgeable:
            delay = self._hedge_policy.delay(service=context.request.service)
        if delay is None:
            return [await self._run_attempt(context, slot)]
        started = asyncio.Event()
        # A list keeps the order deterministic when both end at once.
        tasks = [asyncio.create_task(self._run_first(context, slot, started))]
        ended: list[EndedAttempt] = []
        try:
            done, _ = await asyncio.wait(tasks, timeout=delay)
            if (
                not done
                and context.servers.has_room
                and self._budget.try_spend()
            ):
                tasks.append(asyncio.create_task(self._run_hedge(context)))
            pending = set(tasks)
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                finished = [task.result() for task in tasks if task in done]
                ended += [attempt for attempt in finished if attempt]
                if any(attempt.is_final(context.request) for attempt in ended):
                    break
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            # A task that is cancelled before its first step never runs, so
            # it does not release its slot.
            if not started.is_set():
                slot.release(outcome=None)
        return ended

    async def _run_first(
        self, context: _RequestContext, slot: Slot, started: asyncio.Event
    ) -> EndedAttempt | None:
        started.set()
        return await self._run_attempt(context, slot)

    async def _run_hedge(
        self, context: _RequestContext
    ) -> EndedAttempt | None:
        acquired = await self._acquire(
            context, context.servers.ids, AttemptReason.HEDGE
        )
        if acquired.is_error():
            return None
        return await self._run_attempt(context, acquired.ok)

    async def _run_attempt(
        self, context: _RequestContext, slot: Slot
    ) -> EndedAttempt:
        if not context.servers.try_add(slot.server.server_id):
            slot.release(outcome=None)
            return EndedAttempt(slot, Error(excess_failure(slot)))
        loop = asyncio.get_running_loop()
        started = loop.time()
        result: Result[BackendResponse, ExchangeFailure] = Error(
            cancelled_failure(Verdict.DID_NOT_RUN)
        )
        try:
            opened = await self._take_connection(context, slot)
            if opened.is_error():
                result = Error(opened.error)
            else:
                result = Error(cancelled_failure(Verdict.MAY_HAVE_RUN))
                result = await self._send_request(context, slot, opened.ok)
        finally:
            latency = loop.time() - started
            self._record_end(context, slot, result, latency)
        if result.is_ok():
            self._hedge_policy.observe(
                service=context.request.service, latency=latency
            )
        return EndedAttempt(slot, result)

    def _record_end(
        self,
        context: _RequestContext,
        slot: Slot,
        result: Result[BackendResponse, ExchangeFailure],
        latency: float,
    ) -> None:
        """Release the slot and record the attempt, even if cancelled."""
        outcome = attempt_outcome(result, latency)
        verdict = result.error.verdict if result.is_error() else Verdict.RAN
        slot.release(outcome=outcome)
        context.combined.add_verdict(verdict)
        context.row.add_attempt(
            server=slot.server,
            reason=slot.reason,
            outcome=outcome,
            verdict=verdict,
            evidence=slot.evidence,
        )
        if outcome.load is not None and self._on_load_report is not None:
            self._on_load_report(slot.server, outcome.load)

    async def _take_connection(
        self, context: _RequestContext, slot: Slot
    ) -> Result[BackendConnection, ExchangeFailure]:
        """Take a connection if the request may still be sent.

        That of the slot is replaced if it has ended since the check: a server
        may close after each response, or state a short idle timeout.
        The slot or the claim may have expired while the process was paused,
        so both are checked immediately before the request is sent.
        """
        if slot.connection is not None and slot.connection.is_open:
            opened: Result[BackendConnection, ExchangeFailure] = Ok(
                slot.connection
            )
        else:
            if slot.connection is not None:
                slot.connection.close()
            opened = await self._connections.take(
                server=slot.server,
                start_id=slot.start_id,
                deadline=context.request.deadline,
            )
        if opened.is_error():
            return opened
        is_claim_lost = (
            context.claim is not None and not context.claim.may_send
        )
        if (
            is_claim_lost
            or not slot.is_valid
            or not _has_time(context.request)
        ):
            self._connections.put_back(
                server=slot.server, connection=opened.ok
            )
            return Error(
                ExchangeFailure(
                    FailureKind.TIMEOUT,
                    Verdict.DID_NOT_RUN,
                    f'slot of server {slot.server.server_id}, claim or '
                    'deadline expired before sending',
                )
            )
        return opened

    async def _send_request(
        self,
        context: _RequestContext,
        slot: Slot,
        connection: BackendConnection,
    ) -> Result[BackendResponse, ExchangeFailure]:
        result = await connection.exchange(
            content=context.request.content, deadline=context.request.deadline
        )
        self._connections.put_back(server=slot.server, connection=connection)
        return result


def _max_attempts(request: Request) -> int:
    """Maximum number of attempts, each at a different server."""
    if request.route is not None:
        return request.route.max_attempts
    return DEFAULT_MAX_ATTEMPTS


def _has_time(request: Request) -> bool:
    return asyncio.get_running_loop().time() < request.deadline
