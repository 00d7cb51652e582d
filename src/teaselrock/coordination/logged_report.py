"""Report rows as log lines, for instances that store no report.

Implements `ReportWriter`: each request ends with one numbered event whose
fields describe the request and its attempts. The platform collects the log.
"""

import asyncio
from typing import Protocol

from expression import Ok
from expression import Result

from teaselrock.coordination.events import Event
from teaselrock.coordination.events import Events
from teaselrock.coordination.ports import ReportRow
from teaselrock.state import AttemptOutcome
from teaselrock.state import AttemptReason
from teaselrock.state import BackendServer
from teaselrock.state import Refusal
from teaselrock.state import Request
from teaselrock.state import Verdict


class AttemptObserver(Protocol):
    """Receives the end of each attempt."""

    def on_attempt(self, *, service: str, reason: str, end: str) -> None:
        """Count an attempt; `end` is `ok` or the kind of failure."""
        ...

    def on_excess_attempts(self, *, service: str) -> None:
        """Count a request with more attempts than its route allows."""
        ...


class _LoggedRow:
    """The row of one request in progress."""

    def __init__(
        self, *, request: Request, events: Events, observer: AttemptObserver
    ) -> None:
        self._request = request
        self._events = events
        self._observer = observer
        self._started = asyncio.get_running_loop().time()
        self._attempts: list[str] = []

    def add_attempt(
        self,
        *,
        server: BackendServer,
        reason: AttemptReason,
        outcome: AttemptOutcome,
        verdict: Verdict,
        evidence: str,
    ) -> None:
        """Add an attempt as `server/zone/reason/end/ms/evidence`."""
        end = outcome.failure.value if outcome.failure is not None else 'ok'
        self._observer.on_attempt(
            service=server.service, reason=reason.value, end=end
        )
        self._attempts.append(
            f'{server.server_id}/{server.zone.name}/{reason.value}/{end}/'
            f'{outcome.latency * 1000:.0f}/{evidence}'
        )

    async def finish(
        self, *, verdict: Verdict, units: int, refusal: Refusal | None
    ) -> None:
        """Emit the row as an event."""
        now = asyncio.get_running_loop().time()
        route = self._request.route
        max_attempts = route.max_attempts if route is not None else 0
        if route is not None and len(self._attempts) > max_attempts:
            self._observer.on_excess_attempts(service=self._request.service)
        self._events.emit(
            event=Event.REQUEST_ENDED,
            request=self._request.request_id,
            route=route.name if route is not None else '',
            service=self._request.service,
            verdict=verdict.value,
            code=refusal.code.value if refusal is not None else '',
            detail=refusal.detail if refusal is not None else '',
            ms=round((now - self._started) * 1000, 1),
            left_ms=round((self._request.deadline - now) * 1000),
            max_attempts=max_attempts,
            attempts=' '.join(self._attempts),
        )


class LoggedReport:
    """`ReportWriter` that emits rows as events."""

    def __init__(self, *, events: Events, observer: AttemptObserver) -> None:
        self._events = events
        self._observer = observer

    def open_row(self, *, request: Request) -> Result[ReportRow, Refusal]:
        """Open a row; never refuses."""
        return Ok(
            _LoggedRow(
                request=request, events=self._events, observer=self._observer
            )
        )

    def record_refusal(self, *, request: Request, refusal: Refusal) -> None:
        """Emit a request that was refused before its row was opened."""
        self._events.emit(
            event=Event.REQUEST_REFUSED,
            request=request.request_id,
            route=request.route.name if request.route else '',
            service=request.service,
            code=refusal.code.value,
            detail=refusal.detail,
        )
