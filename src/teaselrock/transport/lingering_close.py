"""Lingering close, which loses no responses on their way to a caller.

A socket that is closed while input is unread, or that gets input afterwards,
resets its connection. The reset makes the kernel discard what it has not
delivered, and a caller that sends requests ahead does not know yet that
nothing may follow. So the gateway first shuts down sending, and discards
input until the caller closes too (RFC 9112, section 9.6).

`caller_connection` and `lingering_transport` use it.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import fcntl
import socket
import struct
import termios
from typing import Final

# Time for which the connection stays open after the caller has acknowledged
# everything, so that its program can read it and close.
LINGER_S: Final = 1.0
# A connection whose last response is older than this is closed at once if the
# caller has acknowledged it.
RECENT_RESPONSE_S: Final = 0.5
# A caller that acknowledges nothing for this time loses the responses.
MAX_SILENCE_S: Final = 10.0
# Interval between two looks at what is acknowledged.
_POLL_S: Final = 0.1
_INT: Final = struct.Struct('i')


class LastResponse:
    """Last response on a connection, which decides how long to linger."""

    def __init__(self) -> None:
        self._announces_end = False
        self._written_at = float('-inf')

    @property
    def linger_s(self) -> float:
        """Seconds to linger after the caller has acknowledged everything.

        Not positive if the connection may be closed at once.
        """
        if self._announces_end:
            return LINGER_S
        now = asyncio.get_running_loop().time()
        return RECENT_RESPONSE_S - (now - self._written_at)

    def record(self, *, announces_end: bool) -> None:
        """Record a written response; `announces_end` if it was the last."""
        self._announces_end = announces_end
        self._written_at = asyncio.get_running_loop().time()


async def linger(
    transport: asyncio.WriteTransport,
    *,
    discard_input: Callable[[], Awaitable[None]],
    seconds: float,
) -> None:
    """Shut down sending, and wait until the connection may be closed.

    `discard_input` returns when the caller has closed or has sent too much;
    it may be cancelled and called again. The wait ends `seconds` after
    everything was acknowledged. If nothing more is acknowledged for
    `MAX_SILENCE_S`, the transport is aborted. Raises `OSError` if
    `discard_input` does.
    """
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + MAX_SILENCE_S
    remaining = _unacknowledged_bytes(transport)
    if remaining == 0:
        ends_at = loop.time() + seconds
    while True:
        now = loop.time()
        if now >= ends_at:
            if remaining > 0:
                transport.abort()
            return
        # Has an effect only the first time.
        transport.write_eof()
        try:
            async with asyncio.timeout_at(min(ends_at, now + _POLL_S)):
                await discard_input()
                return
        except TimeoutError:
            before, remaining = remaining, _unacknowledged_bytes(transport)
            if remaining < before:
                ends_at = loop.time() + (
                    MAX_SILENCE_S if remaining > 0 else seconds
                )


def _unacknowledged_bytes(transport: asyncio.WriteTransport) -> int:
    """Bytes that the caller's system has not acknowledged.

    The end counts as one. 0 for those in the kernel if it does not tell.
    """
    buffered = transport.get_write_buffer_size()
    connected: socket.socket | None = transport.get_extra_info('socket')
    if connected is None or connected.fileno() < 0:
        return buffered
    try:
        answer = fcntl.ioctl(
            connected.fileno(), termios.TIOCOUTQ, bytes(_INT.size)
        )
    except OSError:
        return buffered
    return buffered + int(_INT.unpack(answer)[0])
