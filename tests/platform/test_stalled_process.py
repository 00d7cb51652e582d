"""Requests while the process of a gateway does not run for some time."""

import gc
import time

from gateway_world import Run
from gateway_world import World
import pytest

from teaselrock.coordination.choice.load_checks import CHECK_TIMEOUT_S

STALL_S = CHECK_TIMEOUT_S + 0.05


def stall_once(world: World) -> None:
    """Stop the event loop of gateway and servers in the next load check."""

    def stall() -> None:
        for server in world.servers:
            server.on_load_check = lambda: None
        time.sleep(STALL_S)

    for server in world.servers:
        server.on_load_check = stall


@pytest.mark.parametrize('is_connected', [False, True])
def test_request_is_served_after_a_stall(run: Run, is_connected: bool) -> None:
    """Guards against load checks that fail by a stall of the gateway.

    The servers answer, but the process does not run until the time limit of
    the checks has passed. The checks use new connections or idle ones.
    """

    async def scenario(world: World) -> None:
        # A full collection of the test process would be another stall.
        gc.collect()
        if is_connected:
            assert (await world.send_request('/x/1'))[0] == 200
        stall_once(world)
        for _ in range(2):
            status, _, body = await world.send_request('/x/1')
            assert (status, body) == (200, b'done')

    run(scenario)


def test_request_ends_beside_repeated_stalls(run: Run) -> None:
    """Guards against load checks that are repeated again and again.

    The process stalls in each load check, so that none is answered in time.
    """

    async def scenario(world: World) -> None:
        def stall() -> None:
            time.sleep(STALL_S)

        for server in world.servers:
            server.on_load_check = stall
        status, _, _ = await world.send_request('/x/1')
        assert status in {200, 503}
        load_checks = sum(server.load_checks for server in world.servers)
        # Two servers, checked once and once more.
        assert load_checks <= 4

    run(scenario)
