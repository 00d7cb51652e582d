"""Refusals of instances whose routes are behind those in the store."""

import asyncio

from fleet_world import Fleet
from fleet_world import LOOKUP
from fleet_world import route

from teaselrock.coordination.registry import RouteShares
from teaselrock.coordination.registry.messages import TablesChanged
from teaselrock.coordination.registry.messages import TablesEdited
from teaselrock.standins.clock import run_paused
from teaselrock.state.routes import RoutingTable
from teaselrock.transport.caller_connection import CallerResponse
from teaselrock.transport.request_parser import CallerRequest
from teaselrock.transport.routed_front_end import CallerFields
from teaselrock.transport.routed_front_end import RoutedFrontEnd

# A version must be in force on all instances this long after the store
# acknowledged it, so a request of an added route gets no 404 from then on.
VERSION_IN_FORCE_S = 2.0
# Another instance may have the version at once, and callers wait no longer
# than a third of the time that they have left, about 1 s.
MAX_RETRY_AFTER_S = 0.3
ADDED = route('added')


class PlainDialect:
    """`CallerDialect` without header fields."""

    dropped_fields: frozenset[str] = frozenset()

    def read(self, request: CallerRequest) -> CallerFields:
        return CallerFields('id1', None)

    def refusal_fields(
        self, *, request_id: str
    ) -> tuple[tuple[str, str], ...]:
        return ()


async def _started_fleet() -> Fleet:
    fleet = Fleet(seed=1)
    fleet.add_server('s1')
    for name in ('i0', 'i1', 'i2'):
        await fleet.add_instance(name)
    await asyncio.sleep(3.0)
    return fleet


async def _request(fleet: Fleet, name: str, path: str) -> CallerResponse:
    instance = fleet.instances[name]
    front_end = RoutedFrontEnd(
        dispatcher=instance.dispatcher,
        view=instance.view,
        shares=RouteShares(rng=fleet.rng),
        dialect=PlainDialect(),
    )
    headers = (('Host', 'a.example'), ('id', 'id1'))
    return await front_end.serve(
        CallerRequest('GET', path, headers, b'', True)
    )


def _put_version(fleet: Fleet, version: int) -> None:
    table = fleet.tables.entries['main'].value
    fleet.tables.put(
        'main', RoutingTable(version, (LOOKUP, ADDED), table.services)
    )


def _drop_tables(fleet: Fleet, name: str, dropped: tuple[type, ...]) -> None:
    """Lose these messages to an instance, and deliver all others."""
    for channel in fleet.links[name].channels:
        assert channel.peer_end is not None
        channel.peer_end.dropped_types = dropped


def _follower(fleet: Fleet) -> str:
    return next(
        name
        for name, instance in fleet.instances.items()
        if not instance.stats.is_watching
    )


def test_unknown_path_is_final_while_routes_are_current() -> None:
    """Guards against 503 for paths that no version of the routes has."""

    async def main() -> None:
        fleet = await _started_fleet()
        for name in fleet.instances:
            for path in ('/other/', ADDED.prefix):
                assert (await _request(fleet, name, path)).status == 404
            assert (await _request(fleet, name, LOOKUP.prefix)).status == 200
        await fleet.stop()

    run_paused(main())


def test_added_route_is_not_denied_by_an_instance_behind_its_region() -> None:
    """Guards against 404 for an added route that a follower does not have.

    Heartbeats state a newer version of the routes, which does not arrive. In
    a recorded incident it took up to 8 s.
    """

    async def main() -> None:
        fleet = await _started_fleet()
        late = _follower(fleet)
        _drop_tables(fleet, late, (TablesChanged, TablesEdited))
        _put_version(fleet, 2)
        await asyncio.sleep(VERSION_IN_FORCE_S)
        for _ in range(30):
            response = await _request(fleet, late, ADDED.prefix)
            assert response.status == 503
            fields = dict(response.headers)
            assert 0 < float(fields['Retry-After']) <= MAX_RETRY_AFTER_S
            assert b'"instance-not-ready"' in response.body
            assert b'"did-not-run"' in response.body
            # The routes that it has are not affected.
            known = await _request(fleet, late, LOOKUP.prefix)
            assert known.status == 200
            await asyncio.sleep(0.2)
        _drop_tables(fleet, late, ())
        _put_version(fleet, 3)
        await asyncio.sleep(VERSION_IN_FORCE_S)
        assert (await _request(fleet, late, ADDED.prefix)).status == 200
        assert (await _request(fleet, late, '/other/')).status == 404
        await fleet.stop()

    run_paused(main())
