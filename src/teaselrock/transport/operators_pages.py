"""Pages of the operators' endpoint: health, readiness, metrics and status.

`operators_endpoint` serves them with cheroot, `operators_listener` on the
event loop.
"""

from collections.abc import Callable
from typing import Final
from typing import NamedTuple

import msgspec

READY_PATH: Final = '/readyz'

_TEXT_TYPE: Final = 'text/plain; charset=utf-8'
_METRICS_TYPE: Final = 'text/plain; version=0.0.4; charset=utf-8'
_JSON_TYPE: Final = 'application/json'


class OperatorsSource(NamedTuple):
    """Sources of the pages; each callable may run in another thread.

    `status` returns a value that can be encoded as JSON.
    """

    is_alive: Callable[[], bool]
    is_ready: Callable[[], bool]
    metrics: Callable[[], bytes]
    status: Callable[[], object]


class Page(NamedTuple):
    """One page; `status` is the status code and its reason phrase."""

    status: str
    content_type: str
    body: bytes


def page(
    source: OperatorsSource, *, method: str, path: str, ready_path: str
) -> Page:
    """Build the page at a path; 404 if there is none."""
    if method not in ('GET', 'HEAD'):
        return Page('405 Method Not Allowed', _TEXT_TYPE, b'use GET\n')
    if path == '/healthz':
        return _health_page(source.is_alive())
    if path == ready_path:
        return _health_page(source.is_ready())
    if path == '/metrics':
        return Page('200 OK', _METRICS_TYPE, source.metrics())
    if path == '/status':
        return Page('200 OK', _JSON_TYPE, msgspec.json.encode(source.status()))
    return Page('404 Not Found', _TEXT_TYPE, b'not found\n')


def _health_page(passed: bool) -> Page:
    if passed:
        return Page('200 OK', _TEXT_TYPE, b'ok\n')
    return Page('503 Service Unavailable', _TEXT_TYPE, b'not ready\n')
