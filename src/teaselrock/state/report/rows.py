"""Rows of the report and the segments that hold them in the store.

Rows hold nothing of a request's content, path or key. Segments are written
by `coordination.reporting` and read by `coordination.report_reader`.
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
    """Where an attempt went and why; `failure` is '' for a whole answer."""

    server: str
    region: str
    zone: str
    reason: AttemptReason
    failure: str
    verdict: Verdict
    latency_ms: float


class Row(NamedTuple):
    """One request; times are Unix seconds.

    Without a verdict the outcome is unknown: the writer died before the
    end. `code` is the refusal's, '' for an answer. `accounting_number` is
    random, and set if only an accounting row may go to the store.
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
        """Request number."""
        return self.writer, self.incarnation, self.sequence


class AccountingRow(NamedTuple):
    """What leaves the home regions of a request, under a random number."""

    number: str
    customer: str
    plan: str
    service: str
    units: int
    verdict: Verdict | None


class SegmentCoverage(NamedTuple):
    """A segment of a writer; compacted segments cover several.

    The writer has flushed all rows that ended before `through`. `is_final`
    marks the last segment of a planned stop.
    """

    writer: str
    incarnation: int
    number: int
    through: float
    is_final: bool = False


class Segment(NamedTuple):
    """An immutable stored object."""

    covers: tuple[SegmentCoverage, ...]
    rows: tuple[Row, ...] = ()
    accounting: tuple[AccountingRow, ...] = ()


def utc_day(at: float) -> str:
    """Day in UTC of a Unix time."""
    return time.strftime('%Y-%m-%d', time.gmtime(at))


def accounting_row_of(row: Row) -> AccountingRow:
    """The accounting row of a row; copies of a row give the same number."""
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
    """Accounting rows by number; one with a verdict wins."""
    merged: dict[str, AccountingRow] = {}
    for row in rows:
        held = merged.get(row.number)
        if held is None or held.verdict is None:
            merged[row.number] = row
    return merged


def segment_key(*, day: str, cover: SegmentCoverage) -> str:
    """Store key of a segment; keys sort by number."""
    return (
        f'{REPORT_KEY_PREFIX}{day}/'
        f'{cover.writer}/{cover.incarnation}/{cover.number:08d}'
    )


def more_complete_row(left: Row, right: Row) -> Row:
    """The row that says more about one request."""
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
    """Rows by request number, in any order and with any repeats."""
    merged: dict[tuple[str, int, int], Row] = {}
    for row in rows:
        held = merged.get(row.number)
        merged[row.number] = (
            row if held is None else more_complete_row(held, row)
        )
    return merged
