"""HTTP/1.1 client connections to backend servers, on httptools' parser.

Implements `BackendConnector` and `BackendConnection`; `platform.store` uses
the connections for the platform's store. No HTTP client library is used, for
two reasons: the verdict depends on whether any byte of the request was
written, and the right to send a request (a slot) is valid only for one start
of the server process, which the start id in its load report identifies.
`dialect` defines the header fields.
"""

import asyncio
import contextlib
import re
from typing import Final

from expression import Error
from expression import Ok
from expression import Result
import httptools

from teaselrock.coordination.ports import BackendConnection
from teaselrock.state import BackendResponse
from teaselrock.state import BackendServer
from teaselrock.state import ExchangeFailure
from teaselrock.state import LoadReport
from teaselrock.state import RequestContent
from teaselrock.state import ServerState
from teaselrock.state import Verdict
from teaselrock.transport import exchange_failures
from teaselrock.transport.body_parts import body_parts
from teaselrock.transport.body_parts import PART_BYTES
from teaselrock.transport.dialect import BackendDialect
from teaselrock.transport.dialect import DefaultBackendDialect
from teaselrock.transport.dialect import ResponseInfo
from teaselrock.transport.response_memory import HeldResponse
from teaselrock.transport.response_memory import ResponseMemory
from teaselrock.transport.response_parser import LOAD_CHECK_LIMITS
from teaselrock.transport.response_parser import RESPONSE_LIMITS
from teaselrock.transport.response_parser import ResponseError
from teaselrock.transport.response_parser import ResponseLimits
from teaselrock.transport.response_parser import ResponseParser
from teaselrock.transport.response_reader import open_stream
from teaselrock.transport.response_reader import READ_BYTES
from teaselrock.transport.response_reader import ResponseReader
from teaselrock.transport.response_timeout import arrival_observer
from teaselrock.transport.response_timeout import CompleteByDeadline
from teaselrock.transport.response_timeout import ResponseTimeout
from teaselrock.transport.tcp_keep_alive import enable_tcp_keep_alive

CONNECT_TIMEOUT_S: Final = 1.0
# A connection is not used in the last part of the server's idle timeout,
# since the server may close it while a request is on the way. Of a timeout
# below two seconds, which servers state in whole seconds, it is a share.
IDLE_MARGIN_S: Final = 1.0
IDLE_MARGIN_SHARE: Final = 0.5
# Late responses to earlier requests that are skipped in one exchange.
MAX_LATE_RESPONSES: Final = 2
UNKNOWN_LOAD: Final = LoadReport('', ServerState.COLD, 0, 1)

_FORBIDDEN_IN_HEADER: Final = re.compile(r'[\r\n\0]')


class HttpConnection:
    """Persistent connection that carries one exchange at a time."""

    def __init__(
        self,
        *,
        reader: ResponseReader,
        writer: asyncio.StreamWriter,
        server: BackendServer,
        dialect: BackendDialect,
        memory: ResponseMemory,
        response_timeout: ResponseTimeout,
        load: LoadReport = UNKNOWN_LOAD,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._server = server
        self._dialect = dialect
        self._memory = memory
        self._response_timeout = response_timeout
        self._load = load
        self._exchange_count = 0
        self._idle_until: float | None = None
        self._is_idle = True
        self._reader.reject_data(self.close)

    @property
    def load(self) -> LoadReport:
        """Latest load report received on this connection, or before it."""
        return self._load

    @property
    def is_open(self) -> bool:
        """Whether an exchange can start on this connection."""
        return (
            self._is_idle
            and not self._writer.is_closing()
            and not self._reader.at_eof()
            and (
                self._idle_until is None
                or asyncio.get_running_loop().time() < self._idle_until
            )
        )

    def close(self) -> None:
        """Close the connection; the server cancels a request in flight."""
        self._writer.close()

    async def check_load(
        self, *, deadline: float
    ) -> Result[LoadReport, ExchangeFailure]:
        """Request a load report; the server runs no request for it."""
        checked = await self._exchange(
            self._dialect.load_check(server=self._server),
            deadline,
            LOAD_CHECK_LIMITS,
        )
        if checked.is_error():
            return Error(checked.error._replace(verdict=Verdict.DID_NOT_RUN))
        return Ok(self._load)

    async def exchange(
        self, *, content: RequestContent, deadline: float
    ) -> Result[BackendResponse, ExchangeFailure]:
        """Send one request and read its whole response.

        The response must begin before the deadline; the connector's
        `ResponseTimeout` decides when it must be complete.
        """
        return await self._exchange(content, deadline, RESPONSE_LIMITS)

    async def _exchange(
        self, content: RequestContent, deadline: float, limits: ResponseLimits
    ) -> Result[BackendResponse, ExchangeFailure]:
        if not self.is_open:
            return Error(exchange_failures.closed_before_sent(self._server))
        if asyncio.get_running_loop().time() >= deadline:
            return Error(exchange_failures.late_before_sent(self._server))
        self._exchange_count += 1
        head = self._encode_head(content, deadline)
        if head is None:
            return Error(exchange_failures.unsendable_head(self._server))
        self._is_idle = False
        held = self._memory.open(
            server_id=self._server.server_id,
            abort=self._writer.transport.abort,
        )
        sending: asyncio.Task[None] | None = None
        try:
            async with asyncio.timeout_at(deadline) as timeout:
                self._reader.expect_data(
                    arrival_observer(
                        timeout=timeout,
                        response_timeout=self._response_timeout,
                        deadline=deadline,
                    )
                )
                if len(content.body) <= PART_BYTES:
                    self._writer.write(head + content.body)
                else:
                    self._writer.write(head)
                    sending = asyncio.create_task(self._send(content.body))
                result = await self._read_response(
                    content, limits, held, sending
                )
        except TimeoutError:
            return Error(exchange_failures.late_response(self._server))
        except (OSError, ResponseError, httptools.HttpParserError) as error:
            return Error(exchange_failures.lost_exchange(self._server, error))
        finally:
            if sending is not None:
                sending.cancel()
            held.close()
            self._reader.reject_data(self.close)
            # Without a whole response the state of the connection is
            # unknown, so it is not reused.
            if not self._is_idle:
                self.close()
        return result

    def _encode_head(
        self, content: RequestContent, deadline: float
    ) -> bytes | None:
        """Request head; None if a line break or NUL would split it."""
        remaining = deadline - asyncio.get_running_loop().time()
        lines = [f'{content.method} {content.target} HTTP/1.1']
        lines += [
            f'{name}: {value}'
            for name, value in self._dialect.request_fields(
                server=self._server,
                content=content,
                remaining=remaining,
                number=self._exchange_count,
            )
        ]
        lines.append(f'Content-Length: {len(content.body)}')
        if any(_FORBIDDEN_IN_HEADER.search(line) for line in lines):
            return None
        head = '\r\n'.join(lines) + '\r\n\r\n'
        # The same error handler as where the callers' fields are decoded,
        # so that their bytes stay the same.
        return head.encode('utf-8', 'surrogateescape')

    async def _send(self, body: bytes | bytearray) -> None:
        """Send a large body in parts, so that no copy of it is buffered."""
        with contextlib.suppress(OSError):
            for part in body_parts(body):
                self._writer.write(part)
                # A lost connection is reported where the response is read.
                await self._writer.drain()

    async def _read_response(
        self,
        content: RequestContent,
        limits: ResponseLimits,
        held: HeldResponse,
        sending: asyncio.Task[None] | None,
    ) -> Result[BackendResponse, ExchangeFailure]:
        """Read until the response to `content`.

        Late responses to earlier requests may come first; nothing waits for
        them any more, so they are skipped.
        """
        unparsed = b''
        for skipped in range(MAX_LATE_RESPONSES + 1):
            with contextlib.closing(
                ResponseParser(method=content.method, limits=limits)
            ) as response:
                failure = await self._receive(response, unparsed, held)
                if failure is not None:
                    return Error(failure)
                read = self._dialect.interpret(
                    server=self._server,
                    content=content,
                    response=response,
                    number=self._exchange_count,
                )
                trailing_data = response.trailing_data
                if (
                    not read.is_late
                    or trailing_data is None
                    or skipped == MAX_LATE_RESPONSES
                ):
                    return self._conclude(response, read, sending)
                unparsed = trailing_data
        raise AssertionError('the last response is always evaluated')

    def _conclude(
        self,
        response: ResponseParser,
        read: ResponseInfo,
        sending: asyncio.Task[None] | None,
    ) -> Result[BackendResponse, ExchangeFailure]:
        """Result of an exchange, and whether another one may follow."""
        # If the response came before the whole request was sent, the
        # connection is not reused.
        is_sent = (
            sending is None or sending.done()
        ) and self._writer.transport.get_write_buffer_size() == 0
        self._is_idle = (
            response.is_reusable
            and read.proves_order
            and is_sent
            and self._reader.unread_bytes == 0
        )
        if read.idle_timeout is not None:
            now = asyncio.get_running_loop().time()
            self._idle_until = now + _usable_idle_time(read.idle_timeout)
        if read.load is not None:
            self._load = read.load
        if read.failure is not None:
            if read.failure.verdict is not Verdict.DID_NOT_RUN:
                self._is_idle = False
            return Error(read.failure)
        return Ok(
            BackendResponse(
                response.status,
                self._dialect.response_fields(response=response),
                response.body,
                read.load,
            )
        )

    async def _receive(
        self, response: ResponseParser, data: bytes, held: HeldResponse
    ) -> ExchangeFailure | None:
        """Read one response, while the transport still sends the request.

        A server may respond, and close, before it has read a large body.
        `data` holds bytes that were read after the previous response.
        """
        while True:
            if data:
                response.feed(data)
            if response.is_too_large:
                return exchange_failures.too_large_response(
                    self._server, response.limits.body
                )
            if response.is_complete:
                return None
            data = await self._reader.read(READ_BYTES)
            held.add(len(data))
            if held.is_dropped:
                raise ResponseError(
                    'responses under way exceed the memory for them'
                )
            if not data:
                if (
                    self._dialect.accepts_close_delimited
                    and response.is_close_delimited
                ):
                    return None
                return exchange_failures.incomplete_response(response.status)


def _usable_idle_time(idle_timeout: float) -> float:
    """Seconds for which an idle connection may be used, of the timeout."""
    margin = min(IDLE_MARGIN_S, IDLE_MARGIN_SHARE * idle_timeout)
    return idle_timeout - margin


class HttpConnector:
    """Opens connections; reads a load report first if the dialect has one."""

    def __init__(
        self,
        *,
        dialect: BackendDialect | None = None,
        memory: ResponseMemory | None = None,
        response_timeout: ResponseTimeout | None = None,
    ) -> None:
        self._dialect = dialect or DefaultBackendDialect()
        self._memory = memory or ResponseMemory()
        self._response_timeout = response_timeout or CompleteByDeadline()

    async def connect(
        self, *, server: BackendServer, deadline: float
    ) -> Result[BackendConnection, ExchangeFailure]:
        """Connect, and read a load report if the dialect requires one.

        Connecting and the load report each take up to `CONNECT_TIMEOUT_S`,
        within the deadline. If the server closes the connection after the
        report, another one is opened and keeps that report.
        """
        opened = await self.connect_unchecked(server=server, deadline=deadline)
        if opened.is_error():
            return Error(opened.error)
        connection = opened.ok
        if not self._dialect.requires_load_on_connect:
            return Ok(connection)
        loop = asyncio.get_running_loop()
        connect_deadline = min(deadline, loop.time() + CONNECT_TIMEOUT_S)
        try:
            checked = await connection.check_load(deadline=connect_deadline)
        except asyncio.CancelledError:
            connection.close()
            raise
        if checked.is_error() or connection.load.start_id == '':
            connection.close()
            return Error(
                exchange_failures.connect_failure(
                    server, 'no valid load report'
                )
            )
        if connection.is_open:
            return Ok(connection)
        connection.close()
        return await self._open(server, deadline, connection.load)

    async def connect_unchecked(
        self, *, server: BackendServer, deadline: float
    ) -> Result[HttpConnection, ExchangeFailure]:
        """Connect without reading a load report."""
        return await self._open(server, deadline, UNKNOWN_LOAD)

    async def _open(
        self, server: BackendServer, deadline: float, load: LoadReport
    ) -> Result[HttpConnection, ExchangeFailure]:
        host, _, port = server.address.rpartition(':')
        loop = asyncio.get_running_loop()
        connect_deadline = min(deadline, loop.time() + CONNECT_TIMEOUT_S)
        try:
            async with asyncio.timeout_at(connect_deadline):
                reader, writer = await open_stream(host, int(port))
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            # The last two: no valid port in an address of another writer.
            return Error(
                exchange_failures.connect_failure(
                    server, str(error) or 'timed out'
                )
            )
        enable_tcp_keep_alive(writer)
        return Ok(
            HttpConnection(
                reader=reader,
                writer=writer,
                server=server,
                dialect=self._dialect,
                memory=self._memory,
                response_timeout=self._response_timeout,
                load=load,
            )
        )
