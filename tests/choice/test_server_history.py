"""Penalties of servers from the outcomes of attempts."""

import asyncio

from teaselrock.coordination.choice import ServerHistory
from teaselrock.standins.clock import run_paused
from teaselrock.state import AttemptOutcome
from teaselrock.state import FailureKind


def test_penalty_of_failing_server_decays() -> None:
    """Guards against choosing a server whose requests fail.

    Its load checks succeed; the penalty must decay once failures stop.
    """

    async def main() -> None:
        history = ServerHistory()
        for _ in range(4):
            history.observe(
                server_id='s',
                outcome=AttemptOutcome(0.1, FailureKind.NO_RESPONSE),
                expected_latency=0.1,
            )
        assert history.penalty('s') > 4.0
        await asyncio.sleep(20.0)
        assert history.penalty('s') < 1.2

    run_paused(main())


def test_slow_server_gets_a_penalty() -> None:
    """Guards against choosing a server that is slower than it reports.

    Its requests take five times the latency that its load report implies.
    """

    async def main() -> None:
        history = ServerHistory()
        for _ in range(4):
            history.observe(
                server_id='s',
                outcome=AttemptOutcome(1.0),
                expected_latency=0.2,
            )
        assert history.penalty('s') > 2.0

    run_paused(main())
