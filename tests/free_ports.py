"""Loopback ports for listeners that a test starts later."""

import random
import socket

# Below the range from which systems choose the ports of outgoing connections,
# one of which might take the port before the listener is started.
FIRST_PORT = 20_000
LAST_PORT = 29_999
# Ports that were returned; their listeners may not have started yet.
_returned_ports: set[int] = set()


def find_free_ports(count: int, *, ip: str = '127.0.0.1') -> list[int]:
    """Ports that were free when this was called, each returned only once."""
    probes: list[socket.socket] = []
    ports: list[int] = []
    try:
        while len(ports) < count:
            port = random.SystemRandom().randint(FIRST_PORT, LAST_PORT)
            if port in _returned_ports:
                continue
            probe = socket.socket()
            probes.append(probe)
            try:
                probe.bind((ip, port))
            except OSError:
                continue
            ports.append(port)
            _returned_ports.add(port)
    finally:
        for probe in probes:
            probe.close()
    return ports
