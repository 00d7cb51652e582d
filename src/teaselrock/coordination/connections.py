"""Pool of connections to backend servers.

`attempts` takes a connection for one exchange. A connection is used
only if the server's start id is that of the slot, so a restart is detected
before a request reaches the cold server.
"""

import asyncio
from collections import defaultdict
from collections import deque
from typing import Final
from typing import Protocol

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination.ports import BackendConnection
from teaselrock.coordination.ports import BackendConnector
from teaselrock.state import BackendServer
from teaselrock.state import ExchangeFailure
from teaselrock.state import FailureKind
from teaselrock.state import Verdict

# A backend server accepts about 200 connections in total, from all instances.
DEFAULT_MAX_IDLE_CONNECTIONS: Final = 200


class IdleLimit(Protocol):
    """Limits the idle connections that are kept to each server."""

    def max_idle(self, *, server: BackendServer) -> int:
        """Return the number of idle connections, 0 for a removed server."""
        ...


class FixedIdleLimit:
    """`IdleLimit` with the same number for all servers."""

    def __init__(self, *, count: int = DEFAULT_MAX_IDLE_CONNECTIONS) -> None:
        self._count = count

    def max_idle(self, *, server: BackendServer) -> int:
        """Return the fixed number, for unknown servers too."""
        return self._count


class ConnectionPool:
    """Idle connections by server; the most recently used is taken first."""

    def __init__(
        self,
        *,
        connector: BackendConnector,
        idle_limit: IdleLimit | None = None,
    ) -> None:
        self._connector = connector
        self._idle_limit = idle_limit or FixedIdleLimit()
        self._idle: dict[str, deque[BackendConnection]] = defaultdict(deque)

    @property
    def idle_count(self) -> int:
        """Number of idle connections to all servers."""
        return sum(len(idle) for idle in self._idle.values())

    async def take(
        self, *, server: BackendServer, start_id: str, deadline: float
    ) -> Result[BackendConnection, ExchangeFailure]:
        """Take an idle connection or open one.

        Fails with `SERVER_CHANGED` if the server's start id is not `start_id`;
        '' matches any. The start id is unknown if the connector reads no load
        report; the request then names the server that may run it.
        """
        connection = self.take_idle(server=server, start_id=start_id)
        if connection is not None:
            return Ok(connection)
        opened = await self._connector.connect(
            server=server, deadline=deadline
        )
        if opened.is_error():
            return opened
        connection = opened.ok
        found = connection.load.start_id
        if not start_id or not found or start_id == found:
            return Ok(connection)
        # The server has a new start id; the connection is kept for the slots
        # that the allocator grants for it next.
        self.put_back(server=server, connection=connection)
        return Error(
            ExchangeFailure(
                FailureKind.SERVER_CHANGED,
                Verdict.DID_NOT_RUN,
                f'{server.server_id} has restarted: start id '
                f'{found}, expected {start_id}',
                connection.load,
            )
        )

    def take_idle(
        self, *, server: BackendServer, start_id: str = ''
    ) -> BackendConnection | None:
        """Take an open idle connection, None if there is none.

        Connections that are closed, or whose start id is not `start_id`, are
        closed and dropped; '' matches any.
        """
        idle = self._idle[server.server_id]
        while idle:
            connection = idle.pop()
            if connection.is_open and start_id in (
                '',
                connection.load.start_id,
            ):
                return connection
            connection.close()
        return None

    def drop(self, *, server_id: str) -> None:
        """Close the idle connections to a removed server."""
        for connection in self._idle.pop(server_id, ()):
            connection.close()

    def put_back(
        self, *, server: BackendServer, connection: BackendConnection
    ) -> None:
        """Return a connection; close it if it is closed or above the limit."""
        idle = self._idle[server.server_id]
        remaining = self._idle_limit.max_idle(server=server) - len(idle)
        if connection.is_open and remaining > 0:
            idle.append(connection)
        else:
            connection.close()

    def prune(self) -> None:
        """Close idle connections that the server has closed.

        A connection that only the server has closed keeps its file
        descriptor until this end closes it too.
        """
        for server_id, idle in list(self._idle.items()):
            kept = deque(entry for entry in idle if entry.is_open)
            for connection in idle:
                if not connection.is_open:
                    connection.close()
            if kept:
                self._idle[server_id] = kept
            else:
                del self._idle[server_id]

    async def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            while idle:
                idle.pop().close()
        # The transports close in the next iteration of the event loop.
        await asyncio.sleep(0)
