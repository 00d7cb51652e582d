"""Metrics of an instance that serves routes, for `daemon.platform_gateway`.

`metrics` registers the collector; `coordination.routed_instance` provides
the values.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping

from prometheus_client.metrics_core import CounterMetricFamily
from prometheus_client.metrics_core import GaugeMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from teaselrock.coordination.routed_instance import RoutedStats
from teaselrock.transport.response_memory import ResponseMemory


class RoutedCollector(Collector):
    """Gauges and counters from one read of the statistics.

    `store_calls` returns the number of calls to the store by outcome,
    `store_era` how often the store was restored.
    """

    def __init__(
        self,
        *,
        read_stats: Callable[[], RoutedStats],
        store_calls: Callable[[], Mapping[str, int]],
        store_era: Callable[[], int],
        responses: ResponseMemory,
    ) -> None:
        self._read_stats = read_stats
        self._store_calls = store_calls
        self._store_era = store_era
        self._responses = responses

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics of the instance."""
        stats = self._read_stats()
        yield GaugeMetricFamily(
            'teaselrock_view_age_seconds',
            'Time since routes, servers and zones were known to be current.',
            stats.view_age,
        )
        yield GaugeMetricFamily(
            'teaselrock_routes_confirmed_age_seconds',
            'Time since the routes were last known to be those in the store.',
            stats.routes_confirmed_age,
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
        yield GaugeMetricFamily(
            'teaselrock_response_bytes',
            'Bytes of the responses that are being received from servers.',
            self._responses.total_bytes,
        )
        yield CounterMetricFamily(
            'teaselrock_dropped_responses',
            'Responses that were dropped because they exceed the memory.',
            self._responses.dropped_count,
        )
        yield _with_samples(
            GaugeMetricFamily(
                'teaselrock_servers_in_service',
                'Backend servers that may get new work.',
                labels=('service',),
            ),
            stats.servers,
        )
        yield _with_samples(
            GaugeMetricFamily(
                'teaselrock_rate_limited_servers',
                'Backend servers that announce a rate limit.',
                labels=('service',),
            ),
            stats.rate_limited_servers,
        )
        yield _with_samples(
            GaugeMetricFamily(
                'teaselrock_announced_rate_limit',
                'Sum of the announced rate limits in requests per second.',
                labels=('service',),
            ),
            stats.announced_rates,
        )
        yield _with_samples(
            GaugeMetricFamily(
                'teaselrock_leaving_servers',
                'Backend servers whose responses say that they leave.',
                labels=('service',),
            ),
            stats.leaving_servers,
        )
        yield _with_samples(
            GaugeMetricFamily(
                'teaselrock_paused_servers',
                'Backend servers that want no requests for a while.',
                labels=('service',),
            ),
            stats.paused_servers,
        )
        yield _with_samples(
            CounterMetricFamily(
                'teaselrock_rate_permits',
                'Requests for permits of limited or cold servers by result.',
                labels=('result',),
            ),
            {
                'granted': stats.permits.granted,
                'denied': stats.permits.denied,
                'unanswered': stats.permits.unanswered,
            },
        )
        yield _with_samples(
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
        yield _with_samples(
            CounterMetricFamily(
                'teaselrock_repeats_granted',
                'Retries and hedges that the budget allowed.',
                labels=('service',),
            ),
            {
                name: budget.granted
                for name, budget in stats.retry_budgets.items()
            },
        )
        yield _with_samples(
            CounterMetricFamily(
                'teaselrock_repeats_denied',
                'Retries and hedges for which the budget had no room.',
                labels=('service',),
            ),
            {
                name: budget.denied
                for name, budget in stats.retry_budgets.items()
            },
        )
        yield GaugeMetricFamily(
            'teaselrock_store_era',
            'Highest era of the store that this instance has seen.',
            self._store_era(),
        )
        yield _with_samples(
            CounterMetricFamily(
                'teaselrock_store_calls',
                'Calls to the store by outcome.',
                labels=('outcome',),
            ),
            self._store_calls(),
        )


def _with_samples(
    family: CounterMetricFamily | GaugeMetricFamily,
    values: Mapping[str, float],
) -> Metric:
    """Add one sample for each label value."""
    for label_value, value in sorted(values.items()):
        family.add_metric((label_value,), value)
    return family
