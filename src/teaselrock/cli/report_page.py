"""`teaselrock report html`: a self-contained HTML page of the report.

`report` makes the query. The page holds only counts, so its size does not
grow with the number of rows.
"""

import base64
from collections import Counter
from collections.abc import Sequence
import datetime
from typing import Final
from typing import NamedTuple

import jinja2

from teaselrock.cli import report_plots
from teaselrock.cli.admin import ReportSource
from teaselrock.coordination.report_reader import RowQuery
from teaselrock.state import Verdict
from teaselrock.state.configuration import Document
from teaselrock.state.report import Account
from teaselrock.state.report import account_of
from teaselrock.state.report import AccountingRow
from teaselrock.state.report import Completeness
from teaselrock.state.report import completeness_by_writer
from teaselrock.state.report import Row

_BUCKET_COUNT: Final = len(report_plots.EDGES_MS) + 1


class Consumption(NamedTuple):
    """Consumption of an account in the time range.

    `allowed` describes the limit in the plan of the account.
    """

    customer: str
    plan: str
    service: str
    requests: int
    units: int
    allowed: str


class PageCounts:
    """Counts that the page shows.

    `attempts` has the keys (service, zone), `latency` the keys (customer,
    service) and one count for each bucket.
    """

    def __init__(self) -> None:
        self.attempts: Counter[tuple[str, str]] = Counter()
        self.latency: dict[tuple[str, str], list[int]] = {}
        self.requests: Counter[Account] = Counter()
        self.units: Counter[Account] = Counter()
        self.unknown_count = 0

    def add(self, row: Row) -> None:
        """Count a request, its attempts and its latency."""
        self.add_units(row)
        for attempt in row.attempts:
            if attempt.verdict is not Verdict.DID_NOT_RUN:
                self.attempts[
                    row.service, f'{attempt.region}/{attempt.zone}'
                ] += 1
        if row.verdict is Verdict.RAN:
            pair = (row.customer, row.service)
            buckets = self.latency.setdefault(pair, [0] * _BUCKET_COUNT)
            latency_s = row.ended - row.arrived
            buckets[report_plots.bucket_index(latency_s * 1000)] += 1

    def add_units(self, row: Row | AccountingRow) -> None:
        """Count a request and its units for its account."""
        account = account_of(row)
        self.requests[account] += 1
        self.units[account] += row.units
        self.unknown_count += row.verdict is None

    def consumption(self, document: Document) -> list[Consumption]:
        """Consumption of all accounts, with the limits of their plans."""
        return [
            Consumption(
                *account,
                self.requests[account],
                self.units[account],
                _plan_limit(account, document),
            )
            for account in sorted(self.requests)
        ]


def _plan_limit(account: Account, document: Document) -> str:
    plan = document['plans'].get(account.plan)
    for entry in plan['allow'] if plan is not None else ():
        if entry['service'] == account.service:
            amount = entry.get('units_per_window')
            if amount is None:
                return 'no limit'
            return f'{amount} units per {entry.get("window", "window")}'
    return 'not in the current plan'


async def render(
    *, source: ReportSource, query: RowQuery, document: Document
) -> str:
    """Read the rows and return the page.

    Raises `ReportReadError` if a segment cannot be read, rather than leave
    rows out.
    """
    counts = PageCounts()
    async for row in source.rows(query):
        counts.add(row)
    if not query.region:
        async for accounting_row in source.accounting(query):
            counts.add_units(accounting_row)
    coverage = [segment async for segment in source.segment_coverage(query)]
    return make_page(
        query=query,
        counts=counts,
        document=document,
        completeness=completeness_by_writer(coverage),
    )


def make_page(
    *,
    query: RowQuery,
    counts: PageCounts,
    document: Document,
    completeness: Sequence[Completeness],
) -> str:
    """Render the page from its counts."""
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader('teaselrock.cli'), autoescape=True
    )
    return environment.get_template('report.html').render(
        since=_format_time_for_page(query.since),
        until=_format_time_for_page(query.until),
        requests=counts.requests.total(),
        unknown=counts.unknown_count,
        attempts_plot=_encode_base64(
            report_plots.plot_attempts(counts.attempts)
        ),
        latency_plot=_encode_base64(report_plots.plot_latency(counts.latency)),
        consumption=counts.consumption(document),
        completeness=[
            {**line._asdict(), 'through': _format_time_for_page(line.through)}
            for line in completeness
        ],
    )


def _encode_base64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _format_time_for_page(seconds: float) -> str:
    at = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return at.isoformat(sep=' ', timespec='seconds')
