"""Limits on what callers make a process hold, and who observes them."""

import enum
from typing import Final
from typing import Protocol

# Bytes that the framing of a chunked body takes, beside as many as its
# content, before the body counts as finely chunked. A body of 50 KiB may come
# in chunks of one byte, one of any size in chunks of six bytes or more.
MAX_FRAMING_BYTES: Final = 256 * 1024
# Bytes that are parsed in one turn of the loop from a body in small chunks,
# each of which takes time. Other connections then get their turn.
SMALL_CHUNKS_READ_BYTES: Final = 4096


class CallerLimit(enum.StrEnum):
    """A limit that a caller's request or connection met."""

    MEMORY = 'memory'
    BODY_TIME = 'body-time'
    CHUNK_FRAMING = 'chunk-framing'
    CONNECTIONS = 'connections'
    UNREAD_RESPONSES = 'unread-responses'


class CallerLimitObserver(Protocol):
    """Receives the limits that callers meet."""

    def on_caller_limit(self, *, limit: CallerLimit, detail: str) -> None:
        """Record that a request was rejected or a connection closed."""
        ...


class NoCallerLimitObserver:
    """`CallerLimitObserver` that drops everything."""

    def on_caller_limit(self, *, limit: CallerLimit, detail: str) -> None:
        """Drop an observation."""
