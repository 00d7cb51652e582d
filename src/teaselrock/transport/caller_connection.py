"""Callers' connections on asyncio streams: one task for each connection.

Requests that a caller sends without waiting are served at the same time and
answered in their order. When the caller leaves, what it asked for is
cancelled. `routed_front_end` serves the requests.
"""

import asyncio
from collections import deque
from collections.abc import Callable
import http
from typing import Final
from typing import NamedTuple
from typing import Protocol

from teaselrock.state.routes import CallerLimits
from teaselrock.transport.request_parser import CallerRequest
from teaselrock.transport.request_parser import RequestError
from teaselrock.transport.request_parser import RequestParser

READ_BYTES: Final = 65536
# Requests of one connection that are served at the same time.
MAX_PIPELINED: Final = 16
# A caller that does not take its answer within this time is cut off.
WRITE_TIMEOUT_S: Final = 10.0
# Time to read on after the answer to a request that could not be read.
LINGER_S: Final = 1.0
# Connections that wait to be accepted.
BACKLOG: Final = 512
# How often a stopping port looks for connections that became idle.
CLOSE_POLL_S: Final = 0.05
_NO_BODY: Final = frozenset({204, 304})


class CallerResponse(NamedTuple):
    """An answer to a caller."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes = b''


class RequestHandler(Protocol):
    """Serves requests of callers' connections."""

    @property
    def limits(self) -> CallerLimits:
        """Limits in force."""
        ...

    def may_pipeline(self, request: CallerRequest) -> bool:
        """Whether the request may start before earlier answers are sent."""
        ...

    async def serve(self, request: CallerRequest) -> CallerResponse:
        """Serve one request; never raises but for cancellation."""
        ...

    def error_response(self, error: RequestError) -> CallerResponse:
        """Answer to a request that could not be read."""
        ...


class _Pending(NamedTuple):
    request: CallerRequest
    answer: asyncio.Task[CallerResponse]


class CallerConnection:
    """One caller's connection."""

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handler: RequestHandler,
        is_closing: Callable[[], bool],
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._handler = handler
        self._is_closing = is_closing
        self._parser = RequestParser(limits=handler.limits)
        self._pending: deque[_Pending] = deque()
        self._changed = asyncio.Event()
        self._answered = asyncio.Event()
        self._problem: RequestError | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request has begun."""
        return not self._pending and not self._parser.is_in_request

    def abort(self) -> None:
        """Cut the connection."""
        self._writer.transport.abort()

    def close_idle(self) -> None:
        """Close if no request has begun."""
        if self.is_idle:
            self._writer.close()

    async def run(self) -> None:
        """Serve until either side closes."""
        writing = asyncio.create_task(self._write_answers())
        try:
            await self._read_requests()
            if self._problem is not None:
                self._changed.set()
                await writing
                await self._linger()
        except OSError:
            # The caller is gone; what it asked for is cancelled below.
            pass
        finally:
            writing.cancel()
            for pending in self._pending:
                pending.answer.cancel()
            await asyncio.gather(
                writing,
                *(pending.answer for pending in self._pending),
                return_exceptions=True,
            )
            self._writer.close()

    async def _linger(self) -> None:
        """Drop what still arrives, so that the answer is not reset."""
        self._writer.write_eof()
        try:
            async with asyncio.timeout(LINGER_S):
                while await self._reader.read(READ_BYTES):
                    pass
        except TimeoutError:
            # The caller keeps sending; the reset is its own doing.
            return

    async def _read_requests(self) -> None:
        """Read until the caller leaves, a problem, or the last answer."""
        while not self._writer.is_closing():
            self._parser.set_limits(self._handler.limits)
            data = await self._read()
            if not data:
                return
            try:
                requests = self._parser.feed(data)
            except RequestError as problem:
                for request in self._parser.take_complete():
                    await self._begin(request)
                self._problem = problem
                return
            if self._parser.take_continue():
                self._writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
            for request in requests:
                await self._begin(request)

    async def _read(self) -> bytes:
        """Read within the time limits; b'' ends the connection."""
        limits = self._handler.limits
        if self._parser.is_in_head:
            try:
                async with asyncio.timeout(limits.head_timeout):
                    return await self._reader.read(READ_BYTES)
            except TimeoutError:
                self._problem = RequestError(
                    status=408, detail='the head did not arrive in time'
                )
                return b''
        while True:
            try:
                async with asyncio.timeout(limits.idle_timeout):
                    return await self._reader.read(READ_BYTES)
            except TimeoutError:
                if not self._pending:
                    return b''

    async def _begin(self, request: CallerRequest) -> None:
        """Start to serve a request, in turn where it has to wait.

        Callers send again what they sent behind an answer that closes.
        """
        while not self._writer.is_closing() and (
            len(self._pending) >= MAX_PIPELINED
            or (self._pending and not self._handler.may_pipeline(request))
        ):
            self._answered.clear()
            await self._answered.wait()
        if self._writer.is_closing():
            return
        task = asyncio.create_task(self._handler.serve(request))
        self._pending.append(_Pending(request, task))
        self._changed.set()

    async def _write_answers(self) -> None:
        """Write answers in the order of their requests."""
        while True:
            while not self._pending:
                if self._problem is not None:
                    await self._write(
                        self._handler.error_response(self._problem), None, True
                    )
                    return
                self._changed.clear()
                await self._changed.wait()
            pending = self._pending[0]
            answer = await pending.answer
            closes = not pending.request.keep_alive or (
                self._is_closing() and len(self._pending) == 1
            )
            try:
                await self._write(answer, pending.request, closes)
            finally:
                self._answered.set()
            self._pending.popleft()
            if closes:
                self._writer.close()
                return

    async def _write(
        self,
        answer: CallerResponse,
        request: CallerRequest | None,
        closes: bool,
    ) -> None:
        is_head = request is not None and request.method == 'HEAD'
        self._writer.write(encode(answer, is_head=is_head, closes=closes))
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await self._writer.drain()
        except (OSError, TimeoutError):
            self._writer.transport.abort()
            raise


def encode(answer: CallerResponse, *, is_head: bool, closes: bool) -> bytes:
    """Bytes of an answer."""
    try:
        phrase = http.HTTPStatus(answer.status).phrase
    except ValueError:
        phrase = ''
    lines = [f'HTTP/1.1 {answer.status} {phrase}']
    lines += [f'{name}: {value}' for name, value in answer.headers]
    if not is_head and answer.status not in _NO_BODY:
        lines.append(f'Content-Length: {len(answer.body)}')
    if closes:
        lines.append('Connection: close')
    head = '\r\n'.join(lines) + '\r\n\r\n'
    body = b'' if is_head else answer.body
    return head.encode('utf-8', 'surrogateescape') + body


class CallerListener:
    """Accepts callers' connections."""

    def __init__(self, *, handler: RequestHandler) -> None:
        self._handler = handler
        self._connections: set[CallerConnection] = set()
        self._is_closing = False
        self._server: asyncio.Server | None = None

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._connections)

    @property
    def address(self) -> tuple[str, int] | None:
        """Address that the port listens on."""
        if self._server is None or not self._server.sockets:
            return None
        host, port = self._server.sockets[0].getsockname()[:2]
        return str(host), int(port)

    async def start(self, *, host: str, port: int) -> None:
        """Listen; `OSError` if the address cannot be bound."""
        self._server = await asyncio.start_server(
            self._accept, host, port, backlog=BACKLOG
        )

    def begin_close(self) -> None:
        """End each connection with its next answer."""
        self._is_closing = True

    def stop_accepting(self) -> None:
        """Close the port and idle connections."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            connection.close_idle()

    async def wait_closed(self, *, limit: float) -> None:
        """Wait up to `limit` seconds for requests in progress."""
        loop = asyncio.get_running_loop()
        until = loop.time() + limit
        while self._connections and loop.time() < until:
            for connection in tuple(self._connections):
                connection.close_idle()
            await asyncio.sleep(CLOSE_POLL_S)
        for connection in tuple(self._connections):
            connection.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = CallerConnection(
            reader=reader,
            writer=writer,
            handler=self._handler,
            is_closing=lambda: self._is_closing,
        )
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)
