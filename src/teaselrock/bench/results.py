"""Tables, JSON and plots of figures that are combined over seeds."""

from collections.abc import Mapping
from collections.abc import Sequence
import json
import math
import pathlib
from typing import Any
from typing import Final

import matplotlib

from teaselrock.bench.trial import Experiment
from teaselrock.bench.trial import Outcome

Combined = Mapping[str, Mapping[str, float]]

SHOWN_VIOLATIONS: Final = 10


DEFAULT_VARIANT: Final = 'default'


def missed_bounds(experiment: Experiment, combined: Combined) -> list[str]:
    """Descriptions of missed bounds.

    A bound is skipped if a variant that it needs was not run.
    """
    descriptions = []
    default_figures = combined.get(DEFAULT_VARIANT, {})
    for name, bound in experiment.bounds.items():
        if name not in default_figures or (
            bound.relative_to and bound.relative_to not in combined
        ):
            continue
        limit = bound.limit
        if bound.relative_to:
            limit *= combined[bound.relative_to][name]
        value = default_figures[name]
        is_kept = value >= limit if bound.is_minimum else value <= limit
        if not is_kept:
            descriptions.append(
                f'{name}: {_format_value(value)}, bound {bound}'
            )
    return descriptions


def table(experiment: Experiment, combined: Combined) -> str:
    """Text table with a line for each figure and a column per variant."""
    lines = [['figure', *combined, 'bound']]
    for name in experiment.figures:
        bound = experiment.bounds.get(name)
        lines.append(
            [
                name,
                *(_format_value(row[name]) for row in combined.values()),
                '' if bound is None else str(bound),
            ]
        )
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) if column == 0 else cell.rjust(width)
            for column, (cell, width) in enumerate(
                zip(line, widths, strict=True)
            )
        )
        for line in lines
    )


def _format_value(value: float) -> str:
    return 'not measured' if math.isnan(value) else f'{value:.4g}'


def _without_nan(figures: Mapping[str, float]) -> dict[str, float | None]:
    """Replace NaN, which JSON lacks, by None."""
    return {
        name: None if math.isnan(value) else value
        for name, value in figures.items()
    }


def violations(outcomes: Sequence[Outcome]) -> list[str]:
    """Broken invariants with the seed and variant that showed them."""
    return [
        f'seed {outcome.trial.seed} {outcome.trial.variant}: '
        f'{violation.check}: {violation.detail}'
        for outcome in outcomes
        for violation in outcome.violations
    ]


def document(
    experiment: Experiment, combined: Combined, outcomes: Sequence[Outcome]
) -> dict[str, Any]:
    """Document for `--json`; a figure that was not measured is None."""
    return {
        'experiment': experiment.name,
        'combine': dict(experiment.figures),
        'combined': {
            variant: _without_nan(row) for variant, row in combined.items()
        },
        'trials': [
            {
                **outcome.trial._asdict(),
                'figures': _without_nan(outcome.figures),
            }
            for outcome in outcomes
        ],
        'bounds': {
            name: str(bound) for name, bound in experiment.bounds.items()
        },
        'missed': missed_bounds(experiment, combined),
        'notes': [note for outcome in outcomes for note in outcome.notes],
        'violations': violations(outcomes),
    }


def write_json(path: pathlib.Path, value: Any) -> None:
    """Write a value as JSON; creates the directory."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(value, indent=2) + '\n', 'utf-8')


def plot(
    experiment: Experiment, combined: Combined, directory: pathlib.Path
) -> pathlib.Path:
    """Draw a bar chart for each figure; returns the path of the PNG."""
    matplotlib.use('Agg')
    from matplotlib import pyplot

    names = list(experiment.figures)
    figure, axes = pyplot.subplots(
        len(names), 1, figsize=(7, 1.8 * len(names)), squeeze=False
    )
    for name, axis in zip(names, axes[:, 0], strict=True):
        axis.barh(
            list(combined), [combined[variant][name] for variant in combined]
        )
        bound = experiment.bounds.get(name)
        title = f'{name} ({experiment.figures[name]})'
        if bound is not None:
            title += f', bound {bound}'
            limit = bound.limit
            if bound.relative_to:
                limit *= combined.get(bound.relative_to, {}).get(
                    name, math.nan
                )
            axis.axvline(limit, color='tab:red', linestyle='--')
        axis.set_title(title, fontsize=9)
    figure.tight_layout()
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / f'{experiment.name}.png'
    figure.savefig(path)
    pyplot.close(figure)
    return path
