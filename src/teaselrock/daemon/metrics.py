"""Prometheus metrics of one gateway, in a registry of its own.

Implements `RequestObserver` and `AttemptObserver`. `slot_metrics` collects the
metrics of instances that share slots, `routed_metrics` those of instances that
serve routes. Label values are customers and services of the configuration,
never text that a caller sends, so that callers cannot create series.
"""

from collections.abc import Callable
from typing import Final
from typing import Protocol

import prometheus_client
from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram
from prometheus_client.registry import Collector

from teaselrock.coordination.events import Event
from teaselrock.state.configuration import Document
from teaselrock.transport.caller_limits import CallerLimit
from teaselrock.transport.request_memory import RequestMemory
from teaselrock.transport.unread_responses import UnreadResponses

# Customers beyond these count as `OTHER_CUSTOMER`.
MAX_CUSTOMER_LABELS: Final = 200
# A histogram takes about 2 KB; the limit keeps all of them to a few MB.
MAX_HISTOGRAMS: Final = 2000
OTHER_CUSTOMER: Final = 'other'
NO_LABEL: Final = 'none'
_BUCKETS_S: Final = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    10.0,
)


class MeasuredView(Protocol):
    """Values of an instance that the metrics read."""

    @property
    def version(self) -> int:
        """Version in force, 0 if there is none."""
        ...

    @property
    def is_ready(self) -> bool:
        """Whether the instance accepts new work."""
        ...

    @property
    def document(self) -> Document:
        """The configuration, whose customers are label values."""
        ...


class GatewayMetrics:
    """Metrics of one gateway."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._view: MeasuredView | None = None
        self._labelled_document: Document | None = None
        self._labelled_customers: frozenset[str] = frozenset()
        self._customer_services: set[tuple[str, str]] = set()
        self._requests = Counter(
            'teaselrock_requests',
            'Requests by verdict and refusal code.',
            ('customer', 'service', 'verdict', 'code'),
            registry=self._registry,
        )
        self._request_seconds = Histogram(
            'teaselrock_request_seconds',
            'Time from the head of a request to its answer.',
            ('customer', 'service'),
            buckets=_BUCKETS_S,
            registry=self._registry,
        )
        self._attempts = Counter(
            'teaselrock_attempts',
            'Requests sent to backend servers by reason and end.',
            ('service', 'reason', 'end'),
            registry=self._registry,
        )
        self._excess_attempts = Counter(
            'teaselrock_excess_attempts',
            'Requests with more attempts than their route allows.',
            ('service',),
            registry=self._registry,
        )
        self._events = Counter(
            'teaselrock_events',
            'Events, those left out of the log included.',
            ('event',),
            registry=self._registry,
        )
        self._invalid_frames = Counter(
            'teaselrock_peer_frames_invalid',
            'Frames from peers that were dropped.',
            registry=self._registry,
        )
        self._caller_limits = Counter(
            'teaselrock_caller_limits',
            'Requests and connections of callers ended by a limit.',
            ('limit',),
            registry=self._registry,
        )
        self._rejections = Counter(
            'teaselrock_rejected_requests',
            'Requests that the gateway itself rejected with a 4xx status.',
            ('status',),
            registry=self._registry,
        )
        self._dropped_log_lines = Counter(
            'teaselrock_log_lines_dropped',
            'Log lines dropped because the writer was too slow.',
            registry=self._registry,
        )

    def register_instance(
        self,
        *,
        view: MeasuredView,
        in_flight: Callable[[], int],
        request_memory: RequestMemory,
        unread_responses: UnreadResponses,
        collector: Collector,
    ) -> None:
        """Add the gauges and the collector of an instance.

        The callables and the collector may run in other threads.
        """
        self._view = view
        gauges: tuple[tuple[str, str, Callable[[], float]], ...] = (
            (
                'teaselrock_configuration_version',
                'Version of the configuration in force.',
                lambda: view.version,
            ),
            (
                'teaselrock_ready',
                '1 if the instance accepts new work.',
                lambda: view.is_ready,
            ),
            (
                'teaselrock_requests_in_flight',
                'Requests being served.',
                in_flight,
            ),
            (
                'teaselrock_request_bytes',
                'Bytes of the requests that are being received or served.',
                lambda: request_memory.total_bytes,
            ),
            (
                'teaselrock_request_bytes_limit',
                'Limit of teaselrock_request_bytes.',
                lambda: request_memory.limit_bytes,
            ),
            (
                'teaselrock_unread_response_bytes',
                'Bytes of complete responses that callers have not read.',
                lambda: unread_responses.total_bytes,
            ),
        )
        for name, description, value in gauges:
            Gauge(name, description, registry=self._registry).set_function(
                value
            )
        self._registry.register(collector)

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def on_request(
        self,
        *,
        customer: str,
        service: str,
        seconds: float,
        verdict: str,
        code: str,
    ) -> None:
        """Count an ended request and observe its duration."""
        service = service or NO_LABEL
        customer = self._limit_histograms(
            self._customer_label(customer), service
        )
        self._requests.labels(
            customer, service, verdict, code or NO_LABEL
        ).inc()
        self._request_seconds.labels(customer, service).observe(seconds)

    def on_attempt(self, *, service: str, reason: str, end: str) -> None:
        """Count an ended attempt."""
        self._attempts.labels(service or NO_LABEL, reason, end).inc()

    def on_excess_attempts(self, *, service: str) -> None:
        """Count a request with more attempts than its route allows."""
        self._excess_attempts.labels(service or NO_LABEL).inc()

    def on_event(self, event: Event) -> None:
        """Count an event."""
        self._events.labels(event.name.lower().replace('_', '-')).inc()

    def on_caller_limit(self, limit: CallerLimit) -> None:
        """Count a request or connection that met a limit."""
        self._caller_limits.labels(limit.value).inc()

    def on_rejection(self, status: int) -> None:
        """Count a request that was rejected with a 4xx status."""
        self._rejections.labels(str(status)).inc()

    def on_invalid_frame(self) -> None:
        """Count a dropped frame of a peer."""
        self._invalid_frames.inc()

    def on_log_line_dropped(self) -> None:
        """Count a dropped log line."""
        self._dropped_log_lines.inc()

    def _limit_histograms(self, customer: str, service: str) -> str:
        """Return `other` instead of a customer beyond `MAX_HISTOGRAMS`.

        Series of customers that were removed from the configuration stay.
        """
        if (customer, service) in self._customer_services:
            return customer
        if len(self._customer_services) >= MAX_HISTOGRAMS:
            return OTHER_CUSTOMER
        self._customer_services.add((customer, service))
        return customer

    def _customer_label(self, customer: str) -> str:
        if not customer:
            return NO_LABEL
        document = self._view.document if self._view is not None else None
        if document is not self._labelled_document:
            names = sorted(document['customers']) if document else []
            self._labelled_customers = frozenset(names[:MAX_CUSTOMER_LABELS])
            self._labelled_document = document
        return (
            customer
            if customer in self._labelled_customers
            else OTHER_CUSTOMER
        )
