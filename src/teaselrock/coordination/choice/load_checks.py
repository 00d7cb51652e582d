"""Load checks of several servers at once.

A check asks on the connection that would carry the request, so it also
verifies the connection right before the send. `checked` picks from the
results.
"""

import asyncio
from collections.abc import Sequence
from typing import Final
from typing import NamedTuple

from expression import Error
from expression import Result

from teaselrock.coordination.choice.server_history import ServerHistory
from teaselrock.coordination.connections import ConnectionPool
from teaselrock.coordination.events import Event
from teaselrock.coordination.events import Events
from teaselrock.coordination.ports import BackendConnection
from teaselrock.coordination.ports import BackendConnector
from teaselrock.state import BackendServer
from teaselrock.state import ExchangeFailure
from teaselrock.state import FailureKind
from teaselrock.state import LoadReport

# After the first good answer, the others get this much longer.
STRAGGLER_S: Final = 0.006
# A server that does not answer within this time is not a candidate now.
CHECK_TIMEOUT_S: Final = 0.25


class CheckResult(NamedTuple):
    """A server that answered; times are on the loop's clock."""

    server: BackendServer
    connection: BackendConnection
    load: LoadReport
    started: float
    ended: float


class CheckCounts(NamedTuple):
    """Load checks since the start of the instance."""

    answered: int = 0
    failed: int = 0


class LoadChecks:
    """Asks servers for their load; unused connections go to the pool."""

    def __init__(
        self,
        *,
        connector: BackendConnector,
        connections: ConnectionPool,
        history: ServerHistory,
        events: Events,
    ) -> None:
        self._connector = connector
        self._connections = connections
        self._history = history
        self._events = events
        self._late: set[asyncio.Task[CheckResult | None]] = set()
        self._counts = CheckCounts()

    @property
    def counts(self) -> CheckCounts:
        """Checks that have ended."""
        return self._counts

    async def check(
        self, *, servers: Sequence[BackendServer], deadline: float
    ) -> list[CheckResult]:
        """Check all servers; those that do not answer soon are left out."""
        loop = asyncio.get_running_loop()
        limit = min(deadline, loop.time() + CHECK_TIMEOUT_S)
        tasks = [
            asyncio.create_task(self._check(server, limit))
            for server in servers
        ]
        found: list[CheckResult] = []
        pending = set(tasks)
        try:
            while pending:
                wait = STRAGGLER_S if found else limit - loop.time()
                done, pending = await asyncio.wait(
                    pending,
                    timeout=max(0.0, wait),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    break
                found += [
                    check
                    for task in tasks
                    if task in done and (check := task.result()) is not None
                ]
        except asyncio.CancelledError:
            self.return_connections(found)
            raise
        finally:
            for task in pending:
                self._late.add(task)
                task.add_done_callback(self._on_late)
        return found

    def return_connections(self, checks: Sequence[CheckResult]) -> None:
        """Return connections that carry no request."""
        for check in checks:
            self._connections.checkin(
                server=check.server, connection=check.connection
            )

    async def _check(
        self, server: BackendServer, limit: float
    ) -> CheckResult | None:
        """Check on an idle connection, or on a new one if that is stale."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        connection = self._connections.take_idle(server=server)
        result: Result[LoadReport, ExchangeFailure] | None = None
        if connection is not None:
            result = await connection.check(deadline=limit)
        if result is None or (
            result.is_error() and result.error.kind is not FailureKind.TIMEOUT
        ):
            started = loop.time()
            opened = await self._connector.open(server=server, deadline=limit)
            if opened.is_error():
                result = Error(opened.error)
            else:
                connection = opened.ok
                result = await _checked(connection, limit)
        if result.is_error() or connection is None:
            self._history.note_unreachable(server.server_id)
            self._counts = self._counts._replace(
                failed=self._counts.failed + 1
            )
            return None
        self._counts = self._counts._replace(
            answered=self._counts.answered + 1
        )
        self._history.note_reachable(server.server_id)
        return CheckResult(server, connection, result.ok, started, loop.time())

    def _on_late(self, task: asyncio.Task[CheckResult | None]) -> None:
        self._late.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._events.emit(event=Event.CHECK_FAILED, detail=repr(error))
            return
        check = task.result()
        if check is not None:
            self.return_connections((check,))


async def _checked(
    connection: BackendConnection, limit: float
) -> Result[LoadReport, ExchangeFailure]:
    try:
        result = await connection.check(deadline=limit)
    except asyncio.CancelledError:
        connection.close()
        raise
    if result.is_error():
        connection.close()
    return result
