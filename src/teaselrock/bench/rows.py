"""Reads the report's rows from a fleet's store, for `report_checks`.

The only place of the bench that reads the stored report, with the reader
that operators use. Accounting rows have no place, so they are compared by
customer, service and verdict only.
"""

from typing import Final
from typing import NamedTuple

from teaselrock.bench.report_checks import ReportedRow
from teaselrock.coordination.report_reader import ReportReader
from teaselrock.coordination.report_reader import RowQuery
from teaselrock.protocol.documents import JsonDocumentCodec
from teaselrock.standins.fleet import Fleet
from teaselrock.standins.fleet_instance import WALL_CLOCK_START_S
from teaselrock.standins.store import MemoryStore
from teaselrock.state.report import AccountDifference
from teaselrock.state.report import accounting_lines
from teaselrock.state.report import AccountingRow
from teaselrock.state.report import operations_lines
from teaselrock.state.report import reconcile
from teaselrock.state.report import Row
from teaselrock.state.report import units_by_account

UNKNOWN: Final = 'unknown'
DAY_S: Final = 86400.0


class StoredReport(NamedTuple):
    """The rows, and accounts whose two readings differ in units."""

    rows: list[ReportedRow]
    differences: tuple[AccountDifference, ...]


async def read_report(fleet: Fleet) -> StoredReport:
    """Read twice, for finance and for operations, and compare both."""
    reader = ReportReader(
        store=MemoryStore(model=fleet.store), codec=JsonDocumentCodec()
    )
    query = RowQuery(WALL_CLOCK_START_S, WALL_CLOCK_START_S + DAY_S)
    lines = [
        *operations_lines([row async for row in reader.rows(query)]),
        *accounting_lines([row async for row in reader.accounting(query)]),
    ]
    rows = [row async for row in reader.rows(query)]
    accounts = [row async for row in reader.accounting(query)]
    totals = units_by_account((*rows, *accounts))
    return StoredReport(
        [*map(_reported, rows), *map(_accounted, accounts)],
        reconcile(totals=totals, lines=lines),
    )


def _reported(row: Row) -> ReportedRow:
    return ReportedRow(
        row.writer,
        row.customer,
        row.service,
        tuple(attempt.server for attempt in row.attempts),
        row.verdict.value if row.verdict is not None else UNKNOWN,
        row.units,
        row.code,
    )


def _accounted(row: AccountingRow) -> ReportedRow:
    return ReportedRow(
        '',
        row.customer,
        row.service,
        (),
        row.verdict.value if row.verdict is not None else UNKNOWN,
        row.units,
    )
