"""Causes of failed requests, found as docs/OPERATIONS.md describes."""

import asyncio
import json
import pathlib
from typing import Any

from gateway_world import BUILD
from gateway_world import ROUTE
from gateway_world import routes_spec
from gateway_world import Run
from gateway_world import World
import pytest

from teaselrock.cli import main as cli

REQUEST_ID = 'id1'


@pytest.fixture(name='explain')
def explain_fixture(
    run: Run, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> Any:
    """Runs a scenario and returns what `explain` finds in its log."""

    def explain(scenario: Any) -> list[dict[str, Any]]:
        run(scenario)
        log = tmp_path / 'gateway.log'
        log.write_text(capsys.readouterr().out, 'utf-8')
        assert (
            cli.main(['explain', '--format', 'json', REQUEST_ID, str(log)])
            == 0
        )
        requests: list[dict[str, Any]] = json.loads(capsys.readouterr().out)
        return requests

    return explain


def test_refusal_is_explained(explain: Any) -> None:
    """Guards against a refusal whose cause is not in the log.

    All servers have longer queues than the deadline allows.
    """

    async def scenario(world: World) -> None:
        for server in world.servers:
            server.load = '3,40,3,100'
        status, _, _ = await world.send_request('/x/1', deadline_ms=600)
        assert status == 503

    (request,) = explain(scenario)
    assert request['fields']['code'] == 'overloaded'
    assert request['fields']['verdict'] == 'did-not-run'
    assert 'expected' in request['fields']['detail']
    assert request['attempts'] == []


def test_pause_of_all_servers_is_explained(explain: Any) -> None:
    """Guards against a refusal during a pause whose server is not named."""

    async def scenario(world: World) -> None:
        for server in world.servers:
            server.responses = [server.refusal('id0', retry_after='5')]
        await world.send_request('/b/1', method='POST', request_id='id0')
        assert (await world.send_request('/x/1'))[0] == 503

    (request,) = explain(scenario)
    assert request['fields']['code'] == 'overloaded'
    assert 'wants no requests' in request['fields']['detail']
    (pause,) = (
        line['fields']
        for line in request['known']
        if line['event'] == 'server-pauses'
    )
    assert pause['seconds'] == 5.0


def test_unknown_outcome_is_explained(explain: Any) -> None:
    """Guards against a timeout whose server or evidence is not in the log.

    The server does not respond before the deadline of a build.
    """

    async def scenario(world: World) -> None:
        for server in world.servers:
            server.delay_s = 5.0
        status, _, _ = await world.send_request(
            '/b/1', method='POST', deadline_ms=400
        )
        assert status == 504

    (request,) = explain(scenario)
    assert request['fields']['verdict'] == 'may-have-run'
    (attempt,) = request['attempts']
    assert attempt['end'] == 'timeout'
    assert attempt['server'] in ('i-1', 'i-2')
    assert '0+0of3x1' in attempt['evidence']
    assert any(
        line['event'] == 'server-registered'
        and line['fields']['server'] == attempt['server']
        for line in request['known']
    )


def test_routes_version_is_explained(explain: Any) -> None:
    """Guards against a 404 without the version of the routes in force.

    The route is removed by the second of two quick changes.
    """

    async def scenario(world: World) -> None:
        world.store.put(
            'config', 'main', routes_spec('0000000b', ROUTE, BUILD)
        )
        world.store.put('config', 'main', routes_spec('0000000c', ROUTE))
        assert world.gateway is not None
        async with asyncio.timeout(5):
            while (await world.send_request('/b/1'))[0] != 404:
                await asyncio.sleep(0.05)

    rejection, request = explain(scenario)[-2:]
    assert rejection['event'] == 'request-rejected'
    fields = rejection['fields']
    assert fields['status'] == 404
    assert (fields['host'], fields['prefix']) == ('a.example', '/b/')
    # One route is left, of the host that the request names.
    assert (fields['version'], fields['host_routes']) == (12, 1)
    assert fields['source'] == 'store'
    assert 0 <= fields['table_age_s'] < 60
    assert request['event'] == 'request-refused'
    assert request['fields']['code'] == 'unknown-service'
    (version,) = (
        line['fields']['version']
        for line in request['known']
        if line['event'] == 'routes-in-force'
    )
    assert version == 12


def test_malformed_request_is_logged(
    run: Run, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a request that is rejected without a log line."""

    async def scenario(world: World) -> None:
        reader, writer = await world.open_connection()
        writer.write(b'GET /x/1 HTTP/1.1\r\nbroken\r\n\r\n')
        assert (await reader.read(-1)).startswith(b'HTTP/1.1 400 ')
        writer.close()

    run(scenario)
    lines = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    (rejection,) = (
        line for line in lines if line['event'] == 'request-rejected'
    )
    assert (rejection['status'], rejection['version']) == (400, 10)
    assert rejection['detail'] == 'malformed HTTP request'
