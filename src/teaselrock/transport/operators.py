"""Operators' endpoint: health, readiness, metrics and status, on cheroot.

It runs in threads of its own and reads the instance through callables that
are safe to call from other threads.
"""

from collections.abc import Callable
from collections.abc import Iterable
import threading
from typing import Any
from typing import Final
from typing import NamedTuple

import cheroot.wsgi
import msgspec

REQUEST_THREADS: Final = 2
STOP_TIMEOUT_S: Final = 1
# Idle connections of scrapers are closed after this time.
IDLE_TIMEOUT_S: Final = 10
READY_PATH: Final = '/readyz'

_TEXT: Final = 'text/plain; charset=utf-8'
_METRICS: Final = 'text/plain; version=0.0.4; charset=utf-8'
_JSON: Final = 'application/json'

_Start = Callable[[str, list[tuple[str, str]]], Any]


class OperatorsSource(NamedTuple):
    """What the endpoint shows; each callable runs in another thread.

    `status` returns a value that JSON can hold.
    """

    is_alive: Callable[[], bool]
    is_ready: Callable[[], bool]
    metrics: Callable[[], bytes]
    status: Callable[[], object]


class _Page(NamedTuple):
    status: str
    content_type: str
    body: bytes


class OperatorsEndpoint:
    """HTTP server for operators; `start` binds, `stop` waits for the end."""

    def __init__(
        self,
        *,
        host: str,
        port: int,
        source: OperatorsSource,
        ready_path: str = READY_PATH,
    ) -> None:
        self._source = source
        self._ready_path = ready_path
        self._server = cheroot.wsgi.Server(
            (host, port),
            self._serve,
            numthreads=REQUEST_THREADS,
            timeout=IDLE_TIMEOUT_S,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        self._server.max_request_header_size = 16384
        self._server.max_request_body_size = 1024
        self._thread = threading.Thread(
            target=self._server.serve, name='operators', daemon=True
        )

    def start(self) -> None:
        """Bind and serve; `OSError` if the address is in use."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Close the port; waits for the server's threads."""
        if not self._thread.is_alive():
            return
        self._server.stop()
        self._thread.join(STOP_TIMEOUT_S)

    def _serve(
        self, environ: dict[str, Any], start: _Start
    ) -> Iterable[bytes]:
        page = self._page(environ['REQUEST_METHOD'], environ['PATH_INFO'])
        start(
            page.status,
            [
                ('Content-Type', page.content_type),
                ('Content-Length', str(len(page.body))),
                ('Cache-Control', 'no-store'),
            ],
        )
        if environ['REQUEST_METHOD'] == 'HEAD':
            return ()
        return (page.body,)

    def _page(self, method: str, path: str) -> _Page:
        source = self._source
        if method not in ('GET', 'HEAD'):
            return _Page('405 Method Not Allowed', _TEXT, b'use GET\n')
        if path == '/healthz':
            return _check(source.is_alive())
        if path == self._ready_path:
            return _check(source.is_ready())
        if path == '/metrics':
            return _Page('200 OK', _METRICS, source.metrics())
        if path == '/status':
            return _Page('200 OK', _JSON, msgspec.json.encode(source.status()))
        return _Page('404 Not Found', _TEXT, b'not found\n')


def _check(good: bool) -> _Page:
    if good:
        return _Page('200 OK', _TEXT, b'ok\n')
    return _Page('503 Service Unavailable', _TEXT, b'not ready\n')
