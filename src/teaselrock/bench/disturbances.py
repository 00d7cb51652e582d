"""Faults for the experiment `faults`, one function for each.

Each function injects its fault and removes it after some seconds; the names
of the functions are the names of the faults.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from typing import Final

from teaselrock.bench.deployments import REGIONS
from teaselrock.bench.deployments import ZONES
from teaselrock.bench.trial import Simulation
from teaselrock.standins.behaviour import ServerFaults
from teaselrock.standins.server import ServerModel

FaultFunction = Callable[[Simulation, float], Awaitable[None]]


def _random_instance(simulation: Simulation) -> str | None:
    live = sorted(simulation.fleet.live)
    return simulation.rng.choice(live) if len(live) > 1 else None


def _random_server(simulation: Simulation) -> ServerModel:
    return simulation.rng.choice(list(simulation.plan.models.values()))


async def die(simulation: Simulation, seconds: float) -> None:
    """An instance is killed and started again later."""
    name = _random_instance(simulation)
    if name is None:
        return
    simulation.fleet.kill(name)
    await asyncio.sleep(seconds)
    if name not in simulation.fleet.live:
        await simulation.fleet.start_instance(name)


async def stop(simulation: Simulation, seconds: float) -> None:
    """An instance is stopped gracefully and started again later."""
    name = _random_instance(simulation)
    if name is None:
        return
    await simulation.fleet.stop_instance(name)
    await asyncio.sleep(seconds)
    if name not in simulation.fleet.live:
        await simulation.fleet.start_instance(name)


async def pause(simulation: Simulation, seconds: float) -> None:
    """An instance is paused and resumed later."""
    name = _random_instance(simulation)
    if name is not None:
        simulation.fleet.pause(name)
        await asyncio.sleep(seconds)
        simulation.fleet.resume(name)


async def store_down(simulation: Simulation, seconds: float) -> None:
    """All calls of the store fail."""
    simulation.fleet.store.is_down = True
    await asyncio.sleep(seconds)
    simulation.fleet.store.is_down = False


async def store_slow(simulation: Simulation, seconds: float) -> None:
    """The store responds late, or after its clients' timeout."""
    normal_latency_s = simulation.fleet.store.latency_s
    simulation.fleet.store.latency_s = simulation.rng.choice((0.2, 0.8, 1.5))
    await asyncio.sleep(seconds)
    simulation.fleet.store.latency_s = min(normal_latency_s, 0.003)


async def lost_answers(simulation: Simulation, seconds: float) -> None:
    """Responses to some of the store's puts are lost."""
    simulation.fleet.store.lost_response_share = 0.3
    await asyncio.sleep(seconds)
    simulation.fleet.store.lost_response_share = 0.0


async def cut_region(simulation: Simulation, seconds: float) -> None:
    """The links between a region and all others are cut."""
    simulation.fleet.cut_region(simulation.rng.choice(REGIONS))
    await asyncio.sleep(seconds)
    simulation.fleet.network.restore_all_links()


async def cut_store(simulation: Simulation, seconds: float) -> None:
    """An instance's link to the store is cut."""
    name = _random_instance(simulation)
    if name is not None:
        simulation.fleet.cut_store(name, True)
        await asyncio.sleep(seconds)
        simulation.fleet.cut_store(name, False)


async def loss(simulation: Simulation, seconds: float) -> None:
    """Links lose a tenth of the messages."""
    simulation.fleet.network.set_loss(0.1)
    await asyncio.sleep(seconds)
    simulation.fleet.network.set_loss(0.0)


async def drain(simulation: Simulation, seconds: float) -> None:
    """A server drains and then restarts cold."""
    model = _random_server(simulation)
    model.drain()
    await asyncio.sleep(seconds)
    model.restart()


async def restart(simulation: Simulation, seconds: float) -> None:
    """A server restarts, twice."""
    model = _random_server(simulation)
    model.restart()
    await asyncio.sleep(seconds)
    model.restart()


async def turn_cold(simulation: Simulation, seconds: float) -> None:
    """A server becomes cold without a restart."""
    _random_server(simulation).turn_cold()


async def break_server(simulation: Simulation, seconds: float) -> None:
    """A server's exchanges fail in one of several ways."""
    model = _random_server(simulation)
    model.faults = simulation.rng.choice(
        (
            ServerFaults(slow_factor=20.0),
            ServerFaults(is_failing=True),
            ServerFaults(refuses_connections=True),
            ServerFaults(reset_share=0.5),
            ServerFaults(short_body_share=0.5),
            ServerFaults(report_age_s=5.0, false_in_flight=0),
        )
    )
    await asyncio.sleep(seconds)
    model.faults = ServerFaults()


async def zone_out(simulation: Simulation, seconds: float) -> None:
    """Operators take a zone out of service and put it back."""
    zone = simulation.rng.choice(ZONES)
    document = simulation.plan.document
    await simulation.fleet.apply_document(
        {**document, 'out_zones': {str(zone): {'reason': 'bench'}}}
    )
    await asyncio.sleep(seconds)
    await simulation.fleet.apply_document(document)


async def zone_lost(simulation: Simulation, seconds: float) -> None:
    """All instances and servers of a zone fail and restart later, cold."""
    zone = simulation.rng.choice(ZONES)
    models = [m for m in simulation.plan.models.values() if m.zone == zone]
    names = [
        instance.instance_id
        for instance in simulation.plan.instances
        if instance.zone == zone
        and instance.instance_id in simulation.fleet.live
    ]
    for name in names:
        simulation.fleet.kill(name)
    for model in models:
        model.faults = ServerFaults(refuses_connections=True)
        model.cut_connections()
    await asyncio.sleep(seconds)
    for model in models:
        model.faults = ServerFaults()
        model.restart()
    for name in names:
        if name not in simulation.fleet.live:
            await simulation.fleet.start_instance(name)


async def stale_list(simulation: Simulation, seconds: float) -> None:
    """The platform's list shows no changes."""
    simulation.fleet.platform.is_stale = True
    await asyncio.sleep(seconds)
    simulation.fleet.platform.is_stale = False


FAULTS: Final[Mapping[str, FaultFunction]] = {
    function.__name__: function
    for function in (
        die,
        stop,
        pause,
        store_down,
        store_slow,
        lost_answers,
        cut_region,
        cut_store,
        loss,
        drain,
        restart,
        turn_cold,
        break_server,
        zone_out,
        zone_lost,
        stale_list,
    )
}
