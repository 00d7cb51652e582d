"""Report row of one request in progress."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from teaselrock.state import AttemptOutcome
from teaselrock.state import AttemptReason
from teaselrock.state import BackendServer
from teaselrock.state import Refusal
from teaselrock.state import Verdict
from teaselrock.state.configuration import CustomerEntry
from teaselrock.state.report import Row
from teaselrock.state.report import RowAttempt


class RowEndHandler(Protocol):
    """Receives ended rows; implemented by `SegmentReportWriter`."""

    async def end_row(self, *, row: 'OpenRow') -> None:
        """Queue the row; returns when the response may go to the caller."""
        ...


class OpenRow:
    """Implements `ReportRow` for one request."""

    def __init__(
        self,
        *,
        row: Row,
        customer: CustomerEntry,
        end_handler: RowEndHandler,
        wall_clock: Callable[[], float],
        keepers: tuple[str, ...],
        sent_at: float,
    ) -> None:
        self._row = row
        self._customer = customer
        self._end_handler = end_handler
        self._wall_clock = wall_clock
        self._keepers = keepers
        self._sent_at = sent_at
        self._acknowledged = asyncio.Event()

    @property
    def row(self) -> Row:
        """The current state of the row."""
        return self._row

    @property
    def customer(self) -> CustomerEntry:
        """The customer; its home regions limit the regions of the copies."""
        return self._customer

    @property
    def keepers(self) -> tuple[str, ...]:
        """Ids of the instances that may keep a copy, in order of use."""
        return self._keepers

    @property
    def sent_at(self) -> float:
        """When the first copy was sent, on the event loop's clock."""
        return self._sent_at

    @property
    def acknowledged(self) -> asyncio.Event:
        """Set when a keeper has acknowledged the row."""
        return self._acknowledged

    def add_attempt(
        self,
        *,
        server: BackendServer,
        reason: AttemptReason,
        outcome: AttemptOutcome,
        verdict: Verdict,
        evidence: str,
    ) -> None:
        """Add an attempt that ended."""
        attempt = RowAttempt(
            server.server_id,
            server.zone.region,
            server.zone.name,
            reason,
            outcome.failure.value if outcome.failure is not None else '',
            verdict,
            round(outcome.latency * 1000, 2),
        )
        self._row = self._row._replace(attempts=(*self._row.attempts, attempt))

    async def finish(
        self, *, verdict: Verdict, units: int, refusal: Refusal | None
    ) -> None:
        """End the row; returns when the response may go to the caller."""
        self._row = self._row._replace(
            verdict=verdict,
            code=refusal.code.value if refusal is not None else '',
            ended=round(self._wall_clock(), 3),
            units=units,
        )
        await self._end_handler.end_row(row=self)
