"""HTTP server connections on asyncio streams, with one task for each.

They serve callers and operators. Pipelined requests are served concurrently,
and the responses are sent in the order of the requests. When a client
disconnects, its requests are cancelled. `routed_front_end` and
`operators_listener` handle the requests, and `caller_listener` accepts the
connections.
"""

import asyncio
from collections import deque
from collections.abc import Callable
import http
from typing import Final
from typing import NamedTuple
from typing import Protocol

from teaselrock.state.routes import CallerLimits
from teaselrock.transport.accept_queue import FIRST_REQUEST_TIMEOUT_S
from teaselrock.transport.body_parts import body_parts
from teaselrock.transport.caller_limits import CallerLimit
from teaselrock.transport.caller_limits import CallerLimitObserver
from teaselrock.transport.caller_limits import SMALL_CHUNKS_READ_BYTES
from teaselrock.transport.caller_reader import CallerReader
from teaselrock.transport.connection_table import ConnectionTable
from teaselrock.transport.lingering_close import LastResponse
from teaselrock.transport.lingering_close import linger
from teaselrock.transport.request_memory import RequestMemory
from teaselrock.transport.request_parser import CallerRequest
from teaselrock.transport.request_parser import RequestError
from teaselrock.transport.request_parser import RequestParser
from teaselrock.transport.unread_responses import UnreadResponses

READ_BYTES: Final = 65536
# Requests of one connection that are served concurrently.
MAX_PIPELINED_REQUESTS: Final = 16
# A caller that does not read its response within this time is disconnected.
WRITE_TIMEOUT_S: Final = 10.0
# Least number of bytes after which input is no longer discarded.
MIN_LINGER_BYTES: Final = 1024 * 1024
_BODILESS_STATUSES: Final = frozenset({204, 304})


class CallerResponse(NamedTuple):
    """A response to a caller."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | bytearray = b''


class RequestHandler(Protocol):
    """Handles the requests of callers' connections."""

    @property
    def limits(self) -> CallerLimits:
        """Current size and time limits of requests."""
        ...

    def may_pipeline(self, request: CallerRequest) -> bool:
        """Whether the request may start before earlier responses are sent."""
        ...

    def time_limit(self, request: CallerRequest) -> float:
        """Seconds from the head of a request to its response at most."""
        ...

    async def serve(self, request: CallerRequest) -> CallerResponse:
        """Serve one request; raises nothing except on cancellation."""
        ...

    def error_response(self, error: RequestError) -> CallerResponse:
        """Response to a request that could not be parsed."""
        ...


class _RequestPart(NamedTuple):
    """Head or body of a request, which `number` counts."""

    number: int
    is_body: bool

    @property
    def name(self) -> str:
        """Name of the part in messages."""
        return 'body' if self.is_body else 'head'


class _PendingRequest(NamedTuple):
    """A request that is served; its body belongs to the task alone."""

    is_head: bool
    keep_alive: bool
    response: asyncio.Task[CallerResponse]


class CallerConnection:
    """One connection of a caller."""

    def __init__(
        self,
        *,
        reader: CallerReader,
        writer: asyncio.StreamWriter,
        handler: RequestHandler,
        memory: RequestMemory,
        observer: CallerLimitObserver,
        table: 'ConnectionTable[CallerConnection]',
        unread_responses: UnreadResponses,
        is_closing: Callable[[], bool],
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._handler = handler
        self._observer = observer
        self._table = table
        self._is_closing = is_closing
        self._unread = unread_responses.open(abort=writer.transport.abort)
        self._parser = RequestParser(limits=handler.limits, memory=memory)
        self._pending: deque[_PendingRequest] = deque()
        # Set when a request or an error is pending.
        self._response_expected = asyncio.Event()
        self._response_written = asyncio.Event()
        self._error: RequestError | None = None
        # Scope in which requests are read; `_end_reading` ends it by expiry.
        self._reading: asyncio.Timeout | None = None
        # Whether no further request may start, since the last response has
        # begun or the connection was idle.
        self._is_ending = False
        # Whether the first pending response is being written.
        self._is_writing = False
        self._last_response = LastResponse()
        self._opened_at = asyncio.get_running_loop().time()
        self._has_received = False
        # The head or body that is being read, and the time that reading it
        # has taken, in seconds.
        self._timed_part = _RequestPart(0, is_body=False)
        self._part_read_s = 0.0
        self._body_time_limit = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received, served or expected soon."""
        return (
            not self._pending
            and not self._parser.is_in_request
            and (self._has_received or self._age >= FIRST_REQUEST_TIMEOUT_S)
        )

    @property
    def _accepts_requests(self) -> bool:
        """Whether further requests may start.

        At a stop the last pending response ends the connection, unless it is
        already being written and did not say so.
        """
        if self._is_ending or self._writer.is_closing():
            return False
        unwritten = len(self._pending) - self._is_writing
        return not (self._is_closing() and unwritten > 0)

    @property
    def _age(self) -> float:
        """Seconds since the connection was accepted."""
        return asyncio.get_running_loop().time() - self._opened_at

    def abort(self) -> None:
        """Close the connection at once and discard unsent data."""
        self._writer.transport.abort()

    def close_idle(self) -> None:
        """Close the connection if it is idle."""
        if self.is_idle:
            self._end_reading()

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            await self._serve_requests()
            await self._linger()
        except OSError:
            # The caller disconnected.
            pass
        finally:
            self._reader.close()
            self._writer.close()

    async def _serve_requests(self) -> None:
        """Read and serve requests until no further response may be sent.

        The requests that are still served then are cancelled: the caller has
        disconnected, or sends them again.
        """
        writer_task = asyncio.create_task(self._write_responses())
        try:
            try:
                await self._read_requests()
            finally:
                # An incomplete request is not kept until the connection ends.
                self._parser.close()
            if self._error is not None:
                if self._error.limit is not None:
                    self._observer.on_caller_limit(
                        limit=self._error.limit, detail=str(self._error)
                    )
                self._response_expected.set()
                await writer_task
        finally:
            writer_task.cancel()
            for pending in self._pending:
                pending.response.cancel()
            await asyncio.gather(
                writer_task,
                *(pending.response for pending in self._pending),
                return_exceptions=True,
            )
            self._pending.clear()
            self._unread.close()
            self._table.end_service(self)

    async def _linger(self) -> None:
        """End the responses, and wait until the connection may be closed.

        Input is discarded up to twice a largest body.
        """
        if self._writer.is_closing():
            return
        remaining_bytes = max(
            2 * self._handler.limits.max_body_bytes, MIN_LINGER_BYTES
        )

        async def discard_input() -> None:
            nonlocal remaining_bytes
            while remaining_bytes > 0:
                data = await self._reader.read(READ_BYTES)
                if not data:
                    return
                remaining_bytes -= len(data)

        await linger(
            self._writer.transport,
            discard_input=discard_input,
            seconds=self._last_response.linger_s,
        )

    def _end_reading(self) -> None:
        """Read no more requests; `run` then ends the connection."""
        self._is_ending = True
        reading, self._reading = self._reading, None
        if reading is not None:
            reading.reschedule(asyncio.get_running_loop().time())

    async def _read_requests(self) -> None:
        """Read until the caller closes, an error, or `_end_reading`."""
        if self._is_ending:
            return
        try:
            async with asyncio.timeout(None) as self._reading:
                while not self._writer.is_closing():
                    if not await self._read_once():
                        return
        except TimeoutError:
            # `_end_reading` was called.
            return
        finally:
            self._reading = None

    async def _read_once(self) -> bool:
        """Read, and start what is complete; False if nothing may follow.

        A method of its own, since no variable may keep bytes or requests
        until more is read.
        """
        self._parser.set_limits(self._handler.limits)
        data = await self._read()
        if not data:
            return False
        if self._is_ending:
            # Callers send again what follows the last response.
            return True
        self._has_received = True
        try:
            requests = self._parser.feed(data)
        except RequestError as error:
            await self._start_requests(self._parser.take_complete_requests())
            self._error = error
            return False
        if self._parser.take_expect_continue():
            self._writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        await self._start_requests(requests)
        if self._parser.has_small_parts:
            await asyncio.sleep(0)
        return True

    async def _read(self) -> bytes:
        """Read within the time limits; b'' if the connection has to end."""
        limits = self._handler.limits
        if self._parser.is_in_request:
            return await self._read_part(limits)
        while True:
            try:
                async with asyncio.timeout(limits.idle_timeout):
                    return await self._reader.read(READ_BYTES)
            except TimeoutError:
                if not self._pending:
                    return b''

    async def _read_part(self, limits: CallerLimits) -> bytes:
        """Read more of a head or body; b'' if it takes too long.

        All reads of one part share its time limit. Time in which nothing is
        read, since earlier requests have to end first, does not count.
        """
        part = _RequestPart(
            self._parser.requests_begun, self._parser.is_in_body
        )
        if part != self._timed_part:
            self._timed_part = part
            self._part_read_s = 0.0
            if part.is_body:
                self._body_time_limit = self._handler.time_limit(
                    self._parser.incomplete_request
                )
        time_limit = (
            self._body_time_limit if part.is_body else limits.head_timeout
        )
        remaining = max(0.0, time_limit - self._part_read_s)
        if part.is_body:
            remaining = min(remaining, limits.idle_timeout)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            async with asyncio.timeout(remaining):
                return await self._reader.read(
                    SMALL_CHUNKS_READ_BYTES
                    if self._parser.has_small_parts
                    else READ_BYTES
                )
        except TimeoutError:
            self._error = RequestError(
                status=408,
                detail=f'request {part.name} was not complete in time, '
                f'{time_limit:g} s',
                limit=CallerLimit.BODY_TIME if part.is_body else None,
            )
            return b''
        finally:
            self._part_read_s += loop.time() - started_at

    async def _start_requests(self, requests: list[CallerRequest]) -> None:
        """Start to serve requests in their order."""
        waiting = deque(requests)
        try:
            while waiting and await self._may_start(waiting[0]):
                self._start(waiting.popleft())
        finally:
            for request in waiting:
                request.hold.release()

    async def _may_start(self, request: CallerRequest) -> bool:
        """Wait until a request may start; False if the connection closes.

        Callers repeat requests that they sent after the one whose response
        closed the connection. A request that must not run twice therefore
        starts only after all earlier responses are written.
        """
        while self._accepts_requests and (
            len(self._pending) >= MAX_PIPELINED_REQUESTS
            or (self._pending and not self._handler.may_pipeline(request))
        ):
            self._response_written.clear()
            await self._response_written.wait()
        return self._accepts_requests

    def _start(self, request: CallerRequest) -> None:
        task = asyncio.create_task(self._serve(request))
        hold = request.hold
        task.add_done_callback(lambda _: hold.release())
        self._table.begin_service(self)
        self._pending.append(
            _PendingRequest(request.method == 'HEAD', request.keep_alive, task)
        )
        self._response_expected.set()

    async def _serve(self, request: CallerRequest) -> CallerResponse:
        response = await self._handler.serve(request)
        self._unread.add(len(response.body))
        return response

    async def _write_responses(self) -> None:
        """Write responses in the order of their requests."""
        may_continue = True
        while may_continue:
            while not self._pending:
                if self._error is not None:
                    response = self._handler.error_response(self._error)
                    self._unread.add(len(response.body))
                    await self._write(response, is_head=False, closes=True)
                    return
                self._response_expected.clear()
                await self._response_expected.wait()
            may_continue = await self._write_next_response()
        self._end_reading()

    async def _write_next_response(self) -> bool:
        """Write the first pending response; False if it was the last one.

        A method of its own, since no variable may keep the response while
        the connection is idle.
        """
        pending = self._pending[0]
        response = await pending.response
        closes = not pending.keep_alive or (
            self._is_closing() and len(self._pending) == 1
        )
        self._is_ending = self._is_ending or closes
        self._is_writing = True
        try:
            await self._write(response, is_head=pending.is_head, closes=closes)
        finally:
            self._response_written.set()
        self._is_writing = False
        self._pending.popleft()
        if not self._pending:
            self._table.end_service(self)
        return not closes

    async def _write(
        self, response: CallerResponse, *, is_head: bool, closes: bool
    ) -> None:
        head = encode_head(response, is_head=is_head, closes=closes)
        parts = body_parts(b'' if is_head else response.body)
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                # The head goes with the first part, which saves a packet.
                self._writer.write(head + next(parts, b''))
                await self._writer.drain()
                for part in parts:
                    self._writer.write(part)
                    await self._writer.drain()
            self._last_response.record(announces_end=closes)
        except (OSError, TimeoutError) as error:
            self._writer.transport.abort()
            # A future in `drain` and the traceback refer to each other, and
            # would keep the response until the next collection.
            error.__traceback__ = None
            raise
        # The body is held until its last part is written.
        self._unread.remove(len(response.body))


def encode_head(
    response: CallerResponse, *, is_head: bool, closes: bool
) -> bytes:
    """Encode the head of a response as HTTP/1.1."""
    try:
        phrase = http.HTTPStatus(response.status).phrase
    except ValueError:
        phrase = ''
    lines = [f'HTTP/1.1 {response.status} {phrase}']
    lines += [f'{name}: {value}' for name, value in response.headers]
    if not is_head and response.status not in _BODILESS_STATUSES:
        lines.append(f'Content-Length: {len(response.body)}')
    if closes:
        lines.append('Connection: close')
    head = '\r\n'.join(lines) + '\r\n\r\n'
    return head.encode('utf-8', 'surrogateescape')
