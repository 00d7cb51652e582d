"""Random faults for the experiment `faults`, one function for each.

Each brings the fault about and takes it back after some seconds.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from typing import Final

from teaselrock.bench.deployments import REGIONS
from teaselrock.bench.deployments import ZONES
from teaselrock.bench.trial import Testbed
from teaselrock.standins.behaviour import ServerFaults
from teaselrock.standins.server import ServerModel

Disturbance = Callable[[Testbed, float], Awaitable[None]]


def _instance(testbed: Testbed) -> str | None:
    live = sorted(testbed.fleet.live)
    return testbed.rng.choice(live) if len(live) > 1 else None


def _server(testbed: Testbed) -> ServerModel:
    return testbed.rng.choice(list(testbed.plan.models.values()))


async def die(testbed: Testbed, seconds: float) -> None:
    """An instance dies and is replaced later."""
    name = _instance(testbed)
    if name is None:
        return
    testbed.fleet.kill(name)
    await asyncio.sleep(seconds)
    if name not in testbed.fleet.live:
        await testbed.fleet.start_instance(name)


async def stop(testbed: Testbed, seconds: float) -> None:
    """An instance is stopped gracefully and replaced later."""
    name = _instance(testbed)
    if name is None:
        return
    await testbed.fleet.stop_instance(name)
    await asyncio.sleep(seconds)
    if name not in testbed.fleet.live:
        await testbed.fleet.start_instance(name)


async def pause(testbed: Testbed, seconds: float) -> None:
    """An instance is paused."""
    name = _instance(testbed)
    if name is not None:
        testbed.fleet.pause(name)
        await asyncio.sleep(seconds)
        testbed.fleet.resume(name)


async def store_down(testbed: Testbed, seconds: float) -> None:
    """The store answers nothing."""
    testbed.fleet.store.is_down = True
    await asyncio.sleep(seconds)
    testbed.fleet.store.is_down = False


async def store_slow(testbed: Testbed, seconds: float) -> None:
    """The store answers late, or after its clients' timeout."""
    normal = testbed.fleet.store.latency_s
    testbed.fleet.store.latency_s = testbed.rng.choice((0.2, 0.8, 1.5))
    await asyncio.sleep(seconds)
    testbed.fleet.store.latency_s = min(normal, 0.003)


async def lost_answers(testbed: Testbed, seconds: float) -> None:
    """Answers of the store's writes are lost."""
    testbed.fleet.store.lost_answer_share = 0.3
    await asyncio.sleep(seconds)
    testbed.fleet.store.lost_answer_share = 0.0


async def cut_region(testbed: Testbed, seconds: float) -> None:
    """A region loses its links to the others."""
    testbed.fleet.cut_region(testbed.rng.choice(REGIONS))
    await asyncio.sleep(seconds)
    testbed.fleet.network.heal_all()


async def cut_store(testbed: Testbed, seconds: float) -> None:
    """An instance loses its link to the store."""
    name = _instance(testbed)
    if name is not None:
        testbed.fleet.cut_store(name, True)
        await asyncio.sleep(seconds)
        testbed.fleet.cut_store(name, False)


async def loss(testbed: Testbed, seconds: float) -> None:
    """Links lose a tenth of the messages."""
    testbed.fleet.network.set_loss(0.1)
    await asyncio.sleep(seconds)
    testbed.fleet.network.set_loss(0.0)


async def drain(testbed: Testbed, seconds: float) -> None:
    """A server drains, then starts again cold."""
    model = _server(testbed)
    model.drain()
    await asyncio.sleep(seconds)
    model.restart()


async def restart(testbed: Testbed, seconds: float) -> None:
    """A server restarts, twice."""
    model = _server(testbed)
    model.restart()
    await asyncio.sleep(seconds)
    model.restart()


async def turn_cold(testbed: Testbed, seconds: float) -> None:
    """A server becomes cold without notice."""
    _server(testbed).turn_cold()


async def break_server(testbed: Testbed, seconds: float) -> None:
    """A server's exchanges fail in one of several ways."""
    model = _server(testbed)
    model.faults = testbed.rng.choice(
        (
            ServerFaults(slow_factor=20.0),
            ServerFaults(is_failing=True),
            ServerFaults(refuses_connections=True),
            ServerFaults(reset_share=0.5),
            ServerFaults(short_body_share=0.5),
            ServerFaults(report_age=5.0, false_in_flight=0),
        )
    )
    await asyncio.sleep(seconds)
    model.faults = ServerFaults()


async def zone_out(testbed: Testbed, seconds: float) -> None:
    """Operators take a zone out of service and back."""
    zone = testbed.rng.choice(ZONES)
    document = testbed.plan.document
    await testbed.fleet.accept(
        {**document, 'out_zones': {str(zone): {'reason': 'bench'}}}
    )
    await asyncio.sleep(seconds)
    await testbed.fleet.accept(document)


async def zone_lost(testbed: Testbed, seconds: float) -> None:
    """A zone fails with its instances and servers, and comes back cold."""
    zone = testbed.rng.choice(ZONES)
    models = [m for m in testbed.plan.models.values() if m.zone == zone]
    names = [
        own.instance_id
        for own in testbed.plan.instances
        if own.zone == zone and own.instance_id in testbed.fleet.live
    ]
    for name in names:
        testbed.fleet.kill(name)
    for model in models:
        model.faults = ServerFaults(refuses_connections=True)
        model.cut_connections()
    await asyncio.sleep(seconds)
    for model in models:
        model.faults = ServerFaults()
        model.restart()
    for name in names:
        if name not in testbed.fleet.live:
            await testbed.fleet.start_instance(name)


async def stale_list(testbed: Testbed, seconds: float) -> None:
    """The platform's list stays as it is."""
    testbed.fleet.platform.is_stale = True
    await asyncio.sleep(seconds)
    testbed.fleet.platform.is_stale = False


DISTURBANCES: Final[Mapping[str, Disturbance]] = {
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
