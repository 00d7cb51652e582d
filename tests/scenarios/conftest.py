"""The `given` and `when` steps: deployments, load, faults and operators.

The `then` steps are in `test_scenarios`.
"""

import asyncio
from collections.abc import Iterator

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import when
from scenario_world import World

from teaselrock.bench.deployments import CUSTOMERS
from teaselrock.bench.deployments import HOME_REGIONS
from teaselrock.bench.deployments import METERED_CUSTOMERS
from teaselrock.bench.deployments import OPEN_CUSTOMERS
from teaselrock.coordination import home_regions
from teaselrock.coordination.slots.placement import group_allocator
from teaselrock.standins.behaviour import ServerFaults
from teaselrock.state import AvailabilityZone

CUSTOMER_GROUPS = {
    'open': OPEN_CUSTOMERS,
    'home-region': tuple(HOME_REGIONS),
    'metered': METERED_CUSTOMERS,
    'all': (*CUSTOMERS, *METERED_CUSTOMERS),
}
SERVER_FAULTS = {
    'reset half of the exchanges': ServerFaults(reset_share=0.5),
    'truncate half of the bodies': ServerFaults(short_body_share=0.5),
    'respond after the deadline': ServerFaults(slow_factor=200.0),
    'refuse connections': ServerFaults(refuses_connections=True),
    'work normally': ServerFaults(),
}


@pytest.fixture
def world() -> Iterator[World]:
    """A world that is closed when its scenario ends."""
    created = World()
    try:
        yield created
    finally:
        created.close()


@given(parsers.parse('a deployment of {count:d} instances with seed {seed:d}'))
def _deployment(world: World, count: int, seed: int) -> None:
    world.start(instances=count, seed=seed)


@given('the home-region check allows every region')
def _allow_all_regions(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(home_regions, 'is_region_allowed', lambda **_: True)


@when(
    parsers.parse(
        '{group} customers send {rate:d} requests/s to the {service} '
        'for {seconds:g} s'
    )
)
def _send(
    world: World, group: str, rate: int, service: str, seconds: float
) -> None:
    world.send(
        service=service,
        rate=rate,
        seconds=seconds,
        customers=CUSTOMER_GROUPS[group],
    )


@when(
    parsers.parse(
        '{group} customers send {rate:d} requests/s to the {service} '
        'for {seconds:g} s and repeat each build'
    )
)
def _send_and_repeat(
    world: World, group: str, rate: int, service: str, seconds: float
) -> None:
    world.send(
        service=service,
        rate=rate,
        seconds=seconds,
        customers=CUSTOMER_GROUPS[group],
        repeat_share=1.0,
    )


@when(parsers.parse('{seconds:g} s pass'))
def _wait(world: World, seconds: float) -> None:
    world.wait(seconds)


@when('all callers have received their responses')
def _join_callers(world: World) -> None:
    world.join_all()


@when(parsers.parse('the store goes down'))
def _store_down(world: World) -> None:
    world.fleet.store.is_down = True


@when('the store recovers')
def _store_recovers(world: World) -> None:
    world.fleet.store.is_down = False
    world.fleet.store.lost_response_share = 0.0


@when('the store loses its responses to writes')
def _lose_write_responses(world: World) -> None:
    world.fleet.store.lost_response_share = 1.0


@when('the store loses its response to the next write')
def _lose_next_write_response(world: World) -> None:
    world.lose_next_write_response()


@when(
    parsers.parse('the store fails {milliseconds:d} ms after the next write')
)
def _store_fails(world: World, milliseconds: int) -> None:
    world.lose_next_write_response(fail_after_s=milliseconds / 1000)


@when(parsers.parse('instance {name} dies'))
def _kill(world: World, name: str) -> None:
    world.run(_call_in_loop(world.fleet.kill, name))


@when(parsers.parse('instance {name} starts'))
def _start(world: World, name: str) -> None:
    world.run(world.fleet.start_instance(name))


@when(parsers.parse('instance {name} is paused'))
def _pause(world: World, name: str) -> None:
    world.run(_call_in_loop(world.fleet.pause, name))


@when(parsers.parse('instance {name} resumes'))
def _resume(world: World, name: str) -> None:
    world.run(_call_in_loop(world.fleet.resume, name))


@when(parsers.parse('instance {name} is stopped as planned'))
def _stop(world: World, name: str) -> None:
    world.run_in_background(f'stop {name}', world.fleet.stop_instance(name))


@when(parsers.parse('the allocator of the {service} in zone {zone} dies'))
def _kill_allocator(world: World, service: str, zone: str) -> None:
    allocator_zone = AvailabilityZone(*zone.split('/'))
    live = [
        own
        for own in world.fleet.plan.instances
        if own.instance_id in world.fleet.live
    ]
    name = group_allocator(
        key=f'{service}/{zone}', zone=allocator_zone, live=live
    )
    world.run(_call_in_loop(world.fleet.kill, name))


@when(parsers.parse('region {region} is cut off'))
def _cut(world: World, region: str) -> None:
    world.run(_call_in_loop(world.fleet.cut_region, region))


@when('all links are restored')
def _restore_links(world: World) -> None:
    world.fleet.network.restore_all_links()


@when(parsers.parse('links lose {share:d}% of the messages'))
def _loss(world: World, share: int) -> None:
    world.fleet.network.set_loss(share / 100)


@when(parsers.parse('links deliver each message again after {seconds:g} s'))
def _duplicates(world: World, seconds: float) -> None:
    world.duplicate_messages(seconds)


@when(parsers.parse('operators take zone {zone} out'))
def _zone_out(world: World, zone: str) -> None:
    document = world.fleet.plan.document
    out = {**document, 'out_zones': {zone: {'reason': 'scenario'}}}
    world.run(world.fleet.apply_document(out))
    world.event_times[zone] = world.now


@when(parsers.parse('operators take zone {zone} out and back in'))
def _zone_out_in(world: World, zone: str) -> None:
    world.run(world.change_zone(zone, 'scenario'))
    world.run(world.change_zone(zone, None))


@when(parsers.parse('one operator tries once to take zone {zone} out'))
def _zone_out_once(world: World, zone: str) -> None:
    world.run_in_background('operator', world.change_zone(zone, 'scenario'))
    world.wait(0.1)
    # The write makes the change accepted, though its response is lost.
    world.event_times[zone] = world.event_times['write']


@when(
    parsers.parse('two operators at once take zones {first} and {second} out')
)
def _two_operators(world: World, first: str, second: str) -> None:
    async def both():
        return await asyncio.gather(
            world.change_zone(first, 'scenario'),
            world.change_zone(second, 'scenario'),
        )

    for zone, result in zip((first, second), world.run(both()), strict=True):
        world.results[zone] = result
        if result.is_ok():
            world.event_times[zone] = world.now


@when(parsers.parse('server {name} restarts unannounced'))
def _restart(world: World, name: str) -> None:
    world.run(_call_in_loop(world.models[name].restart))


@when(parsers.parse('server {name} restarts announced'))
def _drain_restart(world: World, name: str) -> None:
    world.run(_call_in_loop(world.models[name].drain))
    world.wait(1.0)
    world.run(_call_in_loop(world.models[name].restart))


@when('all servers restart at once')
def _restart_all(world: World) -> None:
    for model in world.models.values():
        world.run(_call_in_loop(model.restart))


@when(parsers.parse('one server restarts every 100 ms for {seconds:g} s'))
def _restart_in_turn(world: World, seconds: float) -> None:
    models = list(world.models.values())
    for step in range(int(seconds / 0.1)):
        world.run(_call_in_loop(models[step % len(models)].restart))
        world.wait(0.1)


@when(parsers.parse('server {name} turns cold without notice'))
def _turn_cold(world: World, name: str) -> None:
    world.run(_call_in_loop(world.models[name].turn_cold))


@when(parsers.parse('server {name} signals that it drains'))
def _drain(world: World, name: str) -> None:
    world.run(_call_in_loop(world.models[name].drain))
    world.event_times[name] = world.now


@when(parsers.parse('the server list shows server {name} as leaving'))
def _list_server_as_leaving(world: World, name: str) -> None:
    world.run(
        _call_in_loop(world.fleet.platform.set_draining, frozenset({name}))
    )
    world.event_times[name] = world.now + world.fleet.platform.lag_s


@when('the server list becomes stale')
def _stale_server_list(world: World) -> None:
    world.fleet.platform.is_stale = True


@when(parsers.re(r'each server begins to (?P<fault>.+)'))
def _set_fault_of_all(world: World, fault: str) -> None:
    for model in world.models.values():
        model.faults = SERVER_FAULTS[fault]


@when(parsers.re(r'server (?P<name>\S+) begins to (?P<fault>.+)'))
def _set_fault(world: World, name: str, fault: str) -> None:
    world.models[name].faults = SERVER_FAULTS[fault]


async def _call_in_loop(function, *arguments) -> None:
    """Call inside the running event loop, whose clock the callee reads."""
    function(*arguments)
