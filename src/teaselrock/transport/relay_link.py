"""Connections that carry the store's changes within a region.

Implements `RelayLink` on asyncio streams: the instances that watch the store
send its changes to the other instances of the region. A frame is a length in
four bytes and an encoded message. ZeroMQ is not used, to save memory, which
the platform bills: the relay needs only a few connections.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final
from typing import NamedTuple

from teaselrock.coordination.ports import RelayChannel
from teaselrock.protocol import MessageCodec
from teaselrock.protocol.relay_messages import COMPRESSED_RELAY_KINDS
from teaselrock.protocol.relay_messages import MAX_RELAY_BYTES
from teaselrock.protocol.relay_messages import RELAY_KINDS
from teaselrock.transport.tcp_keep_alive import enable_tcp_keep_alive

CONNECT_TIMEOUT_S: Final = 1.0
# Unsent bytes above which a connection is closed.
MAX_QUEUED_BYTES: Final = 2 * MAX_RELAY_BYTES
# Large frames that are kept, since many channels send the same message.
MAX_RECENT_FRAMES: Final = 4
MIN_RECENT_BYTES: Final = 4096
_LENGTH_BYTES: Final = 4


class _FrameEncoder:
    """Encodes frames; a large message of many channels only once."""

    def __init__(self, *, codec: MessageCodec) -> None:
        self._codec = codec
        self._recent: deque[tuple[NamedTuple, bytes]] = deque(
            maxlen=MAX_RECENT_FRAMES
        )

    def encode(self, message: NamedTuple) -> bytes:
        """Length and encoded message."""
        for recent, frame in self._recent:
            if recent is message:
                return frame
        encoded = self._codec.encode(message)
        frame = len(encoded).to_bytes(_LENGTH_BYTES) + encoded
        if len(frame) >= MIN_RECENT_BYTES:
            self._recent.append((message, frame))
        return frame


class StreamChannel:
    """`RelayChannel` on one TCP connection."""

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        codec: MessageCodec,
        frames: _FrameEncoder,
        on_invalid: Callable[[str], None],
    ) -> None:
        self._frames = frames
        self._reader = reader
        self._writer = writer
        self._codec = codec
        self._on_invalid = on_invalid
        enable_tcp_keep_alive(writer)

    def send(self, message: NamedTuple) -> bool:
        """Queue a message; returns False if the connection is lost.

        The connection is closed if more than `MAX_QUEUED_BYTES` are unsent.
        """
        transport = self._writer.transport
        if transport.is_closing():
            return False
        if transport.get_write_buffer_size() > MAX_QUEUED_BYTES:
            transport.abort()
            return False
        self._writer.write(self._frames.encode(message))
        return True

    async def receive(self) -> 'NamedTuple | None':
        """Wait for the next message; None if the connection ended.

        An invalid frame also ends the connection.
        """
        try:
            length = int.from_bytes(
                await self._reader.readexactly(_LENGTH_BYTES)
            )
            if length > MAX_RELAY_BYTES:
                self._on_invalid(
                    f'relay frame of {length} bytes exceeds '
                    f'{MAX_RELAY_BYTES} bytes'
                )
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
    """`RelayLink` over TCP."""

    def __init__(
        self, *, host: str, port: int, on_invalid: Callable[[str], None]
    ) -> None:
        self._host = host
        self._port = port
        self._on_invalid = on_invalid
        self._codec = MessageCodec(
            kinds=RELAY_KINDS,
            max_bytes=MAX_RELAY_BYTES,
            compressed_kinds=COMPRESSED_RELAY_KINDS,
        )
        self._frames = _FrameEncoder(codec=self._codec)
        self._server: asyncio.Server | None = None
        self._channels: set[StreamChannel] = set()

    async def connect(self, *, address: str) -> RelayChannel | None:
        """Connect to an instance; None if it cannot be reached."""
        host, _, port = address.rpartition(':')
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError, ValueError, OverflowError):
            # The last two: no valid port in an address of another writer.
            return None
        return self._channel(reader, writer)

    async def serve(
        self, *, on_channel: Callable[[RelayChannel], Awaitable[None]]
    ) -> None:
        """Listen and call `on_channel` for each accepted connection."""

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
        """Close the listening socket and accepted connections."""
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
            frames=self._frames,
            on_invalid=self._on_invalid,
        )
