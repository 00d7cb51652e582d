"""Checks of the invariants, from what callers and servers recorded.

Nothing here comes from the gateways; `report_checks` compares the rows of
the report with the records.
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
# A rate allows its calls per second and one second's calls at once.
RATE_WINDOW_S: Final = 1.0


class Violation(NamedTuple):
    """An invariant that was broken, and by what."""

    check: str
    detail: str


class Observations(NamedTuple):
    """Everything that was recorded in one run."""

    calls: Sequence[CallRecord]
    runs: Sequence[Run]
    document: Document


def check_invariants(observations: Observations) -> list[Violation]:
    """All checks that need no report."""
    return [
        *check_at_most_once(observations),
        *check_not_run(observations),
        *check_answers(observations),
        *check_home_regions(observations),
        *check_plans(observations),
    ]


def check_at_most_once(observations: Observations) -> list[Violation]:
    """I7: no non-idempotent request ran twice."""
    counts = Counter(
        run.token for run in observations.runs if not run.idempotent
    )
    return [
        Violation('at-most-once', f'{token} ran {count} times')
        for token, count in counts.items()
        if count > 1
    ]


def check_not_run(observations: Observations) -> list[Violation]:
    """I6: no call that was refused as not run has run."""
    ran = {run.call for run in observations.runs}
    return [
        Violation('not-run', f'call {call.call} of {call.token} did run')
        for call in observations.calls
        if call.verdict == NOT_RUN and call.call in ran
    ]


def check_answers(observations: Observations) -> list[Violation]:
    """I5: each answer belongs to its call, which ran."""
    found = []
    ran = {run.call for run in observations.runs}
    for call in observations.calls:
        if not call.is_own_response:
            found.append(Violation('answers', f'{call.call}: not its own'))
        # A refused repeat of a completed key states `ran` with a code.
        if call.verdict == RAN and not call.code and call.call not in ran:
            found.append(Violation('answers', f'{call.call}: never ran'))
    return found


def check_home_regions(observations: Observations) -> list[Violation]:
    """I4: nothing ran outside its customer's home regions."""
    customers = observations.document['customers']
    found = []
    for run in observations.runs:
        homes = customers[customer_of(run.token)].get('home_regions')
        if homes is not None and run.region not in homes:
            found.append(
                Violation('home-regions', f'{run.token} ran in {run.region}')
            )
    return found


def check_plans(observations: Observations) -> list[Violation]:
    """I11: amounts, rates and regions of the plans are kept."""
    by_call = {call.call: call for call in observations.calls}
    starts: dict[tuple[str, str], dict[str, float]] = defaultdict(dict)
    found = []
    for run in observations.runs:
        customer = customer_of(run.token)
        service = run.server_id.rpartition('-')[0]
        # Retries and hedges of one call are charged once.
        starts[customer, service].setdefault(run.call, run.started)
        allowance = _allowance(observations.document, customer, service)
        if allowance is None or run.region not in allowance['regions']:
            found.append(Violation('plans', f'{run.token}: {run.region}'))
    for (customer, service), calls in starts.items():
        allowance = _allowance(observations.document, customer, service)
        if allowance is None:
            continue
        amount = allowance.get('units_per_window')
        if amount is not None and len(calls) > amount:
            found.append(
                Violation(
                    'plans', f'{customer} {service}: {len(calls)} of {amount}'
                )
            )
        rate = allowance.get('rate_per_second')
        # The time of admission is not seen; a call's send is close to it.
        times = sorted(
            by_call[call].sent if call in by_call else started
            for call, started in calls.items()
        )
        if rate is not None and _most_within(times) > 2 * rate:
            found.append(Violation('plans', f'{customer} {service}: rate'))
    return found


def customer_of(token: str) -> str:
    """The customer that a token names."""
    return token.rpartition('.')[0]


def _allowance(
    document: Document, customer: str, service: str
) -> AllowanceEntry | None:
    plan = document['plans'][document['customers'][customer]['plan']]
    for allowance in plan['allow']:
        if allowance['service'] == service:
            return allowance
    return None


def _most_within(times: Sequence[float]) -> int:
    """Most of sorted times within any `RATE_WINDOW_S`."""
    most = first = 0
    for index, time in enumerate(times):
        while times[first] <= time - RATE_WINDOW_S:
            first += 1
        most = max(most, index - first + 1)
    return most
