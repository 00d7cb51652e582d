"""Number of servers that one request is sent to."""

from attempts_world import Behaviour
from attempts_world import World
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from teaselrock.standins.clock import run_paused


@pytest.mark.parametrize('max_attempts', [2, 3])
def test_cancelled_hedge_counts_as_a_server_of_the_request(
    max_attempts: int,
) -> None:
    """Guards against a retry on one more server after a cancelled hedge."""
    world = World(
        {
            'a': Behaviour(status=500, work_s=0.1),
            'b': Behaviour(work_s=3.0),
            'c': Behaviour(status=500, work_s=0.1),
            'd': Behaviour(work_s=3.0),
            'e': Behaviour(),
        }
    )
    run_paused(world.run(max_attempts=max_attempts))
    assert len(world.servers_sent_to) <= max_attempts


def test_hedge_goes_on_after_an_error_of_the_first_server() -> None:
    """Guards against an error for a caller whose hedge would be answered."""
    world = World(
        {'a': Behaviour(status=500, work_s=0.1), 'b': Behaviour(work_s=0.3)}
    )
    result = run_paused(world.run(max_attempts=2))
    assert result.ok.status == 200
    assert world.row.ends == [('a', 'server-error'), ('b', 'ok')]


def test_success_goes_before_an_error_at_the_same_time() -> None:
    """Guards against the error of a hedge that replaces a success."""
    world = World(
        {
            'a': Behaviour(work_s=0.1),
            'b': Behaviour(status=500, work_s=0.05),
        },
    )
    assert run_paused(world.run(max_attempts=2)).ok.status == 200


_BEHAVIOURS = st.builds(
    Behaviour,
    status=st.sampled_from([200, 500, 0]),
    work_s=st.sampled_from([0.01, 0.05, 0.06, 0.1, 0.3, 9.0]),
    choice_s=st.sampled_from([0.0, 0.02, 0.05]),
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    behaviours=st.lists(_BEHAVIOURS, min_size=1, max_size=7),
    max_attempts=st.integers(1, 4),
    is_idempotent=st.booleans(),
)
def test_request_is_sent_to_at_most_the_servers_of_its_route(
    behaviours: list[Behaviour], max_attempts: int, is_idempotent: bool
) -> None:
    """Guards against a mix of retries and hedges that exceeds the limit."""
    world = World(
        {f'server-{n}': behaviour for n, behaviour in enumerate(behaviours)}
    )
    run_paused(
        world.run(max_attempts=max_attempts, is_idempotent=is_idempotent)
    )
    assert len(world.sent) <= max_attempts
    assert len(world.servers_sent_to) == len(world.sent)
    assert [slot.releases for slot in world.slots] == [1] * len(world.slots)
