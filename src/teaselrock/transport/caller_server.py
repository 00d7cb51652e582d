"""aiohttp server for the connections of `front_end`'s callers.

Malformed HTTP gets a response with the same problem details as any other
refusal. `front_end` handles well-formed requests.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import socket
from typing import Any
from typing import cast
from typing import Final

from aiohttp import Payload
from aiohttp import StreamReader
from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.web_protocol import RequestHandler

from teaselrock.protocol import problem
from teaselrock.state import Refusal
from teaselrock.state import RefusalCode
from teaselrock.state import Verdict
from teaselrock.transport.accept_queue import accept_queued
from teaselrock.transport.accept_queue import FIRST_REQUEST_TIMEOUT_S
from teaselrock.transport.body_parts import body_parts
from teaselrock.transport.caller_limits import CallerLimit
from teaselrock.transport.caller_limits import CallerLimitObserver
from teaselrock.transport.caller_limits import MAX_FRAMING_BYTES
from teaselrock.transport.caller_limits import NoCallerLimitObserver
from teaselrock.transport.caller_limits import SMALL_CHUNKS_READ_BYTES
from teaselrock.transport.caller_reader import READ_AHEAD_BYTES
from teaselrock.transport.caller_reader import RECEIVE_BYTES
from teaselrock.transport.connection_table import ConnectionTable
from teaselrock.transport.connection_table import DEFAULT_LIMIT
from teaselrock.transport.lingering_close import LastResponse
from teaselrock.transport.lingering_close import LINGER_S
from teaselrock.transport.lingering_transport import LingeringTransport
from teaselrock.transport.request_memory import HeldRequest
from teaselrock.transport.request_memory import RequestMemory
from teaselrock.transport.unread_responses import UnreadBytes
from teaselrock.transport.unread_responses import UnreadResponses

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


class LargeBody(Payload):
    """Body of a response that is written in parts.

    aiohttp writes bytes at once, and copies them if they come from a file.
    """

    _value: bytes | bytearray

    def __init__(self, value: bytes | bytearray) -> None:
        super().__init__(value)
        self._size = len(value)

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write all parts, each after most of those before were read."""
        for part in body_parts(self._value):
            await writer.write(part)
            await writer.drain()

    def decode(self, encoding: str = 'utf-8', errors: str = 'strict') -> str:
        """Return the body as text."""
        return self._value.decode(encoding, errors)


def count_read_ahead(http_request: web.BaseRequest) -> None:
    """Account for what a caller sends until the response to its request.

    The body of the request has been read.
    """
    _connection(http_request).begin_read_ahead()


def _connection(http_request: web.BaseRequest) -> '_Connection':
    """Connection of a request; raises `TypeError` if it has another kind."""
    connection = http_request.protocol
    if not isinstance(connection, _Connection):
        raise TypeError('the request came to another kind of server')
    return connection


class _Connection(RequestHandler, asyncio.BufferedProtocol):
    """Connection of a caller; receives like `caller_reader`'s protocol."""

    __slots__ = (
        '_body',
        '_body_wire_bytes',
        '_buffer',
        '_has_received',
        '_held',
        '_is_reading_ahead',
        '_last_response',
        '_lingering',
        '_observer',
        '_opened_at',
        '_unread',
        '_unread_responses',
    )

    def __init__(
        self,
        *arguments: Any,
        buffer: bytearray,
        held: HeldRequest,
        unread_responses: UnreadResponses,
        observer: CallerLimitObserver,
        **options: Any,
    ) -> None:
        super().__init__(*arguments, **options)
        self._buffer = buffer
        self._held = held
        self._unread_responses = unread_responses
        self._unread: UnreadBytes | None = None
        self._observer = observer
        self._is_reading_ahead = False
        # Body of the current request, and the bytes that came for it.
        self._body: StreamReader | None = None
        self._body_wire_bytes = 0
        self._opened_at = asyncio.get_running_loop().time()
        self._has_received = False
        self._last_response = LastResponse()
        self._lingering: LingeringTransport | None = None

    def begin_body(self, body: StreamReader) -> None:
        """Limit the framing of a body that is received from now on."""
        self._body = body
        self._body_wire_bytes = body.total_bytes

    @property
    def _framing_bytes(self) -> int:
        """Bytes that came for the current body and are no content of it.

        Content that is not parsed yet counts too, up to one receive call.
        """
        if self._body is None or self._body.is_eof():
            return 0
        return self._body_wire_bytes - self._body.total_bytes

    def begin_read_ahead(self) -> None:
        """Account for received bytes from now on; the body is complete."""
        self._held.end_fine_chunks()
        self._is_reading_ahead = True

    def end_read_ahead(self) -> None:
        """Release these bytes; they are parsed now."""
        self._is_reading_ahead = False
        self._held.end_fine_chunks()
        self._held.resize(0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the transport at the beginning."""
        stream = cast(asyncio.Transport, transport)
        self._lingering = LingeringTransport(
            transport=stream, last_response=self._last_response
        )
        super().connection_made(cast(asyncio.Transport, self._lingering))
        self._unread = self._unread_responses.open(abort=stream.abort)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Called by the transport at the end."""
        self._held.release()
        if self._lingering is not None:
            self._lingering.stop_waiting()
            self._lingering = None
        if self._unread is not None:
            self._unread.close()
        super().connection_lost(exc)

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send a response, which counts as unread until its last part.

        Called by aiohttp; the result tells whether the caller disconnected.
        """
        size = _body_size(resp)
        if self._unread is not None:
            self._unread.add(size)
        try:
            result = await super().finish_response(request, resp, start_time)
            self._last_response.record(announces_end=not resp.keep_alive)
            return result
        finally:
            if self._unread is not None:
                self._unread.remove(size)
            if isinstance(resp, web.Response):
                # aiohttp refers to the response until the next request.
                resp.body = None

    def get_buffer(self, sizehint: int) -> Any:
        """Return the buffer to receive into, or a part of it."""
        if self._framing_bytes > RECEIVE_BYTES:
            return memoryview(self._buffer)[:SMALL_CHUNKS_READ_BYTES]
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Called by the transport with the number of bytes received."""
        if self._lingering is not None and self._lingering.is_lingering:
            self._lingering.discard(nbytes)
            return
        if self._is_reading_ahead and not self._held.resize(
            self._held.size + nbytes
        ):
            self._observer.on_caller_limit(
                limit=CallerLimit.MEMORY,
                detail='requests that were sent ahead have no room',
            )
            self.abort()
            return
        body = self._body
        if body is not None and not body.is_eof():
            self._body_wire_bytes += nbytes
        self.data_received(bytes(memoryview(self._buffer)[:nbytes]))
        if (
            body is not None
            and self._framing_bytes > MAX_FRAMING_BYTES + body.total_bytes
            and not self._held.allow_fine_chunks()
        ):
            self._observer.on_caller_limit(
                limit=CallerLimit.CHUNK_FRAMING,
                detail='too many bodies in small chunks are being received',
            )
            self.abort()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._lingering is not None:
            self._lingering.abort()

    async def wait_closed(self) -> None:
        """Wait until a close that has begun is complete."""
        if self._lingering is not None:
            await self._lingering.wait_closed()

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


Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def _body_size(response: web.StreamResponse) -> int:
    """Size of a response's body in bytes."""
    body = response.body if isinstance(response, web.Response) else None
    if isinstance(body, Payload):
        return body.size or 0
    return len(body or b'')


class CallerServer(web.Server):
    """aiohttp server that leaves compressed bodies as they are.

    A request is cancelled when its caller disconnects.
    """

    _shutdown_timeout_s: float | None = None

    def __init__(
        self,
        handler: Handler,
        *,
        memory: RequestMemory | None = None,
        unread_responses: UnreadResponses | None = None,
        observer: CallerLimitObserver = NoCallerLimitObserver(),
        max_connections: int = DEFAULT_LIMIT,
    ) -> None:
        super().__init__(self._handle, handler_cancellation=True)
        self._table: ConnectionTable[_Connection] = ConnectionTable(
            limit=max_connections, observer=observer
        )
        self._handler = handler
        self._memory = memory or RequestMemory()
        self._unread_responses = unread_responses or UnreadResponses(
            observer=observer
        )
        self._observer = observer
        # All connections receive into this buffer, one after the other.
        self._receive_buffer = bytearray(RECEIVE_BYTES)

    async def _handle(
        self, http_request: web.BaseRequest
    ) -> web.StreamResponse:
        connection = _connection(http_request)
        connection.begin_body(http_request.content)
        self._table.begin_service(connection)
        try:
            return await self._handler(http_request)
        finally:
            connection.end_read_ahead()
            self._table.end_service(connection)

    def connection_made(
        self, handler: RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Called by a new connection."""
        super().connection_made(handler, transport)
        if isinstance(handler, _Connection):
            self._table.add(handler)

    def connection_lost(
        self, handler: RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Called by a connection that has ended."""
        if isinstance(handler, _Connection):
            self._table.remove(handler)
        super().connection_lost(handler, exc)

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
        """Wait for the requests in progress, then close connections.

        Callers that read their last responses slowly have as much time again.
        """
        connections = tuple(self._table)
        limit = self._shutdown_timeout_s or timeout
        await super().shutdown(limit)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit):
                for connection in connections:
                    await connection.wait_closed()

    def __call__(self) -> RequestHandler:
        """Create the protocol of a new connection."""
        return _Connection(
            self,
            loop=self._loop,
            auto_decompress=False,
            lingering_time=LINGER_S,
            read_bufsize=READ_AHEAD_BYTES,
            buffer=self._receive_buffer,
            held=self._memory.open(),
            unread_responses=self._unread_responses,
            observer=self._observer,
        )
