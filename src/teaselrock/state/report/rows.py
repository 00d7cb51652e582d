"""Rows of the report and the segments that hold them in the store.

Rows contain no data from a request's content, path or key. Segments are
written by `coordination.reporting` and read by `coordination.report_reader`.
"""

from collections.abc import Iterable
import time
from typing import Final
from typing import NamedTuple

from teaselrock.state.request import AttemptReason
from teaselrock.state.verdict import Verdict

MAX_SEGMENT_BYTES: Final = 900_000
REPORT_KEY_PREFIX: Final = 'report/'


class RowAttempt(NamedTuple):
    """Where an attempt went and why; `failure` is '' for a response."""

    server: str
    region: str
    zone: str
    reason: AttemptReason
    failure: str
    verdict: Verdict
    latency_ms: float


class Row(NamedTuple):
    """One request; times are Unix seconds.

    Without a verdict the outcome is unknown, because the writer failed before
    the request ended. `code` is that of the refusal, '' for a response.
    `writer` is the id of the instance. `accounting_number` is random, and set
    if only an accounting row may be written to the store.
    """

    writer: str
    incarnation: int
    sequence: int
    customer: str
    plan: str
    service: str
    region: str
    zone: str
    arrived: float
    attempts: tuple[RowAttempt, ...] = ()
    verdict: Verdict | None = None
    code: str = ''
    ended: float = 0.0
    units: int = 0
    accounting_number: str = ''

    @property
    def number(self) -> tuple[str, int, int]:
        """Request number, unique among all instances."""
        return self.writer, self.incarnation, self.sequence


class AccountingRow(NamedTuple):
    """The part of a row that may leave the request's home regions.

    `number` is random, so that it does not identify the instance.
    """

    number: str
    customer: str
    plan: str
    service: str
    units: int
    verdict: Verdict | None


class SegmentCoverage(NamedTuple):
    """Identifies a segment of a writer; a compacted segment has several.

    The writer has flushed all rows that ended before `through`, in Unix
    seconds. `is_final` marks the last segment before a planned stop.
    """

    writer: str
    incarnation: int
    number: int
    through: float
    is_final: bool = False


class Segment(NamedTuple):
    """An immutable store object with rows and accounting rows."""

    coverage: tuple[SegmentCoverage, ...]
    rows: tuple[Row, ...] = ()
    accounting: tuple[AccountingRow, ...] = ()


def utc_day(at: float) -> str:
    """Return the day in UTC of a Unix time."""
    return time.strftime('%Y-%m-%d', time.gmtime(at))


def accounting_row_of(row: Row) -> AccountingRow:
    """Return the accounting row of a row; copies share one number."""
    return AccountingRow(
        row.accounting_number,
        row.customer,
        row.plan,
        row.service,
        row.units,
        row.verdict,
    )


def merge_accounting_rows(
    rows: Iterable[AccountingRow],
) -> dict[str, AccountingRow]:
    """Return accounting rows by number; one with a verdict is kept."""
    merged: dict[str, AccountingRow] = {}
    for row in rows:
        existing = merged.get(row.number)
        if existing is None or existing.verdict is None:
            merged[row.number] = row
    return merged


def segment_key(*, day: str, coverage: SegmentCoverage) -> str:
    """Return the store key of a segment; keys sort by number."""
    return (
        f'{REPORT_KEY_PREFIX}{day}/'
        f'{coverage.writer}/{coverage.incarnation}/{coverage.number:08d}'
    )


def more_complete_row(left: Row, right: Row) -> Row:
    """Return the more complete of two copies of a row."""
    return max(
        left,
        right,
        key=lambda row: (
            row.verdict is not None,
            len(row.attempts),
            row.ended,
        ),
    )


def merge_rows(rows: Iterable[Row]) -> dict[tuple[str, int, int], Row]:
    """Return rows by request number; order and duplicates do not matter."""
    merged: dict[tuple[str, int, int], Row] = {}
    for row in rows:
        existing = merged.get(row.number)
        merged[row.number] = (
            row if existing is None else more_complete_row(existing, row)
        )
    return merged
