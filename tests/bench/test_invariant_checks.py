"""Each invariant check finds a planted violation, and nothing else."""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

import pytest

from teaselrock.bench.callers import CallRecord
from teaselrock.bench.callers import LOST
from teaselrock.bench.deployments import AMOUNT_UNITS
from teaselrock.bench.deployments import document
from teaselrock.bench.deployments import LIFFEYLINE
from teaselrock.bench.invariant_checks import check_invariants
from teaselrock.bench.invariant_checks import Observations
from teaselrock.bench.report_checks import check_rows
from teaselrock.bench.report_checks import ReportedRow
from teaselrock.standins.behaviour import Run

BUILD_CALL = CallRecord(
    'open-1.1',
    '2',
    'gw-1',
    'open-1',
    'compile',
    'build',
    False,
    1.0,
    1.3,
    'ran',
    '',
    200,
    True,
)
BUILD_RUN = Run(
    'open-1.1', '2', 'compile-3', 'east', 'a', False, 1.1, 1.2, True
)


def _runs_of(customer: str, count: int, interval_s: float) -> list[Run]:
    return [
        BUILD_RUN._replace(
            token=f'{customer}.{n}', call=f'c{n}', started=1.0 + n * interval_s
        )
        for n in range(count)
    ]


class InvariantCase(NamedTuple):
    """Calls and runs, and the checks that must find a violation in them."""

    name: str
    calls: Sequence[CallRecord]
    runs: Sequence[Run]
    checks: frozenset[str]


INVARIANT_CASES = (
    InvariantCase('clean', [BUILD_CALL], [BUILD_RUN], frozenset()),
    InvariantCase(
        'ran twice',
        [BUILD_CALL],
        [
            BUILD_RUN,
            BUILD_RUN._replace(server_id='compile-4', is_complete=False),
        ],
        frozenset({'at-most-once'}),
    ),
    InvariantCase(
        'false not-run',
        [BUILD_CALL._replace(verdict='did-not-run', code='overloaded')],
        [BUILD_RUN],
        frozenset({'not-run'}),
    ),
    InvariantCase(
        'answer of another call',
        [BUILD_CALL._replace(is_own_response=False)],
        [BUILD_RUN],
        frozenset({'answers'}),
    ),
    InvariantCase(
        'answer without a run', [BUILD_CALL], [], frozenset({'answers'})
    ),
    InvariantCase(
        'outside home regions',
        [],
        [BUILD_RUN._replace(token='homed-north.1', region='east')],
        frozenset({'home-regions'}),
    ),
    InvariantCase(
        'outside the plan',
        [],
        [BUILD_RUN._replace(region='south')],
        frozenset({'plans'}),
    ),
    InvariantCase(
        'amount kept', [], _runs_of('amount', AMOUNT_UNITS, 0.1), frozenset()
    ),
    InvariantCase(
        'amount exceeded',
        [],
        _runs_of('amount', AMOUNT_UNITS + 1, 0.1),
        frozenset({'plans'}),
    ),
    InvariantCase('rate kept', [], _runs_of('rate', 10, 0.01), frozenset()),
    InvariantCase(
        'rate exceeded', [], _runs_of('rate', 11, 0.01), frozenset({'plans'})
    ),
)


@pytest.mark.parametrize(
    'case', INVARIANT_CASES, ids=[case.name for case in INVARIANT_CASES]
)
def test_invariant_checks(case: InvariantCase) -> None:
    """Guards against a check that misses violations or reports others."""
    observations = Observations(case.calls, case.runs, document(LIFFEYLINE))
    assert {
        violation.check for violation in check_invariants(observations)
    } == case.checks


RAN_ROW = ReportedRow('gw-1', 'open-1', 'compile', ('compile-3',), 'ran', 1)
ACCOUNTING_ROW = ReportedRow('', 'homed-north', 'compile', (), 'ran', 1)
UNKNOWN_ROW = RAN_ROW._replace(verdict='unknown', servers=())
MAY_HAVE_RUN_ROW = RAN_ROW._replace(verdict='may-have-run')
LOST_CALL = {'verdict': LOST}
HOMED_CALL = {'customer': 'homed-north', 'token': 'homed-north.1'}
REFUSED_CALL = {'verdict': 'did-not-run', 'code': 'rate-exceeded'}
REPEATED_CALL = {'verdict': 'may-have-run', 'code': 'idempotency-key-in-use'}
NOT_RUN_ROW = RAN_ROW._replace(verdict='did-not-run', servers=(), units=0)


class RowCase(NamedTuple):
    """A call, whether it ran, its rows and the details of violations."""

    name: str
    rows: Sequence[ReportedRow]
    details: Sequence[str]
    call: Mapping[str, str] = {}
    is_run: bool = True


ROW_CASES = (
    RowCase('equal', [RAN_ROW], []),
    RowCase('missing', [], ['0 rows of 1 ran', '1 runs of']),
    RowCase(
        'doubled', [RAN_ROW, RAN_ROW], ['1 more rows', '1 rows state ran']
    ),
    RowCase('other server', [RAN_ROW._replace(servers=('x',))], ['1 runs of']),
    RowCase(
        'other verdict',
        [MAY_HAVE_RUN_ROW],
        ['0 rows of 1 ran', '1 more rows than stated'],
    ),
    RowCase(
        'other instance',
        [RAN_ROW._replace(instance_id='gw-2')],
        ['0 rows of 1 ran', '1 more rows', '1 rows state ran'],
    ),
    RowCase('no units', [RAN_ROW._replace(units=0)], ['0 units for 1']),
    RowCase('units twice', [RAN_ROW._replace(units=2)], ['2 units for 1']),
    RowCase('lost, ran', [RAN_ROW], [], LOST_CALL),
    RowCase('lost, may have run', [MAY_HAVE_RUN_ROW], [], LOST_CALL),
    RowCase('lost, unknown', [UNKNOWN_ROW], [], LOST_CALL),
    RowCase('lost, no row', [], ['0 rows of 1 lost', '1 runs of'], LOST_CALL),
    RowCase(
        'lost, not run', [NOT_RUN_ROW], ['0 rows of 1', '1 runs of'], LOST_CALL
    ),
    RowCase('lost before admission', [], [], LOST_CALL, False),
    RowCase(
        'lost, false ran', [RAN_ROW], ['1 rows state ran'], LOST_CALL, False
    ),
    RowCase(
        'refused',
        [NOT_RUN_ROW._replace(code='rate-exceeded')],
        [],
        REFUSED_CALL,
        False,
    ),
    RowCase(
        'refused with units',
        [NOT_RUN_ROW._replace(code='rate-exceeded', units=1)],
        ['1 units for 0'],
        REFUSED_CALL,
        False,
    ),
    RowCase(
        'other code',
        [NOT_RUN_ROW],
        ['0 rows of 1', '1 more rows'],
        REFUSED_CALL,
        False,
    ),
    RowCase(
        'repeat of a key',
        [NOT_RUN_ROW._replace(code='idempotency-key-in-use')],
        [],
        REPEATED_CALL,
        False,
    ),
    RowCase('accounted', [ACCOUNTING_ROW], [], HOMED_CALL),
    RowCase('accounted, missing', [], ['0 rows of 1 ran'], HOMED_CALL),
    RowCase(
        'accounted, doubled',
        [ACCOUNTING_ROW, ACCOUNTING_ROW],
        ['1 more rows', '1 rows state ran'],
        HOMED_CALL,
    ),
    RowCase(
        'full row of homes elsewhere',
        [RAN_ROW._replace(customer='homed-north')],
        ['a row of homed-north is stored'],
        HOMED_CALL,
    ),
)


@pytest.mark.parametrize(
    'case', ROW_CASES, ids=[case.name for case in ROW_CASES]
)
def test_row_checks(case: RowCase) -> None:
    """Guards against wrong rows of the report that are not found.

    Rows are missing, repeated, or differ from the call and its run.
    """
    call = BUILD_CALL._replace(**case.call)  # type: ignore[arg-type]
    runs = [BUILD_RUN._replace(token=call.token)] if case.is_run else []
    observations = Observations([call], runs, document(LIFFEYLINE))
    violations = check_rows(observations, case.rows, store_region='east')
    assert len(violations) == len(case.details), violations
    for violation, detail in zip(violations, case.details, strict=True):
        assert detail in violation.detail
