"""The retry budget, summed over instances."""

import asyncio

from teaselrock.coordination.routing import WindowedRetryBudget
from teaselrock.standins.clock import run_paused


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
