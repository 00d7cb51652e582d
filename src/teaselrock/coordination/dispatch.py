"""The life of one request, from admission to its answer or refusal.

Front ends call `Dispatcher.dispatch` from the task of the caller's
connection. The parts behind the ports decide on slots, allowances, records
and report rows; `attempts` runs the exchanges with the backend servers.
"""

import asyncio

from expression import Error
from expression import Result

from teaselrock.coordination.attempts import Attempts
from teaselrock.coordination.attempts import Progress
from teaselrock.coordination.ports import Admission
from teaselrock.coordination.ports import Allowances
from teaselrock.coordination.ports import Claim
from teaselrock.coordination.ports import IdempotencyRecords
from teaselrock.coordination.ports import Permission
from teaselrock.coordination.ports import Readiness
from teaselrock.coordination.ports import ReportRow
from teaselrock.coordination.ports import ReportWriter
from teaselrock.state import Answer
from teaselrock.state import Refusal
from teaselrock.state import RefusalCode
from teaselrock.state import Request
from teaselrock.state import Verdict


class Dispatcher:
    """Serves requests with the parts of one instance."""

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
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def in_flight(self) -> int:
        """Requests being served."""
        return self._in_flight

    async def drain(self) -> None:
        """Wait until no request is being served."""
        await self._idle.wait()

    async def dispatch(self, *, request: Request) -> Result[Answer, Refusal]:
        """Serve one request to its end.

        A non-idempotent request goes on when the caller disconnects, so
        that its record and row show how it ended.
        """
        if request.is_idempotent:
            return await self._counted(request)
        return await asyncio.shield(self._counted(request))

    async def _counted(self, request: Request) -> Result[Answer, Refusal]:
        self._in_flight += 1
        self._idle.clear()
        try:
            return await self._admit(request)
        finally:
            self._in_flight -= 1
            if self._in_flight == 0:
                self._idle.set()

    def check(self, *, request: Request) -> Result[Permission, Refusal]:
        """Check readiness and admission, before the body is read."""
        if not self._readiness.is_ready:
            return Error(
                Refusal(
                    RefusalCode.INSTANCE_NOT_READY,
                    Verdict.DID_NOT_RUN,
                    'this instance accepts no new work',
                    retry_after=1.0,
                )
            )
        return self._admission.check(request=request)

    def refuse(
        self, *, request: Request, refusal: Refusal
    ) -> Result[Answer, Refusal]:
        """Record a request that is refused before its admission."""
        self._report.refused(request=request, refusal=refusal)
        return Error(refusal)

    async def _admit(self, request: Request) -> Result[Answer, Refusal]:
        checked = self.check(request=request)
        if checked.is_error():
            return self.refuse(request=request, refusal=checked.error)
        charged = await self._allowances.charge(request=request)
        if charged.is_error():
            return self.refuse(request=request, refusal=charged.error)
        opened = self._report.open(request=request)
        if opened.is_error():
            charged.ok.refund()
            return self.refuse(request=request, refusal=opened.error)
        row = opened.ok
        progress = Progress()
        refusal: Refusal | None = None
        try:
            result = await self._claimed(request, checked.ok, row, progress)
            refusal = result.error if result.is_error() else None
        finally:
            # Also after a cancellation: what ran counts, what waited does not.
            consumed = progress.verdict is not Verdict.DID_NOT_RUN
            if not consumed:
                charged.ok.refund()
            await asyncio.shield(
                row.finish(
                    verdict=progress.verdict,
                    units=request.units if consumed else 0,
                    refusal=refusal,
                )
            )
        return result

    async def _claimed(
        self,
        request: Request,
        permission: Permission,
        row: ReportRow,
        progress: Progress,
    ) -> Result[Answer, Refusal]:
        """Run under a claim, if the request needs one.

        A refused repeat of a key carries the first request's verdict to the
        caller, but did not run itself, so `progress` stays untouched.
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
                progress=progress,
            )
        finally:
            if claim is not None:
                await claim.finish(verdict=progress.verdict)
