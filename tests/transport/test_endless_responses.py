"""Servers that send bytes without end, on many connections at once.

The size bounds of a response cannot bound the memory of all of them.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from contextlib import AsyncExitStack
import tracemalloc

from local_servers import connected
from local_servers import DEADLINE_S
from local_servers import listening
import pytest

from teaselrock.state import BackendServer
from teaselrock.state import FailureKind
from teaselrock.state import RequestContent
from teaselrock.state import Verdict
from teaselrock.transport.backend import HttpConnector
from teaselrock.transport.dialect import DefaultBackendDialect
from teaselrock.transport.response_memory import HeldResponse
from teaselrock.transport.response_memory import ResponseMemory
from teaselrock.transport.response_parser import LOAD_CHECK_LIMITS
from teaselrock.transport.response_reader import READ_BYTES

GET = RequestContent('GET', '/a', (), b'')
# Half of the memory of the smallest machine of the users.
HALF_OF_SMALLEST_MACHINE = 100 * 1024 * 1024
MEMORY_LIMIT_BYTES = 25 * 1024 * 1024
CONNECTIONS = 60
SERVERS = 10
BLOCK = 64 * 1024
LARGE_BODY = b'l' * 1024 * 1024
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
# What is sent first, and what is repeated without end.
ENDLESS = {
    'status line': (b'HTTP/1.1 200 ', b'x' * BLOCK),
    'header fields': (b'HTTP/1.1 200 OK\r\n', b'X: yyyyyyyy\r\n' * 5000),
    'header field': (b'HTTP/1.1 200 OK\r\nX: ', b'x' * BLOCK),
    'interim responses': (b'', b'HTTP/1.1 103 E\r\nX: y\r\n\r\n' * 2500),
    'body with a length': (
        b'HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n',
        b'x' * BLOCK,
    ),
    'body without a length': (b'HTTP/1.1 200 OK\r\n\r\n', b'x' * BLOCK),
    'chunks': (CHUNKED, b'8000\r\n' + b'x' * 0x8000 + b'\r\n'),
    'chunk extension': (CHUNKED + b'5;', b'x' * BLOCK),
    'small chunks with extensions': (
        CHUNKED,
        (b'1;' + b'x' * 2000 + b'\r\nz\r\n') * 32,
    ),
    'trailer field': (CHUNKED + b'1\r\nz\r\n0\r\nX: ', b'x' * BLOCK),
    'trailer fields': (
        CHUNKED + b'1\r\nz\r\n0\r\n',
        b'X: yyyyyyyy\r\n' * 5000,
    ),
    'late responses': (
        b'',
        b'HTTP/1.1 200 OK\r\nExchange-Number: 9\r\n'
        b'Content-Length: 8000\r\n\r\n' + b'x' * 8000,
    ),
}


@asynccontextmanager
async def endless_server(
    first: bytes, repeated: bytes, *, server_id: str
) -> AsyncIterator[BackendServer]:
    """A server that answers each request without end."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(first)
            while True:
                writer.write(repeated)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass

    async with listening(serve, server_id) as server:
        yield server


async def serve_large(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Send a large response in two parts, so that it is under way longer."""
    await reader.readuntil(b'\r\n\r\n')
    head = (
        'HTTP/1.1 200 OK\r\nExchange-Number: 1\r\n'
        f'Content-Length: {len(LARGE_BODY)}\r\n\r\n'
    ).encode()
    writer.write(head + LARGE_BODY[:BLOCK])
    await asyncio.sleep(0.05)
    writer.write(LARGE_BODY[BLOCK:])
    await writer.drain()
    await reader.read()


async def exchange_with_all(
    connector: HttpConnector, part: str, faulty_count: int
) -> None:
    """Use `CONNECTIONS` to faulty servers and one to each healthy server."""
    deadline = asyncio.get_running_loop().time() + DEADLINE_S
    async with AsyncExitStack() as stack:
        faulty = [
            await stack.enter_async_context(
                endless_server(*ENDLESS[part], server_id=f'faulty{number}')
            )
            for number in range(faulty_count)
        ]
        healthy = [
            await stack.enter_async_context(
                listening(serve_large, f'healthy{number}')
            )
            for number in range(SERVERS - faulty_count)
        ]
        to_faulty = [
            await connected(connector, faulty[number % faulty_count])
            for number in range(CONNECTIONS)
        ]
        to_healthy = [await connected(connector, server) for server in healthy]
        results = await asyncio.gather(
            *(
                connection.exchange(content=GET, deadline=deadline)
                for connection in (*to_faulty, *to_healthy)
            )
        )
        for result in results[:CONNECTIONS]:
            assert result.is_error()
            assert result.error.verdict is Verdict.MAY_HAVE_RUN
            assert result.error.kind is not FailureKind.TIMEOUT
        for result in results[CONNECTIONS:]:
            assert result.is_ok()
            assert result.ok.body == LARGE_BODY
        assert not any(connection.is_open for connection in to_faulty)
        for connection in to_healthy:
            connection.close()


@pytest.mark.parametrize('faulty_count', [1, SERVERS // 5])
@pytest.mark.parametrize('part', ENDLESS)
def test_endless_response_ends_within_the_memory_of_a_small_machine(
    part: str, faulty_count: int
) -> None:
    """Guards against memory and processor time without a bound.

    The responses of healthy servers are complete meanwhile.
    """
    memory = ResponseMemory(limit_bytes=MEMORY_LIMIT_BYTES)
    connector = HttpConnector(dialect=DefaultBackendDialect(), memory=memory)
    tracemalloc.start()
    try:
        asyncio.run(exchange_with_all(connector, part, faulty_count))
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak < HALF_OF_SMALLEST_MACHINE
    assert memory.total_bytes == 0


class PeakMemory(ResponseMemory):
    """`ResponseMemory` that records its largest total."""

    def __init__(self) -> None:
        super().__init__()
        self.peak_bytes = 0

    def on_added(self, response: HeldResponse, size: int) -> None:
        super().on_added(response, size)
        self.peak_bytes = max(self.peak_bytes, self.total_bytes)


@pytest.mark.parametrize('part', ENDLESS)
def test_endless_load_report_is_ended_at_once(part: str) -> None:
    """Guards against load checks that read megabytes for a load report."""
    memory = PeakMemory()

    async def main() -> None:
        connector = HttpConnector(
            dialect=DefaultBackendDialect(), memory=memory
        )
        deadline = asyncio.get_running_loop().time() + DEADLINE_S
        async with endless_server(*ENDLESS[part], server_id='s') as server:
            connection = await connected(connector, server)
            checked = await connection.check_load(deadline=deadline)
            assert checked.is_error()
            assert checked.error.kind is not FailureKind.TIMEOUT
            assert not connection.is_open

    asyncio.run(main())
    late_responses = 2
    assert memory.peak_bytes <= READ_BYTES + LOAD_CHECK_LIMITS.total * (
        1 + late_responses
    )


def test_largest_response_of_the_heaviest_server_is_dropped() -> None:
    """Guards against a faulty server that costs others their responses."""
    dropped: list[str] = []
    memory = ResponseMemory(limit_bytes=100)
    for name, server_id, size in (
        ('single', 'healthy', 40),
        ('small', 'faulty', 20),
        ('larger', 'faulty', 30),
    ):
        memory.open(
            server_id=server_id, abort=lambda name=name: dropped.append(name)
        ).add(size)
    assert dropped == []
    memory.open(server_id='other', abort=lambda: dropped.append('other')).add(
        11
    )
    assert dropped == ['larger']
    assert memory.total_bytes == 71
    assert memory.dropped_count == 1
