"""Requests of unknown paths to a gateway that has lost the store."""

import asyncio
import json

from gateway_world import BUILD
from gateway_world import ROUTE
from gateway_world import routes_spec
from gateway_world import Run
from gateway_world import World
import pytest

# A version must be in force this long after the store acknowledged it.
VERSION_IN_FORCE_S = 2.0
# After an outage of the store, versions must be in force after this time.
RECOVERY_S = 3.0
MAX_RETRY_AFTER_S = 0.3
ADDED = {**ROUTE, 'name': 'added', 'path_prefix': '/added/'}


def test_added_route_is_not_denied_while_the_store_is_lost(
    run: Run, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against 404 for a route added just before the store was lost.

    The log tells why the request was refused.
    """

    async def scenario(world: World) -> None:
        assert (await world.send_request('/added/1'))[0] == 404
        world.store.drops_connections = True
        for writer in tuple(world.store.http.writers):
            writer.close()
        world.store.put(
            'config', 'main', routes_spec('0000000b', ROUTE, BUILD, ADDED)
        )
        await asyncio.sleep(VERSION_IN_FORCE_S)
        status, fields, body = await world.send_request('/added/1')
        assert status == 503
        assert 0 < float(fields['Retry-After']) <= MAX_RETRY_AFTER_S
        refusal = json.loads(body)
        assert refusal['code'] == 'instance-not-ready'
        assert refusal['verdict'] == 'did-not-run'
        assert 'version 10' in refusal['detail']
        assert (await world.send_request('/x/1'))[0] == 200
        world.store.drops_connections = False
        await asyncio.sleep(RECOVERY_S)
        assert (await world.send_request('/added/1'))[0] == 200
        assert (await world.send_request('/other/1'))[0] == 404

    run(scenario)
    lines = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    (refused,) = (
        line for line in lines if line.get('code') == 'instance-not-ready'
    )
    assert refused['event'] == 'request-refused'
    assert 'last known to be current' in refused['detail']
    rejected = [line for line in lines if line['event'] == 'request-rejected']
    assert [line['status'] for line in rejected] == [404, 404]


@pytest.mark.parametrize(
    ('fields', 'status'),
    [('Content-Length: 3000000', 413), (f'X: {"x" * 20_000}', 431)],
)
def test_limits_of_old_routes_are_not_final(
    run: Run, fields: str, status: int
) -> None:
    """Guards against 413 and 431 by limits that a newer version may raise."""

    async def send(world: World) -> bytes:
        reader, writer = await world.open_connection()
        writer.write(f'POST /b/1 HTTP/1.1\r\n{fields}\r\n\r\n'.encode())
        response = await reader.read(-1)
        writer.close()
        return response

    async def scenario(world: World) -> None:
        assert (await send(world)).startswith(f'HTTP/1.1 {status} '.encode())
        world.store.drops_connections = True
        for writer in tuple(world.store.http.writers):
            writer.close()
        await asyncio.sleep(VERSION_IN_FORCE_S)
        response = await send(world)
        assert response.startswith(b'HTTP/1.1 503 ')
        assert b'Retry-After: ' in response

    run(scenario)
