"""The account of the memory that callers' requests take."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import tracemalloc

from hypothesis import given
from hypothesis import strategies as st
from memory_trace import traced_without_collector
from memory_trace import wait_released
import pytest

from teaselrock.state.routes import CallerLimits
from teaselrock.transport.caller_connection import CallerResponse
from teaselrock.transport.caller_limits import CallerLimit
from teaselrock.transport.caller_listener import CallerListener
from teaselrock.transport.request_memory import MAX_SMALL_BYTES
from teaselrock.transport.request_memory import RequestMemory
from teaselrock.transport.request_parser import CallerRequest
from teaselrock.transport.request_parser import RequestError

MEMORY_BYTES = 10_000_000
LIMITS = CallerLimits(max_body_bytes=3_000_000)
BODY_BYTES = 2_000_000
TIME_LIMIT_S = 60.0
TIME_LIMIT_S = 60.0
# Ends a test whose connection neither responds nor closes.
TIMEOUT_S = 20
# What may be left of a connection of 2 MB when it has ended.
LEFT_BYTES = 200_000


@given(
    steps=st.lists(
        st.tuples(st.integers(0, 5), st.integers(0, 5_000_000)), max_size=60
    )
)
def test_total_stays_within_the_limit(steps: list[tuple[int, int]]) -> None:
    """Guards against an account that drifts from what is held."""
    memory = RequestMemory(memory_bytes=MEMORY_BYTES)
    requests = [memory.open() for _ in range(6)]
    for index, size in steps:
        before = requests[index].size
        has_room = requests[index].resize(size)
        assert requests[index].size == (size if has_room else before)
        assert has_room or size > before
        assert memory.total_bytes == sum(request.size for request in requests)
        assert memory.total_bytes <= memory.limit_bytes
    for request in requests:
        request.release()
    assert memory.total_bytes == 0


def test_large_requests_leave_room_for_small_ones() -> None:
    """Guards against a crowd of large requests that shuts out everybody."""
    memory = RequestMemory(memory_bytes=MEMORY_BYTES)
    while memory.open().resize(MAX_SMALL_BYTES + 1):
        pass
    assert memory.open().resize(MAX_SMALL_BYTES)


def test_last_user_releases() -> None:
    """Guards against bytes that are released while a request still runs."""
    memory = RequestMemory(memory_bytes=MEMORY_BYTES)
    held = memory.open()
    held.resize(1000)
    held.retain()
    held.release()
    assert memory.total_bytes == 1000
    held.release()
    held.release()
    assert memory.total_bytes == 0
    assert not held.resize(1000)


class Handler:
    """Records the bytes in use while a request waits for its release."""

    def __init__(self) -> None:
        self.limits = LIMITS
        self.release = asyncio.Event()
        self.started = asyncio.Event()

    def may_pipeline(self, request: CallerRequest) -> bool:
        return True

    def time_limit(self, request: CallerRequest) -> float:
        return TIME_LIMIT_S

    async def serve(self, request: CallerRequest) -> CallerResponse:
        self.started.set()
        await self.release.wait()
        return CallerResponse(200, ())

    def error_response(self, error: RequestError) -> CallerResponse:
        return CallerResponse(error.status, ())


class Observer:
    """Records the limits that callers met."""

    def __init__(self) -> None:
        self.limits: list[CallerLimit] = []

    def on_caller_limit(self, *, limit: CallerLimit, detail: str) -> None:
        self.limits.append(limit)


class Connections:
    """A listener and its account."""

    def __init__(self) -> None:
        self.memory = RequestMemory(memory_bytes=MEMORY_BYTES)
        self.handler = Handler()
        self.observer = Observer()
        self.listener = CallerListener(
            handler=self.handler, memory=self.memory, observer=self.observer
        )

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        assert self.listener.address is not None
        return await asyncio.open_connection(*self.listener.address)

    async def send(
        self, size: int, announced: int
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await self.connect()
        head = f'POST / HTTP/1.1\r\nContent-Length: {announced}\r\n\r\n'
        writer.write(head.encode() + b'x' * size)
        await writer.drain()
        return reader, writer

    async def wait_for_total(self, *, at_least: int = 0) -> None:
        """Wait until bytes are in use, or until none are."""
        while not (
            self.memory.total_bytes >= at_least
            if at_least
            else self.memory.total_bytes == 0
        ):
            await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def _listening() -> AsyncIterator[Connections]:
    connections = Connections()
    await connections.listener.start(host='127.0.0.1', port=0)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            yield connections
    finally:
        connections.listener.stop_accepting()
        await connections.listener.wait_closed(limit=0.0)


@pytest.mark.parametrize('missing', [0, 1])
def test_closed_connection_releases_its_memory(missing: int) -> None:
    """Guards against bodies that wait for the garbage collector.

    The caller leaves while its request is served, or before it is complete.
    """

    async def main() -> None:
        async with _listening() as connections:
            with traced_without_collector():
                _, writer = await connections.send(
                    BODY_BYTES - missing, BODY_BYTES
                )
                await connections.wait_for_total(at_least=BODY_BYTES)
                if not missing:
                    await connections.handler.started.wait()
                writer.close()
                await writer.wait_closed()
                await connections.wait_for_total()
                while connections.listener.connections:
                    await asyncio.sleep(0.005)
                await asyncio.sleep(0.01)
                left_bytes, _ = tracemalloc.get_traced_memory()
            assert left_bytes < LEFT_BYTES

    asyncio.run(main())


def test_served_body_is_released_while_the_connection_is_idle() -> None:
    """Guards against bodies that stay until a connection's next request."""

    async def main() -> None:
        async with _listening() as connections:
            connections.handler.release.set()
            with traced_without_collector():
                reader, writer = await connections.send(BODY_BYTES, BODY_BYTES)
                await reader.readuntil(b'\r\n\r\n')
                await wait_released(LEFT_BYTES)
            assert connections.memory.total_bytes == 0
            assert connections.listener.connections == 1
            writer.close()

    asyncio.run(main())


def test_announced_body_without_room_is_refused_at_once() -> None:
    """Guards against bodies that are received although they have no room.

    The first caller holds most of the account with an unfinished body. When
    it has gone, there is room again.
    """

    async def main() -> None:
        async with _listening() as connections:
            connections.handler.release.set()
            _, holding = await connections.send(0, BODY_BYTES)
            await connections.wait_for_total(at_least=BODY_BYTES)
            reader, writer = await connections.send(0, BODY_BYTES)
            assert await reader.readline() == (
                b'HTTP/1.1 503 Service Unavailable\r\n'
            )
            assert connections.observer.limits == [CallerLimit.MEMORY]
            writer.close()
            holding.close()
            await connections.wait_for_total()
            reader, writer = await connections.send(BODY_BYTES, BODY_BYTES)
            assert await reader.readline() == b'HTTP/1.1 200 OK\r\n'
            writer.close()

    asyncio.run(main())


@pytest.mark.parametrize('framing', ['length', 'chunks'])
def test_small_request_is_served_beside_large_ones(framing: str) -> None:
    """Guards against a crowd of unfinished bodies that shuts out everybody.

    The crowd holds all that large requests may.
    """
    sent = {
        'length': b'Content-Length: 1000\r\n\r\n' + b'x' * 1000,
        'chunks': b'Transfer-Encoding: chunked\r\n\r\n'
        b'3e8\r\n' + b'x' * 1000 + b'\r\n0\r\n\r\n',
    }[framing]

    async def main() -> None:
        async with _listening() as connections:
            connections.handler.release.set()
            while connections.memory.open().resize(MAX_SMALL_BYTES + 1):
                pass
            reader, writer = await connections.connect()
            writer.write(b'POST / HTTP/1.1\r\n' + sent)
            assert await reader.readline() == b'HTTP/1.1 200 OK\r\n'
            writer.close()

    asyncio.run(main())


def test_rejected_body_is_released_at_once() -> None:
    """Guards against bodies that are kept while rejected input is read.

    The caller goes on to send after the response.
    """

    async def main() -> None:
        async with _listening() as connections:
            reader, writer = await connections.connect()
            size = LIMITS.max_body_bytes + 1
            writer.write(
                b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
                + b'%x\r\n' % size
                + b'x' * size
            )
            assert b' 413 ' in await reader.readline()
            assert connections.memory.total_bytes < 2 * MAX_SMALL_BYTES
            writer.close()

    asyncio.run(main())
