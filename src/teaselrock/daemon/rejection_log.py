"""Logs and counts the requests that a gateway with routes rejects."""

from teaselrock.coordination.events import Event
from teaselrock.coordination.events import Events
from teaselrock.daemon.metrics import GatewayMetrics
from teaselrock.transport.rejections import Rejection


class RejectionLog:
    """`RejectionObserver` that emits events and counts them."""

    def __init__(self, *, events: Events, metrics: GatewayMetrics) -> None:
        self._events = events
        self._metrics = metrics

    def on_rejection(self, *, rejection: Rejection) -> None:
        """Emit and count one rejected request."""
        self._metrics.on_rejection(rejection.status)
        self._events.emit(
            event=Event.REQUEST_REJECTED,
            request=rejection.request_id,
            status=rejection.status,
            detail=rejection.detail,
            host=rejection.host,
            prefix=rejection.prefix,
            host_routes=rejection.host_routes,
            version=rejection.version,
            table_age_s=round(rejection.table_age, 3),
            source=rejection.source,
        )
