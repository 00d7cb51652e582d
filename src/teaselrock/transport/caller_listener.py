"""Listening socket for the connections of `caller_connection`."""

import asyncio
from collections.abc import Coroutine
from typing import Final

from teaselrock.transport.accept_queue import accept_queued
from teaselrock.transport.accept_queue import BACKLOG
from teaselrock.transport.caller_connection import CallerConnection
from teaselrock.transport.caller_connection import RequestHandler
from teaselrock.transport.caller_limits import CallerLimit
from teaselrock.transport.caller_limits import CallerLimitObserver
from teaselrock.transport.caller_limits import NoCallerLimitObserver
from teaselrock.transport.caller_reader import CallerProtocol
from teaselrock.transport.caller_reader import CallerReader
from teaselrock.transport.caller_reader import RECEIVE_BYTES
from teaselrock.transport.connection_table import ACCEPT_BATCH
from teaselrock.transport.connection_table import ConnectionTable
from teaselrock.transport.connection_table import DEFAULT_LIMIT
from teaselrock.transport.request_memory import RequestMemory
from teaselrock.transport.unread_responses import UnreadResponses

# Interval at which a closing listener checks for connections that became idle.
CLOSE_POLL_S: Final = 0.05


class CallerListener:
    """Listening socket for callers' connections."""

    def __init__(
        self,
        *,
        handler: RequestHandler,
        memory: RequestMemory | None = None,
        unread_responses: UnreadResponses | None = None,
        observer: CallerLimitObserver = NoCallerLimitObserver(),
        max_connections: int = DEFAULT_LIMIT,
    ) -> None:
        self._handler = handler
        self._memory = memory or RequestMemory()
        self._unread_responses = unread_responses or UnreadResponses(
            observer=observer
        )
        self._observer = observer
        # All connections receive into this buffer, one after the other.
        self._receive_buffer = bytearray(RECEIVE_BYTES)
        self._connections: ConnectionTable[CallerConnection] = ConnectionTable(
            limit=max_connections, observer=observer
        )
        self._is_closing = False
        self._server: asyncio.Server | None = None
        # Tasks that set up connections from the queue of the closed socket.
        self._queued: set[asyncio.Task[object]] = set()

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def address(self) -> tuple[str, int] | None:
        """Host and port of the socket, None if it does not listen."""
        if self._server is None or not self._server.sockets:
            return None
        host, port = self._server.sockets[0].getsockname()[:2]
        return str(host), int(port)

    async def start(self, *, host: str, port: int) -> None:
        """Listen; raises `OSError` if the address cannot be bound."""
        self._server = await asyncio.get_running_loop().create_server(
            self._make_protocol, host, port, backlog=ACCEPT_BATCH
        )
        for listening in self._server.sockets:
            # asyncio accepts as many in a turn as the queue may hold.
            with listening.dup() as queue:
                queue.listen(BACKLOG)

    def begin_close(self) -> None:
        """Close each connection after its pending or next response."""
        self._is_closing = True

    def stop_accepting(self) -> None:
        """Close the listening socket and idle connections.

        Connections that wait to be accepted are accepted first, since closing
        the socket resets them.
        """
        if self._server is not None:
            self._queued = accept_queued(
                self._server.sockets, self._make_protocol
            )
            self._server.close()
        for connection in tuple(self._connections):
            connection.close_idle()

    async def wait_closed(self, *, limit: float) -> None:
        """Wait up to `limit` seconds for requests, then abort the rest."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + limit
        if self._queued:
            await asyncio.wait(self._queued, timeout=limit)
        if limit > 0:
            # Connections that were accepted last are set up in later turns.
            await asyncio.sleep(CLOSE_POLL_S)
        while self._connections and loop.time() < deadline:
            for connection in tuple(self._connections):
                connection.close_idle()
            await asyncio.sleep(CLOSE_POLL_S)
        for connection in tuple(self._connections):
            connection.abort()

    def _make_protocol(self) -> asyncio.StreamReaderProtocol:
        loop = asyncio.get_running_loop()
        reader = CallerReader(loop=loop, held=self._memory.open())
        return CallerProtocol(
            reader=reader,
            accept=lambda _, writer: self._accept(reader, writer),
            buffer=self._receive_buffer,
            on_overflow=self._on_overflow,
            loop=loop,
        )

    def _on_overflow(self) -> None:
        self._observer.on_caller_limit(
            limit=CallerLimit.MEMORY,
            detail='unread bytes of a connection have no room',
        )

    def _accept(
        self, reader: CallerReader, writer: asyncio.StreamWriter
    ) -> Coroutine[None, None, None]:
        """Add a connection at once; the returned coroutine serves it."""
        connection = CallerConnection(
            reader=reader,
            writer=writer,
            handler=self._handler,
            memory=self._memory,
            observer=self._observer,
            table=self._connections,
            unread_responses=self._unread_responses,
            is_closing=lambda: self._is_closing,
        )
        self._connections.add(connection)
        return self._run(connection)

    async def _run(self, connection: CallerConnection) -> None:
        try:
            await connection.run()
        finally:
            self._connections.remove(connection)
