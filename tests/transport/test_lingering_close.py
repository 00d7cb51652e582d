"""Responses that are on their way when the gateway ends a connection."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket
from typing import NamedTuple

import pytest

from teaselrock.state.routes import CallerLimits
from teaselrock.transport import caller_connection
from teaselrock.transport import lingering_close
from teaselrock.transport.caller_connection import CallerConnection
from teaselrock.transport.caller_connection import CallerListener
from teaselrock.transport.caller_connection import CallerResponse
from teaselrock.transport.request_parser import CallerRequest
from teaselrock.transport.request_parser import RequestError

IDLE_TIMEOUT_S = 0.1
LIMITS = CallerLimits(
    max_head_bytes=2000,
    max_body_bytes=100,
    head_timeout=1.0,
    idle_timeout=IDLE_TIMEOUT_S,
)
# Of the caller; most of a response stays in the gateway's system.
WINDOW_BYTES = 4096
# More than the window, and less than asyncio keeps in the process.
BODY_BYTES = 60_000
# More than the buffers of a loopback connection take.
LARGE_BODY_BYTES = 15_000_000
# For what the gateway does without a sign to the caller.
SETTLE_S = 0.2
# Ends the test where a connection is neither served nor closed.
TIMEOUT_S = 20.0
AFTER = b'GET /after HTTP/1.1\r\nHost: h\r\n\r\n'


class Handler:
    """Responds with `body_bytes`; a stop may come while it serves."""

    def __init__(self) -> None:
        self.limits = LIMITS
        self.body_bytes = BODY_BYTES
        self.started: list[str] = []
        self.on_request: Callable[[], None] = lambda: None

    def may_pipeline(self, request: CallerRequest) -> bool:
        return True

    def time_limit(self, request: CallerRequest) -> float:
        return 1.0

    async def serve(self, request: CallerRequest) -> CallerResponse:
        self.started.append(request.target)
        self.on_request()
        return CallerResponse(200, (), b'x' * self.body_bytes)

    def error_response(self, error: RequestError) -> CallerResponse:
        return CallerResponse(error.status, ())


class World(NamedTuple):
    """A listener, and a caller with a small window."""

    handler: Handler
    listener: CallerListener
    caller: socket.socket

    async def send(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self.caller, data)

    async def receive(self) -> bytes:
        """Read to the end of the connection; raises if it is reset."""
        loop = asyncio.get_running_loop()
        received = bytearray()
        while data := await loop.sock_recv(self.caller, WINDOW_BYTES):
            received += data
        return bytes(received)


def _run(scenario: Callable[[World], Awaitable[None]]) -> None:
    async def main() -> None:
        handler = Handler()
        listener = CallerListener(handler=handler)
        await listener.start(host='127.0.0.1', port=0)
        assert listener.address is not None
        with socket.socket() as caller:
            caller.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES
            )
            caller.setblocking(False)
            await asyncio.get_running_loop().sock_connect(
                caller, listener.address
            )
            try:
                async with asyncio.timeout(TIMEOUT_S):
                    await scenario(World(handler, listener, caller))
            finally:
                listener.stop_accepting()
                await listener.wait_closed(limit=0.0)

    asyncio.run(main())


class Ending(NamedTuple):
    """A way in which the gateway ends the connection after a response."""

    name: str
    request: bytes = b'GET /first HTTP/1.1\r\nHost: h\r\n\r\n'
    stops_while_serving: bool = False
    stops_when_idle: bool = False


ENDINGS = (
    Ending('planned stop', stops_while_serving=True),
    Ending('planned stop when idle', stops_when_idle=True),
    Ending('idle timeout'),
    Ending(
        'Connection: close of the caller',
        b'GET /first HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n',
    ),
    Ending('HTTP/1.0', b'GET /first HTTP/1.0\r\nHost: h\r\n\r\n'),
)


@pytest.mark.parametrize('ending', ENDINGS, ids=lambda ending: ending.name)
def test_response_on_its_way_is_delivered(ending: Ending) -> None:
    """Guards against responses that are cut by a reset of the connection.

    The caller sends a request before it has read that the connection ends.
    """

    async def scenario(world: World) -> None:
        if ending.stops_while_serving:
            world.handler.on_request = world.listener.begin_close
        await world.send(ending.request)
        await asyncio.sleep(SETTLE_S)
        if ending.stops_when_idle:
            world.listener.stop_accepting()
            await asyncio.sleep(SETTLE_S)
        await world.send(AFTER)
        await asyncio.sleep(SETTLE_S)
        received = await world.receive()
        assert received.endswith(b'\r\n\r\n' + b'x' * BODY_BYTES)
        assert world.handler.started == ['/first']

    _run(scenario)


def test_no_request_starts_behind_the_last_response() -> None:
    """Guards against work for requests whose callers send them again.

    The request comes while the response that ends the connection is written.
    """

    async def scenario(world: World) -> None:
        world.handler.body_bytes = LARGE_BODY_BYTES
        world.handler.on_request = world.listener.begin_close
        await world.send(ENDINGS[0].request)
        await asyncio.sleep(SETTLE_S)
        await world.send(AFTER)
        await asyncio.sleep(SETTLE_S)
        received = await world.receive()
        assert received.endswith(b'x' * LARGE_BODY_BYTES)
        assert world.handler.started == ['/first']

    _run(scenario)


@pytest.mark.parametrize(
    'reads', [True, False], ids=['reads', 'reads nothing']
)
def test_caller_that_stays_does_not_delay_a_stop(
    monkeypatch: pytest.MonkeyPatch, reads: bool
) -> None:
    """Guards against stops that wait for callers that never close."""
    monkeypatch.setattr(caller_connection, 'LINGER_S', 0.05)
    monkeypatch.setattr(lingering_close, 'MAX_LINGER_S', 0.3)
    aborted: list[CallerConnection] = []
    monkeypatch.setattr(CallerConnection, 'abort', aborted.append)

    async def scenario(world: World) -> None:
        world.handler.on_request = world.listener.begin_close
        await world.send(ENDINGS[0].request)
        if reads:
            assert b'Connection: close' in await world.receive()
        world.listener.stop_accepting()
        await world.listener.wait_closed(limit=TIMEOUT_S)
        assert world.listener.connections == 0
        assert aborted == []

    _run(scenario)
