"""Metrics of the parts of an instance that serves routes.

`metrics` registers the collector; `coordination.routed_instance` takes the
readings.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping

from prometheus_client.metrics_core import CounterMetricFamily
from prometheus_client.metrics_core import GaugeMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from teaselrock.coordination.routed_instance import RoutedStats


class RoutedCollector(Collector):
    """Gauges and counters of the parts, from one set of readings.

    `store_calls` counts calls to the store by outcome.
    """

    def __init__(
        self,
        *,
        read_stats: Callable[[], RoutedStats],
        store_calls: Callable[[], Mapping[str, int]],
    ) -> None:
        self._read_stats = read_stats
        self._store_calls = store_calls

    def collect(self) -> Iterator[Metric]:
        """All metrics of the parts."""
        stats = self._read_stats()
        yield GaugeMetricFamily(
            'teaselrock_view_age_seconds',
            'Time since routes, servers and zones were known to be current.',
            stats.view_age,
        )
        yield GaugeMetricFamily(
            'teaselrock_watching',
            '1 if the instance watches the store for its region.',
            int(stats.is_watching),
        )
        yield GaugeMetricFamily(
            'teaselrock_idle_connections',
            'Idle connections to backend servers.',
            stats.idle_connections,
        )
        yield _labelled(
            GaugeMetricFamily(
                'teaselrock_servers_in_service',
                'Backend servers that may get new work.',
                labels=('service',),
            ),
            stats.servers,
        )
        yield _labelled(
            CounterMetricFamily(
                'teaselrock_load_checks',
                'Load checks by result.',
                labels=('result',),
            ),
            {
                'answered': stats.checks.answered,
                'failed': stats.checks.failed,
            },
        )
        yield _labelled(
            CounterMetricFamily(
                'teaselrock_repeats_granted',
                'Retries and hedges that the budget allowed.',
                labels=('service',),
            ),
            {name: one.granted for name, one in stats.retry_budgets.items()},
        )
        yield _labelled(
            CounterMetricFamily(
                'teaselrock_repeats_denied',
                'Retries and hedges for which the budget had no room.',
                labels=('service',),
            ),
            {name: one.denied for name, one in stats.retry_budgets.items()},
        )
        yield _labelled(
            CounterMetricFamily(
                'teaselrock_store_calls',
                'Calls to the store by outcome.',
                labels=('outcome',),
            ),
            self._store_calls(),
        )


def _labelled(
    family: CounterMetricFamily | GaugeMetricFamily,
    values: Mapping[str, int],
) -> Metric:
    """Add one value for each label."""
    for label, value in sorted(values.items()):
        family.add_metric((label,), value)
    return family
