"""Operators' endpoint on cheroot's threads, for `daemon.gateway`.

It serves health, readiness, metrics and status. `operators_listener` is the
one on the event loop.

The server runs in threads of its own and reads the instance through
callables that are safe to call from other threads.
"""

from collections.abc import Callable
from collections.abc import Iterable
import threading
from typing import Any
from typing import Final

import cheroot.wsgi

from teaselrock.transport.operators_pages import OperatorsSource
from teaselrock.transport.operators_pages import page
from teaselrock.transport.operators_pages import READY_PATH

REQUEST_THREADS: Final = 2
STOP_TIMEOUT_S: Final = 1
# Idle connections of metric scrapers are closed after this time.
IDLE_TIMEOUT_S: Final = 10
_StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class OperatorsEndpoint:
    """HTTP server for operators; `stop` waits for its threads."""

    def __init__(
        self, *, host: str, port: int, source: OperatorsSource
    ) -> None:
        self._source = source
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
        """Bind and serve; raises `OSError` if the address is in use."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Close the socket and wait up to `STOP_TIMEOUT_S` for the thread."""
        if not self._thread.is_alive():
            return
        self._server.stop()
        self._thread.join(STOP_TIMEOUT_S)

    def _serve(
        self, environ: dict[str, Any], start_response: _StartResponse
    ) -> Iterable[bytes]:
        shown_page = page(
            self._source,
            method=environ['REQUEST_METHOD'],
            path=environ['PATH_INFO'],
            ready_path=READY_PATH,
        )
        start_response(
            shown_page.status,
            [
                ('Content-Type', shown_page.content_type),
                ('Content-Length', str(len(shown_page.body))),
                ('Cache-Control', 'no-store'),
            ],
        )
        if environ['REQUEST_METHOD'] == 'HEAD':
            return ()
        return (shown_page.body,)
