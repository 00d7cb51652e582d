"""Planned stops of the server for callers of the product's interface."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket

from aiohttp import web

from teaselrock.transport.accept_queue import BACKLOG
from teaselrock.transport.caller_server import CallerServer

REQUEST = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
QUEUED_CONNECTIONS = 5
# Ends the test where a connection is neither served nor closed.
TIMEOUT_S = 20.0

Stop = Callable[[], Awaitable[None]]
Scenario = Callable[[tuple[str, int], Stop], Awaitable[None]]


async def _respond(http: web.BaseRequest) -> web.StreamResponse:
    return web.Response(text='done')


def _run(scenario: Scenario) -> None:
    async def main() -> None:
        server = CallerServer(_respond)
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
