"""Servers that leave, or that want no requests for a while."""

import asyncio

from choice_world import backend_server
from choice_world import load_report
from choice_world import World
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from teaselrock.coordination.events import Event
from teaselrock.standins.clock import run_paused
from teaselrock.state import AttemptOutcome
from teaselrock.state import AttemptReason
from teaselrock.state import FailureKind
from teaselrock.state import LoadReport
from teaselrock.state import RefusalCode
from teaselrock.state import Verdict

LEAVING = load_report()._replace(is_leaving=True)
REASONS = [None, AttemptReason.RETRY, AttemptReason.HEDGE]


def _pause(seconds: float) -> LoadReport:
    return load_report()._replace(retry_after=seconds)


def _not_accepted(load: LoadReport) -> AttemptOutcome:
    return AttemptOutcome(0.01, FailureKind.NOT_ACCEPTED, load)


@pytest.mark.parametrize('reason', REASONS)
def test_leaving_server_gets_no_attempt(reason: AttemptReason | None) -> None:
    """Guards against attempts at a server whose load check says it leaves."""

    async def main() -> None:
        world = World(
            {
                backend_server('a'): LEAVING,
                backend_server('b'): load_report(6, 6),
            }
        )
        acquired = await world.acquire(reason=reason)
        assert acquired.ok.server.server_id == 'b'
        world.checked_server_ids.clear()
        await world.acquire(reason=reason)
        assert world.checked_server_ids == ['b']
        assert world.events == [Event.SERVER_LEAVES]
        assert world.notices.leaving_counts == {'desk': 1}

    run_paused(main())


def test_slot_of_a_server_that_leaves_is_invalid() -> None:
    """Guards against a request that is sent after another one's response."""

    async def main() -> None:
        world = World({backend_server('a'): load_report()})
        waiting = (await world.acquire()).ok
        other = (await world.acquire()).ok
        assert waiting.is_valid
        other.release(outcome=AttemptOutcome(0.01, None, LEAVING))
        assert not waiting.is_valid
        refused = await world.acquire()
        assert refused.error.code is RefusalCode.NO_BACKEND

    run_paused(main())


def test_late_load_check_tells_that_a_server_leaves() -> None:
    """Guards against a notice that is lost because its check was slow."""

    async def main() -> None:
        world = World(
            {
                backend_server('a'): LEAVING,
                backend_server('b'): load_report(),
            }
        )
        world.check_delays_s['a'] = 0.05
        await world.acquire()
        await asyncio.sleep(0.1)
        assert not world.notices.may_send('a')

    run_paused(main())


def test_notices_end_when_the_server_is_dropped() -> None:
    """Guards against a restarted server that gets nothing any more."""

    async def main() -> None:
        world = World({backend_server('a'): load_report()})
        slot = (await world.acquire()).ok
        slot.release(
            outcome=_not_accepted(
                LEAVING._replace(is_healthy=False, retry_after=60.0)
            )
        )
        assert (await world.acquire()).is_error()
        world.slots.drop_server('a')
        assert (await world.acquire()).is_ok()

    run_paused(main())


@pytest.mark.parametrize('reason', REASONS)
def test_paused_server_gets_neither_attempt_nor_check(
    reason: AttemptReason | None,
) -> None:
    """Guards against attempts before the end of a server's Retry-After."""

    async def main() -> None:
        world = World({backend_server('a'): load_report()})
        slot = (await world.acquire()).ok
        other = (await world.acquire()).ok
        slot.release(outcome=_not_accepted(_pause(3.0)))
        assert not other.is_valid
        world.checked_server_ids.clear()
        await asyncio.sleep(2.9)
        assert (await world.acquire(reason=reason)).is_error()
        assert world.checked_server_ids == []
        assert world.notices.paused_counts == {'desk': 1}
        await asyncio.sleep(0.2)
        assert (await world.acquire(reason=reason)).is_ok()
        assert world.notices.paused_counts == {}
        assert world.events == [Event.SERVER_PAUSES]

    run_paused(main())


def test_refusal_during_a_pause_tells_when_to_return() -> None:
    """Guards against callers that return before the server takes requests."""

    async def main() -> None:
        world = World(
            {
                backend_server('a'): load_report(),
                backend_server('b'): load_report(),
            }
        )
        for _ in range(2):
            slot = (await world.acquire()).ok
            seconds = 4.0 if slot.server.server_id == 'a' else 2.0
            slot.release(outcome=_not_accepted(_pause(seconds)))
        refusal = (await world.acquire()).error
        assert refusal.verdict is Verdict.DID_NOT_RUN
        assert 'server b wants no requests' in refusal.detail
        assert refusal.retry_after is not None
        assert 1.9 <= refusal.retry_after <= 2.6

    run_paused(main())


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    pauses=st.lists(
        st.tuples(
            st.floats(0.0, 2.0), st.sampled_from([None, 0.0, 0.3, 1.0, 2.5])
        ),
        max_size=12,
    )
)
def test_longest_pause_holds(
    pauses: list[tuple[float, float | None]],
) -> None:
    """Guards against a pause that a later response without one shortens."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        world = World({backend_server('a'): load_report()})
        server = backend_server('a')
        ends_at = 0.0
        for delay, seconds in pauses:
            await asyncio.sleep(delay)
            assert world.notices.may_send('a') == (loop.time() >= ends_at)
            load = load_report()._replace(retry_after=seconds)
            world.notices.observe(server=server, load=load)
            if seconds is not None:
                ends_at = max(ends_at, loop.time() + seconds)
        assert world.notices.may_send('a') == (loop.time() >= ends_at)

    run_paused(main())
