"""Registrations of instances in a store that is restored from a copy."""

import asyncio

from fleet_world import Fleet
import pytest

from teaselrock.standins.clock import run_paused


def test_instance_that_a_restored_store_lacks_registers_again() -> None:
    """Guards against an instance that is not found after a restore."""

    async def main() -> None:
        fleet = Fleet(seed=1)
        fleet.add_server('s1')
        for index in range(3):
            await fleet.add_instance(f'i{index}')
        await asyncio.sleep(20.0)
        copy = fleet.copy()
        await fleet.add_instance('late', is_first_start=False)
        await asyncio.sleep(20.0)
        fleet.restore(copy)
        assert 'late' not in fleet.registry.entries
        fleet.tables.put('other', None)
        await asyncio.sleep(6.0)
        assert set(fleet.registry.entries) == {'i0', 'i1', 'i2', 'late'}
        await fleet.stop()

    run_paused(main())


@pytest.mark.parametrize('seed', range(4))
def test_limit_holds_while_the_store_lacks_registrations(seed: int) -> None:
    """Guards against more lenders of permits than there should be.

    A server announces a limit while the store is restored twice, from a copy
    without some of the instances that lend.
    """

    async def main() -> None:
        fleet = Fleet(seed=seed)
        server = fleet.add_server('s1')
        server.rate_limit = 4.0
        for index in range(3):
            await fleet.add_instance(f'i{index}')
            fleet.start_callers(f'i{index}', per_s=4.0)
        await asyncio.sleep(1.0)
        copy = fleet.copy()
        for index in range(3, 6):
            await fleet.add_instance(f'i{index}', is_first_start=False)
            fleet.start_callers(f'i{index}', per_s=4.0)
        await asyncio.sleep(40.0)
        for _ in range(2):
            fleet.restore(copy)
            await asyncio.sleep(5.0)
        await asyncio.sleep(20.0)
        times = [arrival.at for arrival in server.arrivals]
        most = max(
            sum(1 for other in times if at <= other < at + 4.0)
            for at in times
            if at > 3.0
        )
        assert most <= 1.5 * 4.0 * server.rate_limit + 5
        await fleet.stop()

    run_paused(main())
