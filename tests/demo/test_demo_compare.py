"""The demo's comparison finds what it should find."""

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
CUT = LOOKUP._replace(token='t4', gateway='dead', verdict='unknown')


def _run(token: str) -> dict[str, Any]:
    return {'token': token, 'is_complete': True}


def _row(outcome: str, path: str = '') -> dict[str, str]:
    return {
        'customer': 'press',
        'service': 'desk',
        'outcome': outcome,
        'path': path,
    }


RAN = _row('ran', 'east/a/s local ran')
NOT_RUN = _row('did-not-run rate-exceeded')
ROWS = [RAN, RAN, NOT_RUN, NOT_RUN]
RUNS = ['t1', 't2']


def _differences(
    *, calls: list[Call], runs: list[str], rows: list[dict[str, str]]
) -> list[str]:
    seen = {'s': {'runs': [_run(token) for token in runs]}}
    lines = compare.compare(compare.Evidence(calls, seen, rows, ('dead',), ()))
    return [line.label for line in lines if not line.is_within_bounds]


CALLS = [BUILD, REPEAT, LOOKUP, REFUSED]
TWICE = 'non-idempotent requests run twice'
CASES: tuple[tuple[str, dict[str, Any], str], ...] = (
    ('missing row', {'rows': ROWS[1:]}, 'report rows: press desk'),
    ('extra row', {'rows': [RAN, *ROWS]}, 'report rows: press desk'),
    (
        'wrong verdict',
        {'rows': [RAN, NOT_RUN, NOT_RUN, NOT_RUN]},
        'report rows: press desk ran',
    ),
    ('build twice', {'runs': ['t1', *RUNS]}, TWICE),
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
        {'calls': [*CALLS, CUT._replace(gateway='gw')]},
        'calls cut off by other gateways than the killed',
    ),
    ('run without a row', {'runs': [*RUNS, 't9']}, 'complete runs at s'),
)


@pytest.mark.parametrize(
    ('change', 'found'),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_difference(change: dict[str, Any], found: str) -> None:
    """Guards against a demo that agrees whatever happened."""
    whole = {'calls': CALLS, 'runs': RUNS, 'rows': ROWS}
    assert found in _differences(**{**whole, **change})


@pytest.mark.parametrize('rows', [ROWS, [*ROWS, _row('outcome-unknown')]])
def test_agreement(rows: list[dict[str, str]]) -> None:
    """Guards against a killed gateway's open call taken as a difference."""
    calls = [*CALLS, CUT]
    assert _differences(calls=calls, runs=RUNS, rows=rows) == []
