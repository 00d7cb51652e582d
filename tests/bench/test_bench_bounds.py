"""Bounds of the figures of experiments."""

import math

import pytest

from teaselrock.bench.results import missed_bounds
from teaselrock.bench.results import table
from teaselrock.bench.trial import Bound
from teaselrock.bench.trial import Combine
from teaselrock.bench.trial import Experiment
from teaselrock.bench.trial import Outcome


def _experiment(bound: Bound) -> Experiment:
    return Experiment(
        'example',
        '',
        ('two-choices', 'default'),
        1,
        1.0,
        lambda trial: Outcome(trial, {}),
        {'figure': Combine.MEAN},
        {'figure': bound},
    )


@pytest.mark.parametrize(
    ('bound', 'value', 'is_missed'),
    [
        (Bound(2.0), 2.0, False),
        (Bound(2.0), 2.1, True),
        (Bound(2.0, is_minimum=True), 2.0, False),
        (Bound(2.0, is_minimum=True), 1.9, True),
        (Bound(0.6, relative_to='two-choices'), 6.0, False),
        (Bound(0.6, relative_to='two-choices'), 6.1, True),
        (Bound(2.0), math.nan, True),
        (Bound(2.0, is_minimum=True), math.nan, True),
    ],
)
def test_missed_bounds_are_found(
    bound: Bound, value: float, is_missed: bool
) -> None:
    """Guards against a missed target that passes.

    A figure that was not measured, which is NaN, misses its bound as well.
    """
    experiment = _experiment(bound)
    combined = {'two-choices': {'figure': 10.0}, 'default': {'figure': value}}
    assert bool(missed_bounds(experiment, combined)) is is_missed
    assert str(bound) in table(experiment, combined)


def test_bounds_need_their_variants() -> None:
    """Guards against a missed bound without its baseline.

    A bound relative to another variant applies only if both were run.
    """
    experiment = _experiment(Bound(0.6, relative_to='two-choices'))
    assert missed_bounds(experiment, {'default': {'figure': 9.0}}) == []
    assert missed_bounds(experiment, {'two-choices': {'figure': 9.0}}) == []
