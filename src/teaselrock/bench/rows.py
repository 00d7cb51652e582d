"""Reads the report's rows from a fleet's store, for `report_checks`.

It uses the reader of the operators' commands and is the only place of the
bench that reads the stored report. Accounting rows have no instance, so they
are grouped by customer and service only.
"""

from typing import Final
from typing import NamedTuple

from teaselrock.bench.report_checks import ReportedRow
from teaselrock.coordination.report_reader import ReportReader
from teaselrock.coordination.report_reader import RowQuery
from teaselrock.protocol.document_codec import JsonDocumentCodec
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
    """The rows, and accounts whose two summaries differ in units."""

    rows: list[ReportedRow]
    differences: tuple[AccountDifference, ...]


async def read_report(fleet: Fleet) -> StoredReport:
    """Read the rows twice, and compare the units of both summaries.

    One summary is for operations, the other for finance.
    """
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
        [*map(_reported, rows), *map(_reported_accounting, accounts)],
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


def _reported_accounting(row: AccountingRow) -> ReportedRow:
    return ReportedRow(
        '',
        row.customer,
        row.service,
        (),
        row.verdict.value if row.verdict is not None else UNKNOWN,
        row.units,
    )
