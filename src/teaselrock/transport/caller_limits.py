"""Limits on what callers make a process hold, and who observes them."""

import enum
from typing import Final
from typing import Protocol

# Bytes that the framing of a chunked body may take, beside as many as its
# content. A body of 50 KiB may come in chunks of one byte, one of any size in
# chunks of six bytes or more.
MAX_FRAMING_BYTES: Final = 256 * 1024


class CallerLimit(enum.StrEnum):
    """A limit that a caller's request or connection met."""

    MEMORY = 'memory'
    BODY_TIME = 'body-time'
    CHUNK_FRAMING = 'chunk-framing'
    CONNECTIONS = 'connections'


class CallerLimitObserver(Protocol):
    """Receives the limits that callers meet."""

    def on_caller_limit(self, *, limit: CallerLimit, detail: str) -> None:
        """Record that a request was rejected or a connection closed."""
        ...


class NoCallerLimitObserver:
    """`CallerLimitObserver` that drops everything."""

    def on_caller_limit(self, *, limit: CallerLimit, detail: str) -> None:
        """Drop an observation."""
