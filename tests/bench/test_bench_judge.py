"""Each check of the judge finds a planted violation, and only that."""

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

BUILD = CallRecord(
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
BUILT = Run('open-1.1', '2', 'compile-3', 'east', 'a', False, 1.1, 1.2, True)


def _many(customer: str, count: int, gap: float) -> list[Run]:
    return [
        BUILT._replace(
            token=f'{customer}.{n}', call=f'c{n}', started=1.0 + n * gap
        )
        for n in range(count)
    ]


class Case(NamedTuple):
    """Records and the checks that they must fail."""

    name: str
    calls: Sequence[CallRecord]
    runs: Sequence[Run]
    checks: frozenset[str]


CASES = (
    Case('clean', [BUILD], [BUILT], frozenset()),
    Case(
        'ran twice',
        [BUILD],
        [BUILT, BUILT._replace(server_id='compile-4', is_complete=False)],
        frozenset({'at-most-once'}),
    ),
    Case(
        'false not-run',
        [BUILD._replace(verdict='did-not-run', code='overloaded')],
        [BUILT],
        frozenset({'not-run'}),
    ),
    Case(
        'answer of another call',
        [BUILD._replace(is_own_response=False)],
        [BUILT],
        frozenset({'answers'}),
    ),
    Case('answer without a run', [BUILD], [], frozenset({'answers'})),
    Case(
        'outside home regions',
        [],
        [BUILT._replace(token='homed-north.1', region='east')],
        frozenset({'home-regions'}),
    ),
    Case(
        'outside the plan',
        [],
        [BUILT._replace(region='south')],
        frozenset({'plans'}),
    ),
    Case('amount kept', [], _many('amount', AMOUNT_UNITS, 0.1), frozenset()),
    Case(
        'amount exceeded',
        [],
        _many('amount', AMOUNT_UNITS + 1, 0.1),
        frozenset({'plans'}),
    ),
    Case('rate kept', [], _many('rate', 10, 0.01), frozenset()),
    Case('rate exceeded', [], _many('rate', 11, 0.01), frozenset({'plans'})),
)


@pytest.mark.parametrize('case', CASES, ids=[case.name for case in CASES])
def test_judge(case: Case) -> None:
    """Guards against a check that cannot fail or fails without cause."""
    seen = Observations(case.calls, case.runs, document(LIFFEYLINE))
    assert {found.check for found in check_invariants(seen)} == case.checks


ROW = ReportedRow('gw-1', 'open-1', 'compile', ('compile-3',), 'ran', 1)
HIDDEN = ReportedRow('', 'homed-north', 'compile', (), 'ran', 1)
ENDLESS = ROW._replace(verdict='unknown', servers=())
MAYBE = ROW._replace(verdict='may-have-run')
LOSS = {'verdict': LOST}
HOMED = {'customer': 'homed-north', 'token': 'homed-north.1'}
REFUSED = {'verdict': 'did-not-run', 'code': 'rate-exceeded'}
REPEATED = {'verdict': 'may-have-run', 'code': 'idempotency-key-in-use'}
NO_RUN = ROW._replace(verdict='did-not-run', servers=(), units=0)


class RowCase(NamedTuple):
    """A call, whether it ran, its rows and the details of violations."""

    name: str
    rows: Sequence[ReportedRow]
    details: Sequence[str]
    call: Mapping[str, str] = {}
    is_run: bool = True


ROWS = (
    RowCase('equal', [ROW], []),
    RowCase('missing', [], ['0 rows of 1 ran', '1 runs of']),
    RowCase('doubled', [ROW, ROW], ['1 more rows', '1 rows state ran']),
    RowCase('other server', [ROW._replace(servers=('x',))], ['1 runs of']),
    RowCase(
        'other verdict',
        [MAYBE],
        ['0 rows of 1 ran', '1 more rows than stated'],
    ),
    RowCase(
        'other instance',
        [ROW._replace(instance_id='gw-2')],
        ['0 rows of 1 ran', '1 more rows', '1 rows state ran'],
    ),
    RowCase('no units', [ROW._replace(units=0)], ['0 units for 1']),
    RowCase('units twice', [ROW._replace(units=2)], ['2 units for 1']),
    RowCase('lost, ran', [ROW], [], LOSS),
    RowCase('lost, may have run', [MAYBE], [], LOSS),
    RowCase('lost, unknown', [ENDLESS], [], LOSS),
    RowCase('lost, no row', [], ['0 rows of 1 lost', '1 runs of'], LOSS),
    RowCase('lost, not run', [NO_RUN], ['0 rows of 1', '1 runs of'], LOSS),
    RowCase('lost before admission', [], [], LOSS, False),
    RowCase('lost, false ran', [ROW], ['1 rows state ran'], LOSS, False),
    RowCase(
        'refused', [NO_RUN._replace(code='rate-exceeded')], [], REFUSED, False
    ),
    RowCase(
        'refused with units',
        [NO_RUN._replace(code='rate-exceeded', units=1)],
        ['1 units for 0'],
        REFUSED,
        False,
    ),
    RowCase(
        'other code', [NO_RUN], ['0 rows of 1', '1 more rows'], REFUSED, False
    ),
    RowCase(
        'repeat of a key',
        [NO_RUN._replace(code='idempotency-key-in-use')],
        [],
        REPEATED,
        False,
    ),
    RowCase('accounted', [HIDDEN], [], HOMED),
    RowCase('accounted, missing', [], ['0 rows of 1 ran'], HOMED),
    RowCase(
        'accounted, doubled',
        [HIDDEN, HIDDEN],
        ['1 more rows', '1 rows state ran'],
        HOMED,
    ),
    RowCase(
        'full row of homes elsewhere',
        [ROW._replace(customer='homed-north')],
        ['a row of homed-north is stored'],
        HOMED,
    ),
)


@pytest.mark.parametrize('case', ROWS, ids=[case.name for case in ROWS])
def test_rows(case: RowCase) -> None:
    """Guards against a report that differs from what happened."""
    call = BUILD._replace(**case.call)  # type: ignore[arg-type]
    runs = [BUILT._replace(token=call.token)] if case.is_run else []
    seen = Observations([call], runs, document(LIFFEYLINE))
    found = check_rows(seen, case.rows, store_region='east')
    assert len(found) == len(case.details), found
    for violation, detail in zip(found, case.details, strict=True):
        assert detail in violation.detail
