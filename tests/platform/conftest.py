"""Fixture that runs scenarios against a gateway of the platform."""

import asyncio
from collections.abc import Sequence
import pathlib

from gateway_world import Run
from gateway_world import Scenario
from gateway_world import World
from platform_world import PlatformServer
import pytest

from teaselrock.daemon import platform_gateway


@pytest.fixture(name='run')
def run_fixture(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> Run:
    """Returns a function that runs a scenario in a started world."""
    monkeypatch.setattr(platform_gateway, 'STOP_DELAY_S', 0.01)

    def run(
        scenario: Scenario, servers: Sequence[PlatformServer] = ()
    ) -> None:
        async def main() -> None:
            world = World(servers)
            try:
                async with asyncio.timeout(30):
                    await world.start(tmp_path / 'local.json')
                    await scenario(world)
            finally:
                await world.stop()

        asyncio.run(main())

    return run
