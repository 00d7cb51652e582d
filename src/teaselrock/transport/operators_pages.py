"""Pages of the operators' endpoint: health, readiness, metrics and status.

`operators_endpoint` serves them with cheroot, `operators_listener` on the
event loop.
"""

from collections.abc import Callable
from typing import Final
from typing import NamedTuple

import msgspec

READY_PATH: Final = '/readyz'

_TEXT: Final = 'text/plain; charset=utf-8'
_METRICS: Final = 'text/plain; version=0.0.4; charset=utf-8'
_JSON: Final = 'application/json'


class OperatorsSource(NamedTuple):
    """What the endpoint shows; each callable may run in another thread.

    `status` returns a value that JSON can hold.
    """

    is_alive: Callable[[], bool]
    is_ready: Callable[[], bool]
    metrics: Callable[[], bytes]
    status: Callable[[], object]


class Page(NamedTuple):
    """One page; `status` is the code and its phrase."""

    status: str
    content_type: str
    body: bytes


def page(
    source: OperatorsSource, *, method: str, path: str, ready_path: str
) -> Page:
    """The page at a path."""
    if method not in ('GET', 'HEAD'):
        return Page('405 Method Not Allowed', _TEXT, b'use GET\n')
    if path == '/healthz':
        return _check(source.is_alive())
    if path == ready_path:
        return _check(source.is_ready())
    if path == '/metrics':
        return Page('200 OK', _METRICS, source.metrics())
    if path == '/status':
        return Page('200 OK', _JSON, msgspec.json.encode(source.status()))
    return Page('404 Not Found', _TEXT, b'not found\n')


def _check(good: bool) -> Page:
    if good:
        return Page('200 OK', _TEXT, b'ok\n')
    return Page('503 Service Unavailable', _TEXT, b'not ready\n')
