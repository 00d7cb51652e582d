"""A short seeded run of the soak, and seeds that failed once."""

import pathlib
from typing import NamedTuple

import pytest

from soak import play


class Seed(NamedTuple):
    """A seed to play, and the fault that it showed."""

    seed: int
    cause: str


SEEDS = (
    Seed(1, 'none: the short run of CI'),
    Seed(
        59,
        'two faults restarted one gateway at the same time, which left a '
        'process behind: a fault of the soak, whose restarts now take turns',
    ),
)


@pytest.mark.parametrize('case', SEEDS, ids=[str(one.seed) for one in SEEDS])
def test_promises_hold_under_faults(
    case: Seed, tmp_path: pathlib.Path
) -> None:
    """Guards against promises that hold without overlapping faults only."""
    played = play(seed=case.seed, seconds=8.0, folder=str(tmp_path))
    assert played.problems == []
