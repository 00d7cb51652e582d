"""Ports that tests use for listeners."""

from unittest import mock

import free_ports


def test_no_port_is_returned_twice() -> None:
    """Guards against one port for two listeners of a process.

    A port is free until its listener starts, so it could be found again.
    """
    (first,) = free_ports.find_free_ports(1)
    candidates = range(free_ports.LAST_PORT, free_ports.FIRST_PORT, -1)
    drawn = mock.Mock(**{'randint.side_effect': [first, *candidates]})
    with mock.patch.object(
        free_ports.random, 'SystemRandom', return_value=drawn
    ):
        (found,) = free_ports.find_free_ports(1)
    assert found != first
