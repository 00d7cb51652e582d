"""Operators' pages and examples compared with the code."""

import pathlib
import re

from prometheus_client.registry import Collector
import pytest

from teaselrock.coordination.choice import CheckCounts
from teaselrock.coordination.in_memory import FixedDirectory
from teaselrock.coordination.rate_permits import PermitCounts
from teaselrock.coordination.routed_instance import RoutedStats
from teaselrock.daemon.instance_stats import InstanceStats
from teaselrock.daemon.metrics import GatewayMetrics
from teaselrock.daemon.routed_metrics import RoutedCollector
from teaselrock.daemon.slot_metrics import InstanceStatsCollector
from teaselrock.protocol import checker
from teaselrock.protocol import problem
from teaselrock.state import RefusalCode
from teaselrock.state.configuration import empty_document
from teaselrock.transport.request_memory import RequestMemory
from teaselrock.transport.response_memory import ResponseMemory
from teaselrock.transport.unread_responses import UnreadResponses

ROOT = pathlib.Path(__file__).parents[2]
EXAMPLES = ROOT / 'examples'


def test_refusals_are_listed() -> None:
    """Guards against a refusal code that the page does not list."""
    page = (ROOT / 'docs/operators/refusals.md').read_text('utf-8')
    listed = re.findall(r'^\| `([a-z-]+)` \| (\d+) \|', page, re.M)
    assert listed == [
        (code.value, str(problem.HTTP_STATUS[code])) for code in RefusalCode
    ]


@pytest.mark.parametrize('name', ['liffeyline.json', 'hollis.json'])
def test_example_configurations(name: str) -> None:
    """Guards against an invalid example configuration.

    The checker must accept it, and plans and services must exist.
    """
    text = (EXAMPLES / name).read_text('utf-8')
    result = checker.check_configuration(text)
    assert result.is_ok(), result.error
    document = result.ok
    for customer in document['customers'].values():
        assert customer['plan'] in document['plans']
    for plan in document['plans'].values():
        for allowance in plan['allow']:
            assert allowance['service'] in document['services']


def test_example_settings() -> None:
    """Guards against example settings that the checker refuses."""
    text = (EXAMPLES / 'gateway.json').read_text('utf-8')
    result = checker.check_settings(text)
    assert result.is_ok(), result.error


def _metric_types(collector: Collector) -> set[tuple[str, str]]:
    """Names and types of the metrics that a collector exposes."""
    metrics = GatewayMetrics()
    metrics.register_instance(
        view=FixedDirectory(document=empty_document(), servers=()),
        in_flight=lambda: 0,
        request_memory=RequestMemory(),
        unread_responses=UnreadResponses(),
        collector=collector,
    )
    types = re.findall(
        r'^# TYPE (\w+) (\w+)$', metrics.exposition().decode(), re.M
    )
    return {
        (name, kind) for name, kind in types if not name.endswith('_created')
    }


def test_metrics_are_listed() -> None:
    """Guards against metrics that the page lacks, or lists although removed.

    Alerts may use only existing metrics.
    """
    page = (ROOT / 'docs/operators/metrics.md').read_text('utf-8')
    stats = RoutedStats(
        0.0,
        0.0,
        False,
        0,
        {},
        CheckCounts(),
        {},
        {},
        {},
        {},
        {},
        PermitCounts(),
    )
    actual = _metric_types(
        InstanceStatsCollector(read_stats=InstanceStats)
    ) | _metric_types(
        RoutedCollector(
            read_stats=lambda: stats,
            store_calls=dict,
            store_era=lambda: 0,
            responses=ResponseMemory(),
        )
    )
    listed = re.findall(r'^\| `(teaselrock_\w+)` \| (\w+) \|', page, re.M)
    assert sorted(listed) == sorted(actual)
    alerts = page.partition('## Alerts')[2]
    names = re.findall(r'teaselrock_\w+', alerts)
    assert names
    assert set(names) <= {name for name, _ in actual}
