"""aiohttp server for the connections of `front_end`'s callers.

Malformed HTTP gets a response with the same problem details as any other
refusal. `front_end` handles well-formed requests.
"""

import asyncio
import socket
from typing import Any
from typing import Final

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from teaselrock.protocol import problem
from teaselrock.state import Refusal
from teaselrock.state import RefusalCode
from teaselrock.state import Verdict
from teaselrock.transport.accept_queue import accept_queued
from teaselrock.transport.accept_queue import FIRST_REQUEST_TIMEOUT_S

# Time for which input is read after a refused body. Closing a socket with
# unread input resets the connection, and the caller could lose the refusal.
LINGER_S: Final = 1.0
# Interval at which a stopping server checks for first requests.
FIRST_REQUEST_POLL_S: Final = 0.05

_MALFORMED_REQUEST: Final = Refusal(
    RefusalCode.BAD_REQUEST, Verdict.DID_NOT_RUN, 'malformed HTTP request'
)
# The handler may have failed after the request was sent to a server.
_INTERNAL_ERROR: Final = Refusal(
    RefusalCode.BACKEND_FAILED,
    Verdict.MAY_HAVE_RUN,
    'internal error of the gateway',
)


def refusal_response(refusal: Refusal) -> web.Response:
    """Build the HTTP response of a refusal."""
    return web.Response(
        status=problem.HTTP_STATUS[refusal.code],
        headers=problem.headers(refusal),
        body=problem.body(refusal),
    )


class _Connection(RequestHandler):
    """Connection of a caller."""

    __slots__ = ('_opened_at', '_has_received')

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._opened_at = asyncio.get_running_loop().time()
        self._has_received = False

    @property
    def expects_first_request(self) -> bool:
        """Whether the first request may still be on its way."""
        age = asyncio.get_running_loop().time() - self._opened_at
        return not self._has_received and age < FIRST_REQUEST_TIMEOUT_S

    def data_received(self, data: bytes) -> None:
        """Called by the transport with bytes that arrived."""
        self._has_received = True
        super().data_received(data)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Respond to a malformed or failed request and close."""
        if request.writer is not None and request.writer.output_size > 0:
            raise ConnectionError(
                'the response has begun, so no error can be sent'
            )
        if status >= 500:
            self.log_exception('Error handling request', exc_info=exc)
        response = refusal_response(
            _INTERNAL_ERROR if status >= 500 else _MALFORMED_REQUEST
        )
        # aiohttp omits the field if it could not parse the HTTP version.
        response.headers['Connection'] = 'close'
        response.force_close()
        return response


class CallerServer(web.Server):
    """aiohttp server that leaves compressed bodies as they are."""

    _shutdown_timeout_s: float | None = None

    def set_shutdown_timeout(self, *, seconds: float) -> None:
        """Set the longest wait for requests in progress at shutdown."""
        self._shutdown_timeout_s = seconds

    async def stop_accepting(
        self, *, site: web.SockSite, listening: socket.socket
    ) -> None:
        """Stop the site of a listening socket, and wait for first requests.

        Connections that wait to be accepted, and those without a request so
        far, are served before `shutdown` closes idle connections.
        """
        queued = accept_queued((listening,), self)
        await site.stop()
        if queued:
            await asyncio.wait(queued)
        # Connections that were accepted last are set up in later turns.
        await asyncio.sleep(FIRST_REQUEST_POLL_S)
        while any(
            connection.expects_first_request
            for connection in self.connections
            if isinstance(connection, _Connection)
        ):
            await asyncio.sleep(FIRST_REQUEST_POLL_S)

    async def shutdown(self, timeout: float | None = None) -> None:
        """Wait for the requests in progress, then close connections."""
        await super().shutdown(self._shutdown_timeout_s or timeout)

    def __call__(self) -> RequestHandler:
        """Create the protocol of a new connection."""
        return _Connection(
            self,
            loop=self._loop,
            auto_decompress=False,
            lingering_time=LINGER_S,
        )
