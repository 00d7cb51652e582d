"""Failures of allocators, borrowers, links and servers, on a paused clock.

The simulated servers count the requests above their capacity.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

import pytest
from slots_fleet import Fleet
from slots_fleet import Gateway

from teaselrock.coordination.slots.options import ServerGroup
from teaselrock.standins.clock import run_paused
from teaselrock.state import AttemptOutcome
from teaselrock.state import FailureKind
from teaselrock.state import ServerState

Script = Callable[[Fleet], Awaitable[None]]


def _owner(fleet: Fleet, server: str = 's0') -> Gateway:
    """The allocator of a server's group by the first gateway's view."""
    zone = fleet.backends[server].server.zone
    owners = fleet.gateways[0].slots._allocator._owners
    name = owners.owner_of(ServerGroup('desk', zone))
    return next(one for one in fleet.gateways if one.own.instance_id == name)


async def _nothing(fleet: Fleet) -> None:
    return


async def _allocator_dies(fleet: Fleet) -> None:
    await asyncio.sleep(0.5)
    dead = _owner(fleet)
    dead.die()
    await dead.slots.stop()
    await asyncio.sleep(1.3)
    names = {one.instance_id for one in fleet.instances}
    for one in fleet.gateways:
        fleet.set_live(one, names - {dead.own.instance_id})


async def _allocator_pauses(fleet: Fleet) -> None:
    await asyncio.sleep(0.5)
    paused = _owner(fleet)
    names = {one.instance_id for one in fleet.instances}
    fleet.network.pause(paused.own.instance_id)
    await asyncio.sleep(1.3)
    for one in fleet.gateways:
        if one is not paused:
            fleet.set_live(one, names - {paused.own.instance_id})
    await asyncio.sleep(1.0)
    fleet.network.resume(paused.own.instance_id)
    await asyncio.sleep(0.3)
    for one in fleet.gateways:
        fleet.set_live(one, names)


async def _partition(fleet: Fleet) -> None:
    names = [one.instance_id for one in fleet.instances]
    sides = (set(names[::2]), set(names[1::2]))
    await asyncio.sleep(0.5)
    for left in sides[0]:
        for right in sides[1]:
            fleet.network.cut(left, right)
    await asyncio.sleep(1.3)
    for one in fleet.gateways:
        side = sides[one.own.instance_id in sides[1]]
        fleet.set_live(one, side)
    await asyncio.sleep(3.5)
    fleet.network.heal_all()
    for one in fleet.gateways:
        await asyncio.sleep(0.05)
        fleet.set_live(one, set(names))


async def _restart_unannounced(fleet: Fleet) -> None:
    for backend in fleet.backends.values():
        await asyncio.sleep(0.3)
        backend.restart()


async def _restart_all(fleet: Fleet) -> None:
    await asyncio.sleep(0.5)
    for backend in fleet.backends.values():
        backend.restart()


async def _restart_misleading(fleet: Fleet) -> None:
    for backend in fleet.backends.values():
        backend.claims_all = True
    await _restart_all(fleet)


async def _restart_announced(fleet: Fleet) -> None:
    listed = list(fleet.directory.listed)
    for server in listed:
        fleet.directory.listed = [one for one in listed if one != server]
        await asyncio.sleep(0.4)
        fleet.backends[server.server_id].restart()
        fleet.directory.listed = listed


class Case(NamedTuple):
    """A fault, and the least share of requests that must be served."""

    name: str
    script: Script
    seconds: float
    served: float
    loss: float = 0.0
    cold: bool = False


CASES = (
    Case('steady', _nothing, 1.0, 1.0),
    Case('lost messages', _nothing, 2.0, 0.99, loss=0.01),
    Case('all cold', _nothing, 1.5, 0.99, cold=True),
    Case('allocator dies', _allocator_dies, 5.0, 0.8),
    Case('allocator pauses', _allocator_pauses, 6.0, 0.8),
    Case('partition', _partition, 7.0, 0.6),
    Case('servers restart', _restart_unannounced, 2.5, 0.8),
    Case('all servers restart', _restart_all, 2.0, 0.8),
    Case('misleading reports', _restart_misleading, 2.0, 0.8),
    Case('announced restarts', _restart_announced, 3.0, 0.95),
)


async def _run(case: Case, seed: int) -> Fleet:
    fleet = Fleet(
        seed=seed, gateways=4, servers=4, loss=case.loss, cold=case.cold
    )
    for backend in fleet.backends.values():
        backend.mean_s = 0.04
    await asyncio.gather(
        fleet.load(rate=100, seconds=case.seconds), case.script(fleet)
    )
    return fleet


@pytest.mark.parametrize('seed', (1, 2))
@pytest.mark.parametrize('case', CASES, ids=[case.name for case in CASES])
def test_servers_never_exceed_what_they_bear(case: Case, seed: int) -> None:
    """Guards against limits exceeded, or capacity lost, under a fault."""
    fleet = run_paused(_run(case, seed))
    results = fleet.results
    assert fleet.excess == 0
    assert results['ok'] >= case.served * sum(results.values()), results


def test_dead_borrower_frees_its_slots() -> None:
    """Guards against slots that a dead instance holds forever."""

    async def main() -> None:
        fleet = Fleet(seed=3, gateways=2, servers=1, zones=('east/a',))
        owner = _owner(fleet)
        other = next(one for one in fleet.gateways if one is not owner)
        assert (await other.acquire()).is_ok()
        other.die()
        await other.slots.stop()
        assert (await owner.acquire(timeout=1.0)).is_error()
        await asyncio.sleep(1.5)
        assert (await owner.acquire(timeout=0.5)).is_ok()

    run_paused(main())


def test_cancelled_acquire_leaks_no_slot() -> None:
    """Guards against slots lost to callers that disconnect."""

    async def main() -> None:
        fleet = Fleet(seed=4, gateways=2, servers=1, zones=('east/a',))
        for at in range(60):
            task = asyncio.create_task(
                fleet.gateways[at % 2].acquire(timeout=0.5)
            )
            await asyncio.sleep(0.0001 * (at % 12))
            task.cancel()
            taken = (await asyncio.gather(task, return_exceptions=True))[0]
            if not isinstance(taken, BaseException) and taken.is_ok():
                taken.ok.release(outcome=None)
        for gateway in fleet.gateways:
            assert gateway.slots.source.pending_request_count == 0
        await asyncio.sleep(0.05)
        for gateway in fleet.gateways:
            taken = await gateway.acquire(timeout=0.2)
            assert taken.is_ok()
            taken.ok.release(outcome=None)

    run_paused(main())


def test_expired_lease_never_starts() -> None:
    """Guards against a request sent on a lease that others hold by now."""

    async def main() -> None:
        fleet = Fleet(seed=5, gateways=2, servers=1, zones=('east/a',))
        owner = _owner(fleet)
        other = next(one for one in fleet.gateways if one is not owner)
        slot = (await other.acquire()).ok
        assert slot.is_valid
        fleet.network.cut('g0', 'g1')
        await asyncio.sleep(fleet.options.lease_s)
        assert not slot.is_valid

    run_paused(main())


def test_idle_slot_is_used_without_a_message() -> None:
    """Guards against a round trip for each request."""

    async def main() -> None:
        fleet = Fleet(seed=6, gateways=2, servers=1, zones=('east/a',))
        other = next(one for one in fleet.gateways if one is not _owner(fleet))
        for _ in range(20):
            await other.request()
        before = sum(fleet.network.sent_messages.values())
        for _ in range(20):
            await other.request()
        assert sum(fleet.network.sent_messages.values()) - before <= 4

    run_paused(main())


def test_busy_instance_shares_with_a_waiting_one() -> None:
    """Guards against an instance that keeps every slot to itself."""

    async def main() -> None:
        fleet = Fleet(seed=7, gateways=2, servers=2, zones=('east/a',))
        busy, late = fleet.gateways
        async with asyncio.TaskGroup() as group:
            group.create_task(busy.load(rate=1500, seconds=0.6))
            await asyncio.sleep(0.3)
            for _ in range(10):
                await late.request(timeout=0.3)
        assert late.results['ok'] == 10

    run_paused(main())


def test_draining_server_gets_no_new_lease() -> None:
    """Guards against new work at a server that has said it drains."""

    async def main() -> None:
        fleet = Fleet(seed=8, gateways=3, servers=2, zones=('east/a',))
        await fleet.load(rate=200, seconds=0.5)
        fleet.backends['s0'].state = ServerState.DRAINING
        await fleet.load(rate=200, seconds=0.2)
        before = fleet.backends['s0'].served
        await fleet.load(rate=200, seconds=0.5)
        assert fleet.backends['s0'].served == before
        assert fleet.results['ok'] == sum(fleet.results.values())

    run_paused(main())


def test_lost_return_is_repeated() -> None:
    """Guards against units that a lost return blocks for a lease time."""

    async def main() -> None:
        fleet = Fleet(seed=10, gateways=2, servers=1, zones=('east/a',))
        owner = _owner(fleet)
        other = next(one for one in fleet.gateways if one is not owner)
        for _ in range(20):
            await other.request()
        fleet.network.set_loss(1.0)
        slot = (await other.acquire()).ok
        slot.release(outcome=AttemptOutcome(0.0, FailureKind.SHED))
        await asyncio.sleep(0.01)
        fleet.network.set_loss(0.0)
        allocation = owner.slots._allocator._allocations[
            ServerGroup('desk', owner.own.zone)
        ]
        assert len(allocation.leases) == 1
        await asyncio.sleep(fleet.options.renew_interval_s + 0.05)
        assert not allocation.leases

    run_paused(main())


def test_broken_connection_voids_slots() -> None:
    """Guards against sends on slots of a server that has gone away."""

    async def main() -> None:
        fleet = Fleet(seed=9, gateways=2, servers=1, zones=('east/a',))
        gateway = fleet.gateways[0]
        await fleet.load(rate=300, seconds=0.5)
        first = (await gateway.acquire()).ok
        second = (await gateway.acquire()).ok
        first.release(outcome=AttemptOutcome(0.0, FailureKind.RESET))
        assert not second.is_valid

    run_paused(main())
