"""Responses that are on their way when the gateway ends a connection."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket
from typing import NamedTuple
from typing import Protocol

from aiohttp import web
import pytest

from teaselrock.state.routes import CallerLimits
from teaselrock.transport import lingering_close
from teaselrock.transport.caller_connection import CallerResponse
from teaselrock.transport.caller_listener import CallerListener
from teaselrock.transport.caller_server import CallerServer
from teaselrock.transport.caller_server import LargeBody
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
# Together they take longer than callers may be silent in their test, and
# leave most of a response unread.
SLOW_READS = 25
SLOW_READ_BYTES = 1024
SLOW_READ_PAUSE_S = 0.1
# More than the buffers of a loopback connection take.
LARGE_BODY_BYTES = 15_000_000
# For what the gateway does without a sign to the caller.
SETTLE_S = 0.2
# Limit of the product's interface for responses that are being written.
SHUTDOWN_S = 0.5
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
        return CallerResponse(200, (), self.begin(request.target))

    def begin(self, target: str) -> bytes:
        """Record a request and return the body of its response."""
        self.started.append(target)
        self.on_request()
        return b'x' * self.body_bytes

    def error_response(self, error: RequestError) -> CallerResponse:
        return CallerResponse(error.status, ())


class Interface(Protocol):
    """One of the interfaces for callers."""

    async def start(self) -> tuple[str, int]:
        """Listen; returns host and port."""
        ...

    def begin_close(self) -> None:
        """End each connection after its pending or next response."""
        ...

    async def stop(self) -> None:
        """End all connections; returns when they have ended."""
        ...

    @property
    def connections(self) -> int:
        """Number of open connections."""
        ...


class PlatformInterface:
    """Interface of `CallerListener`."""

    def __init__(self, handler: Handler) -> None:
        self._listener = CallerListener(handler=handler)

    async def start(self) -> tuple[str, int]:
        await self._listener.start(host='127.0.0.1', port=0)
        assert self._listener.address is not None
        return self._listener.address

    def begin_close(self) -> None:
        self._listener.begin_close()

    async def stop(self) -> None:
        self._listener.stop_accepting()
        await self._listener.wait_closed(limit=2 * TIMEOUT_S)

    @property
    def connections(self) -> int:
        return self._listener.connections


class ProductInterface:
    """Interface of `CallerServer`."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._is_closing = False
        self._server = CallerServer(self._respond)
        self._server.set_shutdown_timeout(seconds=SHUTDOWN_S)
        self._runner = web.ServerRunner(self._server, access_log=None)

    async def start(self) -> tuple[str, int]:
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        return host, port

    def begin_close(self) -> None:
        self._is_closing = True

    async def stop(self) -> None:
        await self._runner.cleanup()

    @property
    def connections(self) -> int:
        return len(self._server.connections)

    async def _respond(self, http: web.BaseRequest) -> web.StreamResponse:
        response = web.Response(body=LargeBody(self._handler.begin(http.path)))
        if self._is_closing:
            response.force_close()
        return response


class World(NamedTuple):
    """An interface, and a caller with a small window."""

    handler: Handler
    interface: Interface
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


MakeInterface = Callable[[Handler], Interface]
INTERFACES = (PlatformInterface, ProductInterface)


def _run(
    make_interface: MakeInterface,
    scenario: Callable[[World], Awaitable[None]],
) -> None:
    async def main() -> None:
        handler = Handler()
        interface = make_interface(handler)
        address = await interface.start()
        with socket.socket() as caller:
            caller.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES
            )
            caller.setblocking(False)
            await asyncio.get_running_loop().sock_connect(caller, address)
            async with asyncio.timeout(TIMEOUT_S):
                await scenario(World(handler, interface, caller))
        await interface.stop()

    asyncio.run(main())


class Ending(NamedTuple):
    """A way in which the gateway ends the connection after a response."""

    name: str
    request: bytes = b'GET /first HTTP/1.1\r\nHost: h\r\n\r\n'
    stops_while_serving: bool = False
    stops_when_idle: bool = False


PLANNED_STOP = Ending('planned stop', stops_while_serving=True)
STOP_WHEN_IDLE = Ending('planned stop when idle', stops_when_idle=True)
IDLE_TIMEOUT = Ending('idle timeout')
CALLER_CLOSES = Ending(
    'Connection: close of the caller',
    b'GET /first HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n',
)
HTTP_1_0 = Ending('HTTP/1.0', b'GET /first HTTP/1.0\r\nHost: h\r\n\r\n')


class Case(NamedTuple):
    """An interface, and how it ends the connection."""

    make_interface: MakeInterface
    ending: Ending

    def __str__(self) -> str:
        return f'{self.make_interface.__name__}, {self.ending.name}'


# Idle connections of the product's interface have no time limit of interest.
CASES = (
    Case(PlatformInterface, PLANNED_STOP),
    Case(PlatformInterface, STOP_WHEN_IDLE),
    Case(PlatformInterface, IDLE_TIMEOUT),
    Case(PlatformInterface, CALLER_CLOSES),
    Case(PlatformInterface, HTTP_1_0),
    Case(ProductInterface, PLANNED_STOP),
    Case(ProductInterface, STOP_WHEN_IDLE),
    Case(ProductInterface, CALLER_CLOSES),
    Case(ProductInterface, HTTP_1_0),
)


@pytest.mark.parametrize('case', CASES, ids=str)
def test_response_on_its_way_is_delivered(case: Case) -> None:
    """Guards against responses that are cut by a reset of the connection.

    The caller sends a request before it has read that the connection ends.
    """

    async def scenario(world: World) -> None:
        ending = case.ending
        if ending.stops_while_serving:
            world.handler.on_request = world.interface.begin_close
        await world.send(ending.request)
        await asyncio.sleep(SETTLE_S)
        stopping = None
        if ending.stops_when_idle:
            stopping = asyncio.create_task(world.interface.stop())
            await asyncio.sleep(SETTLE_S)
        await world.send(AFTER)
        await asyncio.sleep(SETTLE_S)
        received = await world.receive()
        assert received.endswith(b'\r\n\r\n' + b'x' * BODY_BYTES)
        assert world.handler.started == ['/first']
        world.caller.close()
        if stopping is not None:
            await stopping

    _run(case.make_interface, scenario)


@pytest.mark.parametrize('make_interface', INTERFACES)
def test_slow_but_steady_caller_gets_the_response(
    monkeypatch: pytest.MonkeyPatch, make_interface: MakeInterface
) -> None:
    """Guards against a time limit that cuts callers on slow links.

    They read for longer than callers may be silent, and send a request then.
    """
    monkeypatch.setattr(lingering_close, 'MAX_SILENCE_S', 2.0)

    async def scenario(world: World) -> None:
        loop = asyncio.get_running_loop()
        world.handler.on_request = world.interface.begin_close
        await world.send(PLANNED_STOP.request)
        received = bytearray()
        for _ in range(SLOW_READS):
            received += await loop.sock_recv(world.caller, SLOW_READ_BYTES)
            await asyncio.sleep(SLOW_READ_PAUSE_S)
        await world.send(AFTER)
        await asyncio.sleep(SETTLE_S)
        received += await world.receive()
        assert received.endswith(b'\r\n\r\n' + b'x' * BODY_BYTES)

    _run(make_interface, scenario)


@pytest.mark.parametrize('make_interface', INTERFACES)
def test_no_request_starts_behind_the_last_response(
    make_interface: MakeInterface,
) -> None:
    """Guards against work for requests whose callers send them again.

    The request comes while the response that ends the connection is written.
    """

    async def scenario(world: World) -> None:
        world.handler.body_bytes = LARGE_BODY_BYTES
        world.handler.on_request = world.interface.begin_close
        await world.send(PLANNED_STOP.request)
        await asyncio.sleep(SETTLE_S)
        await world.send(AFTER)
        await asyncio.sleep(SETTLE_S)
        received = await world.receive()
        assert received.endswith(b'x' * LARGE_BODY_BYTES)
        assert world.handler.started == ['/first']

    _run(make_interface, scenario)


@pytest.mark.parametrize('make_interface', INTERFACES)
@pytest.mark.parametrize(
    'reads', [True, False], ids=['reads', 'reads nothing']
)
def test_caller_that_stays_does_not_delay_a_stop(
    monkeypatch: pytest.MonkeyPatch,
    make_interface: MakeInterface,
    reads: bool,
) -> None:
    """Guards against stops that wait for callers that never close."""
    monkeypatch.setattr(lingering_close, 'LINGER_S', 0.05)
    monkeypatch.setattr(lingering_close, 'MAX_SILENCE_S', 0.3)

    async def scenario(world: World) -> None:
        world.handler.on_request = world.interface.begin_close
        await world.send(PLANNED_STOP.request)
        if reads:
            assert b'Connection: close' in await world.receive()
        await world.interface.stop()
        assert world.interface.connections == 0

    _run(make_interface, scenario)
