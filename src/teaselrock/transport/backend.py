"""HTTP/1.1 connections to backend servers, on httptools' parser.

A connection of our own is needed for two reasons: the verdict depends on
whether any byte was handed to the connection, and a slot is bound to the
start id that the connection opened with. `dialect` knows the fields.
"""

import asyncio
import re
from typing import Final

from expression import Error
from expression import Ok
from expression import Result
import httptools

from teaselrock.coordination.ports import BackendConnection
from teaselrock.state import Answer
from teaselrock.state import BackendServer
from teaselrock.state import Content
from teaselrock.state import ExchangeFailure
from teaselrock.state import FailureKind
from teaselrock.state import LoadReport
from teaselrock.state import ServerState
from teaselrock.state import Verdict
from teaselrock.transport.dialect import BackendDialect
from teaselrock.transport.dialect import DefaultBackendDialect
from teaselrock.transport.response_parser import MAX_BODY_BYTES
from teaselrock.transport.response_parser import ResponseError
from teaselrock.transport.response_parser import ResponseParser
from teaselrock.transport.sockets import keep_alive

READ_BYTES: Final = 65536
CONNECT_TIMEOUT_S: Final = 1.0
# A connection is not used in the last part of the server's idle limit, since
# the server may close it while the request is under way.
IDLE_MARGIN_S: Final = 1.0
# Answers to earlier requests that may precede the one that is waited for.
MAX_MISMATCHED_RESPONSES: Final = 2
UNKNOWN_LOAD: Final = LoadReport('', ServerState.COLD, 0, 1)

_HEADER_BREAK: Final = re.compile(r'[\r\n\0]')


class HttpConnection:
    """One keep-alive connection; one exchange at a time."""

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        server: BackendServer,
        dialect: BackendDialect,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._server = server
        self._dialect = dialect
        self._load = UNKNOWN_LOAD
        self._is_idle = True
        self._idle_until: float | None = None

    @property
    def load(self) -> LoadReport:
        """Newest load report seen on this connection."""
        return self._load

    @property
    def is_open(self) -> bool:
        """Whether an exchange can start on it."""
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
        """Close; the server cancels what was in flight."""
        self._writer.close()

    async def check(
        self, *, deadline: float
    ) -> Result[LoadReport, ExchangeFailure]:
        """Ask the server for its load; nothing runs there."""
        asked = await self.exchange(
            content=self._dialect.load_check(server=self._server),
            deadline=deadline,
        )
        if asked.is_error():
            return Error(asked.error._replace(verdict=Verdict.DID_NOT_RUN))
        return Ok(self._load)

    async def exchange(
        self, *, content: Content, deadline: float
    ) -> Result[Answer, ExchangeFailure]:
        """Send one request and read its whole answer."""
        if not self.is_open:
            return Error(
                ExchangeFailure(
                    FailureKind.RESET,
                    Verdict.DID_NOT_RUN,
                    'connection closed before the send',
                )
            )
        if asyncio.get_running_loop().time() >= deadline:
            return Error(
                ExchangeFailure(
                    FailureKind.TIMEOUT,
                    Verdict.DID_NOT_RUN,
                    'deadline passed before the send',
                )
            )
        head = self._encode(content, deadline)
        if head is None:
            return Error(
                ExchangeFailure(
                    FailureKind.RESET,
                    Verdict.DID_NOT_RUN,
                    'the request cannot be sent as HTTP',
                )
            )
        self._is_idle = False
        try:
            async with asyncio.timeout_at(deadline):
                self._writer.write(head + content.body)
                result = await self._read_answer(content)
        except TimeoutError:
            return Error(
                ExchangeFailure(
                    FailureKind.TIMEOUT,
                    Verdict.MAY_HAVE_RUN,
                    'deadline passed before the answer was complete',
                )
            )
        except (OSError, ResponseError, httptools.HttpParserError) as error:
            return Error(
                ExchangeFailure(
                    FailureKind.RESET,
                    Verdict.MAY_HAVE_RUN,
                    f'connection failed during the exchange: {error}',
                )
            )
        finally:
            # An exchange without a whole answer leaves the connection in an
            # unknown state, so it is never reused.
            if not self._is_idle:
                self.close()
        return result

    def _encode(self, content: Content, deadline: float) -> bytes | None:
        """Head of the request; None if it is not one head of HTTP."""
        remaining = deadline - asyncio.get_running_loop().time()
        lines = [f'{content.method} {content.target} HTTP/1.1']
        lines += [
            f'{name}: {value}'
            for name, value in self._dialect.request_fields(
                server=self._server, content=content, remaining=remaining
            )
        ]
        lines.append(f'Content-Length: {len(content.body)}')
        if any(_HEADER_BREAK.search(line) for line in lines):
            return None
        head = '\r\n'.join(lines) + '\r\n\r\n'
        # aiohttp decodes callers' fields the same way.
        return head.encode('utf-8', 'surrogateescape')

    async def _read_answer(
        self, content: Content
    ) -> Result[Answer, ExchangeFailure]:
        """Read until the answer to `content`.

        A late answer to an earlier request may come first; it belongs to
        no request any more.
        """
        rest = b''
        for _ in range(MAX_MISMATCHED_RESPONSES + 1):
            parsed = await self._read_one(content.method, rest)
            if parsed.is_error():
                return Error(parsed.error)
            answer = parsed.ok
            read = self._dialect.interpret(
                server=self._server, content=content, response=answer
            )
            remaining = answer.rest
            if not read.is_mismatched or remaining is None:
                break
            rest = remaining
        # An answer to a request that was not sent whole ends the connection.
        unsent = self._writer.transport.get_write_buffer_size()
        self._is_idle = answer.is_reusable and unsent == 0
        if read.idle_limit is not None:
            now = asyncio.get_running_loop().time()
            self._idle_until = now + max(0.0, read.idle_limit - IDLE_MARGIN_S)
        if read.load is not None:
            self._load = read.load
        if read.failure is not None:
            if read.failure.verdict is not Verdict.DID_NOT_RUN:
                self._is_idle = False
            return Error(read.failure)
        return Ok(
            Answer(
                answer.status,
                self._dialect.response_fields(response=answer),
                answer.body,
                read.load,
            )
        )

    async def _read_one(
        self, method: str, data: bytes
    ) -> Result[ResponseParser, ExchangeFailure]:
        """Read while the transport sends what is left of the request.

        A server may answer, and close, before it has read a large body.
        """
        answer = ResponseParser(method=method)
        while True:
            if data:
                answer.feed(data)
            if answer.is_too_large:
                return Error(
                    ExchangeFailure(
                        FailureKind.SHORT_BODY,
                        Verdict.MAY_HAVE_RUN,
                        f'answer exceeds {MAX_BODY_BYTES} bytes',
                    )
                )
            if answer.is_complete:
                return Ok(answer)
            data = await self._reader.read(READ_BYTES)
            if not data:
                if (
                    self._dialect.accepts_close_delimited
                    and answer.is_close_delimited
                ):
                    return Ok(answer)
                return Error(_cut_short(answer))


def _cut_short(answer: ResponseParser) -> ExchangeFailure:
    """Failure of an answer that ended early.

    An answer without a length ends with the connection; a lost connection
    looks the same, so that such an answer is never known to be whole.
    """
    return ExchangeFailure(
        FailureKind.SHORT_BODY if answer.status else FailureKind.RESET,
        Verdict.MAY_HAVE_RUN,
        'connection closed before the answer was complete',
    )


class HttpConnector:
    """Opens connections and reads the load report on each."""

    def __init__(self, *, dialect: BackendDialect | None = None) -> None:
        self._dialect = dialect or DefaultBackendDialect()

    async def connect(
        self, *, server: BackendServer, deadline: float
    ) -> Result[BackendConnection, ExchangeFailure]:
        """Connect within the deadline and `CONNECT_TIMEOUT_S`."""
        opened = await self.open(server=server, deadline=deadline)
        if opened.is_error():
            return Error(opened.error)
        connection = opened.ok
        if not self._dialect.requires_load_on_connect:
            return Ok(connection)
        loop = asyncio.get_running_loop()
        limit = min(deadline, loop.time() + CONNECT_TIMEOUT_S)
        try:
            asked = await connection.check(deadline=limit)
        except asyncio.CancelledError:
            connection.close()
            raise
        if asked.is_error() or connection.load.start_id == '':
            connection.close()
            return Error(_connect_failure(server, 'no load report'))
        return Ok(connection)

    async def open(
        self, *, server: BackendServer, deadline: float
    ) -> Result[HttpConnection, ExchangeFailure]:
        """Connect without a load report."""
        host, _, port = server.address.rpartition(':')
        loop = asyncio.get_running_loop()
        limit = min(deadline, loop.time() + CONNECT_TIMEOUT_S)
        try:
            async with asyncio.timeout_at(limit):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError) as error:
            return Error(_connect_failure(server, str(error) or 'timeout'))
        keep_alive(writer)
        return Ok(
            HttpConnection(
                reader=reader,
                writer=writer,
                server=server,
                dialect=self._dialect,
            )
        )


def _connect_failure(server: BackendServer, detail: str) -> ExchangeFailure:
    return ExchangeFailure(
        FailureKind.CONNECT,
        Verdict.DID_NOT_RUN,
        f'cannot connect to {server.server_id}: {detail}',
    )
