"""Failed requests and their causes, found as docs/OPERATIONS.md says."""

import asyncio
import json
import pathlib
from typing import Any

from gateway_world import BUILD
from gateway_world import ROUTE
from gateway_world import Run
from gateway_world import table
from gateway_world import World
import pytest

from teaselrock.cli import main as cli

ID = 'id1'


@pytest.fixture(name='story')
def story_fixture(
    run: Run, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> Any:
    """Runs a scenario, saves the log and explains the request."""

    def story(scenario: Any) -> list[dict[str, Any]]:
        run(scenario)
        log = tmp_path / 'gateway.log'
        log.write_text(capsys.readouterr().out, 'utf-8')
        assert cli.main(['explain', '--format', 'json', ID, str(log)]) == 0
        found: list[dict[str, Any]] = json.loads(capsys.readouterr().out)
        return found

    return story


def test_refused_as_not_run(story: Any) -> None:
    """Guards against a refusal that the log does not explain."""

    async def scenario(world: World) -> None:
        for server in world.servers:
            server.load = '3,40,3,100'
        status, _, _ = await world.ask('/x/1', deadline=600)
        assert status == 503

    (step,) = story(scenario)
    assert step['fields']['code'] == 'overloaded'
    assert step['fields']['verdict'] == 'did-not-run'
    assert 'expected' in step['fields']['detail']
    assert step['attempts'] == []


def test_unknown_end(story: Any) -> None:
    """Guards against a build whose server and end the log hides."""

    async def scenario(world: World) -> None:
        for server in world.servers:
            server.delay = 5.0
        status, _, _ = await world.ask('/b/1', method='POST', deadline=400)
        assert status == 504

    (step,) = story(scenario)
    assert step['fields']['verdict'] == 'may-have-run'
    (attempt,) = step['attempts']
    assert attempt['end'] == 'timeout'
    assert attempt['server'] in ('i-1', 'i-2')
    assert '0+0of3x1' in attempt['evidence']
    assert any(
        line['event'] == 'server-registered'
        and line['fields']['server'] == attempt['server']
        for line in step['known']
    )


def test_version_in_force(story: Any) -> None:
    """Guards against a 404 of which nobody knows the version behind it."""

    async def scenario(world: World) -> None:
        world.store.put('config', 'main', table('0000000b', ROUTE, BUILD))
        world.store.put('config', 'main', table('0000000c', ROUTE))
        assert world.gateway is not None
        async with asyncio.timeout(5):
            while (await world.ask('/b/1'))[0] != 404:
                await asyncio.sleep(0.05)

    step = story(scenario)[-1]
    assert step['event'] == 'request-refused'
    assert step['fields']['code'] == 'unknown-service'
    (version,) = (
        line['fields']['version']
        for line in step['known']
        if line['event'] == 'routes-in-force'
    )
    assert version == 12
