"""Stream of the bytes that a caller sends on one connection."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import Final

from teaselrock.transport.request_memory import HeldRequest

# Bytes that one receive call takes from the kernel at most.
RECEIVE_BYTES: Final = 64 * 1024
# The transport stops receiving while twice as many bytes are unread.
READ_AHEAD_BYTES: Final = 16 * 1024


class CallerReader(asyncio.StreamReader):
    """Stream whose unread bytes are accounted for."""

    def __init__(
        self, *, loop: asyncio.AbstractEventLoop, held: HeldRequest
    ) -> None:
        super().__init__(limit=READ_AHEAD_BYTES, loop=loop)
        self._held = held
        self._unread_bytes = 0

    def reserve(self, size: int) -> bool:
        """Count `size` more bytes; False if the memory has no room."""
        if not self._held.resize(self._unread_bytes + size):
            return False
        self._unread_bytes += size
        return True

    async def read(self, n: int = -1) -> bytes:
        """Read up to `n` bytes; b'' at the end of the stream."""
        data = await super().read(n)
        self._unread_bytes -= len(data)
        self._held.resize(self._unread_bytes)
        return data

    def close(self) -> None:
        """Stop counting; the connection has ended."""
        self._held.release()


class CallerProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """Receives into a buffer that all connections of a listener share.

    Without it, asyncio receives up to 256 KiB at once. The buffer is free
    again after each call, since `buffer_updated` follows `get_buffer` in the
    same turn of the loop. If the memory has no room for what arrives, the
    connection is aborted.
    """

    def __init__(
        self,
        *,
        reader: CallerReader,
        accept: Callable[
            [asyncio.StreamReader, asyncio.StreamWriter],
            Coroutine[None, None, None],
        ],
        buffer: bytearray,
        on_overflow: Callable[[], None],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        super().__init__(reader, accept, loop=loop)
        self._buffer = buffer
        self._on_overflow = on_overflow
        # Bound here, since the protocol keeps no reference to its reader.
        self._reserve = reader.reserve
        self._caller_transport: asyncio.BaseTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the transport at the start."""
        self._caller_transport = transport
        super().connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the transport at the end."""
        self._caller_transport = None
        super().connection_lost(exc)

    def get_buffer(self, sizehint: int) -> Any:
        """Return the buffer to receive into."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Called by the transport with the number of bytes received."""
        if self._reserve(nbytes):
            self.data_received(bytes(memoryview(self._buffer)[:nbytes]))
        elif isinstance(self._caller_transport, asyncio.Transport):
            self._on_overflow()
            self._caller_transport.abort()
