"""Choice of a backend server by load checks, and its state per server."""

import asyncio

from choice_world import backend_server
from choice_world import COLD_RATE_PER_S
from choice_world import EAST_B
from choice_world import load_report
from choice_world import OVERSHOOT
from choice_world import ROUTE
from choice_world import SLACK_REQUESTS
from choice_world import WEST
from choice_world import World
import pytest

from teaselrock.coordination.choice import refusals
from teaselrock.coordination.choice import ServerHistory
from teaselrock.coordination.choice import SharedIdleLimit
from teaselrock.coordination.choice.latency_estimates import queued_per_unit
from teaselrock.coordination.choice.load_checks import CHECK_TIMEOUT_S
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


def _choose(world: World, remaining: float = 2.0) -> str:
    result = run_paused(world.acquire(remaining=remaining))
    if result.is_error():
        return str(result.error.code.value)
    return str(result.ok.server.server_id)


@pytest.mark.parametrize(
    ('loads', 'expected'),
    [
        pytest.param(
            {
                backend_server('a'): load_report(5, 4),
                backend_server('b'): load_report(2),
            },
            'b',
            id='queue',
        ),
        pytest.param(
            {
                backend_server('a'): load_report(work_factor=4.0),
                backend_server('b'): load_report(3),
            },
            'b',
            id='noisy neighbour',
        ),
        pytest.param(
            {
                backend_server('a', EAST_B): load_report(),
                backend_server('b'): load_report(),
            },
            'b',
            id='own zone',
        ),
        pytest.param(
            {
                backend_server('a', WEST): load_report(),
                backend_server('b'): load_report(2),
            },
            'b',
            id='own region',
        ),
        pytest.param(
            {
                backend_server('a', WEST): load_report(),
                backend_server('b'): load_report(6, 12),
            },
            'a',
            id='other region if the own one is full',
        ),
        pytest.param(
            {
                backend_server('a'): load_report(is_healthy=False),
                backend_server('b'): load_report(3),
            },
            'b',
            id='unhealthy',
        ),
        pytest.param(
            {backend_server('a'): load_report(is_healthy=False)},
            'a',
            id='only an unhealthy server',
        ),
    ],
)
def test_cheapest_server_is_chosen(
    loads: dict[BackendServer, LoadReport], expected: str
) -> None:
    """Guards against a choice that ignores queue, work factor or distance.

    In each case the cheapest server differs in only one of these.
    """
    assert _choose(World(loads)) == expected


def test_other_region_is_not_checked_without_need() -> None:
    """Guards against load checks across regions without need.

    A server of the own region has free slots, so the traffic is wasted.
    """
    world = World(
        {
            backend_server('a'): load_report(),
            backend_server('b', WEST): load_report(),
        }
    )
    assert _choose(world) == 'a'
    assert world.checked_server_ids == ['a']


def test_unresponsive_server_does_not_delay_the_choice() -> None:
    """Guards against an unresponsive server that delays each request.

    The choice must use the load reports that have arrived.
    """
    world = World(
        {
            backend_server('a'): load_report(),
            backend_server('b'): load_report(3),
        }
    )
    world.check_delays_s['a'] = 60.0

    async def main() -> float:
        start = asyncio.get_running_loop().time()
        result = await world.acquire()
        assert result.ok.server.server_id == 'b'
        elapsed_s = asyncio.get_running_loop().time() - start
        # After a failed check the server is not checked again for a while.
        await asyncio.sleep(0.3)
        world.checked_server_ids.clear()
        await world.acquire()
        assert world.checked_server_ids == ['b']
        return elapsed_s

    assert run_paused(main()) < 0.02


def test_unresponsive_servers_are_checked_once() -> None:
    """Guards against a late refusal if no server answers its check.

    The check is repeated only if the process itself did not run.
    """
    world = World({backend_server('a'): load_report()})
    world.check_delays_s['a'] = 60.0

    async def main() -> float:
        start = asyncio.get_running_loop().time()
        result = await world.acquire()
        assert result.error.code is RefusalCode.NO_BACKEND
        assert world.checked_server_ids == ['a']
        return asyncio.get_running_loop().time() - start

    assert run_paused(main()) == pytest.approx(CHECK_TIMEOUT_S)


def test_unused_connections_are_kept() -> None:
    """Guards against a new connection for each load check.

    Connections of servers that were not chosen go back to the pool.
    """
    world = World(
        {
            backend_server('a'): load_report(),
            backend_server('b'): load_report(3),
        }
    )

    async def main() -> None:
        for _ in range(5):
            result = await world.acquire()
            result.ok.release(outcome=None)

    run_paused(main())
    assert world.opened_connections == 2


def test_request_that_cannot_meet_its_deadline_is_refused() -> None:
    """Guards against requests that wait and then miss their deadline.

    The queue of the only server is longer than the request can wait.
    """
    world = World({backend_server('a'): load_report(6, 30)})

    async def main() -> None:
        result = await world.acquire(remaining=0.5)
        assert result.is_error()
        assert result.error.code is RefusalCode.OVERLOADED
        assert result.error.verdict is Verdict.DID_NOT_RUN
        assert result.error.retry_after is not None
        assert asyncio.get_running_loop().time() < 0.05

    run_paused(main())
    assert refusals.no_server_refusal(False).verdict is Verdict.DID_NOT_RUN


def test_less_urgent_request_is_refused_under_load() -> None:
    """Guards against less urgent requests that delay urgent ones.

    In a burst all servers have queues, and a request that is late anyway
    would make requests of a more urgent route late as well.
    """

    async def main() -> None:
        world = World({backend_server('a'): load_report(6, 15)})
        assert (await world.acquire()).is_ok()
        urgent = ROUTE._replace(name='u', prefix='/u/', priority=0)
        profile = ServiceProfile('desk', '/h', 200, COLD_RATE_PER_S)
        world.view.put_table_in_force(
            RoutingTable(2, (ROUTE, urgent), {'desk': profile})
        )
        refused = await world.acquire()
        assert refused.is_error()
        assert refused.error.code is RefusalCode.OVERLOADED
        world.loads['a'] = load_report(6, 3)
        assert (await world.acquire()).is_ok()

    run_paused(main())


def test_slot_of_draining_server_is_invalid() -> None:
    """Guards against a request to a server that drains since its load check.

    The drain is announced while the slot is held.
    """
    world = World({backend_server('a'): load_report()})

    async def main() -> None:
        result = await world.acquire()
        assert result.ok.is_valid
        world.view.put_server(backend_server('a')._replace(is_draining=True))
        assert not result.ok.is_valid

    run_paused(main())


def test_other_region_is_used_when_servers_are_cold() -> None:
    """Guards against refusals while another region has free slots.

    One of two zones is out and the servers of the other one are cold, as in
    the recorded incident: requests were refused without a check of servers
    in other regions.
    """
    world = World(
        {
            backend_server('cold'): load_report(cold_remaining=3.0),
            backend_server('full', EAST_B): load_report(6, 30),
            backend_server('far', WEST): load_report(1),
        }
    )

    async def main() -> None:
        servers = [(await world.acquire()).ok.server for _ in range(30)]
        names = [server.server_id for server in servers]
        assert 'far' in names
        assert 'full' not in names
        assert (
            0
            < names.count('cold')
            <= COLD_RATE_PER_S * OVERSHOOT + SLACK_REQUESTS
        )

    run_paused(main())


def test_shed_request_is_no_failure_of_the_server() -> None:
    """Guards against a penalty for a server that is only full.

    A server sheds requests while its slots and queue are full.
    """

    async def main() -> None:
        history = ServerHistory()
        history.observe(
            server_id='s',
            outcome=AttemptOutcome(0.01, FailureKind.NOT_ACCEPTED),
            expected_latency=0.2,
        )
        assert history.penalty('s') == 1.0

    run_paused(main())


def test_queued_per_unit() -> None:
    """Guards against a latency estimate that leaves out the queue."""
    assert queued_per_unit(load_report(5)) == 0
    assert queued_per_unit(load_report(6)) == pytest.approx(1 / 6)
    assert queued_per_unit(load_report(6, 6)) == pytest.approx(7 / 6)


def test_late_check_error_is_logged() -> None:
    """Guards against an error of a load check that is lost.

    The check fails after another server was chosen, so no caller awaits it.
    """
    world = World(
        {
            backend_server('a'): load_report(),
            backend_server('b'): load_report(3),
        }
    )
    world.check_delays_s['a'] = 0.05
    world.check_errors['a'] = ValueError('unexpected')

    async def main() -> None:
        assert (await world.acquire()).ok.server.server_id == 'b'
        assert world.events == []
        await asyncio.sleep(0.1)

    run_paused(main())
    assert world.events == [Event.CHECK_FAILED]


def test_removed_server_leaves_no_state() -> None:
    """Guards against connections and counts kept for removed servers.

    What a cold server has got is still counted after its removal.
    """
    world = World(
        {
            backend_server('a'): load_report(cold_remaining=2.0),
            backend_server('b'): load_report(6, 9),
        }
    )

    async def main() -> None:
        slot = (await world.acquire()).ok
        assert slot.server.server_id == 'a'
        assert world.pool.idle_count == 1
        world.view.remove_server('a')
        world.pool.drop(server_id='a')
        world.slots.drop_server('a')
        slot.release(outcome=None)
        assert not slot.connection.is_open
        assert world.pool.idle_count == 1
        # The server may register again at once under its id, still cold.
        world.view.put_server(backend_server('a'))
        sent = 1
        for _ in range(50):
            slot = (await world.acquire()).ok
            sent += slot.server.server_id == 'a'
            slot.release(outcome=None)
        assert sent <= COLD_RATE_PER_S * OVERSHOOT + SLACK_REQUESTS

    run_paused(main())


def test_closed_idle_connections_are_pruned() -> None:
    """Guards against a descriptor leak.

    Servers close idle connections, which then remain in the pool.
    """
    world = World(
        {
            backend_server('a'): load_report(),
            backend_server('b'): load_report(3),
        }
    )

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
    """Guards against idle connections that use up a server's limit.

    All instances together may keep only a part of its connections idle.
    """
    world = World({backend_server('a'): load_report()})
    profile = ServiceProfile('desk', '/h', max_connections, COLD_RATE_PER_S)
    world.view.put_table_in_force(RoutingTable(2, (ROUTE,), {'desk': profile}))
    world.roster.set_entries(
        [
            InstanceRegistration(f'i{n}', 'east', 'east-a')
            for n in range(instances)
        ]
    )
    limit = SharedIdleLimit(view=world.view, roster=world.roster)
    assert limit.max_idle(server=backend_server('a')) == expected
    assert limit.max_idle(server=backend_server('unknown')) == 0
