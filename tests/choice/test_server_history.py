"""What outcomes of attempts say about a server."""

import asyncio

from teaselrock.coordination.choice import ServerHistory
from teaselrock.standins.clock import run_paused
from teaselrock.state import AttemptOutcome
from teaselrock.state import FailureKind


def test_failing_server_is_avoided_and_forgiven() -> None:
    """Guards against a server with good checks that fails requests."""

    async def main() -> None:
        history = ServerHistory()
        for _ in range(4):
            history.observe(
                server_id='s',
                outcome=AttemptOutcome(0.1, FailureKind.RESET),
                expected_latency=0.1,
            )
        assert history.penalty('s') > 4.0
        await asyncio.sleep(20.0)
        assert history.penalty('s') < 1.2

    run_paused(main())


def test_slow_server_is_avoided() -> None:
    """Guards against a server that works more slowly than it says."""

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
