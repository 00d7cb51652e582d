"""Experiment `steady`: 70% load with noisy neighbours and stragglers."""

import asyncio
from typing import Final

from teaselrock.bench import measures
from teaselrock.bench.trial import BALANCERS
from teaselrock.bench.trial import Bound
from teaselrock.bench.trial import Combine
from teaselrock.bench.trial import Experiment
from teaselrock.bench.trial import Outcome
from teaselrock.bench.trial import run_simulation
from teaselrock.bench.trial import Simulation
from teaselrock.bench.trial import Trial
from teaselrock.standins.behaviour import ServerFaults

LOAD_SHARE: Final = 0.7
STRAGGLER_FACTOR: Final = 5.0
STRAGGLER_S: Final = 1.0
# Not measured, as connections open and queues fill at first. Counted from loop
# time 0, so it includes the fleet's start.
WARM_UP_S: Final = 1.0
LOOKUP_KINDS: Final = {'liffeyline': 'term', 'hollis': 'urgent'}


async def _inject_stragglers(simulation: Simulation) -> None:
    """Make one random server at a time slow for `STRAGGLER_S`."""
    models = list(simulation.plan.models.values())
    for _ in range(3):
        model = simulation.rng.choice(models)
        model.faults = ServerFaults(slow_factor=STRAGGLER_FACTOR)
        await asyncio.sleep(STRAGGLER_S)
        model.faults = ServerFaults()


async def _run_load(simulation: Simulation) -> None:
    await simulation.run(
        simulation.workloads(share=LOAD_SHARE), _inject_stragglers
    )


def run(trial: Trial) -> Outcome:
    """Run one seed."""
    simulation = Simulation(trial=trial, is_noisy=True)
    run_simulation(simulation, _run_load)
    calls = [call for call in simulation.calls if call.sent >= WARM_UP_S]
    lookups = measures.latencies_ms(calls, LOOKUP_KINDS[trial.deployment])
    measured_s = trial.seconds - WARM_UP_S
    return Outcome(
        trial,
        {
            'p50_ms': measures.percentile(lookups, 0.5),
            'p99_ms': measures.percentile(lookups, 0.99),
            'p99.9_ms': measures.percentile(lookups, 0.999),
            'served_per_s': len(measures.latencies_ms(calls)) / measured_s,
            'served_share': measures.served_share(calls),
            'excess_share': measures.excess_share(
                simulation.plan.models.values()
            ),
        },
    )


EXPERIMENT: Final = Experiment(
    'steady',
    '70% load with noisy neighbours and stragglers; latency of lookups',
    BALANCERS,
    4,
    4.0,
    run,
    {
        'p50_ms': Combine.MEAN,
        'p99_ms': Combine.MEAN,
        'p99.9_ms': Combine.MEAN,
        'served_per_s': Combine.MEAN,
        'served_share': Combine.MEAN,
        'excess_share': Combine.MEAN,
    },
    {
        'p99_ms': Bound(0.6, relative_to='two-choices'),
        'excess_share': Bound(0.001),
    },
)
