"""Connections between instances of a region, on asyncio streams.

Implements `RelayLink`. A frame is its length in four bytes and a message of
the codec. ZeroMQ is not used here: the platform bills memory, and the relay
needs a few connections only.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final
from typing import NamedTuple

from teaselrock.coordination.ports import RelayChannel
from teaselrock.protocol import MessageCodec
from teaselrock.protocol.relay_messages import MAX_RELAY_BYTES
from teaselrock.protocol.relay_messages import RELAY_KINDS
from teaselrock.transport.sockets import keep_alive

CONNECT_TIMEOUT_S: Final = 1.0
MAX_QUEUED_BYTES: Final = 2 * MAX_RELAY_BYTES
_LENGTH_BYTES: Final = 4


class StreamChannel:
    """One connection."""

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        codec: MessageCodec,
        on_invalid: Callable[[str], None],
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._codec = codec
        self._on_invalid = on_invalid
        keep_alive(writer)

    def send(self, message: NamedTuple) -> bool:
        """Queue a message."""
        transport = self._writer.transport
        if transport.is_closing():
            return False
        if transport.get_write_buffer_size() > MAX_QUEUED_BYTES:
            transport.abort()
            return False
        frame = self._codec.encode(message)
        self._writer.write(len(frame).to_bytes(_LENGTH_BYTES) + frame)
        return True

    async def receive(self) -> 'NamedTuple | None':
        """Wait for the next message, None at the end."""
        try:
            length = int.from_bytes(
                await self._reader.readexactly(_LENGTH_BYTES)
            )
            if length > MAX_RELAY_BYTES:
                self._on_invalid(f'{length} bytes is too large')
                return None
            frame = await self._reader.readexactly(length)
        except (OSError, asyncio.IncompleteReadError):
            return None
        decoded = self._codec.decode(frame)
        if decoded.is_error():
            self._on_invalid(decoded.error.detail)
            return None
        return decoded.ok

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


class StreamRelayLink:
    """`RelayLink` on TCP."""

    def __init__(
        self, *, host: str, port: int, on_invalid: Callable[[str], None]
    ) -> None:
        self._host = host
        self._port = port
        self._on_invalid = on_invalid
        self._codec = MessageCodec(
            kinds=RELAY_KINDS, max_bytes=MAX_RELAY_BYTES
        )
        self._server: asyncio.Server | None = None
        self._channels: set[StreamChannel] = set()

    async def connect(self, *, address: str) -> RelayChannel | None:
        """Connect to an instance."""
        host, _, port = address.rpartition(':')
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError, ValueError):
            return None
        return self._channel(reader, writer)

    async def serve(
        self, *, on_channel: Callable[[RelayChannel], Awaitable[None]]
    ) -> None:
        """Accept connections."""

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            channel = self._channel(reader, writer)
            self._channels.add(channel)
            try:
                await on_channel(channel)
            finally:
                self._channels.discard(channel)
                channel.close()

        self._server = await asyncio.start_server(
            accept, self._host, self._port
        )

    def close(self) -> None:
        """Close the port and accepted connections."""
        if self._server is not None:
            self._server.close()
        for channel in tuple(self._channels):
            channel.close()

    def _channel(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> StreamChannel:
        return StreamChannel(
            reader=reader,
            writer=writer,
            codec=self._codec,
            on_invalid=self._on_invalid,
        )
