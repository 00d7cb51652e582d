"""Options of TCP sockets that `backend` and `relay_link` share."""

import asyncio
import socket
from typing import Final

# Probes of a silent connection, so that a lost path is noticed in about 3 s.
KEEP_ALIVE_IDLE_S: Final = 1
KEEP_ALIVE_INTERVAL_S: Final = 1
KEEP_ALIVE_PROBES: Final = 2
UNACKNOWLEDGED_MS: Final = 2500


def keep_alive(writer: asyncio.StreamWriter) -> None:
    """Notice a path that drops everything."""
    found = writer.get_extra_info('socket')
    if found is None:
        return
    found.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    ):
        found.setsockopt(socket.IPPROTO_TCP, option, value)
