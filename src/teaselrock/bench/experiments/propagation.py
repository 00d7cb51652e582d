"""Time from the acceptance of a configuration until it is in force.

Judged from outside: a change adds a customer, and each instance is asked
whether it knows that customer. All variants run with 1% loss and one pair of
instances cut.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from typing import Final
from typing import NamedTuple

from teaselrock.bench.deployments import REGIONS
from teaselrock.bench.trial import Bound
from teaselrock.bench.trial import Combine
from teaselrock.bench.trial import Experiment
from teaselrock.bench.trial import Outcome
from teaselrock.bench.trial import run_simulation
from teaselrock.bench.trial import Simulation
from teaselrock.bench.trial import Trial
from teaselrock.state import Request
from teaselrock.state import RequestContent
from teaselrock.state.configuration import Document

LOSS: Final = 0.01
SAMPLE_S: Final = 0.005
LIMIT_S: Final = 10.0
CHANGES: Final = 5
CHANGE_GAP_S: Final = 2.0
OUTAGE_S: Final = 3.0


class Times(NamedTuple):
    """Seconds of one change.

    `reachable` is until all instances that can reach the store or a peer on
    its side have it, `recovered` the time that a cut region needs after the
    cut, `booted` from the start of an instance until it serves.
    """

    reachable: float
    recovered: float = 0.0
    booted: float = 0.0


def _changed(document: Document, number: int) -> Document:
    return {
        **document,
        'customers': {
            **document['customers'],
            f'new-{number}': {'plan': 'open', 'key_sha256': []},
        },
    }


async def _in_force(
    simulation: Simulation, number: int, names: Collection[str] | None = None
) -> float:
    """Seconds until these live instances (default: all) know the customer."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    request = Request(
        customer=f'new-{number}',
        service=simulation.deployment.services[0].name,
        content=RequestContent('GET', '/', (), b''),
        deadline=started + LIMIT_S,
    )
    while loop.time() < started + LIMIT_S:
        if all(
            instance.dispatcher.check(request=request).is_ok()
            for name, instance in simulation.fleet.live.items()
            if names is None or name in names
        ):
            break
        await asyncio.sleep(SAMPLE_S)
    return loop.time() - started


async def _accept(simulation: Simulation, number: int) -> None:
    await simulation.fleet.accept(_changed(simulation.plan.document, number))


async def _undisturbed(simulation: Simulation, number: int) -> Times:
    await _accept(simulation, number)
    return Times(await _in_force(simulation, number))


async def _store_fails(simulation: Simulation, number: int) -> Times:
    """The store fails right after the accepting write."""
    await _accept(simulation, number)
    simulation.fleet.store.is_down = True
    reachable = await _in_force(simulation, number)
    await asyncio.sleep(OUTAGE_S)
    simulation.fleet.store.is_down = False
    return Times(reachable)


async def _region_cut(simulation: Simulation, number: int) -> Times:
    """A region is cut off from the store and the others meanwhile."""
    store_region = simulation.plan.store_zone.region
    region = simulation.rng.choice(
        [one for one in REGIONS if one != store_region]
    )
    places = {
        own.instance_id: own.zone.region for own in simulation.plan.instances
    }
    cut = {name for name, place in places.items() if place == region}
    simulation.fleet.cut_region(region)
    for name in cut:
        simulation.fleet.cut_store(name, True)
    await asyncio.sleep(OUTAGE_S / 2)
    await _accept(simulation, number)
    reachable = await _in_force(simulation, number, places.keys() - cut)
    await asyncio.sleep(OUTAGE_S)
    simulation.fleet.network.heal_all()
    for name in cut:
        simulation.fleet.cut_store(name, False)
    return Times(reachable, recovered=await _in_force(simulation, number))


async def _boot(simulation: Simulation, number: int) -> Times:
    """An instance boots from peers while the store is down."""
    name = simulation.rng.choice(sorted(simulation.fleet.live))
    simulation.fleet.kill(name)
    await asyncio.sleep(OUTAGE_S)
    await _accept(simulation, number)
    simulation.fleet.store.is_down = True
    reachable = await _in_force(simulation, number)
    await simulation.fleet.start_instance(name)
    booted = await _in_force(simulation, number)
    simulation.fleet.store.is_down = False
    return Times(reachable, booted=booted)


VARIANTS: Final[
    Mapping[str, Callable[[Simulation, int], Awaitable[Times]]]
] = {
    'default': _undisturbed,
    'store-fails': _store_fails,
    'region-cut': _region_cut,
    'boot-from-peers': _boot,
}


def run(trial: Trial) -> Outcome:
    """Run one seed of a variant."""
    simulation = Simulation(trial=trial)
    times: list[Times] = []

    async def body(simulation: Simulation) -> None:
        network = simulation.fleet.network
        network.set_loss(LOSS)
        one, other = simulation.rng.sample(simulation.plan.instances, 2)
        for number in range(CHANGES):
            network.cut(one.instance_id, other.instance_id)
            await asyncio.sleep(CHANGE_GAP_S)
            times.append(await VARIANTS[trial.variant](simulation, number))

    run_simulation(simulation, body)
    return Outcome(
        trial,
        {
            'p100_s': max(one.reachable for one in times),
            'recovered_s': max(one.recovered for one in times),
            'booted_s': max(one.booted for one in times),
        },
    )


EXPERIMENT: Final = Experiment(
    'propagation',
    'seconds from acceptance to in force, 1% loss and one link pair cut',
    tuple(VARIANTS),
    20,
    CHANGES * CHANGE_GAP_S,
    run,
    {
        'p100_s': Combine.MAX,
        'recovered_s': Combine.MAX,
        'booted_s': Combine.MAX,
    },
    {'p100_s': Bound(1.0)},
)
