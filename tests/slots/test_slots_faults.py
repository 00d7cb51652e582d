"""Failures of allocators, borrowers, links and servers, on a paused clock.

The simulated servers count the requests that exceed their capacity.
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

FaultScript = Callable[[Fleet], Awaitable[None]]


def _allocator_of(fleet: Fleet, server: str = 's0') -> Gateway:
    """The allocator of a server's group, as the first gateway sees it."""
    zone = fleet.backends[server].server.zone
    allocators = fleet.gateways[0].slots._allocator._allocators
    name = allocators.allocator_of(ServerGroup('desk', zone))
    return next(
        gateway
        for gateway in fleet.gateways
        if gateway.own.instance_id == name
    )


async def _no_fault(fleet: Fleet) -> None:
    return


async def _allocator_dies(fleet: Fleet) -> None:
    await asyncio.sleep(0.5)
    dead = _allocator_of(fleet)
    dead.kill()
    await dead.slots.stop()
    await asyncio.sleep(1.3)
    names = {instance.instance_id for instance in fleet.instances}
    for gateway in fleet.gateways:
        fleet.set_live(gateway, names - {dead.own.instance_id})


async def _allocator_pauses(fleet: Fleet) -> None:
    await asyncio.sleep(0.5)
    paused = _allocator_of(fleet)
    names = {instance.instance_id for instance in fleet.instances}
    fleet.network.pause(paused.own.instance_id)
    await asyncio.sleep(1.3)
    for gateway in fleet.gateways:
        if gateway is not paused:
            fleet.set_live(gateway, names - {paused.own.instance_id})
    await asyncio.sleep(1.0)
    fleet.network.resume(paused.own.instance_id)
    await asyncio.sleep(0.3)
    for gateway in fleet.gateways:
        fleet.set_live(gateway, names)


async def _partition(fleet: Fleet) -> None:
    names = [instance.instance_id for instance in fleet.instances]
    sides = (set(names[::2]), set(names[1::2]))
    await asyncio.sleep(0.5)
    for left in sides[0]:
        for right in sides[1]:
            fleet.network.cut(left, right)
    await asyncio.sleep(1.3)
    for gateway in fleet.gateways:
        side = sides[gateway.own.instance_id in sides[1]]
        fleet.set_live(gateway, side)
    await asyncio.sleep(3.5)
    fleet.network.restore_all_links()
    for gateway in fleet.gateways:
        await asyncio.sleep(0.05)
        fleet.set_live(gateway, set(names))


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
        backend.reports_full_capacity = True
    await _restart_all(fleet)


async def _restart_announced(fleet: Fleet) -> None:
    listed = list(fleet.directory.listed)
    for server in listed:
        fleet.directory.listed = [other for other in listed if other != server]
        await asyncio.sleep(0.4)
        fleet.backends[server.server_id].restart()
        fleet.directory.listed = listed


class FaultCase(NamedTuple):
    """A fault, and the smallest share of requests that must be served."""

    name: str
    script: FaultScript
    duration_s: float
    min_served_share: float
    loss: float = 0.0
    cold: bool = False


CASES = (
    FaultCase('steady', _no_fault, 1.0, 1.0),
    FaultCase('lost messages', _no_fault, 2.0, 0.99, loss=0.01),
    FaultCase('all cold', _no_fault, 1.5, 0.99, cold=True),
    FaultCase('allocator dies', _allocator_dies, 5.0, 0.8),
    FaultCase('allocator pauses', _allocator_pauses, 6.0, 0.8),
    FaultCase('partition', _partition, 7.0, 0.6),
    FaultCase('servers restart', _restart_unannounced, 2.5, 0.8),
    FaultCase('all servers restart', _restart_all, 2.0, 0.8),
    FaultCase('misleading reports', _restart_misleading, 2.0, 0.8),
    FaultCase('announced restarts', _restart_announced, 3.0, 0.95),
)


async def _run(case: FaultCase, seed: int) -> Fleet:
    fleet = Fleet(
        seed=seed, gateways=4, servers=4, loss=case.loss, cold=case.cold
    )
    for backend in fleet.backends.values():
        backend.mean_service_time_s = 0.04
    await asyncio.gather(
        fleet.send_load(rate_per_s=100, duration_s=case.duration_s),
        case.script(fleet),
    )
    return fleet


@pytest.mark.parametrize('seed', (1, 2))
@pytest.mark.parametrize('case', CASES, ids=[case.name for case in CASES])
def test_servers_never_exceed_their_capacity(
    case: FaultCase, seed: int
) -> None:
    """Guards against exceeded server limits and lost capacity under a fault.

    Limits are at risk where two allocators grant the same units, or where a
    lease outlives the server's start that it was granted for.
    """
    fleet = run_paused(_run(case, seed))
    results = fleet.results
    assert fleet.excess == 0
    assert results['ok'] >= case.min_served_share * sum(results.values()), (
        results
    )


def test_dead_borrower_frees_its_slots() -> None:
    """Guards against slots that a dead borrower holds for ever.

    It returns no lease, so the lease must expire.
    """

    async def main() -> None:
        fleet = Fleet(seed=3, gateways=2, servers=1, zones=('east/a',))
        allocator = _allocator_of(fleet)
        borrower = next(
            gateway for gateway in fleet.gateways if gateway is not allocator
        )
        assert (await borrower.acquire()).is_ok()
        borrower.kill()
        await borrower.slots.stop()
        assert (await allocator.acquire(timeout=1.0)).is_error()
        await asyncio.sleep(1.5)
        assert (await allocator.acquire(timeout=0.5)).is_ok()

    run_paused(main())


def test_cancelled_acquire_leaks_no_slot() -> None:
    """Guards against slots lost to callers that disconnect.

    Tasks are cancelled at different moments of `acquire`.
    """

    async def main() -> None:
        fleet = Fleet(seed=4, gateways=2, servers=1, zones=('east/a',))
        for index in range(60):
            task = asyncio.create_task(
                fleet.gateways[index % 2].acquire(timeout=0.5)
            )
            await asyncio.sleep(0.0001 * (index % 12))
            task.cancel()
            acquired = (await asyncio.gather(task, return_exceptions=True))[0]
            if not isinstance(acquired, BaseException) and acquired.is_ok():
                acquired.ok.release(outcome=None)
        for gateway in fleet.gateways:
            assert gateway.slots.source.pending_slot_request_count == 0
        await asyncio.sleep(0.05)
        for gateway in fleet.gateways:
            acquired = await gateway.acquire(timeout=0.2)
            assert acquired.is_ok()
            acquired.ok.release(outcome=None)

    run_paused(main())


def test_expired_lease_is_invalid() -> None:
    """Guards against a request sent on a lease that another may hold by now.

    A borrower that is cut off from the allocator can't renew its lease.
    """

    async def main() -> None:
        fleet = Fleet(seed=5, gateways=2, servers=1, zones=('east/a',))
        allocator = _allocator_of(fleet)
        borrower = next(
            gateway for gateway in fleet.gateways if gateway is not allocator
        )
        slot = (await borrower.acquire()).ok
        assert slot.is_valid
        fleet.network.cut('g0', 'g1')
        await asyncio.sleep(fleet.options.lease_s)
        assert not slot.is_valid

    run_paused(main())


def test_idle_slot_is_used_without_a_message() -> None:
    """Guards against a round trip to the allocator for each request."""

    async def main() -> None:
        fleet = Fleet(seed=6, gateways=2, servers=1, zones=('east/a',))
        borrower = next(
            gateway
            for gateway in fleet.gateways
            if gateway is not _allocator_of(fleet)
        )
        for _ in range(20):
            await borrower.request()
        before = sum(fleet.network.sent_messages.values())
        for _ in range(20):
            await borrower.request()
        assert sum(fleet.network.sent_messages.values()) - before <= 4

    run_paused(main())


def test_busy_instance_shares_with_a_waiting_one() -> None:
    """Guards against a busy instance that never returns a slot.

    Its own queue would use each slot again, and an instance whose requests
    arrive later would get none.
    """

    async def main() -> None:
        fleet = Fleet(seed=7, gateways=2, servers=2, zones=('east/a',))
        busy, late = fleet.gateways
        async with asyncio.TaskGroup() as group:
            group.create_task(busy.send_load(rate_per_s=1500, duration_s=0.6))
            await asyncio.sleep(0.3)
            for _ in range(10):
                await late.request(timeout=0.3)
        assert late.results['ok'] == 10

    run_paused(main())


def test_draining_server_gets_no_new_lease() -> None:
    """Guards against new leases on a server whose report says it drains."""

    async def main() -> None:
        fleet = Fleet(seed=8, gateways=3, servers=2, zones=('east/a',))
        await fleet.send_load(rate_per_s=200, duration_s=0.5)
        fleet.backends['s0'].state = ServerState.DRAINING
        await fleet.send_load(rate_per_s=200, duration_s=0.2)
        before = fleet.backends['s0'].served
        await fleet.send_load(rate_per_s=200, duration_s=0.5)
        assert fleet.backends['s0'].served == before
        assert fleet.results['ok'] == sum(fleet.results.values())

    run_paused(main())


def test_lost_return_is_repeated() -> None:
    """Guards against units that a lost return blocks for the lease time.

    The borrower must repeat the return at its next renewal.
    """

    async def main() -> None:
        fleet = Fleet(seed=10, gateways=2, servers=1, zones=('east/a',))
        allocator = _allocator_of(fleet)
        borrower = next(
            gateway for gateway in fleet.gateways if gateway is not allocator
        )
        for _ in range(20):
            await borrower.request()
        fleet.network.set_loss(1.0)
        slot = (await borrower.acquire()).ok
        slot.release(outcome=AttemptOutcome(0.0, FailureKind.NOT_ACCEPTED))
        await asyncio.sleep(0.01)
        fleet.network.set_loss(0.0)
        allocation = allocator.slots._allocator._allocations[
            ServerGroup('desk', allocator.own.zone)
        ]
        assert len(allocation.leases) == 1
        await asyncio.sleep(fleet.options.renew_interval_s + 0.05)
        assert not allocation.leases

    run_paused(main())


def test_broken_connection_invalidates_slots() -> None:
    """Guards against requests sent on slots of a server that has gone.

    A connection that breaks during a request on one slot must invalidate the
    other slots of the server.
    """

    async def main() -> None:
        fleet = Fleet(seed=9, gateways=2, servers=1, zones=('east/a',))
        gateway = fleet.gateways[0]
        await fleet.send_load(rate_per_s=300, duration_s=0.5)
        first = (await gateway.acquire()).ok
        second = (await gateway.acquire()).ok
        first.release(outcome=AttemptOutcome(0.0, FailureKind.NO_RESPONSE))
        assert not second.is_valid

    run_paused(main())
