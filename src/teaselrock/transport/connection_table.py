"""Open connections of callers, with a limit of their number.

`caller_connection` and `caller_server` share it.
"""

from collections.abc import Iterator
from typing import Final
from typing import Generic
from typing import Protocol
from typing import TypeVar

from teaselrock.transport.caller_limits import CallerLimit
from teaselrock.transport.caller_limits import CallerLimitObserver
from teaselrock.transport.caller_limits import NoCallerLimitObserver

# Part of the process's descriptors for callers. The rest is for servers,
# peers, the store and operators.
DESCRIPTORS_SHARE: Final = 3 / 4
# Part of the process's memory for connections beside their requests, and what
# one takes: a reader, a writer, a parser and two tasks. 1,000 connections were
# measured to take 13 KiB each.
MEMORY_SHARE: Final = 1 / 5
CONNECTION_BYTES: Final = 16 * 1024
# Limit of a process that states neither descriptors nor memory.
DEFAULT_LIMIT: Final = 1000
# Connections accepted in one turn of the loop. They exceed the limit until
# those closed in their place have released their descriptors, some turns
# later.
ACCEPT_BATCH: Final = 4


def connection_limit(*, descriptors: int | None, memory_bytes: int) -> int:
    """Number of callers' connections that a process can hold, at least 1.

    `descriptors` is None if there is no limit of them.
    """
    limit = int(memory_bytes * MEMORY_SHARE / CONNECTION_BYTES)
    if descriptors is not None:
        limit = min(limit, int(descriptors * DESCRIPTORS_SHARE))
    return max(1, limit)


class Connection(Protocol):
    """A connection that can be closed."""

    def abort(self) -> None:
        """Close the connection at once."""
        ...


C = TypeVar('C', bound=Connection)


class ConnectionTable(Generic[C]):
    """Connections by whether they have a request that is served.

    Beyond the limit, the one that waits longest for a request, or for the
    rest of one, is closed. Callers send again what was not read, so that a
    new caller is served in place of one that only keeps a connection.
    """

    def __init__(
        self,
        *,
        limit: int = DEFAULT_LIMIT,
        observer: CallerLimitObserver = NoCallerLimitObserver(),
    ) -> None:
        self._limit = limit
        self._observer = observer
        # In the order in which they began to wait.
        self._waiting: dict[C, None] = {}
        self._serving: set[C] = set()

    def __len__(self) -> int:
        return len(self._waiting) + len(self._serving)

    def __iter__(self) -> Iterator[C]:
        return iter((*self._waiting, *self._serving))

    def add(self, connection: C) -> None:
        """Add a new connection; this may close it or another one."""
        self._waiting[connection] = None
        if len(self) <= self._limit:
            return
        closed = next(iter(self._waiting))
        del self._waiting[closed]
        self._observer.on_caller_limit(
            limit=CallerLimit.CONNECTIONS,
            detail=f'more than {self._limit} connections',
        )
        closed.abort()

    def remove(self, connection: C) -> None:
        """Remove a connection that has ended."""
        self._waiting.pop(connection, None)
        self._serving.discard(connection)

    def begin_service(self, connection: C) -> None:
        """Keep a connection open, since a request of it is served."""
        if connection in self._waiting:
            del self._waiting[connection]
            self._serving.add(connection)

    def end_service(self, connection: C) -> None:
        """The connection waits for its next request from now on."""
        if connection in self._serving:
            self._serving.remove(connection)
            self._waiting[connection] = None
