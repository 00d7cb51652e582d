"""Experiment `propagation`: time from acceptance of a change until in force.

Each change adds a customer, and is in force at an instance once the instance
admits a request of that customer. All variants run with 1% loss and with the
link between one pair of instances cut; in `region-cut` that link is restored
together with those of the region.
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

LOSS_SHARE: Final = 0.01
SAMPLE_INTERVAL_S: Final = 0.005
TIMEOUT_S: Final = 10.0
CHANGES: Final = 5
CHANGE_GAP_S: Final = 2.0
OUTAGE_S: Final = 3.0


class ChangeTimes(NamedTuple):
    """Times of one change, in seconds.

    `reachable_s` is from acceptance until in force at all instances that can
    reach the store or a peer that can; `recovered_s` is from the end of a
    region's cut until in force there; `booted_s` is from the start of an
    instance until in force at it.
    """

    reachable_s: float
    recovered_s: float = 0.0
    booted_s: float = 0.0


def _changed(document: Document, number: int) -> Document:
    return {
        **document,
        'customers': {
            **document['customers'],
            f'new-{number}': {'plan': 'open', 'key_sha256': []},
        },
    }


async def _wait_in_force(
    simulation: Simulation, number: int, names: Collection[str] | None = None
) -> float:
    """Wait until live instances admit the customer of change `number`.

    Returns how many seconds it took, at most `TIMEOUT_S`. `names` limits
    the instances.
    """
    loop = asyncio.get_running_loop()
    started = loop.time()
    request = Request(
        customer=f'new-{number}',
        service=simulation.deployment.services[0].name,
        content=RequestContent('GET', '/', (), b''),
        deadline=started + TIMEOUT_S,
    )
    while loop.time() < started + TIMEOUT_S:
        if all(
            instance.dispatcher.check(request=request).is_ok()
            for name, instance in simulation.fleet.live.items()
            if names is None or name in names
        ):
            break
        await asyncio.sleep(SAMPLE_INTERVAL_S)
    return loop.time() - started


async def _accept(simulation: Simulation, number: int) -> None:
    await simulation.fleet.apply_document(
        _changed(simulation.plan.document, number)
    )


async def _undisturbed(simulation: Simulation, number: int) -> ChangeTimes:
    await _accept(simulation, number)
    return ChangeTimes(await _wait_in_force(simulation, number))


async def _store_fails(simulation: Simulation, number: int) -> ChangeTimes:
    """The store fails right after the write that accepts the change."""
    await _accept(simulation, number)
    simulation.fleet.store.is_down = True
    reachable_s = await _wait_in_force(simulation, number)
    await asyncio.sleep(OUTAGE_S)
    simulation.fleet.store.is_down = False
    return ChangeTimes(reachable_s)


async def _region_cut(simulation: Simulation, number: int) -> ChangeTimes:
    """A region is cut off from the store and all other regions."""
    store_region = simulation.plan.store_zone.region
    region = simulation.rng.choice(
        [candidate for candidate in REGIONS if candidate != store_region]
    )
    regions_by_instance = {
        instance.instance_id: instance.zone.region
        for instance in simulation.plan.instances
    }
    cut_instances = {
        name
        for name, instance_region in regions_by_instance.items()
        if instance_region == region
    }
    simulation.fleet.cut_region(region)
    for name in cut_instances:
        simulation.fleet.cut_store(name, True)
    await asyncio.sleep(OUTAGE_S / 2)
    await _accept(simulation, number)
    reachable_s = await _wait_in_force(
        simulation, number, regions_by_instance.keys() - cut_instances
    )
    await asyncio.sleep(OUTAGE_S)
    simulation.fleet.network.restore_all_links()
    for name in cut_instances:
        simulation.fleet.cut_store(name, False)
    return ChangeTimes(
        reachable_s, recovered_s=await _wait_in_force(simulation, number)
    )


async def _boot(simulation: Simulation, number: int) -> ChangeTimes:
    """An instance starts while the store is down, and boots from peers."""
    name = simulation.rng.choice(sorted(simulation.fleet.live))
    simulation.fleet.kill(name)
    await asyncio.sleep(OUTAGE_S)
    await _accept(simulation, number)
    simulation.fleet.store.is_down = True
    reachable_s = await _wait_in_force(simulation, number)
    await simulation.fleet.start_instance(name)
    booted_s = await _wait_in_force(simulation, number)
    simulation.fleet.store.is_down = False
    return ChangeTimes(reachable_s, booted_s=booted_s)


VARIANTS: Final[
    Mapping[str, Callable[[Simulation, int], Awaitable[ChangeTimes]]]
] = {
    'default': _undisturbed,
    'store-fails': _store_fails,
    'region-cut': _region_cut,
    'boot-from-peers': _boot,
}


def run(trial: Trial) -> Outcome:
    """Run one seed of a variant."""
    simulation = Simulation(trial=trial)
    times: list[ChangeTimes] = []

    async def body(simulation: Simulation) -> None:
        network = simulation.fleet.network
        network.set_loss(LOSS_SHARE)
        first, second = simulation.rng.sample(simulation.plan.instances, 2)
        for number in range(CHANGES):
            network.cut(first.instance_id, second.instance_id)
            await asyncio.sleep(CHANGE_GAP_S)
            times.append(await VARIANTS[trial.variant](simulation, number))

    run_simulation(simulation, body)
    return Outcome(
        trial,
        {
            'p100_s': max(change.reachable_s for change in times),
            'recovered_s': max(change.recovered_s for change in times),
            'booted_s': max(change.booted_s for change in times),
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
