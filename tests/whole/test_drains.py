"""Drains and graceful stops of whole instances, on the paused clock."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random

import pytest

from teaselrock.bench import measures
from teaselrock.bench.callers import Callers
from teaselrock.bench.callers import LOST
from teaselrock.bench.callers import Workload
from teaselrock.bench.deployments import CALLER_LATENCY_S
from teaselrock.bench.deployments import DEPLOYMENTS
from teaselrock.bench.deployments import make_fleet_plan
from teaselrock.bench.deployments import OPEN_CUSTOMERS
from teaselrock.bench.invariant_checks import check_at_most_once
from teaselrock.bench.invariant_checks import check_not_run
from teaselrock.bench.invariant_checks import Observations
from teaselrock.bench.report_checks import ReportedRow
from teaselrock.bench.rows import read_report
from teaselrock.coordination.instance import STOP_TIMEOUT_S
from teaselrock.standins.clock import run_paused
from teaselrock.standins.fleet import Fleet

DRAIN_S = 2.0
CALLS_PER_S = 80.0
DEADLINE_S = 2.0
# Four parts of the stop wait for the store, each for a bounded time.
MAX_STOP_S = DEADLINE_S + 3 * STOP_TIMEOUT_S


def _run_with_callers(
    deployment: str,
    seed: int,
    seconds: float,
    events: Callable[[Fleet], Awaitable[None]],
) -> tuple[Fleet, Observations]:
    """Run `events` while callers send open-loop load to all instances."""
    chosen = DEPLOYMENTS[deployment]
    fleets: list[tuple[Fleet, Callers]] = []

    async def main() -> None:
        fleet = Fleet(
            plan=make_fleet_plan(deployment=chosen, rng=random.Random(seed)),
            rng=random.Random(seed + 1),
        )
        callers = Callers(fleet=fleet, rng=random.Random(seed + 2))
        fleets.append((fleet, callers))
        await fleet.start()
        until = asyncio.get_running_loop().time() + seconds
        workloads = [
            Workload(service, CALLS_PER_S, until, OPEN_CUSTOMERS)
            for service in chosen.services
        ]
        await asyncio.gather(callers.run(workloads), events(fleet))

    run_paused(main())
    fleet, callers = fleets[0]
    runs = [run for model in fleet.plan.models.values() for run in model.runs]
    return fleet, Observations(callers.records, runs, fleet.plan.document)


@pytest.mark.parametrize(
    ('deployment', 'seed'), [('hollis', 1), ('liffeyline', 2)]
)
def test_draining_server_gets_no_new_work(deployment: str, seed: int) -> None:
    """Guards against instances that keep sending to a draining server.

    Only its load reports show that it drains; the platform still lists it.
    """
    drained_at: list[float] = []
    arrivals: list[tuple[float, int]] = []

    async def events(fleet: Fleet) -> None:
        loop = asyncio.get_running_loop()
        model = next(iter(fleet.plan.models.values()))
        await asyncio.sleep(1.0)
        assert model.runs
        model.drain()
        drained_at.append(loop.time())
        await asyncio.sleep(DRAIN_S)
        arrivals.append((loop.time(), model.shed))
        await asyncio.sleep(2.0)
        # A draining server sheds each new request, so the count shows it.
        assert model.shed == arrivals[0][1]
        for instance in fleet.live.values():
            service = fleet.plan.servers[0].service
            listed = instance.directory.backend_servers(service=service)
            assert model.server_id not in {
                server.server_id for server in listed
            }

    fleet, observed = _run_with_callers(deployment, seed, 5.0, events)
    model = next(iter(fleet.plan.models.values()))
    assert max(run.started for run in model.runs) <= drained_at[0]
    assert measures.served_share(observed.calls) == 1.0


@pytest.mark.parametrize('is_store_down', [False, True])
@pytest.mark.parametrize('seed', [1, 2])
def test_leaving_instance_loses_nothing(
    seed: int, is_store_down: bool
) -> None:
    """Guards against a planned stop that loses a request or a report row.

    With the store down, the instance can't flush its rows before it exits;
    their keepers must.
    """
    name = 'gw-3'
    stopped: list[float] = []
    stored: list[ReportedRow] = []

    async def events(fleet: Fleet) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(1.0)
        while not fleet.live[name].dispatcher.in_flight:
            await asyncio.sleep(0.001)
        started = loop.time()
        fleet.store.is_down = is_store_down
        await fleet.stop_instance(name)
        stopped.append(loop.time())
        assert stopped[0] - started <= MAX_STOP_S
        fleet.store.is_down = False
        # The keepers flush what the leaving instance could not store.
        await asyncio.sleep(10.0)
        stored.extend((await read_report(fleet)).rows)

    fleet, observed = _run_with_callers('hollis', seed, 2.0, events)
    assert not check_at_most_once(observed)
    assert not check_not_run(observed)
    own = [call for call in observed.calls if call.instance_id == name]
    assert own
    # A call that arrives after the exit finds no process and has not run.
    assert all(
        call.sent + CALLER_LATENCY_S >= stopped[0]
        for call in own
        if call.verdict == LOST
    )
    lost = {call.call for call in own if call.verdict == LOST}
    assert not lost.intersection(run.call for run in observed.runs)
    served = sum(measures.is_served(call) for call in own)
    rows = [row for row in stored if row.instance_id == name]
    assert sum(row.verdict == 'ran' for row in rows) == served
