"""Cold-start limits and the retry budget, summed over instances."""

import asyncio

from choice_world import backend_server
from choice_world import COLD_RATE_PER_S
from choice_world import OVERSHOOT
from choice_world import SLACK_REQUESTS
import pytest

from teaselrock.coordination.choice import ColdLimits
from teaselrock.coordination.ports import InstanceRegistration
from teaselrock.coordination.routing import WindowedRetryBudget
from teaselrock.standins.clock import run_paused


@pytest.mark.parametrize('instances', [1, 2, 3, 5, 18, 48])
def test_cold_server_gets_at_most_its_rate(instances: int) -> None:
    """Guards against instances that together exceed a cold server's rate.

    Each instance limits its own requests, without messages to the others.
    """
    roster = [
        InstanceRegistration(f'i{n}', 'east', 'east-a')
        for n in range(instances)
    ]
    limits = [
        ColdLimits(
            own=registration,
            rate_factor=OVERSHOOT,
            extra_requests=SLACK_REQUESTS,
        )
        for registration in roster
    ]
    bound = COLD_RATE_PER_S * OVERSHOOT + SLACK_REQUESTS
    sent_at: list[float] = []

    async def main() -> None:
        for limit in limits:
            limit.set_roster(roster)
        for step in range(400):
            for limit in limits:
                if limit.allows(
                    server=backend_server('s'), cold_rate=COLD_RATE_PER_S
                ):
                    limit.record_send(server=backend_server('s'))
                    sent_at.append(step * 0.01)
            await asyncio.sleep(0.01)

    run_paused(main())
    max_in_one_second = max(
        sum(1 for at in sent_at if start <= at < start + 1.0)
        for start in sent_at
    )
    assert max_in_one_second <= bound
    # A cold server needs enough requests to become warm.
    assert len(sent_at) / 4.0 >= COLD_RATE_PER_S * 0.8


def test_cold_server_is_not_used_without_roster_or_from_other_region() -> None:
    """Guards against requests to cold servers from all regions at once.

    An instance without a roster, or in another region, may send none.
    """

    async def main() -> None:
        own = InstanceRegistration('i0', 'west', 'west-a')
        limits = ColdLimits(
            own=own, rate_factor=OVERSHOOT, extra_requests=SLACK_REQUESTS
        )
        assert not limits.allows(
            server=backend_server('s'), cold_rate=COLD_RATE_PER_S
        )
        limits.set_roster((own, InstanceRegistration('i1', 'east', 'east-a')))
        assert not limits.allows(
            server=backend_server('s'), cold_rate=COLD_RATE_PER_S
        )

    run_paused(main())


def test_windowed_budget_keeps_its_share() -> None:
    """Guards against repeats above the share in any ten seconds.

    First attempts pause for 5 s, so that old ones leave the window.
    """

    async def main() -> None:
        budget = WindowedRetryBudget(share=0.15, window_s=10.0, reserve=1.0)
        first_attempts_at: list[float] = []
        repeats_at: list[float] = []
        for step in range(3000):
            now = step * 0.01
            if step % 10 == 0 and not 1000 < step < 1500:
                budget.on_first_attempt()
                first_attempts_at.append(now)
            if budget.try_spend():
                repeats_at.append(now)
            await asyncio.sleep(0.01)
        for start in repeats_at:
            repeats = sum(1 for at in repeats_at if start <= at < start + 10)
            first_attempts = sum(
                1 for at in first_attempts_at if start - 10 <= at < start + 10
            )
            assert repeats <= 0.2 * first_attempts + 2
        assert len(repeats_at) >= 30

    run_paused(main())
