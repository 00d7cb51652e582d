"""Requests of callers through a gateway on the platform."""

import asyncio

from gateway_world import ROUTE
from gateway_world import Run
from gateway_world import table
from gateway_world import World

from teaselrock.platform import headers


def test_request_is_served(run: Run) -> None:
    """Guards against an answer that loses its signature or its body."""

    async def scenario(world: World) -> None:
        status, fields, body = await world.ask('/x/1?q=2')
        assert (status, body) == (200, b'done')
        assert fields[headers.SIGNATURE].startswith('i-')
        assert headers.SERVER_LOAD not in fields
        (request,) = (
            one for server in world.servers for one in server.received
        )
        assert request.target == '/x/1?q=2'
        sent = request.field(headers.DEADLINE.lower())
        assert sent is not None
        assert 0 < int(sent) <= 1000
        assert (await world.ask('/y/1'))[0] == 404

    run(scenario)


def test_failed_lookup_is_repeated_elsewhere(
    run: Run,
) -> None:
    """Guards against failures that one more attempt would mend."""

    async def scenario(world: World) -> None:
        for server in world.servers:
            server.answers = [None]
        world.servers[0].answers = [None]
        world.servers[1].answers = []
        world.servers[1].load = '2,0,3,100'
        status, _, body = await world.ask('/x/1')
        assert (status, body) == (200, b'done')
        assert world.received == 2

    run(scenario)


def test_build_runs_at_most_once(run: Run) -> None:
    """Guards against a build that is sent again after it may have run."""

    async def scenario(world: World) -> None:
        for server in world.servers:
            server.answers = [None]
        status, _, _ = await world.ask('/b/1', method='POST')
        assert status == 502
        assert world.received == 1

    run(scenario)


def test_build_that_did_not_run_goes_elsewhere(
    run: Run,
) -> None:
    """Guards against refusals of builds that no server has run."""

    async def scenario(world: World) -> None:
        refused = (503, {headers.NOT_EXECUTED: '1'}, b'')
        world.servers[0].answers = [refused]
        world.servers[1].load = '2,0,3,100'
        status, _, _ = await world.ask('/b/1', method='POST')
        assert status == 200
        for server in world.servers:
            server.answers = [refused, refused]
        status, fields, _ = await world.ask('/b/2', method='POST')
        assert status == 503
        assert float(fields['Retry-After']) > 0

    run(scenario)


def test_late_answer_of_the_server(run: Run) -> None:
    """Guards against a false refusal: what may have run is 504."""

    async def scenario(world: World) -> None:
        for server in world.servers:
            server.delay = 5.0
        status, _, _ = await world.ask('/b/1', method='POST', deadline=500)
        assert status == 504

    run(scenario)


def test_drains_and_new_versions(run: Run) -> None:
    """Guards against new work for a leaving server, and old routes."""

    async def scenario(world: World) -> None:
        first, second = world.servers
        world.store.put('servers', 'i-1', first.entry(state='draining', seq=2))
        world.store.delete('servers', 'i-2')
        world.store.put('config', 'main', table('0000000b', ROUTE))
        await asyncio.sleep(0.8)
        status, fields, _ = await world.ask('/x/1')
        assert status == 503
        assert 'Retry-After' in fields
        assert world.received == 0
        assert (await world.ask('/b/1', method='POST'))[0] == 404
        world.store.put('servers', 'i-2', second.entry())
        await asyncio.sleep(0.8)
        assert (await world.ask('/x/1'))[0] == 200

    run(scenario)


def test_address_of_another_server(run: Run) -> None:
    """Guards against requests to whoever has a server's old address."""

    async def scenario(world: World) -> None:
        for server in world.servers:
            server.server_id = 'i-9'
        assert (await world.ask('/x/1'))[0] == 503
        assert world.received == 0

    run(scenario)


def test_store_outage_leaves_service_alone(
    run: Run,
) -> None:
    """Guards against requests that need the store."""

    async def scenario(world: World) -> None:
        world.store.drops = True
        for writer in tuple(world.store.http.writers):
            writer.close()
        await asyncio.sleep(0.5)
        assert (await world.ask('/x/1'))[0] == 200

    run(scenario)
