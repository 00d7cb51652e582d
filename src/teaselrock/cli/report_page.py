"""`teaselrock report html`: a page that needs no other file.

`report` chooses the rows; the page holds counts only, whatever their
number.
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

_BARS: Final = len(report_plots.EDGES_MS) + 1


class Consumption(NamedTuple):
    """What an account consumed in the time range, and its plan."""

    customer: str
    plan: str
    service: str
    requests: int
    units: int
    allowed: str


class PageCounts:
    """Counts that the page shows."""

    def __init__(self) -> None:
        self.places: Counter[tuple[str, str]] = Counter()
        self.latency: dict[tuple[str, str], list[int]] = {}
        self.requests: Counter[Account] = Counter()
        self.units: Counter[Account] = Counter()
        self.unknown = 0

    def add(self, row: Row) -> None:
        """Count a request, its attempts and its latency."""
        self.add_account(row)
        for step in row.attempts:
            if step.verdict is not Verdict.DID_NOT_RUN:
                self.places[row.service, f'{step.region}/{step.zone}'] += 1
        if row.verdict is Verdict.RAN:
            pair = (row.customer, row.service)
            bars = self.latency.setdefault(pair, [0] * _BARS)
            seconds = row.ended - row.arrived
            bars[report_plots.bucket(seconds * 1000)] += 1

    def add_account(self, row: Row | AccountingRow) -> None:
        """Count what finance counts."""
        account = account_of(row)
        self.requests[account] += 1
        self.units[account] += row.units
        self.unknown += row.verdict is None

    def consumption(self, document: Document) -> list[Consumption]:
        """All accounts with the amounts of their plans."""
        return [
            Consumption(
                *account,
                self.requests[account],
                self.units[account],
                _allowed(account, document),
            )
            for account in sorted(self.requests)
        ]


def _allowed(account: Account, document: Document) -> str:
    plan = document['plans'].get(account.plan)
    for entry in plan['allow'] if plan is not None else ():
        if entry['service'] == account.service:
            amount = entry.get('units_per_window')
            if amount is None:
                return 'no limit'
            return f'{amount} a {entry.get("window", "window")}'
    return 'not in the plan now'


async def render(
    *, source: ReportSource, query: RowQuery, document: Document
) -> str:
    """The page; raises `ReportReadError` rather than leave rows out."""
    counts = PageCounts()
    async for row in source.rows(query):
        counts.add(row)
    if not query.region:
        async for account in source.accounting(query):
            counts.add_account(account)
    covers = [cover async for cover in source.covers(query)]
    return make_page(
        query=query,
        counts=counts,
        document=document,
        held=completeness_by_writer(covers),
    )


def make_page(
    *,
    query: RowQuery,
    counts: PageCounts,
    document: Document,
    held: Sequence[Completeness],
) -> str:
    """The page from its counts."""
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader('teaselrock.cli'), autoescape=True
    )
    return environment.get_template('report.html').render(
        since=_time(query.since),
        until=_time(query.until),
        requests=counts.requests.total(),
        unknown=counts.unknown,
        places=_encode(report_plots.places(counts.places)),
        latency=_encode(report_plots.histograms(counts.latency)),
        consumption=counts.consumption(document),
        completeness=[
            {**line._asdict(), 'through': _time(line.through)} for line in held
        ],
    )


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _time(seconds: float) -> str:
    at = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return at.isoformat(sep=' ', timespec='seconds')
