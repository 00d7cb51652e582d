"""Compares the rows of the report with what callers and servers recorded.

Rows carry no token, so they are compared as counts of a place: instance,
customer and service, or customer and service for the accounting rows of
customers whose home regions exclude the store. `judge` has the other checks.
"""

from collections import Counter
from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Final
from typing import NamedTuple

from teaselrock.bench.callers import CallRecord
from teaselrock.bench.callers import LOST
from teaselrock.bench.callers import RAN
from teaselrock.bench.invariant_checks import customer_of
from teaselrock.bench.invariant_checks import NOT_RUN
from teaselrock.bench.invariant_checks import Observations
from teaselrock.bench.invariant_checks import Violation
from teaselrock.state import RefusalCode

# A refused repeat of a key states what became of the first request.
KEY_CODES: Final = frozenset(
    {RefusalCode.KEY_IN_USE.value, RefusalCode.KEY_COMPLETED.value}
)
# Without memory for rows the request is refused and leaves none.
NO_ROW_CODE: Final = RefusalCode.REPORT_UNAVAILABLE.value


class ReportedRow(NamedTuple):
    """A row of the report, reduced to what can be compared.

    `instance_id`, `servers` and `code` are empty in an accounting row.
    """

    instance_id: str
    customer: str
    service: str
    servers: tuple[str, ...]
    verdict: str
    units: int
    code: str = ''


class _Place(NamedTuple):
    instance_id: str
    customer: str
    service: str


class _Told(NamedTuple):
    verdict: str
    code: str


def check_rows(
    observations: Observations,
    rows: Sequence[ReportedRow],
    *,
    store_region: str,
) -> list[Violation]:
    """I12: rows say what callers and servers saw; I4 for stored rows."""
    accounted = frozenset(
        name
        for name, entry in observations.document['customers'].items()
        if store_region not in entry.get('home_regions', [store_region])
    )
    found = [
        Violation('home-regions', f'a row of {row.customer} is stored')
        for row in rows
        if row.customer in accounted and row.instance_id
    ]
    calls: dict[_Place, list[CallRecord]] = defaultdict(list)
    for call in observations.calls:
        calls[_place(call, accounted)].append(call)
    reported: dict[_Place, list[ReportedRow]] = defaultdict(list)
    for row in rows:
        reported[_place(row, accounted)].append(row)
    ran = {run.call for run in observations.runs}
    for place in sorted(calls.keys() | reported.keys()):
        found += [
            Violation('report', f'{"/".join(place)}: {detail}')
            for detail in (
                *_verdicts(calls[place], reported[place], ran),
                *_units(reported[place]),
            )
        ]
    return found + _attempts(observations, rows, accounted)


def _verdicts(
    calls: Sequence[CallRecord],
    rows: Sequence[ReportedRow],
    ran: set[str],
) -> Iterable[str]:
    """Each told verdict has its row; all other rows are of lost calls."""
    told: Counter[_Told] = Counter()
    lost = [call for call in calls if call.verdict == LOST]
    lost_ran = sum(call.call in ran for call in lost)
    for call in calls:
        if call.verdict != LOST and call.code != NO_ROW_CODE:
            told[_told(call, bool(rows and rows[0].instance_id))] += 1
    written = Counter(_Told(row.verdict, row.code) for row in rows)
    for key, count in sorted(told.items()):
        if written[key] < count:
            yield f'{written[key]} rows of {count} {"/".join(key).strip("/")}'
    more = written - told
    if more.total() > len(lost):
        yield f'{more.total()} more rows than told, {len(lost)} lost calls'
    may = sum(n for key, n in more.items() if key.verdict != NOT_RUN)
    if may < lost_ran:
        yield f'{may} rows of {lost_ran} lost calls that ran'
    certain = sum(n for key, n in more.items() if key.verdict == RAN)
    if certain > lost_ran:
        yield f'{certain} rows state ran, {lost_ran} lost calls ran'


def _units(rows: Sequence[ReportedRow]) -> Iterable[str]:
    """A request consumes its unit unless it did not run."""
    units = sum(row.units for row in rows)
    due = sum(row.verdict != NOT_RUN for row in rows)
    if units != due:
        yield f'{units} units for {due} requests that ran or may have run'


def _attempts(
    observations: Observations,
    rows: Sequence[ReportedRow],
    accounted: frozenset[str],
) -> list[Violation]:
    """Each run has its attempt, but for rows whose writer died."""
    ran = Counter(
        (run.server_id, customer_of(run.token))
        for run in observations.runs
        if customer_of(run.token) not in accounted
    )
    attempted = Counter(
        (server, row.customer) for row in rows for server in row.servers
    )
    unended = Counter(row.customer for row in rows if row.verdict == 'unknown')
    missing: Counter[str] = Counter()
    for (server, customer), count in ran.items():
        missing[customer] += max(0, count - attempted[server, customer])
    return [
        Violation('report', f'{count} runs of {customer} without an attempt')
        for customer, count in missing.items()
        # A row without an end may have had a retry or a hedge.
        if count > 2 * unended[customer]
    ]


def _place(
    item: CallRecord | ReportedRow, accounted: frozenset[str]
) -> _Place:
    hidden = item.customer in accounted
    return _Place(
        '' if hidden else item.instance_id, item.customer, item.service
    )


def _told(call: CallRecord, has_code: bool) -> _Told:
    verdict = NOT_RUN if call.code in KEY_CODES else call.verdict
    return _Told(verdict, call.code if has_code else '')
