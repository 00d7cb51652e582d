"""Promises of the product, checked from what callers and servers saw.

`soak` collects calls, runs and faults; nothing here asks a gateway.
"""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Final
from typing import NamedTuple

from world import Run

# Promises with a time bound hold for gateways that were left alone so long.
CALM_S: Final = 3.0
# Timers of this process and the loopback add to each bound.
TIMER_SLACK_S: Final = 0.3
# Statuses that promise that a request has not run.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})


class Call(NamedTuple):
    """What one caller saw; `status` is 0 without an answer."""

    request_id: str
    gateway: str
    is_build: bool
    sent: float
    ended: float
    status: int
    is_right: bool


class Trouble(NamedTuple):
    """A fault of one gateway ('' for all), for the time rules."""

    gateway: str
    start: float
    end: float
    is_planned: bool


def broken_promises(
    calls: Sequence[Call], runs: Sequence[Run], troubles: Sequence[Trouble]
) -> list[str]:
    """What was promised and did not hold."""
    return [
        *_executions(calls, runs),
        *_answers(calls),
        *_planned_stops(calls, runs, troubles),
        *_drains(calls, runs, troubles),
    ]


def ended_by_themselves(codes: Mapping[str, int | None]) -> list[str]:
    """Gateways without a process after the last fault.

    `codes` holds the exit code of each, None while it runs.
    """
    return [
        f'{gateway} ended by itself with exit code {code}'
        for gateway, code in codes.items()
        if code is not None
    ]


def not_recovered(statuses: Mapping[str, int]) -> list[str]:
    """Gateways that do not serve the newest route after the last fault.

    `statuses` holds the status of one request by gateway, 0 for none.
    """
    return [
        f'{gateway} answers {status} on the newest route after the last fault'
        for gateway, status in statuses.items()
        if status != 200
    ]


def _executions(calls: Sequence[Call], runs: Iterable[Run]) -> Iterator[str]:
    """Builds run at most once, and not at all if refused as not run."""
    counts = Counter(run.request_id for run in runs)
    for call in calls:
        ran = counts[call.request_id]
        if call.is_build and ran > 1:
            yield f'build {call.request_id} ran {ran}x'
        if call.is_build and call.status in NOT_RUN_STATUSES and ran:
            yield f'{call.request_id} was refused as not run, and ran'


def _answers(calls: Sequence[Call]) -> Iterator[str]:
    """Answers belong to their requests; known routes are served."""
    for call in calls:
        if not call.is_right:
            yield f'{call.request_id}: wrong answer'
        if call.status == 404:
            yield f'{call.request_id}: 404 of a route'


def _planned_stops(
    calls: Sequence[Call], runs: Iterable[Run], troubles: Sequence[Trouble]
) -> Iterator[str]:
    """A planned stop cuts no request that a server works on."""
    counts = Counter(run.request_id for run in runs)
    for call in calls:
        if call.status or not counts[call.request_id]:
            continue
        near = [
            one
            for one in troubles
            if one.gateway in ('', call.gateway)
            and one.start <= call.ended + TIMER_SLACK_S
            and one.end + CALM_S >= call.sent
        ]
        if near and all(one.is_planned for one in near):
            yield f'{call.request_id} was cut by the stop of {call.gateway}'


def _drains(
    calls: Sequence[Call], runs: Iterable[Run], troubles: Sequence[Trouble]
) -> Iterator[str]:
    """Servers that left get no new work from undisturbed gateways."""
    by_id = {call.request_id: call for call in calls}
    for run in runs:
        call = by_id.get(run.request_id)
        if not run.is_gone or call is None:
            continue
        start = run.at - CALM_S
        if not any(
            one.gateway in ('', call.gateway)
            and one.start <= run.at
            and one.end + TIMER_SLACK_S >= start
            for one in troubles
        ):
            yield f'{run.request_id} reached {run.server_id} after it left'
