"""Experiments, their trials and outcomes, and the simulation that they run.

Experiments are entries of `experiments.EXPERIMENTS`; `runner` runs their
trials in a process pool, so trials and outcomes must be picklable.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import enum
import random
from typing import Final
from typing import NamedTuple

from teaselrock.bench.callers import Callers
from teaselrock.bench.callers import CallRecord
from teaselrock.bench.callers import Workload
from teaselrock.bench.deployments import Deployment
from teaselrock.bench.deployments import DEPLOYMENTS
from teaselrock.bench.deployments import make_fleet_plan
from teaselrock.bench.deployments import OPEN_CUSTOMERS
from teaselrock.bench.invariant_checks import Observations
from teaselrock.bench.invariant_checks import Violation
from teaselrock.coordination.instance import SlotSourceFactory
from teaselrock.coordination.local_slots import LocalSlots
from teaselrock.coordination.local_slots import RandomChooser
from teaselrock.coordination.local_slots import RoundRobinChooser
from teaselrock.coordination.local_slots import TwoChoicesChooser
from teaselrock.coordination.ports import Directory
from teaselrock.coordination.ports import SlotSource
from teaselrock.standins.clock import run_paused
from teaselrock.standins.fleet import Fleet
from teaselrock.standins.fleet import FleetPlan


class Trial(NamedTuple):
    """One run with one seed and variant; `seconds` is loop time under load."""

    experiment: str
    variant: str
    deployment: str
    seed: int
    seconds: float


class Outcome(NamedTuple):
    """Figures and broken invariants of one trial; `notes` are printed."""

    trial: Trial
    figures: Mapping[str, float]
    violations: tuple[Violation, ...] = ()
    notes: tuple[str, ...] = ()


class Combine(enum.StrEnum):
    """How the values of a figure are combined over seeds."""

    MEAN = 'mean'
    MAX = 'max'
    SUM = 'sum'


class Bound(NamedTuple):
    """Target of a figure of the variant `default`, from docs/design.md.

    With `relative_to` the limit is a factor on the same figure of the variant
    of that name.
    """

    limit: float
    is_minimum: bool = False
    relative_to: str = ''

    def __str__(self) -> str:
        sign = '>=' if self.is_minimum else '<='
        share = f' of {self.relative_to}' if self.relative_to else ''
        return f'{sign} {self.limit:g}{share}'


class Experiment(NamedTuple):
    """A named experiment; `figures` states how to combine each figure.

    `faulty_variants` break invariants, to show that the checks find this; they
    run only if they are named.
    """

    name: str
    help: str
    variants: tuple[str, ...]
    seeds: int
    seconds: float
    run: Callable[[Trial], Outcome]
    figures: Mapping[str, Combine]
    bounds: Mapping[str, Bound] = {}
    faulty_variants: tuple[str, ...] = ()


def _random_source(directory: Directory, rng: random.Random) -> SlotSource:
    return LocalSlots(directory=directory, chooser=RandomChooser(rng=rng))


def _round_robin_source(
    directory: Directory, rng: random.Random
) -> SlotSource:
    return LocalSlots(directory=directory, chooser=RoundRobinChooser())


def _two_choices_source(
    directory: Directory, rng: random.Random
) -> SlotSource:
    return LocalSlots(directory=directory, chooser=TwoChoicesChooser(rng=rng))


# Idempotency records and allowances are not shared in this variant, so checks
# must fail.
UNSHARED: Final = 'unshared'
# With None, or for a variant that is not listed, instances use their own
# source.
SLOT_SOURCES: Final[Mapping[str, SlotSourceFactory | None]] = {
    'random': _random_source,
    'round-robin': _round_robin_source,
    'two-choices': _two_choices_source,
    'default': None,
    UNSHARED: None,
}
BALANCERS: Final = ('random', 'round-robin', 'two-choices', 'default')


class Simulation:
    """A fleet with its callers, for the body of an experiment."""

    def __init__(self, *, trial: Trial, is_noisy: bool = False) -> None:
        self._trial = trial
        # Separate random streams keep the offered load equal in all variants.
        name = f'{trial.experiment}/{trial.deployment}/{trial.seed}'
        self._rng = random.Random(f'{name}/events')
        self._deployment = DEPLOYMENTS[trial.deployment]
        self._plan = make_fleet_plan(
            deployment=self._deployment,
            rng=random.Random(f'{name}/servers'),
            slot_source_factory=SLOT_SOURCES.get(trial.variant),
            is_noisy=is_noisy,
            is_unshared=trial.variant == UNSHARED,
        )
        self._fleet = Fleet(
            plan=self._plan, rng=random.Random(f'{name}/fleet')
        )
        self._callers = Callers(
            fleet=self._fleet, rng=random.Random(f'{name}/callers')
        )

    @property
    def rng(self) -> random.Random:
        """Random generator for the experiment's events."""
        return self._rng

    @property
    def deployment(self) -> Deployment:
        """The deployment that runs."""
        return self._deployment

    @property
    def fleet(self) -> Fleet:
        """The fleet."""
        return self._fleet

    @property
    def plan(self) -> FleetPlan:
        """What the fleet was built from."""
        return self._plan

    @property
    def calls(self) -> Sequence[CallRecord]:
        """Records of the ended calls."""
        return self._callers.records

    @property
    def observations(self) -> Observations:
        """Records of callers and backend servers."""
        return Observations(
            self._callers.records,
            [
                run
                for model in self._plan.models.values()
                for run in model.runs
            ],
            self._plan.document,
        )

    def workloads(self, *, share: float) -> list[Workload]:
        """Workloads of `share` of the capacity of each service's servers."""
        until = asyncio.get_running_loop().time() + self._trial.seconds
        return [
            Workload(
                service,
                share * self._deployment.capacity(service),
                until,
                OPEN_CUSTOMERS,
            )
            for service in self._deployment.services
        ]

    async def wait_until(self, at: float) -> None:
        """Wait until the loop's clock is at `at` seconds."""
        await asyncio.sleep(at - asyncio.get_running_loop().time())

    async def run(
        self,
        workloads: Sequence[Workload],
        during_load: Callable[['Simulation'], Awaitable[None]] | None = None,
    ) -> None:
        """Send workloads while the coroutine of `during_load` runs."""
        during_load_task = (
            asyncio.ensure_future(during_load(self))
            if during_load is not None
            else None
        )
        await self._callers.run(workloads)
        if during_load_task is not None:
            await during_load_task


def run_simulation(
    simulation: Simulation, body: Callable[[Simulation], Awaitable[None]]
) -> None:
    """Start the fleet on the paused clock and run the body of an experiment.

    Tasks that are left at its end are cancelled.
    """

    async def main() -> None:
        await simulation.fleet.start()
        await body(simulation)

    run_paused(main())
