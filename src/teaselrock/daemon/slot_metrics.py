"""Metrics of the parts of an instance that shares slots.

`metrics` registers the collector; `readings` takes the values.
"""

from collections.abc import Callable
from collections.abc import Iterator

from prometheus_client.metrics_core import CounterMetricFamily
from prometheus_client.metrics_core import GaugeMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from teaselrock.daemon.instance_stats import InstanceStats


class SlotCollector(Collector):
    """Gauges and counters of the parts, from one set of readings."""

    def __init__(self, *, read_stats: Callable[[], InstanceStats]) -> None:
        self._read_stats = read_stats

    def collect(self) -> Iterator[Metric]:
        """All metrics of the parts."""
        stats = self._read_stats()
        members = GaugeMetricFamily(
            'teaselrock_members',
            'Known members by state, this instance included.',
            labels=('state',),
        )
        for state, count in sorted(stats.members.items()):
            members.add_metric((state,), count)
        yield members
        for name, text, value in _gauges(stats):
            yield GaugeMetricFamily(name, text, value)
        for name, text, value in _counters(stats):
            yield CounterMetricFamily(name, text, value)


_Values = tuple[tuple[str, str, int], ...]


def _gauges(stats: InstanceStats) -> _Values:
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
            stats.ends_pending,
        ),
    )


def _counters(stats: InstanceStats) -> _Values:
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
            stats.ends_dropped,
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
