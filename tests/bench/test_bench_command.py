"""Command line of the bench, on short runs."""

import json
import pathlib

import pytest

from teaselrock.bench.main import main


def test_violations_of_unshared_records_are_found(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against checks of the `faults` experiment that cannot fail.

    Instances of the variant `unshared` do not share records and allowances,
    so requests with one key run twice and plans are exceeded.
    """
    path = tmp_path / 'faults.json'
    code = main(
        ['faults', '--variant', 'unshared', '--jobs', '1']
        + ['--seeds', '1', '--seed', '3']
        + ['--json', str(path), '--plots', str(tmp_path)]
    )
    results = json.loads(path.read_text())
    assert code == 1
    figures = results['combined']['unshared']
    assert figures['at-most-once_violations'] > 0
    assert figures['plans_violations'] > 0
    assert figures['not-run_violations'] == 0
    assert 'violations' in capsys.readouterr().out
    assert (tmp_path / 'faults.png').stat().st_size > 0


def test_faults_break_no_invariant(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against faults that break an invariant or cause a wrong row."""
    code = main(['faults', '--seed', '8', '--seeds', '10', '--jobs', '4'])
    assert code == 0, capsys.readouterr().out


def test_same_seed_gives_same_figures(tmp_path: pathlib.Path) -> None:
    """Guards against a run that its seed does not reproduce."""
    figures = []
    for name in ('one', 'two'):
        path = tmp_path / name
        main(
            ['cold', '--seeds', '1', '--seed', '3', '--jobs', '1']
            + ['--variant', 'random', '--deployment', 'hollis']
            + ['--json', str(path)]
        )
        figures.append(json.loads(path.read_text())['trials'])
    assert figures[0] == figures[1]
