"""Attempts of one request: exchanges, retries and hedges.

`dispatch` calls `AttemptRunner.run` for an admitted request. Slots come
from the `SlotSource`, connections from the `ConnectionPool`; the
`AttemptBudget` bounds retries and hedges together.
"""

import asyncio
from collections.abc import Callable
from typing import Final
from typing import NamedTuple
from typing import Protocol

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination.connections import ConnectionPool
from teaselrock.coordination.ports import AttemptBudget
from teaselrock.coordination.ports import BackendConnection
from teaselrock.coordination.ports import Claim
from teaselrock.coordination.ports import HedgePolicy
from teaselrock.coordination.ports import Permission
from teaselrock.coordination.ports import ReportRow
from teaselrock.coordination.ports import Slot
from teaselrock.coordination.ports import SlotSource
from teaselrock.state import Answer
from teaselrock.state import AttemptOutcome
from teaselrock.state import AttemptReason
from teaselrock.state import BackendServer
from teaselrock.state import ExchangeFailure
from teaselrock.state import FailureKind
from teaselrock.state import LoadReport
from teaselrock.state import Refusal
from teaselrock.state import RefusalCode
from teaselrock.state import Request
from teaselrock.state import Verdict

# Attempts of one request, the first included.
MAX_ATTEMPTS: Final = 3
# Answers with these statuses are retried for idempotent requests.
RETRIED_STATUSES: Final = frozenset({500, 502, 503, 504})


class _Attempt(NamedTuple):
    """An ended attempt."""

    slot: Slot
    result: Result[Answer, ExchangeFailure]


class Progress:
    """What is known so far about the execution of one request."""

    def __init__(self) -> None:
        self._verdict = Verdict.DID_NOT_RUN

    @property
    def verdict(self) -> Verdict:
        """The verdict of all ended attempts together."""
        return self._verdict

    def add(self, verdict: Verdict) -> None:
        """Add an ended attempt."""
        order = (Verdict.DID_NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)
        self._verdict = max(self._verdict, verdict, key=order.index)


class Attempts(Protocol):
    """Runs the attempts of admitted requests."""

    async def run(
        self,
        *,
        request: Request,
        permission: Permission,
        claim: Claim | None,
        row: ReportRow,
        progress: Progress,
    ) -> Result[Answer, Refusal]:
        """Try until an answer, a final failure or the deadline."""
        ...


class _Run(NamedTuple):
    """One request on its way through its attempts."""

    request: Request
    permission: Permission
    claim: Claim | None
    row: ReportRow
    progress: Progress


class AttemptRunner:
    """Runs the attempts of requests."""

    def __init__(
        self,
        *,
        slots: SlotSource,
        connections: ConnectionPool,
        budget: AttemptBudget,
        hedges: HedgePolicy,
        on_load: Callable[[BackendServer, LoadReport], None] | None = None,
    ) -> None:
        self._slots = slots
        self._connections = connections
        self._budget = budget
        self._hedges = hedges
        self._on_load = on_load

    async def run(
        self,
        *,
        request: Request,
        permission: Permission,
        claim: Claim | None,
        row: ReportRow,
        progress: Progress,
    ) -> Result[Answer, Refusal]:
        """Try until an answer, a final failure or the deadline.

        The refusal's verdict covers all attempts, as `progress` does: it is
        `DID_NOT_RUN` only if no attempt may have run.
        """
        run = _Run(request, permission, claim, row, progress)
        tried: set[str] = set()
        answer: Answer | None = None
        failure: ExchangeFailure | None = None
        limit = _attempt_limit(request)
        for number in range(1, limit + 1):
            reason = AttemptReason.RETRY if number > 1 else None
            if number > 1 and (
                len(tried) >= limit or not self._may_repeat(run)
            ):
                break
            acquired = await self._acquire(run, frozenset(tried), reason)
            if acquired.is_error():
                if failure is None and answer is None:
                    return Error(acquired.error)
                break
            if number == 1:
                self._budget.on_first_attempt()
            may_hedge = len(tried) + 1 < limit
            for attempt in await self._hedged(run, acquired.ok, may_hedge):
                tried.add(attempt.slot.server.server_id)
                if attempt.result.is_ok():
                    answer = attempt.result.ok
                else:
                    failure = attempt.result.error
            if answer is not None and not _is_retried(request, answer):
                return Ok(answer)
            if not _has_time(request):
                break
        if answer is not None:
            return Ok(answer)
        return Error(_refusal(request, progress.verdict, failure))

    async def _acquire(
        self,
        run: _Run,
        exclude: frozenset[str],
        reason: AttemptReason | None,
    ) -> Result[Slot, Refusal]:
        return await self._slots.acquire(
            request=run.request,
            regions=run.permission.regions,
            weight=run.permission.weight,
            exclude=exclude,
            reason=reason,
        )

    def _may_repeat(self, run: _Run) -> bool:
        """Whether another attempt is allowed.

        An attempt number above 1 means that a caller further out already
        retries; retries at each of up to 21 levels would multiply.
        """
        if run.request.is_idempotent:
            return run.request.attempt == 1 and self._budget.try_spend()
        return (
            run.progress.verdict is Verdict.DID_NOT_RUN
            and self._budget.try_spend()
        )

    async def _hedged(
        self, run: _Run, slot: Slot, may_hedge: bool
    ) -> list[_Attempt]:
        """Run an attempt, and a hedge if it is slow; the first answer wins.

        The loser is cancelled, which closes its connection.
        """
        delay = None
        repeats = run.request.is_idempotent and run.request.attempt == 1
        if repeats and may_hedge:
            delay = self._hedges.delay(service=run.request.service)
        if delay is None:
            return [await self._attempt(run, slot)]
        started = asyncio.Event()
        # A list, so that simultaneous ends are taken in the same order.
        tasks = [asyncio.create_task(self._first(run, slot, started))]
        ended: list[_Attempt] = []
        try:
            done, _ = await asyncio.wait(tasks, timeout=delay)
            if not done and self._budget.try_spend():
                tasks.append(asyncio.create_task(self._hedge(run, slot)))
            pending = set(tasks)
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                finished = [task.result() for task in tasks if task in done]
                ended += [attempt for attempt in finished if attempt]
                if any(attempt.result.is_ok() for attempt in ended):
                    break
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            # A task that is cancelled before its first step runs nothing.
            if not started.is_set():
                slot.release(outcome=None)
        return ended

    async def _first(
        self, run: _Run, slot: Slot, started: asyncio.Event
    ) -> _Attempt | None:
        started.set()
        return await self._attempt(run, slot)

    async def _hedge(self, run: _Run, first: Slot) -> _Attempt | None:
        exclude = frozenset({first.server.server_id})
        acquired = await self._acquire(run, exclude, AttemptReason.HEDGE)
        if acquired.is_error():
            return None
        return await self._attempt(run, acquired.ok)

    async def _attempt(self, run: _Run, slot: Slot) -> _Attempt:
        loop = asyncio.get_running_loop()
        started = loop.time()
        result: Result[Answer, ExchangeFailure] = Error(
            _cancelled(Verdict.DID_NOT_RUN)
        )
        try:
            opened = await self._checkout(run, slot)
            if opened.is_error():
                result = Error(opened.error)
            else:
                result = Error(_cancelled(Verdict.MAY_HAVE_RUN))
                result = await self._exchange(run, slot, opened.ok)
        finally:
            latency = loop.time() - started
            self._end(run, slot, result, latency)
        if result.is_ok():
            self._hedges.observe(service=run.request.service, latency=latency)
        return _Attempt(slot, result)

    def _end(
        self,
        run: _Run,
        slot: Slot,
        result: Result[Answer, ExchangeFailure],
        latency: float,
    ) -> None:
        """Give the slot back and record the attempt, however it ended."""
        outcome = _outcome(result, latency)
        verdict = result.error.verdict if result.is_error() else Verdict.RAN
        slot.release(outcome=outcome)
        run.progress.add(verdict)
        run.row.add_attempt(
            server=slot.server,
            reason=slot.reason,
            outcome=outcome,
            verdict=verdict,
            evidence=slot.evidence,
        )
        if outcome.load is not None and self._on_load is not None:
            self._on_load(slot.server, outcome.load)

    async def _checkout(
        self, run: _Run, slot: Slot
    ) -> Result[BackendConnection, ExchangeFailure]:
        """Take a connection if the request may still be sent.

        The process may have been paused since the slot or the claim was
        taken, so both are checked right before the send.
        """
        if slot.connection is not None:
            opened: Result[BackendConnection, ExchangeFailure] = Ok(
                slot.connection
            )
        else:
            opened = await self._connections.checkout(
                server=slot.server,
                start_id=slot.start_id,
                deadline=run.request.deadline,
            )
        if opened.is_error():
            return opened
        fenced = run.claim is not None and not run.claim.may_send
        if fenced or not slot.is_valid or not _has_time(run.request):
            self._connections.checkin(server=slot.server, connection=opened.ok)
            return Error(
                ExchangeFailure(
                    FailureKind.TIMEOUT,
                    Verdict.DID_NOT_RUN,
                    'slot, claim or deadline expired before the send',
                )
            )
        return opened

    async def _exchange(
        self, run: _Run, slot: Slot, connection: BackendConnection
    ) -> Result[Answer, ExchangeFailure]:
        result = await connection.exchange(
            content=run.request.content, deadline=run.request.deadline
        )
        self._connections.checkin(server=slot.server, connection=connection)
        return result


def _attempt_limit(request: Request) -> int:
    """Servers that the request may be sent to."""
    if request.route is not None:
        return request.route.max_attempts
    return MAX_ATTEMPTS


def _is_retried(request: Request, answer: Answer) -> bool:
    return request.is_idempotent and answer.status in RETRIED_STATUSES


def _has_time(request: Request) -> bool:
    return asyncio.get_running_loop().time() < request.deadline


def _cancelled(verdict: Verdict) -> ExchangeFailure:
    return ExchangeFailure(FailureKind.CANCELLED, verdict, 'cancelled')


def _outcome(
    result: Result[Answer, ExchangeFailure], latency: float
) -> AttemptOutcome:
    if result.is_error():
        return AttemptOutcome(latency, result.error.kind, result.error.load)
    failure = FailureKind.SERVER_ERROR if result.ok.status >= 500 else None
    return AttemptOutcome(latency, failure, result.ok.load)


def _refusal(
    request: Request, verdict: Verdict, failure: ExchangeFailure | None
) -> Refusal:
    late = asyncio.get_running_loop().time() >= request.deadline
    code = (
        RefusalCode.DEADLINE_EXCEEDED if late else RefusalCode.BACKEND_FAILED
    )
    detail = failure.detail if failure is not None else 'no attempt ended'
    return Refusal(code, verdict, detail)
