"""Cold-start limits and the retry budget, summed over instances."""

import asyncio

from choice_world import COLD_RATE
from choice_world import OVERSHOOT
from choice_world import server
from choice_world import SLACK
import pytest

from teaselrock.coordination.choice import ColdLimits
from teaselrock.coordination.ports import InstanceRegistration
from teaselrock.coordination.routing import WindowedRetryBudget
from teaselrock.standins.clock import run_paused


@pytest.mark.parametrize('instances', [1, 2, 3, 5, 18, 48])
def test_cold_server_gets_what_it_bears(instances: int) -> None:
    """Guards against instances that are each right and together too many."""
    roster = [
        InstanceRegistration(f'i{n}', 'east', 'east-a')
        for n in range(instances)
    ]
    limits = [
        ColdLimits(own=one, overshoot=OVERSHOOT, slack=SLACK) for one in roster
    ]
    bound = COLD_RATE * OVERSHOOT + SLACK
    sends: list[float] = []

    async def main() -> None:
        for limit in limits:
            limit.set_roster(roster)
        for step in range(400):
            for limit in limits:
                if limit.allows(server=server('s'), cold_rate=COLD_RATE):
                    limit.record_send(server=server('s'))
                    sends.append(step * 0.01)
            await asyncio.sleep(0.01)

    run_paused(main())
    most = max(
        sum(1 for at in sends if start <= at < start + 1.0) for start in sends
    )
    assert most <= bound
    # A cold server has to get enough work to become warm.
    assert len(sends) / 4.0 >= COLD_RATE * 0.8


def test_cold_server_without_roster_or_outside_the_region() -> None:
    """Guards against cold servers that instances of all regions use."""

    async def main() -> None:
        own = InstanceRegistration('i0', 'west', 'west-a')
        limits = ColdLimits(own=own, overshoot=OVERSHOOT, slack=SLACK)
        assert not limits.allows(server=server('s'), cold_rate=COLD_RATE)
        limits.set_roster((own, InstanceRegistration('i1', 'east', 'east-a')))
        assert not limits.allows(server=server('s'), cold_rate=COLD_RATE)

    run_paused(main())


def test_windowed_budget_keeps_its_share() -> None:
    """Guards against repeats above the share in any ten seconds."""

    async def main() -> None:
        budget = WindowedRetryBudget(share=0.15, window_s=10.0, reserve=1.0)
        firsts: list[float] = []
        spent: list[float] = []
        for step in range(3000):
            now = step * 0.01
            if step % 10 == 0 and not 1000 < step < 1500:
                budget.on_first_attempt()
                firsts.append(now)
            if budget.try_spend():
                spent.append(now)
            await asyncio.sleep(0.01)
        for start in spent:
            repeats = sum(1 for at in spent if start <= at < start + 10)
            before = sum(1 for at in firsts if start - 10 <= at < start + 10)
            assert repeats <= 0.2 * before + 2
        assert len(spent) >= 30

    run_paused(main())
