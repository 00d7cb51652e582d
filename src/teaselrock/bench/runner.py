"""Runs the trials of an experiment in a process pool."""

from collections.abc import Sequence
import concurrent.futures
from typing import Final

from teaselrock.bench.experiments import EXPERIMENTS
from teaselrock.bench.trial import Combine
from teaselrock.bench.trial import Experiment
from teaselrock.bench.trial import Outcome
from teaselrock.bench.trial import Trial

MAX_JOBS: Final = 8


def run_trial(trial: Trial) -> Outcome:
    """Run one trial of the experiment that it names."""
    return EXPERIMENTS[trial.experiment].run(trial)


def run_all(trials: Sequence[Trial], *, jobs: int) -> list[Outcome]:
    """Run trials on up to `jobs` processes; outcomes keep their order."""
    if jobs <= 1 or len(trials) == 1:
        return [run_trial(trial) for trial in trials]
    with concurrent.futures.ProcessPoolExecutor(min(jobs, MAX_JOBS)) as pool:
        return list(pool.map(run_trial, trials))


def combine(
    experiment: Experiment, outcomes: Sequence[Outcome]
) -> dict[str, dict[str, float]]:
    """Combine the figures of each variant over its seeds."""
    combined: dict[str, dict[str, float]] = {}
    for outcome in outcomes:
        combined.setdefault(outcome.trial.variant, {})
    for variant, row in combined.items():
        for name, combine_by in experiment.figures.items():
            values = [
                outcome.figures[name]
                for outcome in outcomes
                if outcome.trial.variant == variant
            ]
            row[name] = _combine(combine_by, values)
    return combined


def _combine(combine_by: Combine, values: Sequence[float]) -> float:
    if combine_by is Combine.MAX:
        return max(values)
    total = sum(values)
    return total if combine_by is Combine.SUM else total / len(values)
