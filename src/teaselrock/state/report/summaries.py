"""Summaries of merged report rows for operations and finance."""

from collections import Counter
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from teaselrock.state.report.rows import AccountingRow
from teaselrock.state.report.rows import Row
from teaselrock.state.report.rows import SegmentCoverage

OUTCOME_UNKNOWN = 'outcome-unknown'


class Account(NamedTuple):
    """Key of the finance totals: customer, plan and service."""

    customer: str
    plan: str
    service: str


class OperationsLine(NamedTuple):
    """Where one request went, why, and how it ended.

    `arrival_zone` is REGION/ZONE.
    """

    number: str
    account: Account
    arrival_zone: str
    attempts: tuple[str, ...]
    outcome: str
    units: int


class AccountDifference(NamedTuple):
    """An account whose units differ between stored rows and report lines."""

    account: Account
    row_units: int
    line_units: int


class Completeness(NamedTuple):
    """Which segments of one writer the store holds.

    All rows that ended before `through`, in Unix seconds, are stored.
    `missing` are the numbers of segments that were not found.
    """

    writer: str
    incarnation: int
    through: float
    is_final: bool
    missing: tuple[int, ...]


def account_of(row: Row | AccountingRow) -> Account:
    """Return the account of a row."""
    return Account(row.customer, row.plan, row.service)


def operations_lines(rows: Iterable[Row]) -> Iterable[OperationsLine]:
    """Yield one line for each request."""
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
    """Yield lines of requests with home regions, without their attempts."""
    for row in rows:
        outcome = row.verdict.value if row.verdict else OUTCOME_UNKNOWN
        yield OperationsLine(
            row.number, account_of(row), '', (), outcome, row.units
        )


def units_by_account(rows: Iterable[Row | AccountingRow]) -> Counter[Account]:
    """Sum the units of rows by account."""
    totals: Counter[Account] = Counter()
    for row in rows:
        totals[account_of(row)] += row.units
    return totals


def reconcile(
    *, totals: Counter[Account], lines: Iterable[OperationsLine]
) -> tuple[AccountDifference, ...]:
    """Return the accounts whose row totals differ from the sums of lines."""
    sums: Counter[Account] = Counter()
    for line in lines:
        sums[line.account] += line.units
    return tuple(
        AccountDifference(account, totals[account], sums[account])
        for account in sorted(totals.keys() | sums.keys())
        if totals[account] != sums[account]
    )


def completeness_by_writer(
    coverage: Iterable[SegmentCoverage],
) -> tuple[Completeness, ...]:
    """Return the gaps in the segment numbers of each writer."""
    by_writer: dict[tuple[str, int], dict[int, SegmentCoverage]] = defaultdict(
        dict
    )
    for segment in coverage:
        key = (segment.writer, segment.incarnation)
        by_writer[key][segment.number] = segment
    result = []
    for (writer, incarnation), segments in sorted(by_writer.items()):
        last_number = max(segments)
        missing = tuple(n for n in range(last_number) if n not in segments)
        # A segment after a gap does not prove that earlier rows are stored.
        last_contiguous = missing[0] - 1 if missing else last_number
        through = (
            segments[last_contiguous].through if last_contiguous >= 0 else 0.0
        )
        result.append(
            Completeness(
                writer,
                incarnation,
                through,
                segments[last_number].is_final and not missing,
                missing,
            )
        )
    return tuple(result)
