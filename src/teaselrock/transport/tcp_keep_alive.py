"""TCP keep-alive options for the connections of `backend` and `relay_link`.

HTTP's keep-alive is unrelated.
"""

import asyncio
import socket
from typing import Final

# With these values a lost network path is detected in about 3 s.
KEEP_ALIVE_IDLE_S: Final = 1
KEEP_ALIVE_INTERVAL_S: Final = 1
KEEP_ALIVE_PROBES: Final = 2
USER_TIMEOUT_MS: Final = 2500


def enable_tcp_keep_alive(writer: asyncio.StreamWriter) -> None:
    """Enable TCP keep-alive probes and a time limit for unacknowledged data.

    They detect a network path that drops all packets.
    """
    sock = writer.get_extra_info('socket')
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
