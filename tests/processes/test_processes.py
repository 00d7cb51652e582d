"""Two gateways and the stand-ins as processes, over real sockets."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import os
import pathlib
import signal

from deployment import Deployment
from deployment import get_json
from deployment import running
import pytest

from teaselrock.daemon.settings import GatewaySettings

Scenario = Callable[[Deployment], Awaitable[None]]
Run = Callable[[Scenario], None]


@pytest.fixture
def run(
    gateway_settings: GatewaySettings,
    free_port: Callable[[], int],
    tmp_path: pathlib.Path,
) -> Run:
    """Returns a function that runs a scenario with a deployment."""

    async def main(scenario: Scenario) -> None:
        async with running(
            settings=gateway_settings, free_port=free_port, work_dir=tmp_path
        ) as deployment:
            await scenario(deployment)

    return lambda scenario: asyncio.run(main(scenario))


def test_repeated_build_runs_once(
    run: Run, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a build that runs again through another gateway.

    Its key is repeated there after the build is completed.
    """

    async def scenario(deployment: Deployment) -> None:
        assert await deployment.send_build('gw-a', 'k1') == (200, 'ran')
        assert (await deployment.send_build('gw-b', 'k1'))[1] != 'did-not-run'
        runs = [await deployment.run_count(f'server-{zone}') for zone in 'ab']
        assert sum(runs) == 1
        # Gateways are found through the store, and other threads read them.
        capsys.readouterr()
        assert await deployment.run_command('status') == 0
        assert '\t2 alive\t' in capsys.readouterr().out
        status = await deployment.status('gw-a')
        assert status['ready'] is True
        assert await get_json(f'{deployment.store_url}/platform/gateways') == [
            'gw-a',
            'gw-b',
        ]

    run(scenario)


def test_stop_finishes_requests_in_flight(run: Run) -> None:
    """Guards against a planned stop that breaks requests in flight.

    Further SIGTERMs arrive until the gateway has ended.
    """

    async def scenario(deployment: Deployment) -> None:
        builds = [
            asyncio.create_task(deployment.send_build('gw-a', f'k{number}'))
            for number in range(6)
        ]

        async def are_all_in_flight() -> bool:
            return int((await deployment.status('gw-a'))['in_flight']) == 6

        await deployment.wait_until(are_all_in_flight)
        process = deployment.processes['gw-a']
        # Signals at any time of the stop must not end the process.
        while process.returncode is None:
            # Process.send_signal may take the exit code away from asyncio.
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGTERM)
            await asyncio.sleep(0.02)
        assert process.returncode == 0
        assert await asyncio.gather(*builds) == [(200, 'ran')] * 6

    run(scenario)


def test_zone_out_of_service(run: Run) -> None:
    """Guards against requests to a zone that is out of service.

    Neither its backend server nor its gateway may accept new builds.
    """

    async def scenario(deployment: Deployment) -> None:
        zone_out = ('zone', 'out', 'east/a', '--reason', 'test')
        assert await deployment.run_command(*zone_out) == 0
        await deployment.wait_until(lambda: deployment.has_version(2))
        runs_before = await deployment.run_count('server-a')
        for number in range(4):
            result = await deployment.send_build('gw-b', f'k{number}')
            assert result == (200, 'ran')
        assert await deployment.run_count('server-a') == runs_before
        assert await deployment.send_build('gw-a', 'k9') == (
            503,
            'did-not-run',
        )
        assert await deployment.run_command('zone', 'in', 'east/a') == 0
        await deployment.wait_until(lambda: deployment.has_version(3))
        assert (await deployment.status('gw-a'))['ready'] is True

    run(scenario)
