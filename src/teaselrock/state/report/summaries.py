"""Readings of the report for operations and finance, from merged rows."""

from collections import Counter
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from teaselrock.state.report.rows import AccountingRow
from teaselrock.state.report.rows import Row
from teaselrock.state.report.rows import SegmentCoverage

OUTCOME_UNKNOWN = 'outcome-unknown'


class Account(NamedTuple):
    """What finance bills by."""

    customer: str
    plan: str
    service: str


class OperationsLine(NamedTuple):
    """Where one request went and why."""

    number: str
    account: Account
    arrived_at: str
    path: tuple[str, ...]
    outcome: str
    units: int


class AccountDifference(NamedTuple):
    """An account whose two readings differ."""

    account: Account
    finance_units: int
    operations_units: int


class Completeness(NamedTuple):
    """What the store holds of one writer; `through` is in Unix seconds."""

    writer: str
    incarnation: int
    through: float
    is_final: bool
    missing: tuple[int, ...]


def account_of(row: Row | AccountingRow) -> Account:
    """The account of a row."""
    return Account(row.customer, row.plan, row.service)


def operations_lines(rows: Iterable[Row]) -> Iterable[OperationsLine]:
    """One line for each request."""
    for row in rows:
        outcome = row.verdict.value if row.verdict else OUTCOME_UNKNOWN
        yield OperationsLine(
            '/'.join(str(part) for part in row.number),
            account_of(row),
            f'{row.region}/{row.zone}',
            tuple(
                f'{item.region}/{item.zone}/{item.server} {item.reason}'
                f' {item.failure or item.verdict}'
                for item in row.attempts
            ),
            f'{outcome} {row.code}'.strip(),
            row.units,
        )


def accounting_lines(
    rows: Iterable[AccountingRow],
) -> Iterable[OperationsLine]:
    """Lines of requests whose path stays in their home regions."""
    for row in rows:
        outcome = row.verdict.value if row.verdict else OUTCOME_UNKNOWN
        yield OperationsLine(
            row.number, account_of(row), '', (), outcome, row.units
        )


def units_by_account(rows: Iterable[Row | AccountingRow]) -> Counter[Account]:
    """Units by account."""
    totals: Counter[Account] = Counter()
    for row in rows:
        totals[account_of(row)] += row.units
    return totals


def reconcile(
    *, totals: Counter[Account], lines: Iterable[OperationsLine]
) -> tuple[AccountDifference, ...]:
    """Accounts whose units differ between finance and the requests."""
    sums: Counter[Account] = Counter()
    for line in lines:
        sums[line.account] += line.units
    return tuple(
        AccountDifference(account, totals[account], sums[account])
        for account in sorted(totals.keys() | sums.keys())
        if totals[account] != sums[account]
    )


def completeness_by_writer(
    covers: Iterable[SegmentCoverage],
) -> tuple[Completeness, ...]:
    """Gaps in the numbers of each writer's segments, and their end."""
    by_writer: dict[tuple[str, int], dict[int, SegmentCoverage]] = defaultdict(
        dict
    )
    for cover in covers:
        key = (cover.writer, cover.incarnation)
        by_writer[key][cover.number] = cover
    result = []
    for (writer, incarnation), held in sorted(by_writer.items()):
        last = max(held)
        missing = tuple(n for n in range(last) if n not in held)
        # Nothing after a gap says that the rows before it are stored.
        end = missing[0] - 1 if missing else last
        through = held[end].through if end >= 0 else 0.0
        result.append(
            Completeness(
                writer,
                incarnation,
                through,
                held[last].is_final and not missing,
                missing,
            )
        )
    return tuple(result)
