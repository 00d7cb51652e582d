"""Checks of the guarantees against what callers and servers observed.

`soak` collects calls, runs and faults; no check reads a gateway's state.
"""

from collections import Counter
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Final
from typing import NamedTuple

from world import Arrival
from world import Pause
from world import Run

# Time without a fault after which a gateway must meet guarantees that have a
# time bound.
UNDISTURBED_S: Final = 3.0
# Allowed on top of each bound, for timers of this process and the loopback.
TIMER_SLACK_S: Final = 0.3
# A server's announced limit must hold from this long after its first
# announcement, in each window, up to the factor and the number of requests.
LIMIT_KNOWN_S: Final = 1.0
LIMIT_WINDOW_S: Final = 4.0
LIMIT_FACTOR: Final = 1.5
LIMIT_SLACK: Final = 5
# A server that asked for a pause gets at most so many requests of the same
# gateway, from this long after its response.
PAUSE_KNOWN_S: Final = 0.5
PAUSE_SLACK: Final = 2
# Statuses that guarantee that a request has not run.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})


class Call(NamedTuple):
    """What one caller observed; `status` is 0 without a response.

    `is_correct`: a response with status 200 belongs to the request.
    """

    request_id: str
    gateway: str
    is_build: bool
    sent: float
    ended: float
    status: int
    is_correct: bool


class Fault(NamedTuple):
    """A fault of one gateway ('' for all), with its start and end in s."""

    gateway: str
    start: float
    end: float
    is_planned: bool


class Limit(NamedTuple):
    """Rate limit, in requests/s, that a server announced for some time."""

    server_id: str
    rate: float
    start: float
    end: float


def find_violations(
    calls: Sequence[Call], runs: Sequence[Run], faults: Sequence[Fault]
) -> list[str]:
    """Descriptions of all guarantees that did not hold."""
    return [
        *_at_most_once(calls, runs),
        *_correct_responses(calls),
        *_planned_stops(calls, runs, faults),
        *_departed_servers(calls, runs, faults),
    ]


def exceeded_limits(
    arrivals: Iterable[Arrival], limits: Iterable[Limit]
) -> list[str]:
    """Servers that got more than their announced limits allow.

    All gateways count, also those that a fault disturbs.
    """
    found: list[str] = []
    for limit in limits:
        times = sorted(
            arrival.at
            for arrival in arrivals
            if arrival.server_id == limit.server_id
            and limit.start + LIMIT_KNOWN_S <= arrival.at <= limit.end
        )
        most = max(
            (
                sum(1 for other in times if at <= other < at + LIMIT_WINDOW_S)
                for at in times
            ),
            default=0,
        )
        allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * limit.rate + LIMIT_SLACK
        if most > allowed:
            found.append(
                f'{limit.server_id} got {most} requests in {LIMIT_WINDOW_S} s '
                f'at a limit of {limit.rate}/s'
            )
    return found


def ignored_pauses(
    calls: Iterable[Call],
    arrivals: Sequence[Arrival],
    pauses: Iterable[Pause],
    faults: Sequence[Fault],
) -> list[str]:
    """Servers that got requests of a gateway before the end of a pause.

    A gateway that a fault disturbed meanwhile may not know of the pause.
    """
    gateways = {call.request_id: call.gateway for call in calls}
    found: list[str] = []
    for pause in pauses:
        gateway = gateways.get(pause.request_id)
        end = pause.at + pause.seconds
        if gateway is None or any(
            fault.gateway in ('', gateway)
            and fault.start <= end
            and fault.end + TIMER_SLACK_S >= pause.at
            for fault in faults
        ):
            continue
        count = sum(
            1
            for arrival in arrivals
            if arrival.server_id == pause.server_id
            and pause.at + PAUSE_KNOWN_S + TIMER_SLACK_S < arrival.at < end
            and gateways.get(arrival.request_id) == gateway
        )
        if count > PAUSE_SLACK:
            found.append(
                f'{pause.server_id} got {count} requests of {gateway} in a '
                f'pause of {pause.seconds:.1f} s'
            )
    return found


def unexpected_exits(codes: Mapping[str, int | None]) -> list[str]:
    """Gateways whose process has exited after the last fault.

    `codes` holds the exit code by gateway, None while it runs.
    """
    return [
        f'{gateway} ended by itself with exit code {code}'
        for gateway, code in codes.items()
        if code is not None
    ]


def unrecovered_gateways(statuses: Mapping[str, int]) -> list[str]:
    """Gateways that do not serve the newest route after the last fault.

    `statuses` holds the status of one request by gateway, 0 for none.
    """
    return [
        f'{gateway} answers {status} on the newest route after the last fault'
        for gateway, status in statuses.items()
        if status != 200
    ]


def unregistered_gateways(
    gateways: Iterable[str], registered: Container[str]
) -> list[str]:
    """Gateways that the store does not know after the last fault."""
    return [
        f'{gateway} is not registered after the last fault'
        for gateway in gateways
        if gateway not in registered
    ]


def _at_most_once(calls: Sequence[Call], runs: Iterable[Run]) -> Iterator[str]:
    """Builds run at most once, and not at all if refused as not run."""
    counts = Counter(run.request_id for run in runs)
    for call in calls:
        ran = counts[call.request_id]
        if call.is_build and ran > 1:
            yield f'build {call.request_id} ran {ran}x'
        if call.is_build and call.status in NOT_RUN_STATUSES and ran:
            yield f'{call.request_id} was refused as not run, and ran'


def _correct_responses(calls: Sequence[Call]) -> Iterator[str]:
    """Responses belong to their requests; known routes are served."""
    for call in calls:
        if not call.is_correct:
            yield f'{call.request_id}: wrong answer'
        if call.status == 404:
            yield f'{call.request_id}: 404 of a route'


def _planned_stops(
    calls: Sequence[Call], runs: Iterable[Run], faults: Sequence[Fault]
) -> Iterator[str]:
    """A planned stop interrupts no request that a server is running."""
    counts = Counter(run.request_id for run in runs)
    for call in calls:
        if call.status or not counts[call.request_id]:
            continue
        concurrent = [
            fault
            for fault in faults
            if fault.gateway in ('', call.gateway)
            and fault.start <= call.ended + TIMER_SLACK_S
            and fault.end + UNDISTURBED_S >= call.sent
        ]
        if concurrent and all(fault.is_planned for fault in concurrent):
            yield f'{call.request_id} was cut by the stop of {call.gateway}'


def _departed_servers(
    calls: Sequence[Call], runs: Iterable[Run], faults: Sequence[Fault]
) -> Iterator[str]:
    """Servers that have left get no new work from undisturbed gateways."""
    by_id = {call.request_id: call for call in calls}
    for run in runs:
        call = by_id.get(run.request_id)
        if not run.is_after_departure or call is None:
            continue
        start = run.at - UNDISTURBED_S
        if not any(
            fault.gateway in ('', call.gateway)
            and fault.start <= run.at
            and fault.end + TIMER_SLACK_S >= start
            for fault in faults
        ):
            yield f'{run.request_id} reached {run.server_id} after it left'
