"""Logs and counts the limits that callers meet, for both gateways."""

from teaselrock.coordination.events import Event
from teaselrock.coordination.events import Events
from teaselrock.daemon.metrics import GatewayMetrics
from teaselrock.transport.caller_limits import CallerLimit


class CallerLimitLog:
    """`CallerLimitObserver` that emits events and counts them."""

    def __init__(self, *, events: Events, metrics: GatewayMetrics) -> None:
        self._events = events
        self._metrics = metrics

    def on_caller_limit(self, *, limit: CallerLimit, detail: str) -> None:
        """Emit and count one request or connection that met a limit."""
        self._metrics.on_caller_limit(limit)
        self._events.emit(
            event=Event.CALLER_LIMITED, limit=limit.value, detail=detail
        )
