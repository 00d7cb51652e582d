"""Loopback proxy that delays, resets, silences or cuts connections."""

import asyncio
import enum
import socket
import struct
from typing import Final

READ_BYTES: Final = 65536
# A closed socket with this option sends a reset.
RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)


class Mode(enum.Enum):
    """What happens to bytes on their way."""

    PASS = 'pass'
    DELAY = 'delay'
    RESET = 'reset'
    SILENCE = 'silence'
    NO_ANSWERS = 'no-answers'


class Proxy:
    """Forwards TCP connections to one address."""

    def __init__(self, *, target: str) -> None:
        self._target = target
        self._mode = Mode.PASS
        self._delay = 0.0
        self._healed = asyncio.Event()
        self._healed.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def mode(self) -> Mode:
        """The mode in force."""
        return self._mode

    async def start(self) -> str:
        """Listen; returns the address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    def set_mode(self, mode: Mode, *, delay: float = 0.0) -> None:
        """Change the mode; `delay` is in seconds, one way."""
        self._mode = mode
        self._delay = delay
        if mode in (Mode.PASS, Mode.DELAY):
            self._healed.set()
        else:
            self._healed.clear()
        if mode is Mode.RESET:
            self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in tuple(self._writers):
            found = writer.get_extra_info('socket')
            if found is not None:
                found.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            writer.transport.abort()

    def stop(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        self._healed.set()
        self.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        other: asyncio.StreamWriter | None = None
        try:
            if self._mode is Mode.RESET:
                self.reset()
                return
            host, _, port = self._target.rpartition(':')
            back, other = await asyncio.open_connection(host, int(port))
            self._writers.add(other)
            tasks = [
                asyncio.create_task(self._pump(reader, other, False)),
                asyncio.create_task(self._pump(back, writer, True)),
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
            for one in (writer, other):
                if one is not None:
                    self._writers.discard(one)
                    one.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_answer: bool,
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if self._mode is Mode.SILENCE or (
                is_answer and self._mode is Mode.NO_ANSWERS
            ):
                # What was held back is lost, as on a cut link.
                await self._healed.wait()
                return
            if self._delay:
                await asyncio.sleep(self._delay)
            writer.write(data)
            await writer.drain()
