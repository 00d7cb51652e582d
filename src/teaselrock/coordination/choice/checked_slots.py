"""Server choice by load checks right before a request is sent.

`CheckedSlots` implements the `SlotSource` port. It checks a few servers of
the own region, and others only if those exceed the route's target latency. A
request that no server can answer before its deadline is refused at once.
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
from teaselrock.coordination.choice.check_groups import CheckGroups
from teaselrock.coordination.choice.checked_slot import CheckedSlot
from teaselrock.coordination.choice.latency_admission import LatencyAdmission
from teaselrock.coordination.choice.latency_estimates import LatencyEstimate
from teaselrock.coordination.choice.latency_estimates import LatencyEstimates
from teaselrock.coordination.choice.latency_estimates import UNHEALTHY_FACTOR
from teaselrock.coordination.choice.load_checks import CheckResult
from teaselrock.coordination.choice.load_checks import LoadChecks
from teaselrock.coordination.choice.server_history import ServerHistory
from teaselrock.coordination.choice.server_notices import ServerNotices
from teaselrock.coordination.choice.server_rates import RateDenial
from teaselrock.coordination.choice.server_rates import ServerRates
from teaselrock.coordination.ports import Slot
from teaselrock.coordination.rate_permits import RatePermit
from teaselrock.coordination.registry import InstallationView
from teaselrock.state import AttemptOutcome
from teaselrock.state import AttemptReason
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer
from teaselrock.state import Refusal
from teaselrock.state import Request
from teaselrock.state.routes import Route

# Traffic between zones is billed, so a server in another zone is chosen only
# if it is faster by this factor.
OTHER_ZONE_FACTOR: Final = 1.1
# The same for a server in another region: traffic between regions costs a
# large part of what a response earns.
OTHER_REGION_FACTOR: Final = 1.5
# No more servers are checked once the best expected latency is within this
# multiple of the target latency.
SUFFICIENT_TARGET_FACTOR: Final = 1.0
# Callers that were refused during a pause return within this time after it.
PAUSE_RETURN_SPREAD_S: Final = 0.5
# Send times kept for each server, since a request that was sent after a load
# check started is not in its load report.
MAX_SEND_TIMES: Final = 32


class _Candidate(NamedTuple):
    check: CheckResult
    estimate: LatencyEstimate
    score: float


class _Chosen(NamedTuple):
    """The chosen server, with a permit if its rate is limited.

    `is_probe` tells that the estimate advised against the request.
    """

    candidate: _Candidate
    permit: RatePermit | None
    is_probe: bool = False


class CheckedSlots:
    """`SlotSource` by load checks."""

    def __init__(
        self,
        *,
        own_zone: AvailabilityZone,
        view: InstallationView,
        load_checks: LoadChecks,
        server_rates: ServerRates,
        history: ServerHistory,
        notices: ServerNotices,
        latency_estimates: LatencyEstimates,
        rng: random.Random,
    ) -> None:
        self._own_zone = own_zone
        self._view = view
        self._load_checks = load_checks
        self._server_rates = server_rates
        self._history = history
        self._notices = notices
        self._rng = rng
        self._latency_estimates = latency_estimates
        self._admission = LatencyAdmission(view=view)
        self._check_groups = CheckGroups(own_zone=own_zone, rng=rng)
        self._send_times: defaultdict[str, deque[float]] = defaultdict(
            lambda: deque(maxlen=MAX_SEND_TIMES)
        )

    async def acquire(
        self,
        *,
        request: Request,
        regions: frozenset[str],
        weight: int,
        exclude: frozenset[str],
        reason: AttemptReason | None,
    ) -> Result[Slot, Refusal]:
        """Choose a server or refuse; requests never wait for a slot.

        `weight` has no effect. Raises `ValueError` for a request without a
        route.
        """
        route = request.route
        if route is None:
            raise ValueError(
                f'request for service {request.service} has no route, which '
                'load checks need'
            )
        allowed = [
            server
            for server in self._view.backend_servers(service=request.service)
            if server.zone.region in regions
            and server.server_id not in exclude
        ]
        servers = [
            server
            for server in allowed
            if self._history.may_check(server.server_id)
            and self._notices.may_send(server.server_id)
        ]
        if not servers and (refusal := self._paused_refusal(allowed)):
            return Error(refusal)
        checks: list[CheckResult] = []
        chosen: _Chosen | None = None
        try:
            result = await self._choose(
                request, route, servers, checks, reason
            )
            chosen = result.ok if result.is_ok() else None
        finally:
            self._load_checks.put_back(
                [
                    check
                    for check in checks
                    if chosen is None or check != chosen.candidate.check
                ]
            )
        if chosen is None:
            return Error(result.error)
        check = chosen.candidate.check
        self._send_times[check.server.server_id].append(
            asyncio.get_running_loop().time()
        )
        return Ok(
            CheckedSlot(
                owner=self,
                route=route,
                check=check,
                permit=chosen.permit,
                estimate=chosen.candidate.estimate,
                is_probe=chosen.is_probe,
                answered=len(checks),
                reason=reason or self._reason(check.server.zone),
            )
        )

    async def _choose(
        self,
        request: Request,
        route: Route,
        servers: Sequence[BackendServer],
        checks: list[CheckResult],
        reason: AttemptReason | None,
    ) -> Result[_Chosen, Refusal]:
        """Check servers until one may take the request; fills `checks`.

        Servers in further groups are checked while those before are expected
        to exceed the target latency or are at their rate limits.
        """
        sufficient_latency = SUFFICIENT_TARGET_FACTOR * route.target_latency
        ranked: list[_Candidate] = []
        denials = self._known_denials(servers)
        servers = [
            server for server in servers if server.server_id not in denials
        ]
        for group in self._check_groups.choose(servers):
            if group.is_reserve and any(
                candidate.check.server.server_id not in denials
                for candidate in ranked
            ):
                break
            answered = await self._load_checks.check(
                servers=group.servers, deadline=request.deadline
            )
            checks += answered
            for check in answered:
                self._server_rates.observe_check(check)
            ranked = self._rank_candidates(request, route, checks)
            for candidate in ranked:
                if candidate.estimate.expected > sufficient_latency:
                    break
                chosen = await self._try_candidate(
                    candidate, route, reason, denials
                )
                if chosen is not None:
                    return Ok(chosen)
        result = await self._choose_above_target(
            request, route, ranked, reason, denials
        )
        if result is not None:
            return result
        if denials:
            return Error(
                self._server_rates.refusal(
                    tuple(denials.values()),
                    route=route,
                    other_refusal=None,
                )
            )
        return Error(refusals.no_server_refusal(bool(servers)))

    async def _choose_above_target(
        self,
        request: Request,
        route: Route,
        ranked: Sequence[_Candidate],
        reason: AttemptReason | None,
        denials: dict[str, RateDenial],
    ) -> Result[_Chosen, Refusal] | None:
        """Choose although the target latency is exceeded, or refuse.

        None if each candidate is at its rate limit. A request that becomes a
        probe may be sent to any of them.
        """
        is_probe = False
        for candidate in ranked:
            if candidate.check.server.server_id in denials:
                continue
            refusal = self._overload_refusal(
                request, route, candidate, denials
            )
            if refusal is not None and not is_probe:
                is_probe = self._admission.try_probe(
                    request=request, route=route, estimate=candidate.estimate
                )
                if not is_probe:
                    return Error(refusal)
            chosen = await self._try_candidate(
                candidate, route, reason, denials
            )
            if chosen is not None:
                return Ok(chosen._replace(is_probe=is_probe))
        return None

    def _paused_refusal(
        self, servers: Sequence[BackendServer]
    ) -> Refusal | None:
        """Refusal that names the shortest pause, None without a pause."""
        pauses = [
            pause
            for server in servers
            if (pause := self._notices.pause(server.server_id)) is not None
        ]
        if not pauses:
            return None
        first = min(pauses, key=lambda pause: pause.until)
        remaining = first.until - asyncio.get_running_loop().time()
        return refusals.paused_refusal(
            server_id=first.server.server_id,
            remaining=remaining,
            retry_after=remaining
            + self._rng.uniform(0, PAUSE_RETURN_SPREAD_S),
        )

    def _overload_refusal(
        self,
        request: Request,
        route: Route,
        candidate: _Candidate,
        denials: dict[str, RateDenial],
    ) -> Refusal | None:
        """Refusal if the best candidate would take too long, or None.

        It names a rate limit if servers were left out for lack of a permit.
        """
        refusal = self._admission.refusal(
            request=request, route=route, estimate=candidate.estimate
        )
        if refusal is None or not denials:
            return refusal
        return self._server_rates.refusal(
            tuple(denials.values()), route=route, other_refusal=refusal
        )

    def _known_denials(
        self, servers: Sequence[BackendServer]
    ) -> dict[str, RateDenial]:
        known = (
            self._server_rates.known_denial(server=server)
            for server in servers
        )
        return {
            denial.server.server_id: denial
            for denial in known
            if denial is not None
        }

    async def _try_candidate(
        self,
        candidate: _Candidate,
        route: Route,
        reason: AttemptReason | None,
        denials: dict[str, RateDenial],
    ) -> _Chosen | None:
        """The candidate with its permit, None if it was denied."""
        server_id = candidate.check.server.server_id
        if server_id in denials:
            return None
        acquired = await self._server_rates.acquire_permit(
            check=candidate.check, route=route, reason=reason
        )
        if acquired.is_error():
            denials[server_id] = acquired.error
            return None
        return _Chosen(candidate, acquired.ok)

    def may_serve(self, server: BackendServer) -> bool:
        """Whether the server may still get requests."""
        return self._view.may_serve(server) and self._notices.may_send(
            server.server_id
        )

    def drop_server(self, server_id: str) -> None:
        """Drop all state of a server that was removed."""
        self._history.drop_server(server_id)
        self._notices.drop_server(server_id)
        self._server_rates.drop_server(server_id)
        self._send_times.pop(server_id, None)

    def on_release(
        self,
        *,
        route: Route,
        check: CheckResult,
        estimate: LatencyEstimate,
        outcome: AttemptOutcome | None,
    ) -> None:
        """Record the outcome; without one, return the unused connection."""
        if outcome is None:
            self._load_checks.put_back((check,))
            return
        server = check.server
        if outcome.load is not None:
            self._notices.observe(server=server, load=outcome.load)
            self._server_rates.observe_response(
                check._replace(load=outcome.load)
            )
        self._history.observe(
            server_id=server.server_id,
            outcome=outcome,
            expected_latency=estimate.expected,
        )
        if outcome.failure is None:
            self._latency_estimates.observe(
                route=route,
                service=server.service,
                latency=outcome.latency,
                estimate=estimate,
            )

    def _rank_candidates(
        self, request: Request, route: Route, checks: Sequence[CheckResult]
    ) -> list[_Candidate]:
        """Candidates by rising score."""
        candidates: list[_Candidate] = []
        for check in checks:
            if not self.may_serve(check.server):
                continue
            send_times = self._send_times[check.server.server_id]
            estimate = self._latency_estimates.estimate(
                route=route,
                service=request.service,
                load=check.load,
                in_transit=sum(
                    1 for at in send_times if at >= check.started_at
                ),
                round_trip=check.ended_at - check.started_at,
                penalty=self._history.penalty(check.server.server_id),
            )
            score = estimate.expected * self._distance_factor(
                check.server.zone
            )
            if not check.load.is_healthy:
                score *= UNHEALTHY_FACTOR
            candidates.append(_Candidate(check, estimate, score))
        return sorted(candidates, key=lambda candidate: candidate.score)

    def _distance_factor(self, zone: AvailabilityZone) -> float:
        if zone == self._own_zone:
            return 1.0
        if zone.region == self._own_zone.region:
            return OTHER_ZONE_FACTOR
        return OTHER_REGION_FACTOR

    def _reason(self, zone: AvailabilityZone) -> AttemptReason:
        if zone == self._own_zone:
            return AttemptReason.LOCAL
        if zone.region == self._own_zone.region:
            return AttemptReason.REGION
        return AttemptReason.SPILL_LOAD
