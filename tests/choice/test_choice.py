"""Cold-start limits, estimates, standings and the choice by load checks."""

import asyncio
import random

from expression import Error
from expression import Ok
from expression import Result
import pytest

from teaselrock.coordination.choice import CheckedSlots
from teaselrock.coordination.choice import ColdLimits
from teaselrock.coordination.choice import LoadChecks
from teaselrock.coordination.choice import refusals
from teaselrock.coordination.choice import Standings
from teaselrock.coordination.choice import WorkEstimates
from teaselrock.coordination.choice.estimates import queue_rounds
from teaselrock.coordination.connections import ConnectionPool
from teaselrock.coordination.ports import BackendConnection
from teaselrock.coordination.ports import RosterEntry
from teaselrock.coordination.ports import Slot
from teaselrock.coordination.registry import InstallationView
from teaselrock.coordination.routing import WindowedBudget
from teaselrock.standins.clock import run_paused
from teaselrock.state import Answer
from teaselrock.state import AttemptOutcome
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer
from teaselrock.state import Content
from teaselrock.state import ExchangeFailure
from teaselrock.state import FailureKind
from teaselrock.state import LoadReport
from teaselrock.state import Refusal
from teaselrock.state import RefusalCode
from teaselrock.state import Request
from teaselrock.state import ServerState
from teaselrock.state import Verdict
from teaselrock.state.routes import Route
from teaselrock.state.routes import RoutingTable
from teaselrock.state.routes import ServiceProfile
from teaselrock.state.routes import ServiceShare

EAST_A = AvailabilityZone('east', 'east-a')
EAST_B = AvailabilityZone('east', 'east-b')
WEST = AvailabilityZone('west', 'west-a')
ROUTE = Route(
    name='r',
    host='a.example',
    prefix='/x/',
    shares=(ServiceShare('desk', 1.0),),
    is_idempotent=True,
    timeout=2.0,
    target_latency=0.6,
    rank=1,
    max_attempts=2,
)
COLD_RATE = 6.3
OVERSHOOT = 1.5
SLACK = 5.0


def _load(
    in_flight: int = 0,
    waiting: int = 0,
    factor: float = 1.0,
    cold_for: float = 0.0,
    is_healthy: bool = True,
) -> LoadReport:
    return LoadReport(
        's',
        ServerState.WARM,
        in_flight,
        6,
        waiting,
        factor,
        cold_for,
        is_healthy,
    )


def _server(name: str, zone: AvailabilityZone = EAST_A) -> BackendServer:
    return BackendServer(name, 'desk', zone, f'{name}:1', 6)


class FakeConnection:
    """A connection whose load a test sets."""

    def __init__(self, world: 'World', server: BackendServer) -> None:
        self.world = world
        self.server = server
        self.is_open = True

    @property
    def load(self) -> LoadReport:
        return self.world.loads[self.server.server_id]

    async def check(
        self, *, deadline: float
    ) -> Result[LoadReport, ExchangeFailure]:
        self.world.checked.append(self.server.server_id)
        delay = self.world.delays.get(self.server.server_id, 0.001)
        limit = deadline - asyncio.get_running_loop().time()
        await asyncio.sleep(min(delay, limit))
        if delay >= limit:
            self.close()
            return Error(
                ExchangeFailure(
                    FailureKind.TIMEOUT, Verdict.DID_NOT_RUN, 'timeout'
                )
            )
        return Ok(self.load)

    async def exchange(
        self, *, content: Content, deadline: float
    ) -> Result[Answer, ExchangeFailure]:
        raise NotImplementedError

    def close(self) -> None:
        self.is_open = False


class World:
    """Servers with loads, and the slots of one instance in east-a."""

    def __init__(self, loads: dict[BackendServer, LoadReport]) -> None:
        self.loads = {one.server_id: load for one, load in loads.items()}
        self.delays: dict[str, float] = {}
        self.checked: list[str] = []
        self.opened = 0
        self.view = InstallationView()
        self.view.adopt_table(
            RoutingTable(
                1,
                (ROUTE,),
                {'desk': ServiceProfile('desk', '/h', 200, COLD_RATE)},
            )
        )
        for server in loads:
            self.view.put_server(server)
        own = RosterEntry('i0', 'east', 'east-a')
        self.cold = ColdLimits(own=own, overshoot=OVERSHOOT, slack=SLACK)
        self.cold.set_roster((own,))
        self.pool = ConnectionPool(connector=self)
        self.standings = Standings()
        self.slots = CheckedSlots(
            own=EAST_A,
            view=self.view,
            checks=LoadChecks(
                connector=self,
                connections=self.pool,
                standings=self.standings,
            ),
            cold=self.cold,
            standings=self.standings,
            estimates=WorkEstimates(),
            rng=random.Random(1),
        )

    async def open(
        self, *, server: BackendServer, deadline: float
    ) -> Result[BackendConnection, ExchangeFailure]:
        self.opened += 1
        return Ok(FakeConnection(self, server))

    connect = open

    async def acquire(
        self, *, remaining: float = 2.0, exclude: tuple[str, ...] = ()
    ) -> Result[Slot, Refusal]:
        now = asyncio.get_running_loop().time()
        return await self.slots.acquire(
            request=Request(
                '',
                'desk',
                Content('GET', '/x/', (), b''),
                now + remaining,
                route=ROUTE,
            ),
            regions=frozenset({'east', 'west'}),
            weight=1,
            exclude=frozenset(exclude),
            reason=None,
        )


def _chosen(world: World, remaining: float = 2.0) -> str:
    result = run_paused(world.acquire(remaining=remaining))
    if result.is_error():
        return str(result.error.code.value)
    return str(result.ok.server.server_id)


@pytest.mark.parametrize(
    ('loads', 'expected'),
    [
        pytest.param(
            {_server('a'): _load(5, 4), _server('b'): _load(2)},
            'b',
            id='queue',
        ),
        pytest.param(
            {_server('a'): _load(factor=4.0), _server('b'): _load(3)},
            'b',
            id='noisy neighbour',
        ),
        pytest.param(
            {_server('a', EAST_B): _load(), _server('b'): _load()},
            'b',
            id='own zone',
        ),
        pytest.param(
            {_server('a', WEST): _load(), _server('b'): _load(2)},
            'b',
            id='own region',
        ),
        pytest.param(
            {_server('a', WEST): _load(), _server('b'): _load(6, 12)},
            'a',
            id='other region when the own is full',
        ),
        pytest.param(
            {_server('a'): _load(is_healthy=False), _server('b'): _load(3)},
            'b',
            id='unhealthy',
        ),
        pytest.param(
            {_server('a'): _load(is_healthy=False)},
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
    world = World({_server('a'): _load(), _server('b', WEST): _load()})
    assert _chosen(world) == 'a'
    assert world.checked == ['a']


def test_silent_server_does_not_delay_the_choice() -> None:
    """Guards against a dark server that holds each request up."""
    world = World({_server('a'): _load(), _server('b'): _load(3)})
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
    world = World({_server('a'): _load(), _server('b'): _load(3)})

    async def main() -> None:
        for _ in range(5):
            result = await world.acquire()
            result.ok.release(outcome=None)

    run_paused(main())
    assert world.opened == 2


def test_hopeless_request_is_refused_at_once() -> None:
    """Guards against requests that wait only to miss their deadline."""
    world = World({_server('a'): _load(6, 30)})

    async def main() -> None:
        result = await world.acquire(remaining=0.5)
        assert result.is_error()
        assert result.error.code is RefusalCode.OVERLOADED
        assert result.error.verdict is Verdict.DID_NOT_RUN
        assert result.error.retry_after is not None
        assert asyncio.get_running_loop().time() < 0.05

    run_paused(main())
    assert refusals.no_server(False).verdict is Verdict.DID_NOT_RUN


def test_less_urgent_request_yields_under_load() -> None:
    """Guards against late polls that make urgent lookups late as well.

    The load is that of a burst on heavy days: all servers have queues.
    """

    async def main() -> None:
        world = World({_server('a'): _load(6, 15)})
        assert (await world.acquire()).is_ok()
        urgent = ROUTE._replace(name='u', prefix='/u/', rank=0)
        profile = ServiceProfile('desk', '/h', 200, COLD_RATE)
        world.view.adopt_table(
            RoutingTable(2, (ROUTE, urgent), {'desk': profile})
        )
        refused = await world.acquire()
        assert refused.is_error()
        assert refused.error.code is RefusalCode.OVERLOADED
        world.loads['a'] = _load(6, 3)
        assert (await world.acquire()).is_ok()

    run_paused(main())


def test_drained_server_is_not_used() -> None:
    """Guards against a send to a server that drains since the check."""
    world = World({_server('a'): _load()})

    async def main() -> None:
        result = await world.acquire()
        assert result.ok.is_valid
        world.view.put_server(_server('a')._replace(leaving=True))
        assert not result.ok.is_valid

    run_paused(main())


@pytest.mark.parametrize('instances', [1, 2, 3, 5, 18, 48])
def test_cold_server_gets_what_it_bears(instances: int) -> None:
    """Guards against instances that are each right and together too many."""
    roster = [RosterEntry(f'i{n}', 'east', 'east-a') for n in range(instances)]
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
                if limit.can_take(server=_server('s'), cold_rate=COLD_RATE):
                    limit.take(server=_server('s'))
                    sends.append(step * 0.01)
            await asyncio.sleep(0.01)

    run_paused(main())
    most = max(
        sum(1 for at in sends if start <= at < start + 1.0) for start in sends
    )
    assert most <= bound
    # A cold server has to get enough work to become warm.
    assert len(sends) / 4.0 >= COLD_RATE * 0.8


def test_cold_servers_do_not_hide_another_region() -> None:
    """Guards against refusals while another region has room.

    On the recorded incident a zone of two was out and the other one's
    servers were cold: requests were refused without a look elsewhere.
    """
    world = World(
        {
            _server('cold'): _load(cold_for=3.0),
            _server('full', EAST_B): _load(6, 30),
            _server('far', WEST): _load(1),
        }
    )

    async def main() -> None:
        chosen = [(await world.acquire()).ok.server for _ in range(30)]
        names = [one.server_id for one in chosen]
        assert 'far' in names
        assert 'full' not in names
        assert 0 < names.count('cold') <= COLD_RATE * OVERSHOOT + SLACK

    run_paused(main())


def test_cold_server_without_roster_or_outside_the_region() -> None:
    """Guards against cold servers that instances of all regions use."""

    async def main() -> None:
        own = RosterEntry('i0', 'west', 'west-a')
        limits = ColdLimits(own=own, overshoot=OVERSHOOT, slack=SLACK)
        assert not limits.can_take(server=_server('s'), cold_rate=COLD_RATE)
        limits.set_roster((own, RosterEntry('i1', 'east', 'east-a')))
        assert not limits.can_take(server=_server('s'), cold_rate=COLD_RATE)

    run_paused(main())


def test_failing_server_is_avoided_and_forgiven() -> None:
    """Guards against a server with good checks that fails requests."""

    async def main() -> None:
        standings = Standings()
        for _ in range(4):
            standings.observe(
                server_id='s',
                outcome=AttemptOutcome(0.1, FailureKind.RESET),
                expected=0.1,
            )
        assert standings.penalty('s') > 4.0
        await asyncio.sleep(20.0)
        assert standings.penalty('s') < 1.2

    run_paused(main())


def test_slow_server_is_avoided() -> None:
    """Guards against a server that works more slowly than it says."""

    async def main() -> None:
        standings = Standings()
        for _ in range(4):
            standings.observe(
                server_id='s',
                outcome=AttemptOutcome(1.0),
                expected=0.2,
            )
        assert standings.penalty('s') > 2.0

    run_paused(main())


def test_shed_request_is_no_failure_of_the_server() -> None:
    """Guards against full servers that are taken for broken ones."""

    async def main() -> None:
        standings = Standings()
        standings.observe(
            server_id='s',
            outcome=AttemptOutcome(0.01, FailureKind.SHED),
            expected=0.2,
        )
        assert standings.penalty('s') == 1.0

    run_paused(main())


def test_queue_counts_in_rounds() -> None:
    """Guards against estimates that leave out the queue."""
    assert queue_rounds(_load(5)) == 0
    assert queue_rounds(_load(6)) == pytest.approx(1 / 6)
    assert queue_rounds(_load(6, 6)) == pytest.approx(7 / 6)


def test_windowed_budget_keeps_its_share() -> None:
    """Guards against repeats above the share in any ten seconds."""

    async def main() -> None:
        budget = WindowedBudget(share=0.15, window=10.0, extra=1.0)
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
