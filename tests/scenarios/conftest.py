"""Steps that set the scene and let things happen; see `test_scenarios`."""

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
from teaselrock.coordination.slots.placement import owner
from teaselrock.standins.behaviour import ServerFaults
from teaselrock.state import AvailabilityZone

GROUPS = {
    'open': OPEN_CUSTOMERS,
    'home-region': tuple(HOME_REGIONS),
    'metered': METERED_CUSTOMERS,
    'all': (*CUSTOMERS, *METERED_CUSTOMERS),
}
HARMS = {
    'resets half of the exchanges': ServerFaults(reset_share=0.5),
    'cuts half of the bodies': ServerFaults(short_body_share=0.5),
    'answers after the deadline': ServerFaults(slow_factor=200.0),
    'refuses connections': ServerFaults(refuses_connections=True),
    'works well again': ServerFaults(),
}


@pytest.fixture
def world() -> Iterator[World]:
    """A world that ends with its scenario."""
    made = World()
    try:
        yield made
    finally:
        made.close()


@given(parsers.parse('a deployment of {count:d} instances with seed {seed:d}'))
def _deployment(world: World, count: int, seed: int) -> None:
    world.start(instances=count, seed=seed)


@given('the home-region guard lets everything pass')
def _unguarded(monkeypatch: pytest.MonkeyPatch) -> None:
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
        customers=GROUPS[group],
    )


@when(
    parsers.parse(
        '{group} customers send {rate:d} requests/s to the {service} '
        'for {seconds:g} s and repeat each build'
    )
)
def _repeat(
    world: World, group: str, rate: int, service: str, seconds: float
) -> None:
    world.send(
        service=service,
        rate=rate,
        seconds=seconds,
        customers=GROUPS[group],
        repeat_share=1.0,
    )


@when(parsers.parse('{seconds:g} s pass'))
def _pass(world: World, seconds: float) -> None:
    world.wait(seconds)


@when('all callers have their answers')
def _answered(world: World) -> None:
    world.join_all()


@when(parsers.parse('the store goes down'))
def _store_down(world: World) -> None:
    world.fleet.store.is_down = True


@when('the store comes back')
def _store_back(world: World) -> None:
    world.fleet.store.is_down = False
    world.fleet.store.lost_answer_share = 0.0


@when('the store loses the answers of its writes')
def _store_forgetful(world: World) -> None:
    world.fleet.store.lost_answer_share = 1.0


@when('the store loses the answer of the next write')
def _store_forgets(world: World) -> None:
    world.lose_next_answer()


@when(
    parsers.parse('the store fails {milliseconds:d} ms after the next write')
)
def _store_fails(world: World, milliseconds: int) -> None:
    world.lose_next_answer(fail_after=milliseconds / 1000)


@when(parsers.parse('instance {name} dies'))
def _die(world: World, name: str) -> None:
    world.run(_call(world.fleet.kill, name))


@when(parsers.parse('instance {name} starts'))
def _start(world: World, name: str) -> None:
    world.run(world.fleet.start_instance(name))


@when(parsers.parse('instance {name} is paused'))
def _pause(world: World, name: str) -> None:
    world.run(_call(world.fleet.pause, name))


@when(parsers.parse('instance {name} resumes'))
def _resume(world: World, name: str) -> None:
    world.run(_call(world.fleet.resume, name))


@when(parsers.parse('instance {name} is stopped as planned'))
def _stop(world: World, name: str) -> None:
    world.behind(f'stop {name}', world.fleet.stop_instance(name))


@when(parsers.parse('the allocator of the {service} in zone {zone} dies'))
def _allocator(world: World, service: str, zone: str) -> None:
    place = AvailabilityZone(*zone.split('/'))
    live = [
        own
        for own in world.fleet.plan.instances
        if own.instance_id in world.fleet.live
    ]
    name = owner(key=f'{service}/{zone}', zone=place, live=live)
    world.run(_call(world.fleet.kill, name))


@when(parsers.parse('region {region} is cut off'))
def _cut(world: World, region: str) -> None:
    world.run(_call(world.fleet.cut_region, region))


@when('the links are whole again')
def _heal(world: World) -> None:
    world.fleet.network.heal_all()


@when(parsers.parse('links lose {share:d}% of the messages'))
def _loss(world: World, share: int) -> None:
    world.fleet.network.set_loss(share / 100)


@when(parsers.parse('links deliver each message again after {seconds:g} s'))
def _duplicates(world: World, seconds: float) -> None:
    world.repeat_messages(seconds)


@when(parsers.parse('operators take zone {zone} out'))
def _zone_out(world: World, zone: str) -> None:
    document = world.fleet.plan.document
    out = {**document, 'out_zones': {zone: {'reason': 'scenario'}}}
    world.run(world.fleet.accept(out))
    world.marks[zone] = world.now


@when(parsers.parse('operators take zone {zone} out and back in'))
def _zone_out_in(world: World, zone: str) -> None:
    world.run(world.change_zone(zone, 'scenario'))
    world.run(world.change_zone(zone, None))


@when(parsers.parse('one operator tries once to take zone {zone} out'))
def _zone_once(world: World, zone: str) -> None:
    world.behind('operator', world.change_zone(zone, 'scenario'))
    world.wait(0.1)
    # The change is accepted with the write, though its answer is lost.
    world.marks[zone] = world.marks['write']


@when(parsers.parse('two operators at once take zones {one} and {two} out'))
def _two_operators(world: World, one: str, two: str) -> None:
    async def both():
        return await asyncio.gather(
            world.change_zone(one, 'scenario'),
            world.change_zone(two, 'scenario'),
        )

    for zone, result in zip((one, two), world.run(both()), strict=True):
        world.results[zone] = result
        if result.is_ok():
            world.marks[zone] = world.now


@when(parsers.parse('server {name} restarts unannounced'))
def _restart(world: World, name: str) -> None:
    world.run(_call(world.models[name].restart))


@when(parsers.parse('server {name} restarts announced'))
def _drain_restart(world: World, name: str) -> None:
    world.run(_call(world.models[name].drain))
    world.wait(1.0)
    world.run(_call(world.models[name].restart))


@when('all servers restart at once')
def _restart_all(world: World) -> None:
    for model in world.models.values():
        world.run(_call(model.restart))


@when(parsers.parse('servers restart in a storm for {seconds:g} s'))
def _storm(world: World, seconds: float) -> None:
    models = list(world.models.values())
    for step in range(int(seconds / 0.1)):
        world.run(_call(models[step % len(models)].restart))
        world.wait(0.1)


@when(parsers.parse('server {name} turns cold without notice'))
def _turn_cold(world: World, name: str) -> None:
    world.run(_call(world.models[name].turn_cold))


@when(parsers.parse('server {name} signals that it drains'))
def _drain(world: World, name: str) -> None:
    world.run(_call(world.models[name].drain))
    world.marks[name] = world.now


@when(parsers.parse('the list shows server {name} as leaving'))
def _leaving(world: World, name: str) -> None:
    world.run(_call(world.fleet.platform.mark_leaving, frozenset({name})))
    world.marks[name] = world.now + world.fleet.platform.lag_s


@when('the list stays as it is')
def _stale(world: World) -> None:
    world.fleet.platform.is_stale = True


@when(parsers.re(r'each server (?P<harm>.+)'))
def _harm(world: World, harm: str) -> None:
    for model in world.models.values():
        model.faults = HARMS[harm]


@when(parsers.re(r'server (?P<name>\S+) itself (?P<harm>.+)'))
def _harm_one(world: World, name: str, harm: str) -> None:
    world.models[name].faults = HARMS[harm]


async def _call(function, *arguments) -> None:
    """Call inside the loop, whose clock parts read."""
    function(*arguments)
