"""Requests of callers through a gateway of the platform."""

import asyncio
import json
from typing import Any

from gateway_world import BUILD
from gateway_world import ROUTE
from gateway_world import routes_spec
from gateway_world import Run
from gateway_world import World
from platform_world import PlatformServer
from platform_world import RawJson
import pytest

from teaselrock.platform import headers


def _odd_entry(**changes: Any) -> str:
    """Registration of a server in JSON, with other values."""
    return json.dumps(PlatformServer('odd').entry(**changes))


def test_request_is_served(run: Run) -> None:
    """Guards against a response that loses its signature or its body.

    The server gets the rest of the deadline, and its load stays internal.
    """

    async def scenario(world: World) -> None:
        status, fields, body = await world.send_request('/x/1?q=2')
        assert (status, body) == (200, b'done')
        assert fields[headers.SIGNATURE].startswith('i-')
        assert headers.SERVER_LOAD not in fields
        (request,) = (
            received
            for server in world.servers
            for received in server.received
        )
        assert request.target == '/x/1?q=2'
        sent = request.field(headers.DEADLINE_MS.lower())
        assert sent is not None
        assert 0 < int(sent) <= 1000
        assert (await world.send_request('/y/1'))[0] == 404

    run(scenario)


def test_failed_lookup_is_retried_on_another_server(
    run: Run,
) -> None:
    """Guards against a failed lookup that a retry would have served.

    The chosen server closes the connection instead of responding.
    """

    async def scenario(world: World) -> None:
        for server in world.servers:
            server.responses = [None]
        world.servers[0].responses = [None]
        world.servers[1].responses = []
        world.servers[1].load = '2,0,3,100'
        status, _, body = await world.send_request('/x/1')
        assert (status, body) == (200, b'done')
        assert world.received_count == 2

    run(scenario)


def test_build_runs_at_most_once(run: Run) -> None:
    """Guards against a build that is sent again after it may have run.

    The server closes the connection after it has received the build.
    """

    async def scenario(world: World) -> None:
        for server in world.servers:
            server.responses = [None]
        status, _, _ = await world.send_request('/b/1', method='POST')
        assert status == 502
        assert world.received_count == 1

    run(scenario)


def test_unexecuted_build_is_retried_on_another_server(
    run: Run,
) -> None:
    """Guards against refused builds that another server could have run.

    The first server refuses the build and states that it was not executed.
    """

    async def scenario(world: World) -> None:
        not_executed = (
            503,
            {headers.NOT_EXECUTED: '1', headers.REQUEST_ID: 'id1'},
            b'',
        )
        world.servers[0].responses = [not_executed]
        world.servers[1].load = '2,0,3,100'
        status, _, _ = await world.send_request('/b/1', method='POST')
        assert status == 200
        for server in world.servers:
            server.responses = [not_executed, not_executed]
        status, fields, _ = await world.send_request('/b/2', method='POST')
        assert status == 503
        assert float(fields['Retry-After']) > 0

    run(scenario)


def test_server_that_leaves_gets_no_further_request(run: Run) -> None:
    """Guards against requests to a server whose responses say it leaves.

    Its registration still says that it is ready, and it starts again under
    the same id later.
    """

    async def scenario(world: World) -> None:
        leaving, other = world.servers
        leaving.is_leaving = True
        for count in range(1, 4):
            assert (await world.send_request('/x/1'))[0] == 200
            assert len(other.received) == count
        assert leaving.received == []
        leaving.is_leaving = False
        other.load = '3,9,3,100'
        world.store.put(
            'servers', leaving.server_id, leaving.entry(born=1764856200000)
        )
        async with asyncio.timeout(5):
            while not leaving.received:
                await world.send_request('/x/1')
                await asyncio.sleep(0.05)

    run(scenario)


def test_server_gets_no_request_before_its_retry_after(run: Run) -> None:
    """Guards against requests to a server that asked for a pause."""

    async def scenario(world: World) -> None:
        for server in world.servers:
            server.responses = [server.refusal('id1', retry_after='1.6')]
        status, _, _ = await world.send_request('/b/1', method='POST')
        assert (status, world.received_count) == (503, 2)
        status, fields, _ = await world.send_request('/b/1', method='POST')
        assert (status, world.received_count) == (503, 2)
        await asyncio.sleep(float(fields['Retry-After']))
        assert (await world.send_request('/x/1'))[0] == 200

    run(scenario)


def test_refusal_that_may_belong_to_another_build_is_no_promise(
    run: Run,
) -> None:
    """Guards against "not run" for a build that a server is running.

    The server sends an earlier refusal once more, without an id.
    """

    async def scenario(world: World) -> None:
        for server in world.servers:
            server.responses = [(503, {headers.NOT_EXECUTED: '1'}, b'')]
        status, _, _ = await world.send_request('/b/1', method='POST')
        assert status == 502
        assert world.received_count == 1

    run(scenario)


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_request_outlives_the_registration_of_its_server(
    run: Run, method: str
) -> None:
    """Guards against work that is given up or repeated for silence.

    The registration of a server that was silent lapses while it works.
    """

    async def scenario(world: World) -> None:
        for server in world.servers:
            server.delay_s = 0.8
        target = '/b/1' if method == 'POST' else '/x/1'
        calling = asyncio.create_task(
            world.send_request(target, method=method, deadline_ms=3000)
        )
        while not world.received_count:
            await asyncio.sleep(0.01)
        for server in world.servers:
            world.store.delete('servers', server.server_id)
        status, _, body = await calling
        assert (status, body) == (200, b'done')
        assert world.received_count == 1

    run(scenario)


def test_late_response_of_a_build_is_504(run: Run) -> None:
    """Guards against a build that is reported as not run although it may have.

    The server responds only after the deadline, so the status must be 504.
    """

    async def scenario(world: World) -> None:
        for server in world.servers:
            server.delay_s = 5.0
        status, _, _ = await world.send_request(
            '/b/1', method='POST', deadline_ms=500
        )
        assert status == 504

    run(scenario)


def test_draining_servers_and_new_routes(run: Run) -> None:
    """Guards against requests to a leaving server, and outdated routes.

    One server drains, the other one is removed, and a route is deleted.
    """

    async def scenario(world: World) -> None:
        first, second = world.servers
        world.store.put('servers', 'i-1', first.entry(state='draining', seq=2))
        world.store.delete('servers', 'i-2')
        world.store.put('config', 'main', routes_spec('0000000b', ROUTE))
        await asyncio.sleep(0.8)
        status, fields, _ = await world.send_request('/x/1')
        assert status == 503
        assert 'Retry-After' in fields
        assert world.received_count == 0
        assert (await world.send_request('/b/1', method='POST'))[0] == 404
        world.store.put('servers', 'i-2', second.entry())
        await asyncio.sleep(0.8)
        assert (await world.send_request('/x/1'))[0] == 200

    run(scenario)


async def _lose_some_writes(world: World) -> None:
    """Restore the store from a copy that lacks a version and other writes."""
    copy = world.store.copy()
    world.store.put('config', 'main', routes_spec('0000000b', ROUTE, BUILD))
    for seq in range(5):
        world.store.put('servers', 'i-1', world.servers[0].entry(seq=seq))
    await asyncio.sleep(0.5)
    world.store.restore(copy)
    world.store.calls.clear()


def test_change_after_a_restored_store_is_in_force(run: Run) -> None:
    """Guards against changes that are ignored for their lower revisions."""

    async def scenario(world: World) -> None:
        await _lose_some_writes(world)
        added = {**ROUTE, 'name': 'added', 'path_prefix': '/added/'}
        world.store.put('config', 'main', routes_spec('0000000c', added))
        await asyncio.sleep(2.0)
        assert (await world.send_request('/added/1'))[0] == 200

    run(scenario)


def test_restored_store_gets_few_calls(run: Run) -> None:
    """Guards against calls without a pause after a restore."""

    async def scenario(world: World) -> None:
        await _lose_some_writes(world)
        await asyncio.sleep(2.0)
        assert len(world.store.calls) < 30

    run(scenario)


def test_late_request_of_a_planned_stop_is_refused(run: Run) -> None:
    """Guards against a build that is passed on and then cut off by a stop.

    Its body ends shortly before the process does, and it takes longer. The
    route allows that time.
    """

    async def scenario(world: World) -> None:
        slow = {**BUILD, 'path_prefix': '/slow/', 'timeout_ms': 4000}
        world.store.put('config', 'main', routes_spec('0000000c', slow))
        while (await world.send_request('/slow/1'))[0] != 200:
            await asyncio.sleep(0.01)
        for server in world.servers:
            server.received.clear()
            server.delay_s = 1.4
        reader, writer = await world.open_connection()
        writer.write(
            b'POST /slow/1 HTTP/1.1\r\nHost: a.example\r\n'
            b'Content-Length: 2\r\n\r\n1'
        )
        await asyncio.sleep(0.1)
        assert world.gateway is not None
        stopping = asyncio.create_task(world.gateway.stop())
        await asyncio.sleep(2.8)
        writer.write(b'2')
        response = await reader.read()
        writer.close()
        assert response.startswith(b'HTTP/1.1 503 ')
        assert b'\r\nConnection: close\r\n' in response
        assert b'\r\nRetry-After: ' in response
        assert world.received_count == 0
        await stopping

    run(scenario)


@pytest.mark.parametrize(
    'text',
    [
        pytest.param('[' * 20_000 + ']' * 20_000, id='deeply nested'),
        pytest.param('{"slots": 1e400}', id='float out of range'),
        pytest.param('{"slots": 1%s}' % ('0' * 5000), id='huge number'),
        pytest.param('{"service": "\\ud800"}', id='lone surrogate'),
        pytest.param('{"service": nope}', id='no JSON'),
        pytest.param(_odd_entry(slots=10**30), id='slots above 64 bits'),
        pytest.param(_odd_entry(born=10**30), id='start above 64 bits'),
        pytest.param(_odd_entry(address='127.0.0.1:99999'), id='port'),
        pytest.param(_odd_entry(address='127.0.0.1:\u0663'), id='digit'),
    ],
)
def test_odd_entry_does_not_stop_the_watch(run: Run, text: str) -> None:
    """Guards against an entry of another writer that hides all others."""

    async def scenario(world: World) -> None:
        for _ in range(2):
            world.store.put('servers', 'a-odd', RawJson(text))
            world.store.put('teaselrock-instances', 'odd', RawJson(text))
            await asyncio.sleep(0.4)
            # The next listing has the entry, too.
            world.store.first_revision = world.store.revision
        for server in world.servers:
            world.store.put(
                'servers', server.server_id, server.entry(state='draining')
            )
        async with asyncio.timeout(5):
            while (await world.send_request('/x/1'))[0] != 503:
                await asyncio.sleep(0.05)

    run(scenario)


def test_address_reused_by_another_server(run: Run) -> None:
    """Guards against requests to another server at a reused address.

    The load check shows another server id than the registration.
    """

    async def scenario(world: World) -> None:
        for server in world.servers:
            server.server_id = 'i-9'
        assert (await world.send_request('/x/1'))[0] == 503
        assert world.received_count == 0

    run(scenario)


def test_requests_are_served_during_a_store_outage(
    run: Run,
) -> None:
    """Guards against requests that depend on the store.

    The store closes all connections.
    """

    async def scenario(world: World) -> None:
        world.store.drops_connections = True
        for writer in tuple(world.store.http.writers):
            writer.close()
        await asyncio.sleep(0.5)
        assert (await world.send_request('/x/1'))[0] == 200

    run(scenario)
