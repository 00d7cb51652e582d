"""`teaselrock report`: the report for operations or finance.

Rows are streamed from the store and summarised by `state.report`; only a
table and the totals by account are held in memory. Completeness and
reconciliation are printed to standard error.
"""

import argparse
from collections import Counter
from collections.abc import AsyncIterator
from collections.abc import Iterator
from collections.abc import Sequence
import csv
import datetime
import json
import pathlib
import sys
from typing import NamedTuple

from teaselrock.cli import admin
from teaselrock.cli import console
from teaselrock.cli.admin import CliImplementations
from teaselrock.cli.admin import ReportSource
from teaselrock.coordination.ports import Store
from teaselrock.coordination.report_reader import DAY_S
from teaselrock.coordination.report_reader import ReportReadError
from teaselrock.coordination.report_reader import RowQuery
from teaselrock.state.report import Account
from teaselrock.state.report import account_of
from teaselrock.state.report import accounting_lines
from teaselrock.state.report import Completeness
from teaselrock.state.report import completeness_by_writer
from teaselrock.state.report import operations_lines
from teaselrock.state.report import OperationsLine
from teaselrock.state.report import OUTCOME_UNKNOWN


class OperationsOutput(NamedTuple):
    """Columns of one output line of the report for operations.

    `arrived_at` is REGION/ZONE, not a time.
    """

    number: str
    customer: str
    plan: str
    service: str
    arrived_at: str
    path: str
    outcome: str
    units: int


class FinanceOutput(NamedTuple):
    """Columns of one output line of the report for finance."""

    customer: str
    plan: str
    service: str
    requests: int
    units: int


class _AccountTotals:
    """Totals of the streamed lines by account."""

    def __init__(self) -> None:
        self.units: Counter[Account] = Counter()
        self.requests: Counter[Account] = Counter()
        self.unknown_count = 0

    def add(self, line: OperationsLine) -> None:
        """Count the request of a line."""
        self.units[line.account] += line.units
        self.requests[line.account] += 1
        self.unknown_count += line.outcome == OUTCOME_UNKNOWN

    def finance_lines(self) -> Iterator[FinanceOutput]:
        """Output lines of the report for finance."""
        for account in sorted(self.requests):
            yield FinanceOutput(
                *account, self.requests[account], self.units[account]
            )


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command."""
    parser.add_argument('reading', choices=('operations', 'finance', 'html'))
    parser.add_argument(
        '--day',
        type=_parse_time,
        metavar='YYYY-MM-DD',
        help='a whole day in UTC',
    )
    parser.add_argument(
        '--since',
        type=_parse_time,
        metavar='TIME',
        help='ISO 8601, in UTC unless it has an offset',
    )
    parser.add_argument(
        '--until', type=_parse_time, metavar='TIME', help='default: now'
    )
    parser.add_argument('--customer', default='')
    parser.add_argument('--service', default='')
    parser.add_argument(
        '--zone',
        default='',
        metavar='REGION[/ZONE]',
        help='where requests arrived',
    )
    parser.add_argument(
        '--format', choices=('table', 'json', 'csv'), default='table'
    )
    parser.add_argument(
        '--output',
        type=pathlib.Path,
        metavar='FILE',
        help='file of the html page',
    )
    admin.add_store_option(parser)


def _parse_time(text: str) -> float:
    try:
        parsed = datetime.datetime.fromisoformat(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(f'{text!r}: {error}') from error
    if parsed.tzinfo is None:
        parsed = parsed.replace(tzinfo=datetime.UTC)
    return parsed.timestamp()


def _format_time(seconds: float) -> str:
    at = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return at.isoformat(timespec='seconds')


def make_query(options: argparse.Namespace, now: float) -> RowQuery | None:
    """Query for the rows of the options; None without one time range."""
    if (options.day is None) == (options.since is None):
        return None
    if options.day is not None:
        if options.until is not None:
            return None
        since, until = options.day, options.day + DAY_S
    else:
        since = options.since
        until = now if options.until is None else options.until
    region, _, zone = options.zone.partition('/')
    # Rows may be flushed up to a day after `until`; those that are flushed
    # after now are not in the store yet.
    max_flush_delay_s = max(0.0, min(DAY_S, now - until))
    return RowQuery(
        since,
        until,
        options.customer,
        options.service,
        region,
        zone,
        max_flush_delay_s,
    )


def run(
    options: argparse.Namespace, implementations: CliImplementations
) -> int:
    """Print the report or write its page."""
    now = datetime.datetime.now(datetime.UTC).timestamp()
    query = make_query(options, now)
    if query is None:
        console.print_message(
            'give either --day or --since with an optional --until'
        )
        return console.EXIT_USAGE
    if (options.reading == 'html') != (options.output is not None):
        console.print_message(
            'html needs --output; operations and finance do not accept it'
        )
        return console.EXIT_USAGE
    factory = implementations.report
    if factory is None:
        raise RuntimeError('the command needs CliImplementations.report')
    console.print_message(
        f'reading from {_format_time(query.since)} '
        f'to {_format_time(query.until)}'
    )

    async def read(store: Store) -> int:
        try:
            if options.reading == 'html':
                return await _write_page(
                    store, implementations, query, options
                )
            return await _print(factory(store), query, options)
        except ReportReadError as error:
            console.print_message(
                f'unavailable: {error}; what was printed is incomplete'
            )
            return console.EXIT_UNAVAILABLE

    return admin.call_with_store(options.store, read)


async def _write_page(
    store: Store,
    implementations: CliImplementations,
    query: RowQuery,
    options: argparse.Namespace,
) -> int:
    # Imported only here, since matplotlib takes half a second to load.
    from teaselrock.cli import report_page

    if implementations.report is None or implementations.admin is None:
        raise RuntimeError(
            'html needs CliImplementations.report and CliImplementations.admin'
        )
    current = await implementations.admin(store).current()
    if current.is_error():
        return admin.print_error(current.error)
    page = await report_page.render(
        source=implementations.report(store),
        query=query,
        document=current.ok[1],
    )
    try:
        options.output.write_text(page, 'utf-8')
    except OSError as error:
        console.print_message(
            f'{options.output}: cannot write the file: {error}'
        )
        return console.EXIT_FAILED
    console.print_result(f'wrote {options.output}')
    return console.EXIT_OK


async def _print(
    source: ReportSource, query: RowQuery, options: argparse.Namespace
) -> int:
    is_operations = options.reading == 'operations'
    fields = (OperationsOutput if is_operations else FinanceOutput)._fields
    printer = _RowPrinter(output_format=options.format, fields=fields)
    line_totals = _AccountTotals()
    row_totals: Counter[Account] = Counter()
    async for line in _lines(source, query, row_totals):
        line_totals.add(line)
        if is_operations:
            printer.add(_operations_output(line))
    if not is_operations:
        for row in line_totals.finance_lines():
            printer.add(row)
    printer.end()
    coverage = [segment async for segment in source.segment_coverage(query)]
    for completeness in completeness_by_writer(coverage):
        console.print_message(_completeness_text(completeness))
    if not coverage:
        console.print_message('completeness: no segment is stored')
    console.print_message(
        f'requests: {line_totals.requests.total()}, '
        f'units: {line_totals.units.total()}, '
        f'outcome unknown: {line_totals.unknown_count}'
    )
    differences = [
        account
        for account in sorted(row_totals.keys() | line_totals.units.keys())
        if row_totals[account] != line_totals.units[account]
    ]
    for account in differences:
        console.print_message(
            f'reconciliation: {"/".join(account)}: stored rows '
            f'{row_totals[account]} units, report lines '
            f'{line_totals.units[account]} units'
        )
    if differences:
        return console.EXIT_FAILED
    console.print_message('reconciliation: stored rows and report lines agree')
    return console.EXIT_OK


async def _lines(
    source: ReportSource, query: RowQuery, totals: Counter[Account]
) -> AsyncIterator[OperationsLine]:
    """Stream the lines of all rows; adds the units of rows to `totals`."""
    async for row in source.rows(query):
        totals[account_of(row)] += row.units
        for line in operations_lines((row,)):
            yield line
    if query.region:
        console.print_message(
            'left out with --zone: accounting rows, which have no zone'
        )
        return
    async for accounting_row in source.accounting(query):
        totals[account_of(accounting_row)] += accounting_row.units
        for line in accounting_lines((accounting_row,)):
            yield line


def _operations_output(line: OperationsLine) -> OperationsOutput:
    return OperationsOutput(
        line.number,
        *line.account,
        line.arrival_zone,
        '; '.join(line.attempts),
        line.outcome,
        line.units,
    )


def _completeness_text(completeness: Completeness) -> str:
    text = f'completeness: {completeness.writer}/{completeness.incarnation}: '
    if completeness.missing:
        numbers = ', '.join(map(str, completeness.missing))
        text += f'segments {numbers} are missing, '
    text += f'stored up to {_format_time(completeness.through)}'
    return f'{text}, final' if completeness.is_final else text


class _RowPrinter:
    """Prints rows as they are added, or a table of all rows at the end."""

    def __init__(self, *, output_format: str, fields: Sequence[str]) -> None:
        self._output_format = output_format
        self._cells: list[Sequence[str]] = [fields]
        self._csv = csv.writer(sys.stdout, lineterminator='\n')
        if output_format == 'csv':
            self._csv.writerow(fields)

    def add(self, row: NamedTuple) -> None:
        """Print a row, or keep it for the table."""
        if self._output_format == 'json':
            console.print_result(json.dumps(row._asdict()))
        elif self._output_format == 'csv':
            self._csv.writerow(row)
        else:
            self._cells.append([str(value) for value in row])

    def end(self) -> None:
        """Print the table."""
        if self._output_format != 'table':
            return
        widths = [max(map(len, column)) for column in zip(*self._cells)]
        for row in self._cells:
            cells = (cell.ljust(width) for cell, width in zip(row, widths))
            console.print_result('  '.join(cells).rstrip())
