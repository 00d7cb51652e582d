"""Rates of servers that limit the requests of all instances together.

A cold server tolerates the rate of its service, and any server may announce a
rate limit. `ServerRates` gets the permits for requests to such servers from
`rate_permits`, and refuses requests that get none.
"""

import asyncio
from collections import defaultdict
from collections import deque
from collections.abc import Sequence
import random
from typing import Final
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination.choice import refusals
from teaselrock.coordination.choice.announced_limits import AnnouncedLimits
from teaselrock.coordination.choice.load_checks import CheckResult
from teaselrock.coordination.rate_permits import InstanceRoster
from teaselrock.coordination.rate_permits import PermitDenial
from teaselrock.coordination.rate_permits import RatePermit
from teaselrock.coordination.rate_permits import RatePermits
from teaselrock.coordination.registry import InstallationView
from teaselrock.state import AttemptReason
from teaselrock.state import BackendServer
from teaselrock.state import Refusal
from teaselrock.state.routes import Route

# Rate of a cold server whose service states none, in requests per second.
UNKNOWN_COLD_RATE: Final = 3.0
# Less urgent requests get no permits for this long after a more urgent one of
# the same service was refused for lack of a permit.
WITHHOLD_S: Final = 1.0
# Priority of hedges: each may take the permit of a request without any answer.
HEDGE_PRIORITY: Final = 1000
# Refusals of this time are expected to return.
BACKLOG_WINDOW_S: Final = 1.0
# Returning requests are spread over at most this time.
MAX_SPREAD_S: Final = 2.0


class RateDenial(NamedTuple):
    """A limited server, its rate, and why it may get no request now."""

    server: BackendServer
    rate: float
    permit_denial: PermitDenial


class ServerRates:
    """Limits of servers for all instances, and this instance's permits."""

    def __init__(
        self,
        *,
        view: InstallationView,
        announced_limits: AnnouncedLimits,
        permits: RatePermits,
        roster: InstanceRoster,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._announced_limits = announced_limits
        self._permits = permits
        self._roster = roster
        self._rng = rng
        self._refused_at: defaultdict[str, deque[float]] = defaultdict(deque)
        # Time of the last refusal for lack of a permit, by priority.
        self._last_refused: defaultdict[str, dict[int, float]] = defaultdict(
            dict
        )

    def observe_check(self, check: CheckResult) -> None:
        """Update the announced limit by a load check."""
        self._announced_limits.observe(
            server=check.server, load=check.load, is_check=True
        )

    def observe_response(self, check: CheckResult) -> None:
        """Update the announced limit by a response to a request.

        `check.load` is the load report of the response.
        """
        self._announced_limits.observe(
            server=check.server, load=check.load, is_check=False
        )

    def drop_server(self, server_id: str) -> None:
        """Drop all state of a server that was removed."""
        self._announced_limits.drop_server(server_id)
        self._permits.drop_server(server_id)

    def known_denial(self, *, server: BackendServer) -> RateDenial | None:
        """Denial of a server that is known to get no request now."""
        denial = self._permits.known_denial(server=server)
        if denial is None:
            return None
        limit = self._announced_limits.limit(server.server_id)
        rate = limit.rate if limit is not None else self._cold_rate(server)
        return RateDenial(server, rate, denial)

    async def acquire_permit(
        self, *, check: CheckResult, route: Route, reason: AttemptReason | None
    ) -> Result[RatePermit | None, RateDenial]:
        """Get a permit for a request; None if the server needs none."""
        rate = self._rate(check)
        if rate is None:
            return Ok(None)
        withheld_s = self._withheld_for(
            check.server.service, _priority(route, reason)
        )
        if withheld_s > 0.0:
            return Error(
                RateDenial(check.server, rate, PermitDenial(withheld_s, True))
            )
        acquired = await self._permits.acquire(server=check.server, rate=rate)
        if acquired.is_error():
            return Error(RateDenial(check.server, rate, acquired.error))
        return Ok(acquired.ok)

    def refusal(
        self,
        denials: Sequence[RateDenial],
        *,
        route: Route,
        other_refusal: Refusal | None,
    ) -> Refusal:
        """Refusal of a request that got no permit of any limited server.

        `other_refusal` tells why the servers without a limit may not get it,
        None if there are none.

        Refused callers return spread over the time in which their requests
        can get permits, so that they are not refused together again.
        """
        best = min(
            denials, key=lambda denial: denial.permit_denial.retry_after
        )
        if not any(denial.permit_denial.has_lender for denial in denials):
            return other_refusal or refusals.no_server_refusal(True)
        now = asyncio.get_running_loop().time()
        refused_at = self._refused_at[best.server.service]
        while refused_at and refused_at[0] <= now - BACKLOG_WINDOW_S:
            refused_at.popleft()
        refused_at.append(now)
        self._last_refused[best.server.service][route.priority] = now
        instances = self._roster.instances_in(best.server.zone.region)
        own_rate = sum(denial.rate for denial in denials) / max(1, instances)
        spread = MAX_SPREAD_S
        if own_rate > 0:
            spread = min(MAX_SPREAD_S, len(refused_at) / own_rate)
        limit = self._announced_limits.limit(best.server.server_id)
        return refusals.rate_limit_refusal(
            server_id=best.server.server_id,
            rate=best.rate,
            announced_for=now - limit.since if limit is not None else None,
            other_reason=(
                other_refusal.detail
                if other_refusal is not None
                else 'no other server may take the request'
            ),
            retry_after=(
                best.permit_denial.retry_after + self._rng.uniform(0, spread)
            ),
        )

    def _withheld_for(self, service: str, priority: int) -> float:
        """Seconds for which permits are left to more urgent requests."""
        now = asyncio.get_running_loop().time()
        return max(
            (
                at + WITHHOLD_S - now
                for refused, at in self._last_refused[service].items()
                if refused < priority
            ),
            default=0.0,
        )

    def _rate(self, check: CheckResult) -> float | None:
        """The lower one of the announced and the cold rate."""
        rates: list[float] = []
        limit = self._announced_limits.limit(check.server.server_id)
        if limit is not None:
            rates.append(limit.rate)
        if check.load.cold_remaining > 0:
            rates.append(self._cold_rate(check.server))
        return min(rates, default=None)

    def _cold_rate(self, server: BackendServer) -> float:
        profile = self._view.table.services.get(server.service)
        if profile is None or profile.cold_rate <= 0:
            return UNKNOWN_COLD_RATE
        return profile.cold_rate


def _priority(route: Route, reason: AttemptReason | None) -> int:
    return HEDGE_PRIORITY if reason is AttemptReason.HEDGE else route.priority
