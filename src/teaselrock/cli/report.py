"""`teaselrock report`: the report for operations or finance.

Rows are streamed from the store through the readings of `state.report`;
only a table and the totals by account are held in memory. Completeness and
reconciliation go to standard error.
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
from teaselrock.cli.admin import CliServices
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


class OperationsRow(NamedTuple):
    """A line of the reading for operations."""

    number: str
    customer: str
    plan: str
    service: str
    arrived_at: str
    path: str
    outcome: str
    units: int


class FinanceRow(NamedTuple):
    """A line of the reading for finance."""

    customer: str
    plan: str
    service: str
    requests: int
    units: int


class _Tally:
    """What both readings add up to, kept while rows pass."""

    def __init__(self) -> None:
        self.units: Counter[Account] = Counter()
        self.requests: Counter[Account] = Counter()
        self.unknown = 0

    def add(self, line: OperationsLine) -> None:
        """Count a request."""
        self.units[line.account] += line.units
        self.requests[line.account] += 1
        self.unknown += line.outcome == OUTCOME_UNKNOWN

    def finance(self) -> Iterator[FinanceRow]:
        """Lines of the reading for finance."""
        for account in sorted(self.requests):
            yield FinanceRow(
                *account, self.requests[account], self.units[account]
            )


def add(parser: argparse.ArgumentParser) -> None:
    """Add the arguments."""
    parser.add_argument('reading', choices=('operations', 'finance', 'html'))
    parser.add_argument(
        '--day', type=_time, metavar='YYYY-MM-DD', help='a whole day in UTC'
    )
    parser.add_argument(
        '--since',
        type=_time,
        metavar='TIME',
        help='ISO 8601, in UTC unless it has an offset',
    )
    parser.add_argument(
        '--until', type=_time, metavar='TIME', help='default: now'
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
    admin.add_store(parser)


def _time(text: str) -> float:
    try:
        parsed = datetime.datetime.fromisoformat(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(f'{text!r}: {error}') from error
    if parsed.tzinfo is None:
        parsed = parsed.replace(tzinfo=datetime.UTC)
    return parsed.timestamp()


def _show_time(seconds: float) -> str:
    at = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return at.isoformat(timespec='seconds')


def query_of(options: argparse.Namespace, now: float) -> RowQuery | None:
    """The rows that the options ask for; None without a time range."""
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
    # Nothing is flushed after now.
    late = max(0.0, min(DAY_S, now - until))
    return RowQuery(
        since, until, options.customer, options.service, region, zone, late
    )


def run(options: argparse.Namespace, services: CliServices) -> int:
    """Read and print a reading."""
    now = datetime.datetime.now(datetime.UTC).timestamp()
    query = query_of(options, now)
    if query is None:
        console.print_message(
            'give either --day or --since with an optional --until'
        )
        return console.EXIT_USAGE
    if (options.reading == 'html') != (options.output is not None):
        console.print_message('html needs --output, and only html has it')
        return console.EXIT_USAGE
    factory = services.report
    if factory is None:
        raise RuntimeError('the command was added without its service')
    console.print_message(
        f'reading from {_show_time(query.since)} to {_show_time(query.until)}'
    )

    async def read(store: Store) -> int:
        try:
            if options.reading == 'html':
                return await _write_page(store, services, query, options)
            return await _print(factory(store), query, options)
        except ReportReadError as error:
            console.print_message(
                f'unavailable: {error}; what was printed is incomplete'
            )
            return console.EXIT_UNAVAILABLE

    return admin.with_store(options.store, read)


async def _write_page(
    store: Store,
    services: CliServices,
    query: RowQuery,
    options: argparse.Namespace,
) -> int:
    # The plots' library takes half a second to load.
    from teaselrock.cli import report_page

    if services.report is None or services.admin is None:
        raise RuntimeError('the command was added without its service')
    current = await services.admin(store).current()
    if current.is_error():
        return admin.fail(current.error)
    page = await report_page.render(
        source=services.report(store), query=query, document=current.ok[1]
    )
    try:
        options.output.write_text(page, 'utf-8')
    except OSError as error:
        console.print_message(f'{options.output}: {error}')
        return console.EXIT_REFUSED
    console.print_result(f'wrote {options.output}')
    return console.EXIT_OK


async def _print(
    source: ReportSource, query: RowQuery, options: argparse.Namespace
) -> int:
    is_operations = options.reading == 'operations'
    fields = (OperationsRow if is_operations else FinanceRow)._fields
    printer = _Printer(style=options.format, fields=fields)
    tally = _Tally()
    totals: Counter[Account] = Counter()
    async for line in _lines(source, query, totals):
        tally.add(line)
        if is_operations:
            printer.add(_operations_row(line))
    if not is_operations:
        for row in tally.finance():
            printer.add(row)
    printer.end()
    covers = [cover async for cover in source.covers(query)]
    for held in completeness_by_writer(covers):
        console.print_message(_completeness_text(held))
    if not covers:
        console.print_message('completeness: no segment is stored')
    console.print_message(
        f'requests: {tally.requests.total()}, units: {tally.units.total()}, '
        f'outcome unknown: {tally.unknown}'
    )
    differences = [
        account
        for account in sorted(totals.keys() | tally.units.keys())
        if totals[account] != tally.units[account]
    ]
    for account in differences:
        console.print_message(
            f'reconciliation: {"/".join(account)}: finance '
            f'{totals[account]}, operations {tally.units[account]} units'
        )
    if differences:
        return console.EXIT_REFUSED
    console.print_message('reconciliation: finance and operations agree')
    return console.EXIT_OK


async def _lines(
    source: ReportSource, query: RowQuery, totals: Counter[Account]
) -> AsyncIterator[OperationsLine]:
    """Lines of all rows; adds the units of the rows to `totals`."""
    async for row in source.rows(query):
        totals[account_of(row)] += row.units
        for line in operations_lines((row,)):
            yield line
    if query.region:
        console.print_message(
            'left out with --zone: accounting rows, which have no place'
        )
        return
    async for account in source.accounting(query):
        totals[account_of(account)] += account.units
        for line in accounting_lines((account,)):
            yield line


def _operations_row(line: OperationsLine) -> OperationsRow:
    return OperationsRow(
        line.number,
        *line.account,
        line.arrived_at,
        '; '.join(line.path),
        line.outcome,
        line.units,
    )


def _completeness_text(held: Completeness) -> str:
    text = f'completeness: {held.writer}/{held.incarnation}: '
    if held.missing:
        numbers = ', '.join(map(str, held.missing))
        text += f'segments {numbers} are missing, '
    text += f'stored up to {_show_time(held.through)}'
    return f'{text}, final' if held.is_final else text


class _Printer:
    """Prints rows as they come; a table only at its end."""

    def __init__(self, *, style: str, fields: Sequence[str]) -> None:
        self._style = style
        self._cells: list[Sequence[str]] = [fields]
        self._csv = csv.writer(sys.stdout, lineterminator='\n')
        if style == 'csv':
            self._csv.writerow(fields)

    def add(self, row: NamedTuple) -> None:
        """Print a row, or keep it for the table."""
        if self._style == 'json':
            console.print_result(json.dumps(row._asdict()))
        elif self._style == 'csv':
            self._csv.writerow(row)
        else:
            self._cells.append([str(value) for value in row])

    def end(self) -> None:
        """Print the table."""
        if self._style != 'table':
            return
        widths = [max(map(len, column)) for column in zip(*self._cells)]
        for line in self._cells:
            cells = (c.ljust(width) for c, width in zip(line, widths))
            console.print_result('  '.join(cells).rstrip())
