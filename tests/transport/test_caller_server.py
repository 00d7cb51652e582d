"""Planned stops of the server for callers of the product's interface."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket
import struct

from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from memory_trace import traced_without_collector
from memory_trace import wait_released
import pytest

from teaselrock.transport.accept_queue import BACKLOG
from teaselrock.transport.caller_limits import MAX_FRAMING_BYTES
from teaselrock.transport.caller_limits import SMALL_CHUNKS_READ_BYTES
from teaselrock.transport.caller_reader import RECEIVE_BYTES
from teaselrock.transport.caller_server import CallerServer
from teaselrock.transport.caller_server import Handler
from teaselrock.transport.caller_server import LargeBody
from teaselrock.transport.request_memory import MAX_FINELY_CHUNKED

CHUNK = b'6\r\nxxxxxx\r\n'
REQUEST = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
QUEUED_CONNECTIONS = 5
# More than the buffers of a loopback connection take.
LARGE_BODY_BYTES = 15_000_000
# Ends the test where a connection is neither served nor closed.
TIMEOUT_S = 20.0

Stop = Callable[[], Awaitable[None]]
Scenario = Callable[[tuple[str, int], Stop], Awaitable[None]]


async def _respond(http: web.BaseRequest) -> web.StreamResponse:
    return web.Response(text='done')


async def _read_and_respond(http: web.BaseRequest) -> web.StreamResponse:
    async for _ in http.content.iter_any():
        pass
    return web.Response(text='done')


def _run(scenario: Scenario, *, respond: Handler = _respond) -> None:
    async def main() -> None:
        server = CallerServer(respond)
        runner = web.ServerRunner(server, access_log=None)
        await runner.setup()
        listening = socket.create_server(('127.0.0.1', 0), backlog=BACKLOG)
        address = listening.getsockname()
        site = web.SockSite(runner, listening, backlog=BACKLOG)
        await site.start()

        async def stop() -> None:
            await server.stop_accepting(site=site, listening=listening)
            await runner.cleanup()

        async with asyncio.timeout(TIMEOUT_S):
            await scenario(address, stop)

    asyncio.run(main())


def test_stop_serves_connections_that_wait_to_be_accepted() -> None:
    """Guards against a stop that resets requests in the listening queue."""

    async def scenario(address: tuple[str, int], stop: Stop) -> None:
        # The event loop does not run between connecting and the stop, so only
        # the kernel has accepted these connections.
        queued = [
            socket.create_connection(address)
            for _ in range(QUEUED_CONNECTIONS)
        ]
        for connection in queued:
            connection.sendall(REQUEST)
        await stop()
        for connection in queued:
            with connection:
                assert connection.recv(1000).startswith(b'HTTP/1.1 200')

    _run(scenario)


def test_stop_waits_for_the_first_request_of_a_new_connection() -> None:
    """Guards against a stop that cuts off callers that just connected."""

    async def scenario(address: tuple[str, int], stop: Stop) -> None:
        reader, writer = await asyncio.open_connection(*address)
        stopping = asyncio.create_task(stop())
        await asyncio.sleep(0.1)
        writer.write(REQUEST)
        assert (await reader.read()).startswith(b'HTTP/1.1 200')
        await stopping
        writer.close()

    _run(scenario)


def test_stop_closes_new_connections_without_a_request() -> None:
    """Guards against a stop that waits for callers that only connect."""

    async def scenario(address: tuple[str, int], stop: Stop) -> None:
        reader, writer = await asyncio.open_connection(*address)
        await stop()
        assert await reader.read() == b''
        writer.close()

    _run(scenario)


def test_many_bodies_in_tiny_chunks_are_cut_off() -> None:
    """Guards against callers that take all time by single bytes.

    Some such bodies are received; the next connection ends before its body
    is complete.
    """

    async def scenario(address: tuple[str, int], stop: Stop) -> None:
        connections = [
            await asyncio.open_connection(*address)
            for _ in range(MAX_FINELY_CHUNKED + 1)
        ]

        async def send(writer: asyncio.StreamWriter) -> None:
            writer.write(
                b'POST /a HTTP/1.1\r\nHost: h\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n'
            )
            for _ in range(2 * MAX_FRAMING_BYTES // 1000):
                writer.write(b'1\r\nx\r\n' * 1000)
                await writer.drain()

        for _, writer in connections[:-1]:
            await send(writer)
        with pytest.raises(ConnectionError):
            await send(connections[-1][1])
            await connections[-1][0].readexactly(1)
        for reader, writer in connections[:-1]:
            writer.write(b'0\r\n\r\n')
            assert (await reader.readline()).startswith(b'HTTP/1.1 200')
            writer.close()
        await stop()

    _run(scenario, respond=_read_and_respond)


def test_small_chunks_are_read() -> None:
    """Guards against a limit that a caller with small chunks meets."""

    async def scenario(address: tuple[str, int], stop: Stop) -> None:
        reader, writer = await asyncio.open_connection(*address)
        for chunk, count in ((b'1\r\nx\r\n', 300_000), (CHUNK, 100_000)):
            writer.write(
                b'POST /a HTTP/1.1\r\nHost: h\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n'
            )
            writer.write(chunk * count + b'0\r\n\r\n')
            assert (await reader.readline()).startswith(b'HTTP/1.1 200')
            await reader.readuntil(b'done')
        writer.close()
        await stop()

    _run(scenario, respond=_read_and_respond)


def test_small_chunks_are_received_in_small_parts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a body in tiny chunks that blocks other connections."""
    sizes: list[int] = []
    receive = RequestHandler.data_received

    def record(connection: RequestHandler, data: bytes) -> None:
        if data:
            sizes.append(len(data))
        receive(connection, data)

    monkeypatch.setattr(RequestHandler, 'data_received', record)

    async def scenario(address: tuple[str, int], stop: Stop) -> None:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(
            b'POST /a HTTP/1.1\r\nHost: h\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
        )
        writer.write(b'1\r\nx\r\n' * 100_000 + b'0\r\n\r\n')
        assert (await reader.readline()).startswith(b'HTTP/1.1 200')
        writer.close()
        await stop()

    _run(scenario, respond=_read_and_respond)
    large = [size for size in sizes if size > SMALL_CHUNKS_READ_BYTES]
    # The framing exceeds this after one segment more.
    assert sum(large) < 3 * RECEIVE_BYTES


@pytest.mark.parametrize('is_reset', [True, False])
def test_response_is_released_when_its_caller_disconnects(
    is_reset: bool,
) -> None:
    """Guards against a response that stays until the next collection."""

    async def respond(http: web.BaseRequest) -> web.StreamResponse:
        return web.Response(body=LargeBody(bytes(LARGE_BODY_BYTES)))

    async def scenario(address: tuple[str, int], stop: Stop) -> None:
        loop = asyncio.get_running_loop()
        with traced_without_collector():
            with socket.create_connection(address) as caller:
                caller.setblocking(False)
                await loop.sock_sendall(caller, REQUEST)
                assert await loop.sock_recv(caller, 1) == b'H'
                if is_reset:
                    caller.setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_LINGER,
                        struct.pack('ii', 1, 0),
                    )
            await wait_released(LARGE_BODY_BYTES // 2)
        await stop()

    _run(scenario, respond=respond)


def test_large_response_is_released_once_it_is_read() -> None:
    """Guards against a response that stays while its connection is idle."""

    async def respond(http: web.BaseRequest) -> web.StreamResponse:
        return web.Response(body=LargeBody(bytes(LARGE_BODY_BYTES)))

    async def scenario(address: tuple[str, int], stop: Stop) -> None:
        with traced_without_collector():
            reader, writer = await asyncio.open_connection(*address)
            writer.write(REQUEST)
            await reader.readuntil(b'\r\n\r\n')
            remaining = LARGE_BODY_BYTES
            while remaining > 0:
                remaining -= len(await reader.read(remaining))
            await wait_released(LARGE_BODY_BYTES // 2)
        assert not reader.at_eof()
        writer.close()
        await stop()

    _run(scenario, respond=respond)
