"""Prometheus metrics of one gateway, in a registry of its own.

Implements `RequestObserver`. Labels are customers and services of the
configuration, never anything that a caller sends.
"""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Final

import prometheus_client
from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram
from prometheus_client.metrics_core import CounterMetricFamily
from prometheus_client.metrics_core import GaugeMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from teaselrock.coordination.events import Event
from teaselrock.coordination.ports import Directory
from teaselrock.daemon.readings import Readings
from teaselrock.state.configuration import Document

MAX_CUSTOMERS: Final = 200
# A histogram takes about 2 KB; this bounds all of them to a few MB.
MAX_HISTOGRAMS: Final = 2000
OTHER: Final = 'other'
NONE: Final = 'none'
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


class _PartsCollector(Collector):
    """Gauges and counters of the parts, from one set of readings."""

    def __init__(self, *, read: Callable[[], Readings]) -> None:
        self._read = read

    def collect(self) -> Iterator[Metric]:
        """All metrics of the parts."""
        read = self._read()
        members = GaugeMetricFamily(
            'teaselrock_members',
            'Known members by state, this instance included.',
            labels=('state',),
        )
        for state, count in sorted(read.members.items()):
            members.add_metric((state,), count)
        yield members
        for name, text, value in _gauges(read):
            yield GaugeMetricFamily(name, text, value)
        for name, text, value in _counters(read):
            yield CounterMetricFamily(name, text, value)


_Values = tuple[tuple[str, str, int], ...]


def _gauges(read: Readings) -> _Values:
    return (
        ('teaselrock_slots_held', 'Slots borrowed.', read.slots_held),
        ('teaselrock_slots_lent', 'Slots lent.', read.slots_lent),
        (
            'teaselrock_report_rows_held',
            'Report rows in memory, own and kept ones.',
            read.rows_held,
        ),
        (
            'teaselrock_record_ends_pending',
            'Ends of idempotency claims that are not written yet.',
            read.ends_pending,
        ),
    )


def _counters(read: Readings) -> _Values:
    peers = read.peers
    return (
        (
            'teaselrock_report_rows_unconfirmed',
            "Rows answered without a keeper's acknowledgement.",
            read.rows_unconfirmed,
        ),
        (
            'teaselrock_report_refusals_dropped',
            'Rows of refusals that found no memory.',
            read.refusals_dropped,
        ),
        (
            'teaselrock_record_ends_dropped',
            'Ends of claims that were not kept; their keys stay claimed.',
            read.ends_dropped,
        ),
        (
            'teaselrock_control_messages',
            'Control messages sent.',
            peers.sent_messages,
        ),
        (
            'teaselrock_control_bytes',
            'Control bytes sent.',
            peers.sent_bytes,
        ),
        (
            'teaselrock_control_cross_region_bytes',
            'Control bytes sent to other regions.',
            peers.cross_region_bytes,
        ),
        (
            'teaselrock_request_data_messages',
            'Messages of idempotency and report sent.',
            peers.data_messages,
        ),
        (
            'teaselrock_request_data_bytes',
            'Bytes of idempotency and report sent.',
            peers.data_bytes,
        ),
        (
            'teaselrock_messages_over_budget',
            'Messages dropped because a budget was used up.',
            peers.over_budget,
        ),
        (
            'teaselrock_messages_dropped',
            'Messages dropped because a queue was full.',
            peers.dropped_by_link + peers.dropped_at_inbox,
        ),
        (
            'teaselrock_message_handlers_failed',
            'Messages whose handler raised an error.',
            peers.failed_handlers,
        ),
    )


class GatewayMetrics:
    """Metrics of one gateway."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._directory: Directory | None = None
        self._document: Document | None = None
        self._customers: frozenset[str] = frozenset()
        self._pairs: set[tuple[str, str]] = set()
        self._requests = Counter(
            'teaselrock_requests',
            'Requests by verdict and refusal code.',
            ('customer', 'service', 'verdict', 'code'),
            registry=self._registry,
        )
        self._seconds = Histogram(
            'teaselrock_request_seconds',
            'Time from the head of a request to its answer.',
            ('customer', 'service'),
            buckets=_BUCKETS_S,
            registry=self._registry,
        )
        self._events = Counter(
            'teaselrock_events',
            'Events, those left out of the log included.',
            ('event',),
            registry=self._registry,
        )
        self._invalid = Counter(
            'teaselrock_peer_frames_invalid',
            'Frames from peers that were dropped.',
            registry=self._registry,
        )
        self._log_dropped = Counter(
            'teaselrock_log_lines_dropped',
            'Log lines dropped because the writer was too slow.',
            registry=self._registry,
        )

    def watch(
        self,
        *,
        directory: Directory,
        in_flight: Callable[[], int],
        read: Callable[[], Readings] = Readings,
    ) -> None:
        """Measure an instance; the callables run in other threads."""
        self._directory = directory
        gauges: tuple[tuple[str, str, Callable[[], float]], ...] = (
            (
                'teaselrock_configuration_version',
                'Version of the configuration in force.',
                lambda: directory.version,
            ),
            (
                'teaselrock_ready',
                '1 if the instance accepts new work.',
                lambda: directory.is_ready,
            ),
            (
                'teaselrock_requests_in_flight',
                'Requests being served.',
                in_flight,
            ),
        )
        for name, text, value in gauges:
            Gauge(name, text, registry=self._registry).set_function(value)
        self._registry.register(_PartsCollector(read=read))

    def exposition(self) -> bytes:
        """All metrics in the Prometheus text format."""
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
        """Count a request's end and its time."""
        service = service or NONE
        customer = self._bounded(self._label(customer), service)
        self._requests.labels(customer, service, verdict, code or NONE).inc()
        self._seconds.labels(customer, service).observe(seconds)

    def on_event(self, event: Event) -> None:
        """Count an event."""
        self._events.labels(event.name.lower().replace('_', '-')).inc()

    def on_invalid_frame(self) -> None:
        """Count a dropped frame."""
        self._invalid.inc()

    def on_log_dropped(self) -> None:
        """Count a dropped log line."""
        self._log_dropped.inc()

    def _bounded(self, customer: str, service: str) -> str:
        """Series of customers that left the configuration stay."""
        if (customer, service) in self._pairs:
            return customer
        if len(self._pairs) >= MAX_HISTOGRAMS:
            return OTHER
        self._pairs.add((customer, service))
        return customer

    def _label(self, customer: str) -> str:
        if not customer:
            return NONE
        document = (
            self._directory.document if self._directory is not None else None
        )
        if document is not self._document:
            names = sorted(document['customers']) if document else []
            self._customers = frozenset(names[:MAX_CUSTOMERS])
            self._document = document
        return customer if customer in self._customers else OTHER
