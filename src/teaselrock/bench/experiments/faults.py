"""Experiment `faults`: overlapping random faults, then invariant checks."""

import asyncio
from typing import Final

from teaselrock.bench import measures
from teaselrock.bench.callers import CallRecord
from teaselrock.bench.callers import Workload
from teaselrock.bench.deployments import CUSTOMERS
from teaselrock.bench.deployments import HOME_REGIONS
from teaselrock.bench.deployments import METERED_CUSTOMERS
from teaselrock.bench.deployments import REGIONS
from teaselrock.bench.disturbances import FAULTS
from teaselrock.bench.invariant_checks import check_invariants
from teaselrock.bench.invariant_checks import Violation
from teaselrock.bench.report_checks import check_rows
from teaselrock.bench.rows import read_report
from teaselrock.bench.rows import StoredReport
from teaselrock.bench.trial import Bound
from teaselrock.bench.trial import Combine
from teaselrock.bench.trial import Experiment
from teaselrock.bench.trial import Outcome
from teaselrock.bench.trial import run_simulation
from teaselrock.bench.trial import Simulation
from teaselrock.bench.trial import Trial
from teaselrock.bench.trial import UNSHARED

CALLS_PER_S: Final = 60.0
REPEAT_SHARE: Final = 0.1
ABANDON_SHARE: Final = 0.03
FAULT_COUNT: Final = 4
# Time until failures are detected and the last rows are flushed.
SETTLE_S: Final = 15.0
CHECKS: Final = (
    'at-most-once',
    'not-run',
    'answers',
    'home-regions',
    'plans',
    'report',
)


async def _inject_faults(simulation: Simulation) -> None:
    """Inject `FAULT_COUNT` faults at random times, the first one twice."""
    names = simulation.rng.choices(sorted(FAULTS), k=FAULT_COUNT - 1)
    names.append(names[0])

    async def inject(name: str, delay_s: float, seconds: float) -> None:
        await asyncio.sleep(delay_s)
        await FAULTS[name](simulation, seconds)

    await asyncio.gather(
        *(
            inject(
                name,
                simulation.rng.uniform(0.2, 3.0),
                simulation.rng.uniform(0.2, 2.5),
            )
            for name in names
        )
    )


def run(trial: Trial) -> Outcome:
    """Run one seed."""
    simulation = Simulation(trial=trial)
    reports: list[StoredReport] = []

    async def body(simulation: Simulation) -> None:
        until = asyncio.get_running_loop().time() + trial.seconds
        workloads = [
            Workload(
                service,
                CALLS_PER_S,
                until,
                (*CUSTOMERS, *METERED_CUSTOMERS),
                REPEAT_SHARE,
                ABANDON_SHARE,
            )
            for service in simulation.deployment.services
        ]
        await simulation.run(workloads, _inject_faults)
        await asyncio.sleep(SETTLE_S)
        reports.append(await read_report(simulation.fleet))

    run_simulation(simulation, body)
    violations = check_invariants(simulation.observations)
    violations += check_rows(
        simulation.observations,
        reports[0].rows,
        store_region=simulation.plan.store_zone.region,
    )
    violations += [
        Violation('report', f'finance differs: {difference}')
        for difference in reports[0].differences
    ]
    figures = {
        f'{check}_violations': float(
            sum(violation.check == check for violation in violations)
        )
        for check in CHECKS
    }
    figures['calls'] = float(len(simulation.calls))
    figures['served_share'] = measures.served_share(simulation.calls)
    figures['unmetered_served_share'] = measures.served_share(
        _unmetered(simulation)
    )
    return Outcome(trial, figures, tuple(violations))


def _unmetered(simulation: Simulation) -> list[CallRecord]:
    """Calls of plans without limits, at instances that may serve them."""
    regions = {
        instance.instance_id: instance.zone.region
        for instance in simulation.plan.instances
    }
    return [
        call
        for call in simulation.calls
        if call.customer not in METERED_CUSTOMERS
        and regions.get(call.instance_id)
        in HOME_REGIONS.get(call.customer, REGIONS)
    ]


EXPERIMENT: Final = Experiment(
    'faults',
    'overlapping and repeated random faults; counts broken invariants',
    ('default',),
    20,
    5.0,
    run,
    {f'{check}_violations': Combine.SUM for check in CHECKS}
    | {
        'calls': Combine.SUM,
        'served_share': Combine.MEAN,
        'unmetered_served_share': Combine.MEAN,
    },
    {f'{check}_violations': Bound(0) for check in CHECKS},
    (UNSHARED,),
)
