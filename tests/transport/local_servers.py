"""Servers on loopback whose responses a test writes byte by byte."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Coroutine
from contextlib import asynccontextmanager

from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer
from teaselrock.transport.backend import HttpConnection
from teaselrock.transport.backend import HttpConnector

Serve = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Coroutine[None, None, None]
]

# Far longer than the tests take: no exchange ends by its deadline.
DEADLINE_S = 120.0


@asynccontextmanager
async def listening(
    serve: Serve, server_id: str
) -> AsyncIterator[BackendServer]:
    """A server that calls `serve` for each connection."""
    tasks: set[asyncio.Task[None]] = set()

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        try:
            await serve(reader, writer)
        finally:
            tasks.discard(task)
            writer.close()

    listener = await asyncio.start_server(accept, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    try:
        yield BackendServer(
            server_id,
            'desk',
            AvailabilityZone('east', 'a'),
            f'127.0.0.1:{port}',
            2,
        )
    finally:
        listener.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def connected(
    connector: HttpConnector, server: BackendServer
) -> HttpConnection:
    """Open a connection without a load check."""
    deadline = asyncio.get_running_loop().time() + DEADLINE_S
    opened = await connector.connect_unchecked(
        server=server, deadline=deadline
    )
    connection: HttpConnection = opened.ok
    return connection
