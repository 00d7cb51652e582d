"""Loopback TCP proxy that delays, resets or blackholes connections."""

import asyncio
import enum
import socket
import struct
from typing import Final

READ_BYTES: Final = 65536
# SO_LINGER with a timeout of 0: closing the socket sends a reset.
RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)


class Mode(enum.Enum):
    """What the proxy does with connections and the bytes on them."""

    PASS = 'pass'
    DELAY = 'delay'
    RESET = 'reset'
    BLACKHOLE = 'blackhole'
    DROP_RESPONSES = 'drop-responses'


class Proxy:
    """Forwards TCP connections to one address."""

    def __init__(self, *, target: str) -> None:
        self._target = target
        self._mode = Mode.PASS
        self._delay_s = 0.0
        self._unblocked = asyncio.Event()
        self._unblocked.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def mode(self) -> Mode:
        """The current mode."""
        return self._mode

    async def start(self) -> str:
        """Listen; returns the address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    def set_mode(self, mode: Mode, *, delay_s: float = 0.0) -> None:
        """Change the mode; `delay_s` applies in each direction."""
        self._mode = mode
        self._delay_s = delay_s
        if mode in (Mode.PASS, Mode.DELAY):
            self._unblocked.set()
        else:
            self._unblocked.clear()
        if mode is Mode.RESET:
            self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in tuple(self._writers):
            connection = writer.get_extra_info('socket')
            if connection is not None:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            writer.transport.abort()

    def stop(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        self._unblocked.set()
        self.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        target_writer: asyncio.StreamWriter | None = None
        try:
            if self._mode is Mode.RESET:
                self.reset()
                return
            host, _, port = self._target.rpartition(':')
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
            self._writers.add(target_writer)
            tasks = [
                asyncio.create_task(
                    self._forward(reader, target_writer, False)
                ),
                asyncio.create_task(
                    self._forward(target_reader, writer, True)
                ),
            ]
            try:
                await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
        except OSError:
            # The target is down; the caller sees a closed connection.
            return
        finally:
            for open_writer in (writer, target_writer):
                if open_writer is not None:
                    self._writers.discard(open_writer)
                    open_writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_response: bool,
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if self._mode is Mode.BLACKHOLE or (
                is_response and self._mode is Mode.DROP_RESPONSES
            ):
                # These bytes are lost, as on a cut link.
                await self._unblocked.wait()
                return
            if self._delay_s:
                await asyncio.sleep(self._delay_s)
            writer.write(data)
            await writer.drain()
