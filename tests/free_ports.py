"""Loopback ports for listeners that a test starts later."""

import random
import socket

# Below the range from which systems choose the ports of outgoing connections,
# one of which might take the port before the listener is started.
FIRST_PORT = 20_000
LAST_PORT = 29_999


def find_free_ports(count: int, *, ip: str = '127.0.0.1') -> list[int]:
    """Different ports that were free when this was called."""
    probes: list[socket.socket] = []
    ports: list[int] = []
    try:
        while len(ports) < count:
            port = random.SystemRandom().randint(FIRST_PORT, LAST_PORT)
            probe = socket.socket()
            probes.append(probe)
            try:
                probe.bind((ip, port))
            except OSError:
                continue
            ports.append(port)
    finally:
        for probe in probes:
            probe.close()
    return ports
