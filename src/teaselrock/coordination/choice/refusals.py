"""When a request is refused before it is sent to a server.

Answers the load of heavy days: once all servers have queues, a request that
cannot be answered in time would only delay the others.
"""

from typing import Final

from teaselrock.state import Refusal
from teaselrock.state import RefusalCode
from teaselrock.state import Verdict
from teaselrock.state.routes import Route

# Multiple of its target latency up to which a less urgent request is sent.
YIELDING_TARGETS: Final = 1.3
# Noise of the servers changes within this time.
RETRY_AFTER_S: Final = 0.3


def too_late(
    *,
    route: Route,
    expected_latency: float,
    remaining: float,
    has_more_urgent_routes: bool,
) -> Refusal | None:
    """Refusal of a request that cannot be answered in time.

    `expected` is the time at the best server, `remaining` what is left
    until the deadline, both in seconds. A request that `yields` shares its
    servers with more urgent ones; far beyond its target latency it would
    only make those late as well.
    """
    limit = remaining
    if has_more_urgent_routes:
        limit = min(limit, YIELDING_TARGETS * route.target_latency)
    if expected_latency <= limit:
        return None
    return Refusal(
        RefusalCode.OVERLOADED,
        Verdict.DID_NOT_RUN,
        f'expected {expected_latency:.3f} s, limit {limit:.3f} s',
        retry_after=RETRY_AFTER_S,
    )


def no_server(has_servers: bool) -> Refusal:
    """Refusal without a server that could be checked."""
    detail = (
        'no backend server answers checks'
        if has_servers
        else 'no backend server is in service'
    )
    return Refusal(
        RefusalCode.NO_BACKEND,
        Verdict.DID_NOT_RUN,
        detail,
        retry_after=RETRY_AFTER_S,
    )
