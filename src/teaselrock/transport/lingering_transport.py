"""Transport whose `close` is a lingering close, for protocols of a library."""

import asyncio
from typing import Any
from typing import Final

from teaselrock.transport.lingering_close import LastResponse
from teaselrock.transport.lingering_close import linger

# Input that is discarded after `close`.
MAX_DISCARDED_BYTES: Final = 1024 * 1024


class LingeringTransport:
    """Transport of a caller's connection.

    `close` closes the wrapped transport after the caller has closed; until
    then the protocol passes the number of received bytes to `discard`, and
    calls `stop_waiting` when the connection ends. All else is delegated.
    """

    def __init__(
        self, *, transport: asyncio.Transport, last_response: LastResponse
    ) -> None:
        self._transport = transport
        self._last_response = last_response
        self._discarded_bytes = 0
        # Set from `close` on.
        self._may_close: asyncio.Event | None = None
        self._closing: asyncio.Task[None] | None = None

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    @property
    def is_lingering(self) -> bool:
        """Whether `close` was called, and the transport is still open."""
        return self._closing is not None and not self._closing.done()

    def is_closing(self) -> bool:
        """Whether nothing may be written any more."""
        return self._closing is not None or self._transport.is_closing()

    def close(self) -> None:
        """Close the transport once the caller has read all responses."""
        if not self.is_closing():
            self._may_close = asyncio.Event()
            self._closing = asyncio.create_task(self._close(self._may_close))

    def discard(self, size: int) -> None:
        """Count received bytes that are discarded."""
        self._discarded_bytes += size
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self.stop_waiting()

    def stop_waiting(self) -> None:
        """Wait no longer; also called when the connection has ended."""
        if self._may_close is not None:
            self._may_close.set()

    async def wait_closed(self) -> None:
        """Wait until a close that has begun is complete."""
        if self._closing is not None:
            await asyncio.wait((self._closing,))

    async def _close(self, may_close: asyncio.Event) -> None:
        async def wait_until_closable() -> None:
            await may_close.wait()

        # The protocol may have paused reading for requests that were queued.
        self._transport.resume_reading()
        try:
            await linger(
                self._transport,
                discard_input=wait_until_closable,
                seconds=self._last_response.linger_s,
            )
        finally:
            self._transport.close()
