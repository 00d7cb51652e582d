"""Concurrent load checks of several servers.

A check uses the connection that would carry the request, so it also verifies
that connection right before use. `checked_slots` chooses from the results.
"""

import asyncio
from collections.abc import Sequence
import functools
from typing import Final
from typing import NamedTuple

from expression import Error
from expression import Result

from teaselrock.coordination.choice.server_history import ServerHistory
from teaselrock.coordination.choice.server_notices import ServerNotices
from teaselrock.coordination.connections import ConnectionPool
from teaselrock.coordination.events import Event
from teaselrock.coordination.events import Events
from teaselrock.coordination.ports import BackendConnection
from teaselrock.coordination.ports import BackendConnector
from teaselrock.state import BackendServer
from teaselrock.state import ExchangeFailure
from teaselrock.state import FailureKind
from teaselrock.state import LoadReport

# Once a server has answered, `check` waits at most this long for each further
# answer. Checks that answer later continue until `CHECK_TIMEOUT_S`, and their
# connections go to the pool.
LATE_ANSWER_TIMEOUT_S: Final = 0.006
# A server that does not answer within this time is no candidate.
CHECK_TIMEOUT_S: Final = 0.25
# While checks wait for a first answer, a timer ends at least this often. If
# one ends later than `MIN_STALL_S` after its time, the process did not run,
# and answers that arrived meanwhile look like timeouts.
STALL_POLL_S: Final = 0.05
MIN_STALL_S: Final = 0.05


class CheckResult(NamedTuple):
    """An answered load check; times are on the loop's clock, in seconds."""

    server: BackendServer
    connection: BackendConnection
    load: LoadReport
    started_at: float
    ended_at: float


class _CheckRound(NamedTuple):
    """Answers of servers that were checked together.

    `is_stalled` tells that the process did not run for some time, so that
    servers without an answer may be reachable.
    """

    results: list[CheckResult]
    is_stalled: bool


class CheckCounts(NamedTuple):
    """Numbers of load checks since the start of the instance."""

    answered: int = 0
    failed: int = 0


class LoadChecks:
    """Checks the load of servers; unused connections go to the pool."""

    def __init__(
        self,
        *,
        connector: BackendConnector,
        connections: ConnectionPool,
        history: ServerHistory,
        notices: ServerNotices,
        events: Events,
    ) -> None:
        self._connector = connector
        self._pool = connections
        self._history = history
        self._notices = notices
        self._events = events
        self._late_checks: set[asyncio.Task[CheckResult | None]] = set()
        self._counts = CheckCounts()

    @property
    def counts(self) -> CheckCounts:
        """Numbers of checks that have ended."""
        return self._counts

    async def check(
        self, *, servers: Sequence[BackendServer], deadline: float
    ) -> list[CheckResult]:
        """Check all servers; those that answer too late are left out.

        `deadline` is on the loop's clock. If no server has answered and the
        process itself did not run for a part of the time, the check is
        repeated once.
        """
        checked = await self._check_once(servers, deadline)
        if (
            checked.is_stalled
            and not checked.results
            and asyncio.get_running_loop().time() < deadline
        ):
            checked = await self._check_once(servers, deadline)
        return checked.results

    async def _check_once(
        self, servers: Sequence[BackendServer], deadline: float
    ) -> _CheckRound:
        loop = asyncio.get_running_loop()
        check_deadline = min(deadline, loop.time() + CHECK_TIMEOUT_S)
        tasks = {
            asyncio.create_task(self._check(server, check_deadline)): server
            for server in servers
        }
        results: list[CheckResult] = []
        pending = set(tasks)
        is_stalled = False
        try:
            while pending:
                now = loop.time()
                wake_at = (
                    now + LATE_ANSWER_TIMEOUT_S
                    if results
                    else min(check_deadline, now + STALL_POLL_S)
                )
                done, pending = await asyncio.wait(
                    pending,
                    timeout=max(0.0, wake_at - now),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                now = loop.time()
                is_stalled = is_stalled or now - wake_at > MIN_STALL_S
                for task, server in tasks.items():
                    if task not in done:
                        continue
                    check = task.result()
                    self._record(server, check, is_stalled)
                    if check is not None:
                        results.append(check)
                if not done and (results or now >= check_deadline):
                    break
        except asyncio.CancelledError:
            self.put_back(results)
            raise
        finally:
            for task in pending:
                self._late_checks.add(task)
                task.add_done_callback(
                    functools.partial(
                        self._on_late_check, tasks[task], is_stalled
                    )
                )
        return _CheckRound(results, is_stalled)

    def put_back(self, checks: Sequence[CheckResult]) -> None:
        """Return the unused connections of checks to the pool."""
        for check in checks:
            self._pool.put_back(
                server=check.server, connection=check.connection
            )

    async def _check(
        self, server: BackendServer, check_deadline: float
    ) -> CheckResult | None:
        """Check on an idle connection or a new one.

        A new one is opened if none is idle, or if the check on the idle one
        fails other than by a timeout.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        connection = self._pool.take_idle(server=server)
        result: Result[LoadReport, ExchangeFailure] | None = None
        if connection is not None:
            result = await connection.check_load(deadline=check_deadline)
        if result is None or (
            result.is_error() and result.error.kind is not FailureKind.TIMEOUT
        ):
            started_at = loop.time()
            opened = await self._connector.connect_unchecked(
                server=server, deadline=check_deadline
            )
            if opened.is_error():
                result = Error(opened.error)
            else:
                connection = opened.ok
                result = await _check_connection(connection, check_deadline)
        if result.is_error() or connection is None:
            return None
        return CheckResult(
            server, connection, result.ok, started_at, loop.time()
        )

    def _record(
        self,
        server: BackendServer,
        check: CheckResult | None,
        is_stalled: bool,
    ) -> None:
        """Count an ended check, and record what it tells of the server."""
        if check is not None:
            self._counts = self._counts._replace(
                answered=self._counts.answered + 1
            )
            self._history.record_reachable(server.server_id)
            self._notices.observe(server=server, load=check.load)
            return
        self._counts = self._counts._replace(failed=self._counts.failed + 1)
        if not is_stalled:
            self._history.record_unreachable(server.server_id)

    def _on_late_check(
        self,
        server: BackendServer,
        is_stalled: bool,
        task: asyncio.Task[CheckResult | None],
    ) -> None:
        self._late_checks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._events.emit(event=Event.CHECK_FAILED, detail=repr(error))
            return
        check = task.result()
        self._record(server, check, is_stalled)
        if check is not None:
            self.put_back((check,))


async def _check_connection(
    connection: BackendConnection, check_deadline: float
) -> Result[LoadReport, ExchangeFailure]:
    try:
        result = await connection.check_load(deadline=check_deadline)
    except asyncio.CancelledError:
        connection.close()
        raise
    if result.is_error():
        connection.close()
    return result
