"""Experiment `cold`: restarts under load.

It counts requests above the capacity of a cold server.
"""

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

LOAD_SHARE: Final = 0.5
RESTARTS: Final = 2
RESTART_GAP_S: Final = 0.3


async def _restart(simulation: Simulation) -> None:
    models = list(simulation.plan.models.values())
    for _ in range(RESTARTS):
        await asyncio.sleep(simulation.rng.uniform(0.5, 1.5) * RESTART_GAP_S)
        simulation.rng.choice(models).restart()


async def _run_load(simulation: Simulation) -> None:
    await simulation.run(simulation.workloads(share=LOAD_SHARE), _restart)


def run(trial: Trial) -> Outcome:
    """Run one seed."""
    simulation = Simulation(trial=trial)
    run_simulation(simulation, _run_load)
    models = simulation.plan.models.values()
    excess = sum(model.excess_cold for model in models)
    return Outcome(
        trial,
        {
            'excess_cold': excess,
            'seeds_with_excess': float(excess > 0),
            'served_share': measures.served_share(simulation.calls),
        },
    )


EXPERIMENT: Final = Experiment(
    'cold',
    'restarts under 50% load; requests above what a cold server handles',
    BALANCERS,
    200,
    1.2,
    run,
    {
        'excess_cold': Combine.SUM,
        'seeds_with_excess': Combine.SUM,
        'served_share': Combine.MEAN,
    },
    {'excess_cold': Bound(0)},
)
