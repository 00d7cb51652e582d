"""The account of complete responses that callers have not read."""

import asyncio
import socket
import struct

from hypothesis import given
from hypothesis import strategies as st
from memory_trace import traced_without_collector
from memory_trace import wait_released
import pytest

from teaselrock.state.routes import CallerLimits
from teaselrock.transport.caller_connection import CallerResponse
from teaselrock.transport.caller_connection import MAX_PIPELINED_REQUESTS
from teaselrock.transport.caller_limits import CallerLimit
from teaselrock.transport.caller_listener import CallerListener
from teaselrock.transport.request_parser import CallerRequest
from teaselrock.transport.request_parser import RequestError
from teaselrock.transport.unread_responses import MEMORY_SHARE
from teaselrock.transport.unread_responses import UnreadBytes
from teaselrock.transport.unread_responses import UnreadResponses

LIMIT_BYTES = 40_000_000
# More than the buffers of a loopback connection take.
BODY_BYTES = 15_000_000
REQUEST = b'GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n'
# What the buffers and objects of an open connection may take.
LEFT_BYTES = 1_000_000
# Ends a test whose connection neither responds nor closes.
TIMEOUT_S = 20


class Observer:
    """Records the limits that callers met."""

    def __init__(self) -> None:
        self.limits: list[CallerLimit] = []

    def on_caller_limit(self, *, limit: CallerLimit, detail: str) -> None:
        self.limits.append(limit)


def _account(
    limit_bytes: int, observer: Observer | None = None
) -> UnreadResponses:
    return UnreadResponses(
        memory_bytes=int(limit_bytes / MEMORY_SHARE),
        observer=observer or Observer(),
    )


@given(
    steps=st.lists(
        st.tuples(st.integers(0, 4), st.integers(0, 60)), max_size=60
    )
)
def test_total_stays_within_the_limit(steps: list[tuple[int, int]]) -> None:
    """Guards against an account that drifts from what is held."""
    account = _account(100)
    aborted: list[int] = []
    holders: list[UnreadBytes] = []
    for index in range(5):

        def abort(index: int = index) -> None:
            aborted.append(index)

        holders.append(account.open(abort=abort))
    for index, size in steps:
        if size % 3:
            holders[index].add(size)
        else:
            holders[index].remove(min(size, holders[index].size))
        assert account.total_bytes == sum(holder.size for holder in holders)
        assert account.total_bytes <= 100
    assert len(aborted) == len(set(aborted))
    for holder in holders:
        holder.close()
    assert account.total_bytes == 0


def test_longest_waiting_of_the_large_ones_gives_way() -> None:
    """Guards against a caller that is disconnected for others' responses."""
    account = _account(100)
    aborted: list[str] = []
    holders = {
        name: account.open(abort=lambda name=name: aborted.append(name))
        for name in ('small', 'large', 'larger', 'new')
    }
    holders['small'].add(10)
    holders['large'].add(30)
    holders['larger'].add(50)
    holders['new'].add(20)
    assert aborted == ['large']
    assert account.total_bytes == 80


class Handler:
    """Responds to each request with a body of its own."""

    limits = CallerLimits()

    def may_pipeline(self, request: CallerRequest) -> bool:
        return True

    def time_limit(self, request: CallerRequest) -> float:
        return TIMEOUT_S

    async def serve(self, request: CallerRequest) -> CallerResponse:
        return CallerResponse(200, (), bytes(BODY_BYTES))

    def error_response(self, error: RequestError) -> CallerResponse:
        return CallerResponse(error.status, ())


class Connections:
    """A listener and its account."""

    def __init__(self) -> None:
        self.observer = Observer()
        self.account = _account(LIMIT_BYTES, self.observer)
        self.listener = CallerListener(
            handler=Handler(),
            unread_responses=self.account,
            observer=self.observer,
        )

    async def start(self) -> None:
        await self.listener.start(host='127.0.0.1', port=0)

    async def request(self) -> socket.socket:
        """Send a request, and wait until its response waits to be read."""
        assert self.listener.address is not None
        loop = asyncio.get_running_loop()
        caller = socket.socket()
        caller.setblocking(False)
        await loop.sock_connect(caller, self.listener.address)
        await loop.sock_sendall(caller, REQUEST)
        assert await loop.sock_recv(caller, 1) == b'H'
        return caller

    async def wait_for_connections(self, count: int) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while self.listener.connections != count:
                await asyncio.sleep(0.01)

    async def stop(self) -> None:
        self.listener.stop_accepting()
        await self.listener.wait_closed(limit=0.0)


async def _read_response(caller: socket.socket) -> int:
    """Read a response whose first byte was read; returns its body's size."""
    loop = asyncio.get_running_loop()
    data = b''
    while b'\r\n\r\n' not in data:
        data += await loop.sock_recv(caller, 4096)
    head, _, body = data.partition(b'\r\n\r\n')
    assert head.startswith(b'TTP/1.1 200 ')
    size = len(body)
    while size < BODY_BYTES:
        received = len(await loop.sock_recv(caller, 1_000_000))
        assert received > 0
        size += received
    return size


def test_large_response_is_complete_and_released() -> None:
    """Guards against a response that stays while its connection is idle."""

    async def main() -> None:
        connections = Connections()
        await connections.start()
        with traced_without_collector():
            caller = await connections.request()
            assert connections.account.total_bytes == BODY_BYTES
            assert await _read_response(caller) == BODY_BYTES
            await wait_released(LEFT_BYTES)
            assert connections.account.total_bytes == 0
        assert connections.listener.connections == 1
        caller.close()
        await connections.stop()

    async def limited() -> None:
        async with asyncio.timeout(TIMEOUT_S):
            await main()

    asyncio.run(limited())


def test_unread_responses_beyond_the_limit_are_released() -> None:
    """Guards against unread responses whose memory is kept for callers.

    The connections that have waited longest are closed, without the
    collector.
    """

    async def main() -> None:
        connections = Connections()
        await connections.start()
        with traced_without_collector():
            callers = [await connections.request() for _ in range(10)]
            await connections.wait_for_connections(2)
            await wait_released(LIMIT_BYTES + LEFT_BYTES)
        assert connections.observer.limits == [
            CallerLimit.UNREAD_RESPONSES
        ] * (len(callers) - 2)
        assert await _read_response(callers[-1]) == BODY_BYTES
        for caller in callers:
            caller.close()
        await connections.stop()

    asyncio.run(main())


def test_responses_to_requests_sent_ahead_count() -> None:
    """Guards against unread responses that wait behind the first one."""

    async def main() -> None:
        connections = Connections()
        await connections.start()
        assert connections.listener.address is not None
        reader, writer = await asyncio.open_connection(
            *connections.listener.address
        )
        writer.write(REQUEST * MAX_PIPELINED_REQUESTS)
        await connections.wait_for_connections(1)
        await connections.wait_for_connections(0)
        assert connections.observer.limits == [CallerLimit.UNREAD_RESPONSES]
        assert connections.account.total_bytes == 0
        writer.close()
        await connections.stop()

    asyncio.run(main())


@pytest.mark.parametrize('is_reset', [True, False])
def test_response_is_released_when_its_caller_disconnects(
    is_reset: bool,
) -> None:
    """Guards against a response that stays until the next collection."""

    async def main() -> None:
        connections = Connections()
        await connections.start()
        with traced_without_collector():
            caller = await connections.request()
            if is_reset:
                caller.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    struct.pack('ii', 1, 0),
                )
            caller.close()
            await connections.wait_for_connections(0)
            assert connections.account.total_bytes == 0
            await wait_released(LEFT_BYTES)
        await connections.stop()

    asyncio.run(main())


def test_response_is_released_when_its_caller_does_not_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a response that outlives the time limit for reading."""
    monkeypatch.setattr(
        'teaselrock.transport.caller_connection.WRITE_TIMEOUT_S', 0.2
    )

    async def main() -> None:
        connections = Connections()
        await connections.start()
        with traced_without_collector():
            caller = await connections.request()
            await connections.wait_for_connections(0)
            assert connections.account.total_bytes == 0
            await wait_released(LEFT_BYTES)
        caller.close()
        await connections.stop()

    asyncio.run(main())
