"""A zone goes out of service and returns under 70% load."""

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


async def _none(simulation: Simulation, zone: AvailabilityZone) -> None:
    """No fault."""


async def _store_fails(simulation: Simulation, zone: AvailabilityZone) -> None:
    """The store fails right after the accepting write, before any task."""
    await asyncio.sleep(FAULT_S)
    simulation.fleet.store.is_down = False


async def _instance_paused(
    simulation: Simulation, zone: AvailabilityZone
) -> None:
    """An instance is in the middle of a pause."""
    name = simulation.rng.choice(sorted(simulation.fleet.live))
    simulation.fleet.pause(name)
    await asyncio.sleep(simulation.rng.uniform(0.5, FAULT_S))
    simulation.fleet.resume(name)


async def _server_stalled(
    simulation: Simulation, zone: AvailabilityZone
) -> None:
    """The servers of the zone stall: what they run does not end."""
    models = [m for m in simulation.plan.models.values() if m.zone == zone]
    for model in models:
        model.faults = ServerFaults(slow_factor=STALL_FACTOR)
    await asyncio.sleep(FAULT_S)
    for model in models:
        model.faults = ServerFaults()


VARIANTS: Final[
    Mapping[str, Callable[[Simulation, AvailabilityZone], Awaitable[None]]]
] = {
    'default': _none,
    'store-fails': _store_fails,
    'instance-paused': _instance_paused,
    'server-stalled': _server_stalled,
}
# Faults that begin before the acceptance, for this long.
BEFORE_S: Final = {'instance-paused': 0.3, 'server-stalled': 0.3}


def run(trial: Trial) -> Outcome:
    """Run one seed; the zone is out for the middle part."""
    simulation = Simulation(trial=trial)
    zone = simulation.rng.choice(ZONES)
    accepted = [0.0, 0.0]

    async def events(simulation: Simulation) -> None:
        loop = asyncio.get_running_loop()
        document = simulation.plan.document
        before = BEFORE_S.get(trial.variant, 0.0)
        await asyncio.sleep(OUT_AFTER_S - before)
        fault = None
        if before:
            fault = asyncio.ensure_future(
                VARIANTS[trial.variant](simulation, zone)
            )
            await asyncio.sleep(before)
        await simulation.fleet.accept(
            {**document, 'out_zones': {str(zone): {'reason': 'bench'}}}
        )
        accepted[0] = loop.time()
        if fault is None:
            simulation.fleet.store.is_down = trial.variant == 'store-fails'
            fault = asyncio.ensure_future(
                VARIANTS[trial.variant](simulation, zone)
            )
        await asyncio.sleep(OUT_FOR_S)
        await fault
        accepted[1] = loop.time()
        await simulation.fleet.accept(document)

    async def body(simulation: Simulation) -> None:
        await simulation.run(simulation.workloads(share=LOAD_SHARE), events)

    run_simulation(simulation, body)
    out, back = accepted
    in_zone = [
        seen
        for seen in simulation.observations.runs
        if (seen.region, seen.zone) == (zone.region, zone.name)
    ]
    late = [
        seen.started - out for seen in in_zone if out <= seen.started < back
    ]
    during = [call for call in simulation.calls if out <= call.sent]
    violations = check_at_most_once(simulation.observations) + check_not_run(
        simulation.observations
    )
    return Outcome(
        trial,
        {
            'served_share': measures.served_share(during),
            'builds_lost': _lost(during),
            'builds_doubled': len(check_at_most_once(simulation.observations)),
            'last_new_work_s': max(late, default=0.0),
            'returned_runs': sum(back <= seen.started for seen in in_zone),
            'ramp_steps': _ramp_steps(
                [seen for seen in in_zone if back <= seen.started]
            ),
        },
        tuple(violations),
    )


def _ramp_steps(runs: Sequence[Run]) -> int:
    """Runs at returned servers that the ramp does not explain.

    A server begins at one concurrent request and may get one more for each
    success since its return.
    """
    steps = 0
    for server in {seen.server_id for seen in runs}:
        own = [seen for seen in runs if seen.server_id == server]
        for seen in own:
            before = [one for one in own if one.started <= seen.started]
            ended = [
                one
                for one in before
                if one.ended is not None and one.ended <= seen.started
            ]
            running = len(before) - len(ended)
            steps += running > 1 + sum(one.is_complete for one in ended)
    return steps


def _lost(calls: list[CallRecord]) -> int:
    """Non-idempotent requests that neither ran nor were refused as not run.

    Their callers cannot send them again.
    """
    verdicts: Counter[str] = Counter()
    for call in calls:
        if not call.idempotent:
            known = measures.is_served(call) or call.verdict == NOT_RUN
            verdicts[call.token] += known
    return sum(count == 0 for count in verdicts.values())


EXPERIMENT: Final = Experiment(
    'zone',
    'a zone leaves and returns under 70% load; needs no lost build',
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
