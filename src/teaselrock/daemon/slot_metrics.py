"""Metrics of slots, report, idempotency claims and peer messages.

They are those of an instance that shares slots, for `daemon.gateway`.
`metrics` registers the collector; `instance_stats` collects the values.
"""

from collections.abc import Callable
from collections.abc import Iterator

from prometheus_client.metrics_core import CounterMetricFamily
from prometheus_client.metrics_core import GaugeMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from teaselrock.daemon.instance_stats import InstanceStats


class InstanceStatsCollector(Collector):
    """Gauges and counters from one read of the statistics."""

    def __init__(self, *, read_stats: Callable[[], InstanceStats]) -> None:
        self._read_stats = read_stats

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics of the instance."""
        stats = self._read_stats()
        members = GaugeMetricFamily(
            'teaselrock_members',
            'Known members by state, this instance included.',
            labels=('state',),
        )
        for state, count in sorted(stats.members.items()):
            members.add_metric((state,), count)
        yield members
        for name, description, value in _gauges(stats):
            yield GaugeMetricFamily(name, description, value)
        for name, description, value in _counters(stats):
            yield CounterMetricFamily(name, description, value)


# Name, description and value of each metric.
_MetricValues = tuple[tuple[str, str, int], ...]


def _gauges(stats: InstanceStats) -> _MetricValues:
    return (
        ('teaselrock_slots_held', 'Slots borrowed.', stats.slots_held),
        ('teaselrock_slots_lent', 'Slots lent.', stats.slots_lent),
        (
            'teaselrock_report_rows_held',
            'Report rows in memory, own and kept ones.',
            stats.rows_held,
        ),
        (
            'teaselrock_record_ends_pending',
            'Ends of idempotency claims that are not written yet.',
            stats.record_ends_pending,
        ),
    )


def _counters(stats: InstanceStats) -> _MetricValues:
    peers = stats.peers
    return (
        (
            'teaselrock_report_rows_unconfirmed',
            "Rows answered without a keeper's acknowledgement.",
            stats.rows_unconfirmed,
        ),
        (
            'teaselrock_report_refusals_dropped',
            'Rows of refusals that found no memory.',
            stats.refusals_dropped,
        ),
        (
            'teaselrock_record_ends_dropped',
            'Ends of claims that were not kept; their keys stay claimed.',
            stats.record_ends_dropped,
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
