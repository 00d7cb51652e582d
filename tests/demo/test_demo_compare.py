"""The demo's comparison finds planted differences."""

from typing import Any

import pytest

from teaselrock.standins.demo import compare
from teaselrock.standins.load import Call

BUILD = Call('t1', 'press', 'desk', 'gw', False, False, 200, 'ran', '')
REPEAT = BUILD._replace(
    repeats=True, status=409, code='idempotency-key-completed'
)
LOOKUP = Call('t2', 'press', 'desk', 'gw', True, False, 200, 'ran', '')
REFUSED = LOOKUP._replace(token='t3', status=429, verdict='did-not-run')
CONNECTION_LOST = LOOKUP._replace(
    token='t4', gateway='dead', verdict='unknown'
)


def _run(token: str) -> dict[str, Any]:
    return {'token': token, 'is_complete': True}


def _row(outcome: str, path: str = '') -> dict[str, str]:
    return {
        'customer': 'press',
        'service': 'desk',
        'outcome': outcome,
        'path': path,
    }


RAN_ROW = _row('ran', 'east/a/s local ran')
NOT_RUN_ROW = _row('did-not-run rate-exceeded')
ROWS = [RAN_ROW, RAN_ROW, NOT_RUN_ROW, NOT_RUN_ROW]
RUNS = ['t1', 't2']


def _differences(
    *, calls: list[Call], runs: list[str], rows: list[dict[str, str]]
) -> list[str]:
    runs_by_server = {'s': {'runs': [_run(token) for token in runs]}}
    comparisons = compare.compare(
        compare.Evidence(calls, runs_by_server, rows, ('dead',), ())
    )
    return [
        comparison.label
        for comparison in comparisons
        if not comparison.is_within_bounds
    ]


CALLS = [BUILD, REPEAT, LOOKUP, REFUSED]
RAN_TWICE_LABEL = 'non-idempotent requests run twice'
CASES: tuple[tuple[str, dict[str, Any], str], ...] = (
    ('missing row', {'rows': ROWS[1:]}, 'report rows: press desk'),
    ('extra row', {'rows': [RAN_ROW, *ROWS]}, 'report rows: press desk'),
    (
        'wrong verdict',
        {'rows': [RAN_ROW, NOT_RUN_ROW, NOT_RUN_ROW, NOT_RUN_ROW]},
        'report rows: press desk ran',
    ),
    ('build twice', {'runs': ['t1', *RUNS]}, RAN_TWICE_LABEL),
    (
        'refused, but run',
        {'runs': [*RUNS, 't3']},
        'requests refused as not run, but run',
    ),
    (
        'answered, not run',
        {'runs': ['t1']},
        'requests answered, run at a server',
    ),
    (
        'cut',
        {'calls': [*CALLS, CONNECTION_LOST._replace(gateway='gw')]},
        'calls cut off by other gateways than the killed',
    ),
    ('run without a row', {'runs': [*RUNS, 't9']}, 'complete runs at s'),
)


@pytest.mark.parametrize(
    ('change', 'label'),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_difference_is_found(change: dict[str, Any], label: str) -> None:
    """Guards against a comparison that misses differences.

    Each case changes one of the calls, runs or rows.
    """
    consistent = {'calls': CALLS, 'runs': RUNS, 'rows': ROWS}
    assert label in _differences(**{**consistent, **change})


@pytest.mark.parametrize('rows', [ROWS, [*ROWS, _row('outcome-unknown')]])
def test_consistent_evidence_agrees(rows: list[dict[str, str]]) -> None:
    """Guards against a reported difference without a fault.

    A call whose gateway was killed may or may not have a row.
    """
    calls = [*CALLS, CONNECTION_LOST]
    assert _differences(calls=calls, runs=RUNS, rows=rows) == []
