"""The choice by load checks, and what it keeps of each server."""

import asyncio

from choice_world import COLD_RATE
from choice_world import EAST_B
from choice_world import load
from choice_world import OVERSHOOT
from choice_world import ROUTE
from choice_world import server
from choice_world import SLACK
from choice_world import WEST
from choice_world import World
import pytest

from teaselrock.coordination.choice import refusals
from teaselrock.coordination.choice import ServerHistory
from teaselrock.coordination.choice import SharedIdleLimit
from teaselrock.coordination.choice.estimates import queued_per_slot
from teaselrock.coordination.events import Event
from teaselrock.coordination.ports import InstanceRegistration
from teaselrock.standins.clock import run_paused
from teaselrock.state import AttemptOutcome
from teaselrock.state import BackendServer
from teaselrock.state import FailureKind
from teaselrock.state import LoadReport
from teaselrock.state import RefusalCode
from teaselrock.state import Verdict
from teaselrock.state.routes import RoutingTable
from teaselrock.state.routes import ServiceProfile


def _chosen(world: World, remaining: float = 2.0) -> str:
    result = run_paused(world.acquire(remaining=remaining))
    if result.is_error():
        return str(result.error.code.value)
    return str(result.ok.server.server_id)


@pytest.mark.parametrize(
    ('loads', 'expected'),
    [
        pytest.param(
            {server('a'): load(5, 4), server('b'): load(2)},
            'b',
            id='queue',
        ),
        pytest.param(
            {server('a'): load(factor=4.0), server('b'): load(3)},
            'b',
            id='noisy neighbour',
        ),
        pytest.param(
            {server('a', EAST_B): load(), server('b'): load()},
            'b',
            id='own zone',
        ),
        pytest.param(
            {server('a', WEST): load(), server('b'): load(2)},
            'b',
            id='own region',
        ),
        pytest.param(
            {server('a', WEST): load(), server('b'): load(6, 12)},
            'a',
            id='other region when the own is full',
        ),
        pytest.param(
            {server('a'): load(is_healthy=False), server('b'): load(3)},
            'b',
            id='unhealthy',
        ),
        pytest.param(
            {server('a'): load(is_healthy=False)},
            'a',
            id='only an unhealthy one',
        ),
    ],
)
def test_cheapest_server_is_chosen(
    loads: dict[BackendServer, LoadReport], expected: str
) -> None:
    """Guards against a choice that ignores queue, noise or distance."""
    assert _chosen(World(loads)) == expected


def test_other_region_is_not_checked_in_vain() -> None:
    """Guards against bytes between regions that buy nothing."""
    world = World({server('a'): load(), server('b', WEST): load()})
    assert _chosen(world) == 'a'
    assert world.checked == ['a']


def test_silent_server_does_not_delay_the_choice() -> None:
    """Guards against a dark server that holds each request up."""
    world = World({server('a'): load(), server('b'): load(3)})
    world.delays['a'] = 60.0

    async def main() -> float:
        start = asyncio.get_running_loop().time()
        result = await world.acquire()
        assert result.ok.server.server_id == 'b'
        taken = asyncio.get_running_loop().time() - start
        # Once the check has failed, the server is left alone for a while.
        await asyncio.sleep(0.3)
        world.checked.clear()
        await world.acquire()
        assert world.checked == ['b']
        return taken

    assert run_paused(main()) < 0.02


def test_unused_connections_are_kept() -> None:
    """Guards against a new connection for each check."""
    world = World({server('a'): load(), server('b'): load(3)})

    async def main() -> None:
        for _ in range(5):
            result = await world.acquire()
            result.ok.release(outcome=None)

    run_paused(main())
    assert world.opened == 2


def test_hopeless_request_is_refused_at_once() -> None:
    """Guards against requests that wait only to miss their deadline."""
    world = World({server('a'): load(6, 30)})

    async def main() -> None:
        result = await world.acquire(remaining=0.5)
        assert result.is_error()
        assert result.error.code is RefusalCode.OVERLOADED
        assert result.error.verdict is Verdict.DID_NOT_RUN
        assert result.error.retry_after is not None
        assert asyncio.get_running_loop().time() < 0.05

    run_paused(main())
    assert refusals.no_reachable_server(False).verdict is Verdict.DID_NOT_RUN


def test_less_urgent_request_yields_underload() -> None:
    """Guards against late polls that make urgent lookups late as well.

    The load is that of a burst on heavy days: all servers have queues.
    """

    async def main() -> None:
        world = World({server('a'): load(6, 15)})
        assert (await world.acquire()).is_ok()
        urgent = ROUTE._replace(name='u', prefix='/u/', priority=0)
        profile = ServiceProfile('desk', '/h', 200, COLD_RATE)
        world.view.adopt_table(
            RoutingTable(2, (ROUTE, urgent), {'desk': profile})
        )
        refused = await world.acquire()
        assert refused.is_error()
        assert refused.error.code is RefusalCode.OVERLOADED
        world.loads['a'] = load(6, 3)
        assert (await world.acquire()).is_ok()

    run_paused(main())


def test_drained_server_is_not_used() -> None:
    """Guards against a send to a server that drains since the check."""
    world = World({server('a'): load()})

    async def main() -> None:
        result = await world.acquire()
        assert result.ok.is_valid
        world.view.put_server(server('a')._replace(leaving=True))
        assert not result.ok.is_valid

    run_paused(main())


def test_cold_servers_do_not_hide_another_region() -> None:
    """Guards against refusals while another region has room.

    On the recorded incident a zone of two was out and the other one's
    servers were cold: requests were refused without a look elsewhere.
    """
    world = World(
        {
            server('cold'): load(cold_remaining=3.0),
            server('full', EAST_B): load(6, 30),
            server('far', WEST): load(1),
        }
    )

    async def main() -> None:
        chosen = [(await world.acquire()).ok.server for _ in range(30)]
        names = [one.server_id for one in chosen]
        assert 'far' in names
        assert 'full' not in names
        assert 0 < names.count('cold') <= COLD_RATE * OVERSHOOT + SLACK

    run_paused(main())


def test_shed_request_is_no_failure_of_theserver() -> None:
    """Guards against full servers that are taken for broken ones."""

    async def main() -> None:
        history = ServerHistory()
        history.observe(
            server_id='s',
            outcome=AttemptOutcome(0.01, FailureKind.SHED),
            expected_latency=0.2,
        )
        assert history.penalty('s') == 1.0

    run_paused(main())


def test_queue_counts_in_rounds() -> None:
    """Guards against estimates that leave out the queue."""
    assert queued_per_slot(load(5)) == 0
    assert queued_per_slot(load(6)) == pytest.approx(1 / 6)
    assert queued_per_slot(load(6, 6)) == pytest.approx(7 / 6)


def test_late_check_error_is_logged() -> None:
    """Guards against errors of late checks that nobody sees."""
    world = World({server('a'): load(), server('b'): load(3)})
    world.delays['a'] = 0.05
    world.errors['a'] = ValueError('unexpected')

    async def main() -> None:
        assert (await world.acquire()).ok.server.server_id == 'b'
        assert world.events == []
        await asyncio.sleep(0.1)

    run_paused(main())
    assert world.events == [Event.CHECK_FAILED]


def test_gone_server_leaves_nothing_behind() -> None:
    """Guards against connections and counts of servers that are gone."""
    world = World(
        {server('a'): load(cold_remaining=2.0), server('b'): load(6, 9)}
    )

    async def main() -> None:
        slot = (await world.acquire()).ok
        assert slot.server.server_id == 'a'
        assert world.pool.idle_count == 1
        world.view.remove_server('a')
        world.pool.drop(server_id='a')
        world.slots.forget('a')
        slot.release(outcome=None)
        assert not slot.connection.is_open
        assert world.pool.idle_count == 1
        # The server may be back at once under its id, still cold.
        assert world.cold_limits.counted_servers == {'a'}
        await asyncio.sleep(2.0)
        world.slots.forget('a')
        assert not world.cold_limits.counted_servers

    run_paused(main())


def test_closed_idle_connections_are_pruned() -> None:
    """Guards against descriptors of connections that servers closed."""
    world = World({server('a'): load(), server('b'): load(3)})

    async def main() -> None:
        slot = (await world.acquire()).ok
        slot.release(outcome=None)
        assert world.pool.idle_count == 2
        slot.connection.is_open = False
        world.pool.prune()
        assert world.pool.idle_count == 1
        assert slot.connection.is_closed

    run_paused(main())


@pytest.mark.parametrize(
    ('max_connections', 'instances', 'expected'),
    [
        pytest.param(220, 1, 8, id='one instance'),
        pytest.param(220, 15, 7, id='first deployments'),
        pytest.param(1200, 144, 4, id='grown deployment'),
        pytest.param(40, 50, 1, id='fewer connections than instances'),
        pytest.param(0, 15, 8, id='not limited'),
    ],
)
def test_idle_connections_are_shared(
    max_connections: int, instances: int, expected: int
) -> None:
    """Guards against idle connections that use up a server's limit."""
    world = World({server('a'): load()})
    profile = ServiceProfile('desk', '/h', max_connections, COLD_RATE)
    world.view.adopt_table(RoutingTable(2, (ROUTE,), {'desk': profile}))
    world.cold_limits.set_roster(
        [
            InstanceRegistration(f'i{n}', 'east', 'east-a')
            for n in range(instances)
        ]
    )
    limit = SharedIdleLimit(view=world.view, cold_limits=world.cold_limits)
    assert limit.max_idle(server=server('a')) == expected
    assert limit.max_idle(server=server('unknown')) == 0
