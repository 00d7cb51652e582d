"""Bounds the memory of all responses that a process is receiving.

A size limit for each response is not enough: a faulty server may send without
end on many connections at once.
"""

from collections import defaultdict
from collections.abc import Callable
from typing import Final

# Part of the process's memory for responses under way. The rest is for the
# program, for requests and for complete responses.
MEMORY_SHARE: Final = 1 / 8
# Limit of a process whose settings name no memory.
DEFAULT_LIMIT_BYTES: Final = 64 * 1024 * 1024


def response_limit(memory_bytes: int | None) -> int:
    """Limit of responses under way, in bytes.

    `memory_bytes` is the memory of the process, None if its settings name
    none.
    """
    if memory_bytes is None:
        return DEFAULT_LIMIT_BYTES
    return int(memory_bytes * MEMORY_SHARE)


class HeldResponse:
    """Bytes of one response that is being received."""

    def __init__(
        self,
        *,
        memory: 'ResponseMemory',
        server_id: str,
        abort: Callable[[], None],
    ) -> None:
        self._memory = memory
        self._server_id = server_id
        self._abort = abort
        self._size = 0
        self._is_dropped = False

    @property
    def server_id(self) -> str:
        """Server that sends the response."""
        return self._server_id

    @property
    def size(self) -> int:
        """Bytes received so far."""
        return self._size

    @property
    def is_dropped(self) -> bool:
        """Whether the response had to be dropped to free memory."""
        return self._is_dropped

    def add(self, size: int) -> None:
        """Count received bytes; this may drop this or another response."""
        self._size += size
        self._memory.on_added(self, size)

    def drop(self) -> None:
        """End the exchange, since its memory is needed."""
        self._is_dropped = True
        self._abort()

    def close(self) -> None:
        """Release the bytes; the exchange has ended."""
        self._memory.release(self)


class ResponseMemory:
    """Limit of the bytes of all responses under way, in bytes.

    When it is exceeded, the largest response of the server that holds the
    most bytes is dropped, so that other servers' responses continue.
    """

    def __init__(self, *, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._total_bytes = 0
        self._dropped_count = 0
        self._responses: defaultdict[str, set[HeldResponse]] = defaultdict(set)

    @property
    def total_bytes(self) -> int:
        """Bytes of all responses under way."""
        return self._total_bytes

    @property
    def dropped_count(self) -> int:
        """Number of responses dropped since the start."""
        return self._dropped_count

    def open(
        self, *, server_id: str, abort: Callable[[], None]
    ) -> HeldResponse:
        """Account for a new response; `abort` ends its exchange."""
        response = HeldResponse(memory=self, server_id=server_id, abort=abort)
        self._responses[server_id].add(response)
        return response

    def on_added(self, response: HeldResponse, size: int) -> None:
        """Drop responses until the total is within the limit again."""
        if response not in self._responses.get(response.server_id, ()):
            return
        self._total_bytes += size
        while self._total_bytes > self._limit_bytes:
            largest = self._largest_response()
            self.release(largest)
            self._dropped_count += 1
            largest.drop()

    def release(self, response: HeldResponse) -> None:
        """Stop accounting for a response."""
        responses = self._responses.get(response.server_id)
        if responses is None or response not in responses:
            return
        responses.remove(response)
        if not responses:
            del self._responses[response.server_id]
        self._total_bytes -= response.size

    def _largest_response(self) -> HeldResponse:
        """Largest response of the server that holds the most bytes."""
        heaviest = max(
            self._responses.values(),
            key=lambda responses: sum(response.size for response in responses),
        )
        return max(heaviest, key=lambda response: response.size)
