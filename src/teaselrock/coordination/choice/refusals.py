"""Refusal of requests before they are sent to a server (load shedding).

Once all servers have queues, a request that cannot be answered in time would
only delay the others.
"""

from typing import Final

from teaselrock.state import Refusal
from teaselrock.state import RefusalCode
from teaselrock.state import Verdict
from teaselrock.state.routes import Route

# A request that shares its servers with more urgent routes is sent only if it
# is expected within this multiple of its target latency.
LOW_PRIORITY_TARGET_FACTOR: Final = 1.3
# Random changes in the servers' speed last about this long, so a retry after
# it may succeed.
RETRY_AFTER_S: Final = 0.3


def overload_refusal(
    *,
    route: Route,
    expected_latency: float,
    remaining: float,
    has_more_urgent_routes: bool,
) -> Refusal | None:
    """Refusal of a request that is expected to take too long, or None.

    `expected_latency` is that of the best server, `remaining` the time until
    the deadline, both in seconds. With `has_more_urgent_routes`, a request
    that is expected to exceed `LOW_PRIORITY_TARGET_FACTOR` times its target
    latency is refused too, also if its deadline allows more, since it would
    delay the requests of those routes.
    """
    limit = remaining
    if has_more_urgent_routes:
        limit = min(limit, LOW_PRIORITY_TARGET_FACTOR * route.target_latency)
    if expected_latency <= limit:
        return None
    return Refusal(
        RefusalCode.OVERLOADED,
        Verdict.DID_NOT_RUN,
        f'expected {expected_latency:.3f} s, limit {limit:.3f} s',
        retry_after=RETRY_AFTER_S,
    )


def rate_limit_refusal(
    *,
    server_id: str,
    rate: float,
    announced_for: float | None,
    other_reason: str,
    retry_after: float,
) -> Refusal:
    """Refusal of a request since all servers are at their rate limits.

    The arguments describe the limit of the best of these servers: `rate` in
    requests per second from all instances, announced by the server since
    `announced_for` seconds, or that of a cold server if it is None.
    `other_reason` tells why servers without a limit may not get the request.
    """
    origin = (
        'the rate of a cold server'
        if announced_for is None
        else f'announced for {announced_for:.1f} s'
    )
    return Refusal(
        RefusalCode.OVERLOADED,
        Verdict.DID_NOT_RUN,
        f'server {server_id} takes {rate:g} requests/s from all instances '
        f'({origin}); others: {other_reason}',
        retry_after=retry_after,
    )


def paused_refusal(
    *, server_id: str, remaining: float, retry_after: float
) -> Refusal:
    """Refusal of a request since all servers asked for a pause.

    `remaining` is the rest of the shortest pause, that of `server_id`, and
    `retry_after` when the caller should return, both in seconds.
    """
    return Refusal(
        RefusalCode.OVERLOADED,
        Verdict.DID_NOT_RUN,
        f'server {server_id} wants no requests for {remaining:.1f} s; no '
        'other server may take the request',
        retry_after=retry_after,
    )


def no_server_refusal(has_candidates: bool) -> Refusal:
    """Refusal of a request without a server that may take it.

    `has_candidates` is False if there was no server to check. Otherwise no
    check was answered, or no lender of a limited server can be reached.
    """
    detail = (
        'no backend server that answered the load check may take the request'
        if has_candidates
        else 'no untried, reachable backend server is in service'
    )
    return Refusal(
        RefusalCode.NO_BACKEND,
        Verdict.DID_NOT_RUN,
        detail,
        retry_after=RETRY_AFTER_S,
    )
