"""Stream of the bytes that a backend server sends on one connection."""

import asyncio
from collections.abc import Callable
from typing import Any
from typing import Final

READ_BYTES: Final = 65536


def _ignore() -> None:
    pass


class ResponseReader(asyncio.StreamReader):
    """Stream that keeps no bytes that arrive outside an exchange.

    They may be a late response, which must not become that of the next
    request, or a stream without an end.
    """

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(limit=READ_BYTES, loop=loop)
        self._unread_bytes = 0
        self._on_arrival: Callable[[], None] = _ignore
        self._on_unexpected: Callable[[], None] | None = None

    @property
    def unread_bytes(self) -> int:
        """Bytes that have arrived and have not been read."""
        return self._unread_bytes

    def expect_data(self, on_arrival: Callable[[], None]) -> None:
        """Keep arriving bytes until `reject_data`; call `on_arrival`."""
        self._on_arrival = on_arrival
        self._on_unexpected = None

    def reject_data(self, on_unexpected: Callable[[], None]) -> None:
        """Drop arriving bytes and call `on_unexpected`."""
        self._on_arrival = _ignore
        self._on_unexpected = on_unexpected

    def feed_data(self, data: Any) -> None:
        """Called by the transport with bytes that arrived."""
        if self._on_unexpected is not None:
            self._on_unexpected()
            return
        self._on_arrival()
        self._unread_bytes += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Read up to `n` bytes; b'' at the end of the stream."""
        data = await super().read(n)
        self._unread_bytes -= len(data)
        return data


async def open_stream(
    host: str, port: int
) -> tuple[ResponseReader, asyncio.StreamWriter]:
    """Connect like `asyncio.open_connection`, with another reader."""
    loop = asyncio.get_running_loop()
    reader = ResponseReader(loop=loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)
