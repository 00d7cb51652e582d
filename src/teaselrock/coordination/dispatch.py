"""Dispatches one request, from admission to its response or refusal.

Front ends call `Dispatcher.dispatch` from the task of the caller's
connection. Ports provide the allowances, records and report rows;
`attempts` acquires slots and runs the exchanges with the backend servers.
"""

import asyncio
from typing import Final

from expression import Error
from expression import Result

from teaselrock.coordination.attempt_results import CombinedVerdict
from teaselrock.coordination.attempts import Attempts
from teaselrock.coordination.ports import Admission
from teaselrock.coordination.ports import Allowances
from teaselrock.coordination.ports import Claim
from teaselrock.coordination.ports import IdempotencyRecords
from teaselrock.coordination.ports import Permission
from teaselrock.coordination.ports import Readiness
from teaselrock.coordination.ports import ReportRow
from teaselrock.coordination.ports import ReportWriter
from teaselrock.state import BackendResponse
from teaselrock.state import Refusal
from teaselrock.state import RefusalCode
from teaselrock.state import Request
from teaselrock.state import Verdict

# Retry-After of an instance that is not ready, but may be soon.
NOT_READY_RETRY_AFTER_S: Final = 1.0
# Retry-After of an instance that stops: the others take requests at once.
STOPPING_RETRY_AFTER_S: Final = 0.05


class Dispatcher:
    """Serves the requests of one instance."""

    def __init__(
        self,
        *,
        readiness: Readiness,
        admission: Admission,
        attempts: Attempts,
        records: IdempotencyRecords,
        allowances: Allowances,
        report: ReportWriter,
    ) -> None:
        self._readiness = readiness
        self._admission = admission
        self._attempts = attempts
        self._records = records
        self._allowances = allowances
        self._report = report
        # End of a planned stop on the loop's clock, None before the stop.
        self._stop_ends_at: float | None = None
        self._refuses_all = False
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def in_flight(self) -> int:
        """Number of requests that are being served."""
        return self._in_flight

    def begin_stop(self, *, ends_at: float) -> None:
        """Refuse requests from now on that must not be cut off.

        These are requests that must not run twice and whose deadline is later
        than `ends_at`, the end of the stop on the loop's clock.
        """
        self._stop_ends_at = ends_at

    def refuse_new(self) -> None:
        """Refuse all requests from now on; those in flight continue."""
        self._refuses_all = True

    async def drain(self) -> None:
        """Wait until no request is being served."""
        await self._idle.wait()

    async def dispatch(
        self, *, request: Request
    ) -> Result[BackendResponse, Refusal]:
        """Serve one request until it has a response or a refusal.

        A non-idempotent request continues when the caller disconnects, so
        that its record and its report row show how it ended.
        """
        if request.is_idempotent:
            return await self._serve_counted(request)
        return await asyncio.shield(self._serve_counted(request))

    async def _serve_counted(
        self, request: Request
    ) -> Result[BackendResponse, Refusal]:
        self._in_flight += 1
        self._idle.clear()
        # The request may outlive its caller's connection.
        request.hold.retain()
        try:
            return await self._serve(request)
        finally:
            request.hold.release()
            self._in_flight -= 1
            if self._in_flight == 0:
                self._idle.set()

    def check(self, *, request: Request) -> Result[Permission, Refusal]:
        """Check readiness and admission.

        Front ends call it before they read the body.
        """
        if not self._readiness.is_ready:
            return Error(NOT_READY)
        if self._refuses_all or self._may_be_cut_off(request):
            return Error(
                _not_ready(
                    'this instance stops and may end before the request',
                    STOPPING_RETRY_AFTER_S,
                )
            )
        return self._admission.check(request=request)

    def _may_be_cut_off(self, request: Request) -> bool:
        """Whether a stop may end before a request that must run once."""
        return (
            self._stop_ends_at is not None
            and not request.is_idempotent
            and request.deadline > self._stop_ends_at
        )

    def refuse(
        self, *, request: Request, refusal: Refusal
    ) -> Result[BackendResponse, Refusal]:
        """Record a request that is refused before its row is opened."""
        self._report.record_refusal(request=request, refusal=refusal)
        return Error(refusal)

    async def _serve(
        self, request: Request
    ) -> Result[BackendResponse, Refusal]:
        checked = self.check(request=request)
        if checked.is_error():
            return self.refuse(request=request, refusal=checked.error)
        charged = await self._allowances.charge(request=request)
        if charged.is_error():
            return self.refuse(request=request, refusal=charged.error)
        opened = self._report.open_row(request=request)
        if opened.is_error():
            charged.ok.refund()
            return self.refuse(request=request, refusal=opened.error)
        row = opened.ok
        combined = CombinedVerdict()
        refusal: Refusal | None = None
        try:
            result = await self._run_claimed(
                request, checked.ok, row, combined
            )
            refusal = result.error if result.is_error() else None
        finally:
            # Also on cancellation: a request that may have run is charged,
            # one that was still waiting for a slot is refunded.
            is_charged = combined.verdict is not Verdict.DID_NOT_RUN
            if not is_charged:
                charged.ok.refund()
            await asyncio.shield(
                row.finish(
                    verdict=combined.verdict,
                    units=request.units if is_charged else 0,
                    refusal=refusal,
                )
            )
        return result

    async def _run_claimed(
        self,
        request: Request,
        permission: Permission,
        row: ReportRow,
        combined: CombinedVerdict,
    ) -> Result[BackendResponse, Refusal]:
        """Run the attempts, under a claim if the request needs one.

        If the key was used before, the refusal gives the first request's
        verdict to the caller. This request did not run, so `combined` is
        unchanged.
        """
        claim: Claim | None = None
        if not request.is_idempotent:
            claimed = await self._records.claim(request=request)
            if claimed.is_error():
                return Error(claimed.error)
            claim = claimed.ok
        try:
            return await self._attempts.run(
                request=request,
                permission=permission,
                claim=claim,
                row=row,
                combined=combined,
            )
        finally:
            if claim is not None:
                await claim.finish(verdict=combined.verdict)


def _not_ready(detail: str, retry_after: float) -> Refusal:
    return Refusal(
        RefusalCode.INSTANCE_NOT_READY,
        Verdict.DID_NOT_RUN,
        detail,
        retry_after=retry_after,
    )


NOT_READY: Final = _not_ready(
    'this instance accepts no new requests: it is starting, stopping, '
    'isolated or out of service',
    NOT_READY_RETRY_AFTER_S,
)
