"""Pool of connections to backend servers, bound to start ids.

`dispatch` checks connections out for one exchange. A connection to another
start than the slot's is never used, so a restart is noticed before the
first request reaches the cold server.
"""

import asyncio
from collections import defaultdict
from collections import deque
from typing import Final

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination.ports import BackendConnection
from teaselrock.coordination.ports import BackendConnector
from teaselrock.state import BackendServer
from teaselrock.state import ExchangeFailure
from teaselrock.state import FailureKind
from teaselrock.state import Verdict

# A backend server holds about 200 connections in all.
MAX_IDLE_CONNECTIONS: Final = 200


class ConnectionPool:
    """Idle connections by server, newest first."""

    def __init__(
        self,
        *,
        connector: BackendConnector,
        max_idle: int = MAX_IDLE_CONNECTIONS,
    ) -> None:
        self._connector = connector
        self._max_idle = max_idle
        self._idle: dict[str, deque[BackendConnection]] = defaultdict(deque)

    async def checkout(
        self, *, server: BackendServer, start_id: str, deadline: float
    ) -> Result[BackendConnection, ExchangeFailure]:
        """Take a connection to the start `start_id` ('' for any start)."""
        connection = self.take_idle(server=server, start_id=start_id)
        if connection is not None:
            return Ok(connection)
        opened = await self._connector.connect(
            server=server, deadline=deadline
        )
        if opened.is_error():
            return opened
        connection = opened.ok
        if start_id in ('', connection.load.start_id):
            return Ok(connection)
        # The server is live under a new start id; the connection stays in
        # the pool for the slots that the allocator grants next.
        self.checkin(server=server, connection=connection)
        return Error(
            ExchangeFailure(
                FailureKind.START_ID,
                Verdict.DID_NOT_RUN,
                f'{server.server_id} has restarted',
                connection.load,
            )
        )

    def take_idle(
        self, *, server: BackendServer, start_id: str = ''
    ) -> BackendConnection | None:
        """Take an open idle connection, None if there is none."""
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
        """Close the idle connections to a server that is gone."""
        for connection in self._idle.pop(server_id, ()):
            connection.close()

    def checkin(
        self, *, server: BackendServer, connection: BackendConnection
    ) -> None:
        """Return a connection; it is closed if not reusable."""
        idle = self._idle[server.server_id]
        if connection.is_open and len(idle) < self._max_idle:
            idle.append(connection)
        else:
            connection.close()

    async def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            while idle:
                idle.pop().close()
        await asyncio.sleep(0)
