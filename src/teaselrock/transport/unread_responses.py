"""Bounds the memory of complete responses that callers have not read.

A caller may request large responses and read them slowly or not at all, on
many connections at once. `response_memory` bounds responses until they are
complete.
"""

from collections.abc import Callable
from typing import Final

from teaselrock.transport.caller_limits import CallerLimit
from teaselrock.transport.caller_limits import CallerLimitObserver
from teaselrock.transport.caller_limits import NoCallerLimitObserver
from teaselrock.transport.request_memory import DEFAULT_MEMORY_BYTES

# Part of the process's memory for complete responses.
MEMORY_SHARE: Final = 1 / 8
# A connection gives way only if it holds at least this share of what the
# largest one holds, so that callers with small responses keep them.
LARGE_SHARE: Final = 1 / 2


class UnreadBytes:
    """Bytes of the complete responses of one connection."""

    def __init__(
        self, *, account: 'UnreadResponses', abort: Callable[[], None]
    ) -> None:
        self._account = account
        self._abort = abort
        self._size = 0
        self._is_closed = False

    @property
    def size(self) -> int:
        """Bytes of the responses that are not sent completely."""
        return self._size

    def add(self, size: int) -> None:
        """Count a complete response; this may abort connections."""
        if size == 0 or self._is_closed:
            return
        self._size += size
        self._account.on_added(self, size)

    def remove(self, size: int) -> None:
        """Stop counting a response that was passed to the transport."""
        if self._is_closed:
            return
        self._size -= size
        self._account.on_removed(self, size)

    def close(self) -> None:
        """Stop counting; the connection has ended."""
        self.remove(self._size)
        self._is_closed = True

    def abort(self) -> None:
        """Close the connection, since its memory is needed."""
        self.close()
        self._abort()


class UnreadResponses:
    """Limit of the bytes of all complete responses.

    It follows from `memory_bytes`, the memory of the whole process. When it
    is exceeded, connections are aborted until it is met: of those that hold
    much, the one that has held something for the longest time.
    """

    def __init__(
        self,
        *,
        memory_bytes: int = DEFAULT_MEMORY_BYTES,
        observer: CallerLimitObserver = NoCallerLimitObserver(),
    ) -> None:
        self._limit_bytes = int(memory_bytes * MEMORY_SHARE)
        self._observer = observer
        self._total_bytes = 0
        # Connections with unread bytes, in the order in which they began to
        # have some.
        self._holders: dict[UnreadBytes, None] = {}

    @property
    def total_bytes(self) -> int:
        """Bytes of all responses that are not sent completely."""
        return self._total_bytes

    def open(self, *, abort: Callable[[], None]) -> UnreadBytes:
        """Account for a new connection; `abort` closes it at once."""
        return UnreadBytes(account=self, abort=abort)

    def on_added(self, holder: UnreadBytes, size: int) -> None:
        """Abort connections until the total is within the limit again."""
        self._total_bytes += size
        self._holders[holder] = None
        while self._total_bytes > self._limit_bytes:
            chosen = self._choose()
            self._observer.on_caller_limit(
                limit=CallerLimit.UNREAD_RESPONSES,
                detail=f'{chosen.size} bytes of responses were not read',
            )
            chosen.abort()

    def on_removed(self, holder: UnreadBytes, size: int) -> None:
        """Stop counting a response or all of a connection."""
        self._total_bytes -= size
        if holder.size == 0:
            self._holders.pop(holder, None)

    def _choose(self) -> UnreadBytes:
        """Connection to abort."""
        largest = max(holder.size for holder in self._holders)
        return next(
            holder
            for holder in self._holders
            if holder.size >= LARGE_SHARE * largest
        )
