"""Compares the records of callers and backend servers with the report.

Rows of the report don't identify the callers' requests, so they are compared
as counts by customer, service and verdict, and attempts by server. A call
of verdict `unknown` may or may not have a row, and an attempt reported as
failed may or may not have run; nothing else may differ.
"""

from collections import Counter
from collections import defaultdict
from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import Final
from typing import NamedTuple

from teaselrock.standins.load import Call
from teaselrock.standins.load import UNKNOWN

# The refusal of a repeated key states to the caller how the first request
# ended; the row of the repeat states that the repeat did not run.
REPEAT_CODES: Final = frozenset(
    {'idempotency-key-in-use', 'idempotency-key-completed'}
)


class Comparison(NamedTuple):
    """A compared count; unknown outcomes may bring it up to `maximum`."""

    label: str
    minimum: int
    maximum: int
    found: int

    @property
    def is_within_bounds(self) -> bool:
        """Whether the count is within its bounds."""
        return self.minimum <= self.found <= self.maximum


class Evidence(NamedTuple):
    """Records of callers and servers, and the operations report's rows.

    `killed` are gateways that ended without a graceful stop.
    `home_region_customers` have home regions that exclude the store's, so
    their attempts are not in the store.
    """

    calls: Sequence[Call]
    server_records: Mapping[str, Mapping[str, Any]]
    rows: Sequence[Mapping[str, Any]]
    killed: Collection[str]
    home_region_customers: Collection[str]


def compare(evidence: Evidence) -> list[Comparison]:
    """Make all comparisons."""
    return [
        *_callers_and_report(evidence),
        *_callers_and_servers(evidence),
        *_servers_and_report(evidence),
    ]


def _callers_and_report(evidence: Evidence) -> Iterator[Comparison]:
    answered: Counter[tuple[str, str, str]] = Counter()
    unknown: Counter[tuple[str, str]] = Counter()
    for call in evidence.calls:
        pair = (call.customer, call.service)
        if call.verdict == UNKNOWN:
            unknown[pair] += 1
        else:
            is_repeat = call.code in REPEAT_CODES
            verdict = 'did-not-run' if is_repeat else call.verdict
            answered[*pair, verdict] += 1
    reported: Counter[tuple[str, str, str]] = Counter()
    for row in evidence.rows:
        verdict = row['outcome'].partition(' ')[0]
        reported[row['customer'], row['service'], verdict] += 1
    pairs = {key[:2] for key in answered | reported} | unknown.keys()
    for pair in sorted(pairs):
        name = ' '.join(pair)
        verdicts = {key[2] for key in answered | reported if key[:2] == pair}
        total = 0
        for verdict in sorted(verdicts):
            minimum = answered[*pair, verdict]
            found = reported[*pair, verdict]
            total += found
            yield Comparison(
                f'report rows: {name} {verdict}',
                minimum,
                minimum + unknown[pair],
                found,
            )
        minimum = sum(n for key, n in answered.items() if key[:2] == pair)
        yield Comparison(
            f'report rows: {name}', minimum, minimum + unknown[pair], total
        )


def _callers_and_servers(evidence: Evidence) -> Iterator[Comparison]:
    started: Counter[str] = Counter()
    complete: Counter[str] = Counter()
    for server in evidence.server_records.values():
        for run in server['runs']:
            started[run['token']] += 1
            complete[run['token']] += run['is_complete']
    by_token: defaultdict[str, list[Call]] = defaultdict(list)
    for call in evidence.calls:
        by_token[call.token].append(call)
    ran = [t for t, calls in by_token.items() if _has_verdict(calls, 'ran')]
    found = sum(complete[token] > 0 for token in ran)
    yield Comparison(
        'requests answered, run at a server', len(ran), len(ran), found
    )
    not_run = [
        token
        for token, calls in by_token.items()
        if all(call.verdict == 'did-not-run' for call in calls)
    ]
    falsely_refused = sum(started[token] > 0 for token in not_run)
    yield Comparison(
        'requests refused as not run, but run', 0, 0, falsely_refused
    )
    run_twice = sum(
        started[token] > 1
        for token, calls in by_token.items()
        if not calls[0].is_idempotent
    )
    yield Comparison('non-idempotent requests run twice', 0, 0, run_twice)
    cut_off = sum(
        call.verdict == UNKNOWN and call.gateway not in evidence.killed
        for call in evidence.calls
    )
    yield Comparison(
        'calls cut off by other gateways than the killed', 0, 0, cut_off
    )


def _has_verdict(calls: Sequence[Call], verdict: str) -> bool:
    return any(call.verdict == verdict for call in calls)


def _servers_and_report(evidence: Evidence) -> Iterator[Comparison]:
    """Compare attempts reported as run with complete runs of each server."""
    customers = {call.token: call.customer for call in evidence.calls}
    unknown = sum(call.verdict == UNKNOWN for call in evidence.calls)
    ran: Counter[str] = Counter()
    failed: Counter[str] = Counter()
    for row in evidence.rows:
        for step in filter(None, row['path'].split('; ')):
            place, _, rest = step.partition(' ')
            counts = ran if rest.split()[-1] == 'ran' else failed
            counts[place.rpartition('/')[2]] += 1
    for name, server in sorted(evidence.server_records.items()):
        complete = sum(
            run['is_complete']
            and customers.get(run['token'])
            not in evidence.home_region_customers
            for run in server['runs']
        )
        yield Comparison(
            f'complete runs at {name}',
            ran[name],
            ran[name] + failed[name] + unknown,
            complete,
        )
