"""Connections that a listening socket has not accepted yet.

Closing a listening socket resets the connections in its queue, although their
callers may have sent requests already.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import socket
from typing import Final

# Length of the queue of a listening socket.
BACKLOG: Final = 512
# A connection without any request is closed by a planned stop only at this
# age: its first request follows it within a round trip.
FIRST_REQUEST_TIMEOUT_S: Final = 1.0


def accept_queued(
    sockets: Iterable[socket.socket],
    protocol_factory: Callable[[], asyncio.BaseProtocol],
) -> set[asyncio.Task[object]]:
    """Accept all connections in the queues of listening sockets.

    The sockets must be non-blocking. Returns the tasks that set up the
    connections; close the sockets before these run.
    """
    loop = asyncio.get_running_loop()
    tasks: set[asyncio.Task[object]] = set()
    for listening in sockets:
        with listening.dup() as queue:
            for connection in _accept_all(queue):
                tasks.add(
                    loop.create_task(
                        loop.connect_accepted_socket(
                            protocol_factory, connection
                        )
                    )
                )
    return tasks


def _accept_all(queue: socket.socket) -> Iterable[socket.socket]:
    while True:
        try:
            connection, _ = queue.accept()
        except OSError:
            # The queue is empty, or no file descriptor is left.
            return
        connection.setblocking(False)
        yield connection
