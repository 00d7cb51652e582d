"""Experiment `overload`: one customer overloads a service for some seconds.

One customer sends 120% of the service's capacity and another one 30%. The
figures show how many calls of the other one are served, and how soon its
latency recovers.
"""

from collections.abc import Sequence
from typing import Final

from teaselrock.bench import measures
from teaselrock.bench.callers import CallRecord
from teaselrock.bench.callers import Workload
from teaselrock.bench.deployments import OPEN_CUSTOMERS
from teaselrock.bench.trial import Bound
from teaselrock.bench.trial import Combine
from teaselrock.bench.trial import Experiment
from teaselrock.bench.trial import Outcome
from teaselrock.bench.trial import run_simulation
from teaselrock.bench.trial import Simulation
from teaselrock.bench.trial import Trial

OTHERS_LOAD_SHARE: Final = 0.3
HEAVY_LOAD_SHARE: Final = 1.2
# Time without overload at the start and at the end of a trial. `_recovery_s`
# counts it from loop time 0, so there it includes the fleet's start.
QUIET_S: Final = 1.0
# Limit of docs/design.md 4.5: retries and hedges per first attempt.
MAX_EXTRA_ATTEMPTS_SHARE: Final = 0.1


def _recovery_s(calls: Sequence[CallRecord], end: float) -> float:
    """Seconds from `end` until the last affected call of the others ended.

    A call that was sent before `end` is affected if it was not served, or was
    slower than the p99 before the overload.
    """
    calls_before = [call for call in calls if call.ended < QUIET_S]
    normal_ms = measures.percentile(measures.latencies_ms(calls_before), 0.99)
    return max(
        (
            call.ended - end
            for call in calls
            if call.ended > end
            and call.sent < end
            and (
                not measures.is_served(call)
                or (call.ended - call.sent) * 1000 > normal_ms
            )
        ),
        default=0.0,
    )


def run(trial: Trial) -> Outcome:
    """Run one seed; the overload is in the middle of the trial."""
    simulation = Simulation(trial=trial)
    heavy, others = OPEN_CUSTOMERS
    service = simulation.deployment.services[0]
    capacity = simulation.deployment.capacity(service)
    times: list[float] = []

    async def body(simulation: Simulation) -> None:
        until = simulation.workloads(share=0.0)[0].until
        start = until - trial.seconds + QUIET_S
        end = until - QUIET_S
        times.extend((start, end))

        async def burst(simulation: Simulation) -> None:
            await simulation.wait_until(start)
            workload = Workload(
                service, HEAVY_LOAD_SHARE * capacity, end, (heavy,)
            )
            await simulation.run([workload])

        workload = Workload(
            service, OTHERS_LOAD_SHARE * capacity, until, (others,)
        )
        await simulation.run([workload], burst)

    run_simulation(simulation, body)
    start, end = times
    calls = [call for call in simulation.calls if call.customer == others]
    calls_during = [call for call in calls if start <= call.sent < end]
    runs = [run for run in simulation.observations.runs if run.idempotent]
    first_attempts = len({run.call for run in runs})
    return Outcome(
        trial,
        {
            'others_served_share': measures.served_share(calls_during),
            'others_p99_ms': measures.percentile(
                measures.latencies_ms(calls_during), 0.99
            ),
            'all_served_share': measures.served_share(simulation.calls),
            'recovery_s': _recovery_s(calls, end),
            'extra_attempts_share': (len(runs) - first_attempts)
            / max(1, first_attempts),
        },
    )


EXPERIMENT: Final = Experiment(
    'overload',
    "one customer brings the load to 150%; service of the others' calls",
    ('two-choices', 'default'),
    2,
    4.0,
    run,
    {
        'others_served_share': Combine.MEAN,
        'others_p99_ms': Combine.MEAN,
        'all_served_share': Combine.MEAN,
        'recovery_s': Combine.MAX,
        'extra_attempts_share': Combine.MAX,
    },
    {'extra_attempts_share': Bound(MAX_EXTRA_ATTEMPTS_SHARE)},
)
