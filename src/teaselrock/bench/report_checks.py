"""Compares the rows of the report with the records of callers and servers.

Rows have no token, so they are compared as counts of a group: by instance,
customer and service, or only by customer and service for the accounting rows
of customers whose home regions exclude the store's region. The checks that
don't need the report are in `invariant_checks`.
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

# A refusal with one of these codes states the verdict of the first request
# with the key.
KEY_CODES: Final = frozenset(
    {RefusalCode.KEY_IN_USE.value, RefusalCode.KEY_COMPLETED.value}
)
# Without memory for rows the request is refused and has no row.
NO_ROW_CODE: Final = RefusalCode.REPORT_UNAVAILABLE.value


class ReportedRow(NamedTuple):
    """The fields of a report row that are compared.

    `instance_id`, `servers` and `code` are empty for an accounting row.
    """

    instance_id: str
    customer: str
    service: str
    servers: tuple[str, ...]
    verdict: str
    units: int
    code: str = ''


class _RowGroup(NamedTuple):
    instance_id: str
    customer: str
    service: str


class _StatedVerdict(NamedTuple):
    verdict: str
    code: str


def check_rows(
    observations: Observations,
    rows: Sequence[ReportedRow],
    *,
    store_region: str,
) -> list[Violation]:
    """Check rows against the records and where they are stored.

    The first is invariant I12, the second I4.

    Customers whose home regions exclude `store_region` have accounting rows
    only.
    """
    accounting_customers = frozenset(
        name
        for name, entry in observations.document['customers'].items()
        if store_region not in entry.get('home_regions', [store_region])
    )
    violations = [
        Violation('home-regions', f'a row of {row.customer} is stored')
        for row in rows
        if row.customer in accounting_customers and row.instance_id
    ]
    calls: dict[_RowGroup, list[CallRecord]] = defaultdict(list)
    for call in observations.calls:
        calls[_group_of(call, accounting_customers)].append(call)
    reported: dict[_RowGroup, list[ReportedRow]] = defaultdict(list)
    for row in rows:
        reported[_group_of(row, accounting_customers)].append(row)
    ran = {run.call for run in observations.runs}
    for group in sorted(calls.keys() | reported.keys()):
        violations += [
            Violation('report', f'{"/".join(group)}: {detail}')
            for detail in (
                *_check_verdicts(calls[group], reported[group], ran),
                *_check_units(reported[group]),
            )
        ]
    return violations + _check_attempts(
        observations, rows, accounting_customers
    )


def _check_verdicts(
    calls: Sequence[CallRecord],
    rows: Sequence[ReportedRow],
    ran: set[str],
) -> Iterable[str]:
    """Each stated verdict has a row; all other rows are of lost calls."""
    stated: Counter[_StatedVerdict] = Counter()
    lost = [call for call in calls if call.verdict == LOST]
    lost_ran = sum(call.call in ran for call in lost)
    for call in calls:
        if call.verdict != LOST and call.code != NO_ROW_CODE:
            stated[
                _stated_verdict(call, bool(rows and rows[0].instance_id))
            ] += 1
    row_counts = Counter(_StatedVerdict(row.verdict, row.code) for row in rows)
    for key, count in sorted(stated.items()):
        if row_counts[key] < count:
            yield (
                f'{row_counts[key]} rows of {count} {"/".join(key).strip("/")}'
            )
    surplus = row_counts - stated
    if surplus.total() > len(lost):
        yield (
            f'{surplus.total()} more rows than stated verdicts, '
            f'{len(lost)} lost calls'
        )
    may_have_run = sum(
        n for key, n in surplus.items() if key.verdict != NOT_RUN
    )
    if may_have_run < lost_ran:
        yield f'{may_have_run} rows of {lost_ran} lost calls that ran'
    stated_ran = sum(n for key, n in surplus.items() if key.verdict == RAN)
    if stated_ran > lost_ran:
        yield f'{stated_ran} rows state ran, {lost_ran} lost calls ran'


def _check_units(rows: Sequence[ReportedRow]) -> Iterable[str]:
    """A request consumes its unit unless it did not run."""
    units = sum(row.units for row in rows)
    expected = sum(row.verdict != NOT_RUN for row in rows)
    if units != expected:
        yield f'{units} units for {expected} requests that ran or may have run'


def _check_attempts(
    observations: Observations,
    rows: Sequence[ReportedRow],
    accounting_customers: frozenset[str],
) -> list[Violation]:
    """Each run has an attempt in a row.

    Two attempts for each row without an end may be missing.
    """
    ran = Counter(
        (run.server_id, customer_of(run.token))
        for run in observations.runs
        if customer_of(run.token) not in accounting_customers
    )
    attempted = Counter(
        (server, row.customer) for row in rows for server in row.servers
    )
    rows_without_end = Counter(
        row.customer for row in rows if row.verdict == 'unknown'
    )
    missing: Counter[str] = Counter()
    for (server, customer), count in ran.items():
        missing[customer] += max(0, count - attempted[server, customer])
    return [
        Violation('report', f'{count} runs of {customer} without an attempt')
        for customer, count in missing.items()
        # A request whose row has no end may have had a retry or a hedge.
        if count > 2 * rows_without_end[customer]
    ]


def _group_of(
    item: CallRecord | ReportedRow, accounting_customers: frozenset[str]
) -> _RowGroup:
    is_accounting = item.customer in accounting_customers
    return _RowGroup(
        '' if is_accounting else item.instance_id, item.customer, item.service
    )


def _stated_verdict(call: CallRecord, has_code: bool) -> _StatedVerdict:
    verdict = NOT_RUN if call.code in KEY_CODES else call.verdict
    return _StatedVerdict(verdict, call.code if has_code else '')
