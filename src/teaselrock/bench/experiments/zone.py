"""Experiment `zone`: a zone goes out of service and back under 70% load."""

import asyncio
from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Final

from teaselrock.bench import measures
from teaselrock.bench.callers import CallRecord
from teaselrock.bench.deployments import ZONES
from teaselrock.bench.invariant_checks import check_at_most_once
from teaselrock.bench.invariant_checks import check_not_run
from teaselrock.bench.invariant_checks import NOT_RUN
from teaselrock.bench.trial import Bound
from teaselrock.bench.trial import Combine
from teaselrock.bench.trial import Experiment
from teaselrock.bench.trial import Outcome
from teaselrock.bench.trial import run_simulation
from teaselrock.bench.trial import Simulation
from teaselrock.bench.trial import Trial
from teaselrock.standins.behaviour import Run
from teaselrock.standins.behaviour import ServerFaults
from teaselrock.state import AvailabilityZone

LOAD_SHARE: Final = 0.7
OUT_AFTER_S: Final = 1.0
OUT_FOR_S: Final = 4.0
FAULT_S: Final = 3.0
STALL_FACTOR: Final = 100.0


async def _no_fault(simulation: Simulation, zone: AvailabilityZone) -> None:
    """No fault."""


async def _store_fails(simulation: Simulation, zone: AvailabilityZone) -> None:
    """The store is down for `FAULT_S`.

    `run` takes it down right after the write that accepts the change, before
    any other task runs.
    """
    await asyncio.sleep(FAULT_S)
    simulation.fleet.store.is_down = False


async def _instance_paused(
    simulation: Simulation, zone: AvailabilityZone
) -> None:
    """An instance is paused when the change is accepted."""
    name = simulation.rng.choice(sorted(simulation.fleet.live))
    simulation.fleet.pause(name)
    await asyncio.sleep(simulation.rng.uniform(0.5, FAULT_S))
    simulation.fleet.resume(name)


async def _server_stalled(
    simulation: Simulation, zone: AvailabilityZone
) -> None:
    """Requests that start at the zone's servers within `FAULT_S` are slow.

    They take `STALL_FACTOR` times as long, even if the fault ends first.
    """
    models = [m for m in simulation.plan.models.values() if m.zone == zone]
    for model in models:
        model.faults = ServerFaults(slow_factor=STALL_FACTOR)
    await asyncio.sleep(FAULT_S)
    for model in models:
        model.faults = ServerFaults()


VARIANTS: Final[
    Mapping[str, Callable[[Simulation, AvailabilityZone], Awaitable[None]]]
] = {
    'default': _no_fault,
    'store-fails': _store_fails,
    'instance-paused': _instance_paused,
    'server-stalled': _server_stalled,
}
# Seconds by which these faults begin before the change is accepted.
FAULT_LEAD_S: Final = {'instance-paused': 0.3, 'server-stalled': 0.3}


def run(trial: Trial) -> Outcome:
    """Run one seed; the zone is out of service in the middle of the trial."""
    simulation = Simulation(trial=trial)
    zone = simulation.rng.choice(ZONES)
    accepted_at = [0.0, 0.0]

    async def during_load(simulation: Simulation) -> None:
        loop = asyncio.get_running_loop()
        document = simulation.plan.document
        lead_s = FAULT_LEAD_S.get(trial.variant, 0.0)
        await asyncio.sleep(OUT_AFTER_S - lead_s)
        fault = None
        if lead_s:
            fault = asyncio.ensure_future(
                VARIANTS[trial.variant](simulation, zone)
            )
            await asyncio.sleep(lead_s)
        await simulation.fleet.apply_document(
            {**document, 'out_zones': {str(zone): {'reason': 'bench'}}}
        )
        accepted_at[0] = loop.time()
        if fault is None:
            simulation.fleet.store.is_down = trial.variant == 'store-fails'
            fault = asyncio.ensure_future(
                VARIANTS[trial.variant](simulation, zone)
            )
        await asyncio.sleep(OUT_FOR_S)
        await fault
        accepted_at[1] = loop.time()
        await simulation.fleet.apply_document(document)

    async def body(simulation: Simulation) -> None:
        await simulation.run(
            simulation.workloads(share=LOAD_SHARE), during_load
        )

    run_simulation(simulation, body)
    out_at, back_at = accepted_at
    runs_in_zone = [
        server_run
        for server_run in simulation.observations.runs
        if (server_run.region, server_run.zone) == (zone.region, zone.name)
    ]
    start_delays = [
        server_run.started - out_at
        for server_run in runs_in_zone
        if out_at <= server_run.started < back_at
    ]
    during = [call for call in simulation.calls if out_at <= call.sent]
    violations = check_at_most_once(simulation.observations) + check_not_run(
        simulation.observations
    )
    return Outcome(
        trial,
        {
            'served_share': measures.served_share(during),
            'builds_lost': _count_lost(during),
            'builds_doubled': len(check_at_most_once(simulation.observations)),
            'last_new_work_s': max(start_delays, default=0.0),
            'returned_runs': sum(
                back_at <= server_run.started for server_run in runs_in_zone
            ),
            'ramp_steps': _count_runs_above_ramp(
                [
                    server_run
                    for server_run in runs_in_zone
                    if back_at <= server_run.started
                ]
            ),
        },
        tuple(violations),
    )


def _count_runs_above_ramp(runs: Sequence[Run]) -> int:
    """Count runs above the ramp limit of servers that are back in service.

    A server may get one concurrent request at first, and one more for each
    success since its return.
    """
    excess_runs = 0
    for server in {server_run.server_id for server_run in runs}:
        server_runs = [
            server_run for server_run in runs if server_run.server_id == server
        ]
        for server_run in server_runs:
            started_runs = [
                other
                for other in server_runs
                if other.started <= server_run.started
            ]
            ended = [
                other
                for other in started_runs
                if other.ended is not None
                and other.ended <= server_run.started
            ]
            running = len(started_runs) - len(ended)
            excess_runs += running > 1 + sum(
                other.is_complete for other in ended
            )
    return excess_runs


def _count_lost(calls: list[CallRecord]) -> int:
    """Count non-idempotent requests without a known outcome.

    They were neither served nor refused as not run, so that their callers
    can't send them again.
    """
    known_outcomes: Counter[str] = Counter()
    for call in calls:
        if not call.idempotent:
            has_known_outcome = (
                measures.is_served(call) or call.verdict == NOT_RUN
            )
            known_outcomes[call.token] += has_known_outcome
    return sum(count == 0 for count in known_outcomes.values())


EXPERIMENT: Final = Experiment(
    'zone',
    'a zone goes out of service and back under 70% load; no build is lost',
    tuple(VARIANTS),
    4,
    6.5,
    run,
    {
        'served_share': Combine.MEAN,
        'builds_lost': Combine.SUM,
        'builds_doubled': Combine.SUM,
        'last_new_work_s': Combine.MAX,
        'returned_runs': Combine.SUM,
        'ramp_steps': Combine.SUM,
    },
    {
        'served_share': Bound(0.999, is_minimum=True),
        'builds_lost': Bound(0),
        'builds_doubled': Bound(0),
        'last_new_work_s': Bound(2.0),
    },
)
