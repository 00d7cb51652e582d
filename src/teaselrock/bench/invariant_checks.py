"""Checks of the invariants, on the records of callers and backend servers.

No data of the gateways is used here; `report_checks` compares the rows of
their report with the records.
"""

from collections import Counter
from collections import defaultdict
from collections.abc import Sequence
from typing import Final
from typing import NamedTuple

from teaselrock.bench.callers import CallRecord
from teaselrock.bench.callers import RAN
from teaselrock.standins.behaviour import Run
from teaselrock.state.configuration import AllowanceEntry
from teaselrock.state.configuration import Document

NOT_RUN: Final = 'did-not-run'
# A rate limit allows a burst of one second's calls, hence up to twice the rate
# within this window.
RATE_WINDOW_S: Final = 1.0


class Violation(NamedTuple):
    """A broken invariant: the name of the check, and what broke it."""

    check: str
    detail: str


class Observations(NamedTuple):
    """Records of the callers and backend servers of one trial."""

    calls: Sequence[CallRecord]
    runs: Sequence[Run]
    document: Document


def check_invariants(observations: Observations) -> list[Violation]:
    """Run all checks that don't need the report."""
    return [
        *check_at_most_once(observations),
        *check_not_run(observations),
        *check_responses(observations),
        *check_home_regions(observations),
        *check_plans(observations),
    ]


def check_at_most_once(observations: Observations) -> list[Violation]:
    """Invariant I7: no non-idempotent request ran twice."""
    counts = Counter(
        run.token for run in observations.runs if not run.idempotent
    )
    return [
        Violation('at-most-once', f'{token} ran {count} times')
        for token, count in counts.items()
        if count > 1
    ]


def check_not_run(observations: Observations) -> list[Violation]:
    """Invariant I6: a call that was refused as not run did not run."""
    ran = {run.call for run in observations.runs}
    return [
        Violation('not-run', f'call {call.call} of {call.token} did run')
        for call in observations.calls
        if call.verdict == NOT_RUN and call.call in ran
    ]


def check_responses(observations: Observations) -> list[Violation]:
    """Invariant I5: each response belongs to its call, and that call ran."""
    violations = []
    ran = {run.call for run in observations.runs}
    for call in observations.calls:
        if not call.is_own_response:
            violations.append(
                Violation('answers', f'{call.call}: response of another call')
            )
        # The refusal of a repeated key that is completed states `ran` too,
        # and has a code.
        if call.verdict == RAN and not call.code and call.call not in ran:
            violations.append(Violation('answers', f'{call.call}: never ran'))
    return violations


def check_home_regions(observations: Observations) -> list[Violation]:
    """Invariant I4: nothing ran outside its customer's home regions."""
    customers = observations.document['customers']
    violations = []
    for run in observations.runs:
        home_regions = customers[customer_of(run.token)].get('home_regions')
        if home_regions is not None and run.region not in home_regions:
            violations.append(
                Violation('home-regions', f'{run.token} ran in {run.region}')
            )
    return violations


def check_plans(observations: Observations) -> list[Violation]:
    """Invariant I11: amounts, rates and regions of the plans are kept."""
    by_call = {call.call: call for call in observations.calls}
    starts: dict[tuple[str, str], dict[str, float]] = defaultdict(dict)
    violations = []
    for run in observations.runs:
        customer = customer_of(run.token)
        service = run.server_id.rpartition('-')[0]
        # Retries and hedges of one call are charged once.
        starts[customer, service].setdefault(run.call, run.started)
        allowance = _allowance(observations.document, customer, service)
        if allowance is None or run.region not in allowance['regions']:
            violations.append(
                Violation('plans', f'{run.token} ran in {run.region}')
            )
    for (customer, service), calls in starts.items():
        allowance = _allowance(observations.document, customer, service)
        if allowance is None:
            continue
        amount = allowance.get('units_per_window')
        if amount is not None and len(calls) > amount:
            violations.append(
                Violation(
                    'plans',
                    f'{customer} {service}: {len(calls)} calls of {amount}',
                )
            )
        rate = allowance.get('rate_per_second')
        # The time of admission is not recorded; the call's send is close.
        times = sorted(
            by_call[call].sent if call in by_call else started
            for call, started in calls.items()
        )
        if rate is not None and _max_count_in_window(times) > 2 * rate:
            violations.append(
                Violation('plans', f'{customer} {service}: rate exceeded')
            )
    return violations


def customer_of(token: str) -> str:
    """The customer in a token, which is `CUSTOMER.NUMBER`."""
    return token.rpartition('.')[0]


def _allowance(
    document: Document, customer: str, service: str
) -> AllowanceEntry | None:
    plan = document['plans'][document['customers'][customer]['plan']]
    for allowance in plan['allow']:
        if allowance['service'] == service:
            return allowance
    return None


def _max_count_in_window(times: Sequence[float]) -> int:
    """Largest number of the sorted times within any `RATE_WINDOW_S`."""
    maximum = first = 0
    for index, time in enumerate(times):
        while times[first] <= time - RATE_WINDOW_S:
            first += 1
        maximum = max(maximum, index - first + 1)
    return maximum
