"""Slots chosen by load checks right before the send.

`CheckedSlots` implements the `SlotSource` port: it checks a few servers near
this instance, and others only if none of them can answer in time. A request
that no server can answer before its deadline is refused at once.
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
from teaselrock.coordination.choice.cold_limits import ColdLimits
from teaselrock.coordination.choice.latency_estimates import LatencyEstimates
from teaselrock.coordination.choice.latency_estimates import UNHEALTHY_FACTOR
from teaselrock.coordination.choice.load_checks import CheckResult
from teaselrock.coordination.choice.load_checks import LoadChecks
from teaselrock.coordination.choice.server_history import ServerHistory
from teaselrock.coordination.ports import BackendConnection
from teaselrock.coordination.ports import Slot
from teaselrock.coordination.registry import InstallationView
from teaselrock.state import AttemptOutcome
from teaselrock.state import AttemptReason
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer
from teaselrock.state import Refusal
from teaselrock.state import Request
from teaselrock.state.routes import Route

# Servers that are checked for one request.
NEAR_CHECKS: Final = 5
FAR_CHECKS: Final = 3
# Servers of the own zone among those checks, if there are as many.
OWN_ZONE_CHECKS: Final = 3
# Bytes between zones are billed: another zone has to be this much faster.
OTHER_ZONE_FACTOR: Final = 1.1
# Bytes between regions cost a large part of an answer's worth.
OTHER_REGION_FACTOR: Final = 1.5
# Other regions are asked if the near estimate is above this part of the
# target latency.
FAR_THRESHOLD: Final = 1.0
# Sends are remembered until load checks show them.
SENDS_KEPT: Final = 32


class _Candidate(NamedTuple):
    check: CheckResult
    expected_latency: float
    score: float


class CheckedSlot:
    """A server that has just been checked, with the checked connection."""

    def __init__(
        self,
        *,
        source: 'CheckedSlots',
        route: Route,
        check: CheckResult,
        expected_latency: float,
        checked: int,
        reason: AttemptReason,
    ) -> None:
        self._source = source
        self._checked = checked
        self._route = route
        self._check = check
        self._expected = expected_latency
        self._reason = reason

    @property
    def server(self) -> BackendServer:
        """The server that the slot is for."""
        return self._check.server

    @property
    def start_id(self) -> str:
        """Start of the server that the check has seen."""
        return self._check.load.start_id

    @property
    def reason(self) -> AttemptReason:
        """Why this server was chosen."""
        return self._reason

    @property
    def evidence(self) -> str:
        """Expected time, load and age of the check, and what it beat.

        `120ms,2+0of3x1.5,4ms,5`: 120 ms expected; 2 requests running and
        none waiting on 3 slots, work takes 1.5 times as long as usual; the
        check took 4 ms; 5 servers answered checks.
        """
        load = self._check.load
        took = self._check.ended - self._check.started
        return (
            f'{self._expected * 1000:.0f}ms,'
            f'{load.in_flight}+{load.waiting}of{load.bears}'
            f'x{load.work_factor:g},{took * 1000:.0f}ms,{self._checked}'
        )

    @property
    def is_valid(self) -> bool:
        """Whether the server may still get new work."""
        return self._source.may_serve(self._check.server)

    @property
    def connection(self) -> BackendConnection | None:
        """The checked connection."""
        return self._check.connection

    def release(self, *, outcome: AttemptOutcome | None) -> None:
        """Report the outcome; `None` returns the unused connection."""
        self._source.on_release(
            route=self._route,
            check=self._check,
            expected_latency=self._expected,
            outcome=outcome,
        )


class CheckedSlots:
    """`SlotSource` by load checks."""

    def __init__(
        self,
        *,
        own: AvailabilityZone,
        view: InstallationView,
        checks: LoadChecks,
        cold_limits: ColdLimits,
        history: ServerHistory,
        latency_estimates: LatencyEstimates,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._view = view
        self._checks = checks
        self._cold_limits = cold_limits
        self._history = history
        self._latency_estimates = latency_estimates
        self._rng = rng
        self._sends: defaultdict[str, deque[float]] = defaultdict(
            lambda: deque(maxlen=SENDS_KEPT)
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
        """Choose a server now; nothing waits for a slot here."""
        route = request.route
        if route is None:
            raise ValueError('load checks serve routed requests only')
        servers = [
            server
            for server in self._view.backend_servers(service=request.service)
            if server.zone.region in regions
            and server.server_id not in exclude
            and self._history.is_reachable(server.server_id)
        ]
        found: list[CheckResult] = []
        ranked: list[_Candidate] = []
        for group in self._groups(servers):
            try:
                found += await self._checks.check(
                    servers=group, deadline=request.deadline
                )
            except asyncio.CancelledError:
                self._checks.return_connections(found)
                raise
            ranked = self._best(request, route, found)
            limit = FAR_THRESHOLD * route.target_latency
            if ranked and ranked[0].expected_latency <= limit:
                break
        chosen = ranked[0] if ranked else None
        self._checks.return_connections(
            [one for one in found if chosen is None or one != chosen.check]
        )
        now = asyncio.get_running_loop().time()
        if chosen is None:
            return Error(refusals.no_server(bool(servers)))
        refusal = refusals.too_late(
            route=route,
            expected_latency=chosen.expected_latency,
            remaining=request.deadline - now,
            has_more_urgent_routes=self._view.index.has_more_urgent_routes(
                route, service=request.service
            ),
        )
        if refusal is not None:
            self._checks.return_connections((chosen.check,))
            return Error(refusal)
        self._sends[chosen.check.server.server_id].append(now)
        if chosen.check.load.cold_for > 0:
            self._cold_limits.record_send(server=chosen.check.server)
        return Ok(
            CheckedSlot(
                source=self,
                route=route,
                check=chosen.check,
                expected_latency=chosen.expected_latency,
                checked=len(found),
                reason=reason or self._reason(chosen.check.server.zone),
            )
        )

    def may_serve(self, server: BackendServer) -> bool:
        """Whether the server may still get new work."""
        return self._view.may_serve(server)

    def forget(self, server_id: str) -> None:
        """Drop what is known of a server that is gone."""
        self._history.forget(server_id)
        self._cold_limits.forget(server_id)
        self._sends.pop(server_id, None)

    def on_release(
        self,
        *,
        route: Route,
        check: CheckResult,
        expected_latency: float,
        outcome: AttemptOutcome | None,
    ) -> None:
        """Learn from an attempt, or return the connection it did not use."""
        if outcome is None:
            self._checks.return_connections((check,))
            return
        server = check.server
        self._history.observe(
            server_id=server.server_id,
            outcome=outcome,
            expected_latency=expected_latency,
        )
        if outcome.failure is None:
            self._latency_estimates.observe(
                route=route,
                service=server.service,
                latency=outcome.latency,
                expected_latency=expected_latency,
            )

    def _groups(
        self, servers: Sequence[BackendServer]
    ) -> list[list[BackendServer]]:
        """Servers to check first, and those to check if they are bad."""
        own: list[BackendServer] = []
        near: list[BackendServer] = []
        far: list[BackendServer] = []
        for server in servers:
            if server.zone == self._own:
                own.append(server)
            elif server.zone.region == self._own.region:
                near.append(server)
            else:
                far.append(server)
        first = self._sample(own, OWN_ZONE_CHECKS)
        first += self._sample(near, NEAR_CHECKS - len(first))
        rest = [one for one in own + near if one not in first]
        groups = [first, self._sample(far, FAR_CHECKS)]
        if rest and far:
            groups.insert(1, self._sample(rest, NEAR_CHECKS))
        elif rest:
            groups[1] = self._sample(rest, NEAR_CHECKS)
        return [group for group in groups if group]

    def _sample(
        self, servers: Sequence[BackendServer], count: int
    ) -> list[BackendServer]:
        return self._rng.sample(servers, max(0, min(count, len(servers))))

    def _best(
        self, request: Request, route: Route, checks: Sequence[CheckResult]
    ) -> list[_Candidate]:
        """Candidates by rising score; cold servers within their limit."""
        found: list[_Candidate] = []
        profile = self._view.table.services.get(request.service)
        cold_rate = profile.cold_rate if profile is not None else 0.0
        for check in checks:
            if not self._view.may_serve(check.server):
                continue
            if check.load.cold_for > 0 and not self._cold_limits.allows(
                server=check.server, cold_rate=cold_rate
            ):
                continue
            sends = self._sends[check.server.server_id]
            expected_latency = (
                self._latency_estimates.expected_latency(
                    route=route,
                    service=request.service,
                    load=check.load,
                    in_transit=sum(1 for at in sends if at >= check.started),
                )
                + check.ended
                - check.started
            )
            expected_latency *= self._history.penalty(check.server.server_id)
            score = expected_latency * self._distance_factor(check.server.zone)
            if not check.load.is_healthy:
                score *= UNHEALTHY_FACTOR
            found.append(_Candidate(check, expected_latency, score))
        return sorted(found, key=lambda one: one.score)

    def _distance_factor(self, zone: AvailabilityZone) -> float:
        if zone == self._own:
            return 1.0
        if zone.region == self._own.region:
            return OTHER_ZONE_FACTOR
        return OTHER_REGION_FACTOR

    def _reason(self, zone: AvailabilityZone) -> AttemptReason:
        if zone == self._own:
            return AttemptReason.LOCAL
        if zone.region == self._own.region:
            return AttemptReason.REGION
        return AttemptReason.SPILL_LOAD
