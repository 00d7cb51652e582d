"""Shared fixtures, and tests that are expected to fail for a known fault."""

from collections.abc import Callable
import hashlib
import pathlib
from typing import Final

import pytest

from free_ports import find_free_ports
from teaselrock.daemon.settings import GatewaySettings

pytest.register_assert_rewrite('crowd')

KNOWN_FAILURES_FILE: Final = (
    pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'
)


def _load_known_failures() -> dict[str, str]:
    """Reasons by test id, from entries that begin with `test: `."""
    if not KNOWN_FAILURES_FILE.exists():
        return {}
    reasons = {}
    for entry in KNOWN_FAILURES_FILE.read_text('utf-8').split('\n\n'):
        first_line, _, reason = entry.strip().partition('\n')
        if first_line.startswith('test: '):
            reasons[first_line.removeprefix('test: ')] = ' '.join(
                reason.split()
            )
    return reasons


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark listed tests as expected failures; one that passes is an error."""
    reasons = _load_known_failures()
    for item in items:
        if item.nodeid in reasons:
            marker = pytest.mark.xfail(
                reason=reasons[item.nodeid], raises=AssertionError, strict=True
            )
            item.add_marker(marker)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the expected failures and their reasons."""
    for report in terminalreporter.stats.get('xfailed', []):
        terminalreporter.write_line(f'KNOWN-RED {report.nodeid}')
        terminalreporter.write_line(f'  {report.wasxfail}')


@pytest.fixture
def free_port() -> Callable[[], int]:
    """Returns a loopback port that was free when it was called."""

    def find_port() -> int:
        (port,) = find_free_ports(1)
        return port

    return find_port


@pytest.fixture
def gateway_settings(free_port: Callable[[], int]) -> GatewaySettings:
    """Settings of a gateway with one service and one backend server."""
    digest = hashlib.sha256(b'secret').hexdigest()
    return {
        'instance': 'gw-1',
        'region': 'east',
        'zone': 'a',
        'listen': f'127.0.0.1:{free_port()}',
        'digest_key': 'test key',
        'configuration': {
            'customers': {
                'shannon-press': {'plan': 'basic', 'key_sha256': [digest]},
                'corrib-books': {
                    'plan': 'basic',
                    'key_sha256': [hashlib.sha256(b'corrib').hexdigest()],
                    'home_regions': ['west'],
                },
            },
            'plans': {
                'basic': {
                    'weight': 1,
                    'allow': [
                        {'service': 'desk', 'regions': ['east', 'west']}
                    ],
                }
            },
            'services': {
                'desk': {
                    'prefix': '/desk',
                    'concurrency': 2,
                    'deadline_ms': 1000,
                    'non_idempotent_methods': ['POST'],
                    'max_body_bytes': 100,
                }
            },
            'out_zones': {},
            'out_instances': {},
            'out_servers': {},
        },
        'servers': [
            {
                'id': 'server-0',
                'service': 'desk',
                'region': 'east',
                'zone': 'a',
                'address': f'127.0.0.1:{free_port()}',
                'concurrency': 2,
            }
        ],
    }
