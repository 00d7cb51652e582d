"""Allocation state of one group: servers, leases, waiting slot requests.

`SlotAllocator` updates it for each message and sends the resulting messages.
"""

from collections import Counter
from collections import OrderedDict
from collections.abc import Iterable
from collections.abc import Sequence
import random
from typing import Final
from typing import NamedTuple

from teaselrock.coordination.events import Event
from teaselrock.coordination.events import Events
from teaselrock.coordination.events import NoEvents
from teaselrock.coordination.ports import MemberView
from teaselrock.coordination.routing.load_readings import LoadReadings
from teaselrock.coordination.routing.outlier_detector import OutlierDetector
from teaselrock.coordination.slots import placement
from teaselrock.coordination.slots.limit import AdaptiveLimit
from teaselrock.coordination.slots.messages import ServerLimit
from teaselrock.coordination.slots.messages import ServerOutcomes
from teaselrock.coordination.slots.name_codes import NameCode
from teaselrock.coordination.slots.name_codes import short_code
from teaselrock.coordination.slots.options import ServerGroup
from teaselrock.coordination.slots.server_allocation import LeaseKey
from teaselrock.coordination.slots.server_allocation import LentLease
from teaselrock.coordination.slots.server_allocation import ServerAllocation
from teaselrock.coordination.slots.takeover import Takeover
from teaselrock.state import BackendServer

# Servers compared for one grant; bounds the cost of choosing a server.
SAMPLED_SERVERS: Final = 8
# Below this share of free units, a unit that one borrower keeps idle is likely
# to be needed by another, which would have to wait for its recall.
SCARCE_SHARE: Final = 1 / 3


class WaitingSlotRequest(NamedTuple):
    """A slot request for which no unit is free; times are loop times in s."""

    key: LeaseKey
    queued_at: float
    expires_at: float
    exclude: tuple[str, ...]
    distance: int


class GroupAllocation:
    """Servers of a group and the leases of their units."""

    def __init__(
        self,
        *,
        group: ServerGroup,
        takeover: Takeover,
        rng: random.Random,
        lease_s: float,
        events: Events = NoEvents(),
    ) -> None:
        self._events = events
        self._group = group
        self._takeover = takeover
        self._rng = rng
        self._lease_s = lease_s
        self._servers: dict[str, ServerAllocation] = {}
        self._leases: dict[LeaseKey, LentLease] = {}
        self._available: list[str] = []
        self._available_index: dict[str, int] = {}
        self._outlier_detector = OutlierDetector()
        self._readings = LoadReadings()
        self._live: frozenset[str] = frozenset()
        self._placement_key: object = None
        self._code_counts: Counter[int] = Counter()
        self.waiting: OrderedDict[LeaseKey, WaitingSlotRequest] = OrderedDict()

    @property
    def group(self) -> ServerGroup:
        """The group."""
        return self._group

    @property
    def takeover(self) -> Takeover:
        """Answers to lease queries that are awaited before units are lent."""
        return self._takeover

    @property
    def has_free_units(self) -> bool:
        """Whether any server has a free unit."""
        return bool(self._available)

    @property
    def has_servers(self) -> bool:
        """Whether the group has any server."""
        return bool(self._servers)

    @property
    def is_scarce(self) -> bool:
        """Whether so few units are free that idle leases must be returned."""
        limits = sum(server.limit.limit for server in self._servers.values())
        lent_units = sum(
            server.lent_units for server in self._servers.values()
        )
        return limits - lent_units < SCARCE_SHARE * limits

    @property
    def leases(self) -> dict[LeaseKey, LentLease]:
        """All leases by key."""
        return self._leases

    def refresh(
        self,
        *,
        servers: Iterable[BackendServer],
        members: MemberView,
        now: float,
    ) -> None:
        """Apply the current servers and the current member view."""
        listed = {server.server_id: server for server in servers}
        for server_id in self._servers.keys() - listed.keys():
            del self._servers[server_id]
            self._mark_unavailable(server_id)
        for server_id, server in listed.items():
            allocation = self._servers.get(server_id)
            if allocation is None:
                self._servers[server_id] = ServerAllocation(
                    server=server,
                    limit=AdaptiveLimit(
                        concurrency=server.concurrency, since=now
                    ),
                )
            else:
                allocation.server = server
                allocation.limit.set_concurrency(server.concurrency)
        self._code_counts = Counter(
            short_code(server_id) for server_id in listed
        )
        self._live = frozenset(member.instance_id for member in members.live)
        placement_key = (members.epoch, tuple(listed.values()))
        if placement_key != self._placement_key:
            self._placement_key = placement_key
            for server_id, allocation in self._servers.items():
                allocation.home_members = placement.home_members(
                    server_id=server_id,
                    units=allocation.server.concurrency,
                    region=self._group.zone.region,
                    roster=members.roster,
                )
        self.refresh_availability()

    def refresh_availability(self) -> None:
        """Recompute which servers have units to lend."""
        for server_id in self._servers:
            self._update_availability(server_id)

    def lend(
        self,
        *,
        key: LeaseKey,
        exclude: Sequence[str],
        queued_at: float,
        now: float,
    ) -> ServerAllocation | None:
        """Lend a unit of the least loaded server, ties to the lowest latency.

        Returns None if no unit may be lent now.
        """
        if not self._takeover.may_lend:
            return None
        sampled = self._available
        if len(sampled) > SAMPLED_SERVERS:
            sampled = self._rng.sample(sampled, SAMPLED_SERVERS)
        allocation = self._least_loaded(sampled, exclude, now)
        if allocation is None and len(sampled) < len(self._available):
            allocation = self._least_loaded(self._available, exclude, now)
        if allocation is None:
            return None
        self._add_lease(
            allocation, key, allocation.limit.start_id, now + self._lease_s
        )
        self._leases[key].waited_ms = (now - queued_at) * 1000
        return allocation

    def _least_loaded(
        self, candidates: Sequence[str], exclude: Sequence[str], now: float
    ) -> ServerAllocation | None:
        allocations = [
            self._servers[server_id]
            for server_id in candidates
            if server_id not in exclude
            and self._servers[server_id].limit.blocked_until <= now
        ]
        return min(
            allocations,
            key=lambda allocation: self._load_score(allocation, now),
            default=None,
        )

    def _load_score(
        self, allocation: ServerAllocation, now: float
    ) -> tuple[float, float]:
        in_flight = self._readings.blend(
            server_id=allocation.server.server_id,
            local_value=allocation.lent_units,
            now=now,
        )
        return in_flight / allocation.limit.limit, allocation.limit.latency_s

    def _add_lease(
        self,
        allocation: ServerAllocation,
        key: LeaseKey,
        start_id: str,
        expires: float,
    ) -> None:
        server_id = allocation.server.server_id
        lease = LentLease(
            key=key, server_id=server_id, start_id=start_id, expires=expires
        )
        self._leases[key] = lease
        allocation.leases[key] = lease
        self._update_availability(server_id)

    def add_reported_lease(
        self, *, key: LeaseKey, server_id: str, start_id: str, expires: float
    ) -> None:
        """Record a lease that another allocator has lent."""
        allocation = self._servers.get(server_id)
        if allocation is not None and key not in self._leases:
            self._add_lease(allocation, key, start_id, expires)

    def restore_limit(self, limit: ServerLimit) -> None:
        """Restore a server's limit from a member's answer to a query."""
        allocation = self._servers.get(limit.server_id)
        if allocation is not None:
            allocation.limit.restore(
                start_id=limit.start_id, limit=limit.limit
            )
            self._update_availability(limit.server_id)

    def renew(self, *, key: LeaseKey, expires: float) -> bool:
        """Extend a lease; False if no further request may use it.

        A revoked lease is extended too, for the request that still uses it.
        """
        lease = self._leases.get(key)
        if lease is None:
            return False
        lease.expires = max(lease.expires, expires)
        return not lease.is_revoked

    def return_lease(self, key: LeaseKey) -> None:
        """End a lease or withdraw a waiting slot request."""
        self.waiting.pop(key, None)
        lease = self._leases.pop(key, None)
        if lease is None:
            return
        allocation = self._servers.get(lease.server_id)
        if allocation is not None:
            allocation.leases.pop(key, None)
            self._update_availability(lease.server_id)

    def observe(self, *, outcomes: ServerOutcomes, now: float) -> None:
        """Update limit, load reading and outlier detection of a server."""
        server_id = outcomes.server_id
        allocation = self._servers.get(server_id)
        if allocation is None:
            return
        start_id, limit = allocation.limit.start_id, allocation.limit.limit
        allocation.limit.observe(outcomes=outcomes, now=now)
        # The limit of a new start is 1; that is not a cut.
        if (
            allocation.limit.start_id == start_id
            and allocation.limit.limit == 1 < limit
        ):
            self._events.emit(event=Event.SERVER_LIMIT_CUT, server=server_id)
        if outcomes.reported_start_id == allocation.limit.start_id:
            self._readings.observe(
                server_id=server_id, value=outcomes.in_flight, now=now
            )
        self._outlier_detector.observe(
            server_id=server_id,
            successes=outcomes.successes,
            failures=outcomes.errors + outcomes.refused,
        )
        self._update_availability(server_id)

    def record_used_start_id(
        self, *, borrower: str, outcomes: ServerOutcomes
    ) -> None:
        """Record that a borrower has used a start: it can resolve its code."""
        allocation = self._servers.get(outcomes.server_id)
        if allocation is not None and outcomes.successes and outcomes.start_id:
            allocation.used_start_ids[borrower] = outcomes.start_id

    def drop_used_start_ids(self, borrower: str) -> None:
        """Drop the start ids that a borrower has used.

        Called when it could not resolve a code, so that its next grants
        contain full start ids.
        """
        for allocation in self._servers.values():
            allocation.used_start_ids.pop(borrower, None)

    def server_code(self, server_id: str) -> NameCode:
        """The server's code, or its id if the code is not unique."""
        code = short_code(server_id)
        return code if self._code_counts[code] == 1 else server_id

    def start_code(self, borrower: str, lease: LentLease) -> NameCode:
        """Code of a lease's start, or the id if the borrower needs that."""
        allocation = self._servers.get(lease.server_id)
        if (
            allocation is not None
            and lease.start_id
            and allocation.used_start_ids.get(borrower) == lease.start_id
        ):
            return short_code(lease.start_id)
        return lease.start_id

    def server_limit(self, server_id: str) -> ServerLimit | None:
        """Start and limit of a server, None if the start is unknown."""
        allocation = self._servers.get(server_id)
        if allocation is None or allocation.limit.start_id == '':
            return None
        return ServerLimit(
            server_id, allocation.limit.start_id, allocation.limit.limit
        )

    def server_limits(self) -> tuple[ServerLimit, ...]:
        """Limits of all servers whose start is known."""
        limits = (self.server_limit(server_id) for server_id in self._servers)
        return tuple(limit for limit in limits if limit is not None)

    def expire(self, *, now: float) -> None:
        """Drop expired leases and slot requests; eject and readmit servers."""
        self._takeover.expire(now=now)
        for lease in list(self._leases.values()):
            if lease.expires <= now:
                self.return_lease(lease.key)
        for request in list(self.waiting.values()):
            if request.expires_at <= now:
                del self.waiting[request.key]
        ejected, readmitted = self._outlier_detector.review(
            latencies={
                server_id: allocation.limit.latency_s
                for server_id, allocation in self._servers.items()
            },
            now=now,
        )
        for server_id in ejected:
            self._servers[server_id].is_ejected = True
            self._events.emit(event=Event.SERVER_EJECTED, server=server_id)
        for server_id in readmitted:
            if server_id in self._servers:
                self._servers[server_id].is_ejected = False
                self._servers[server_id].limit.slow_start()
                self._events.emit(
                    event=Event.SERVER_READMITTED, server=server_id
                )
        self.refresh_availability()

    def revoke_excess(self) -> list[LentLease]:
        """Revoke leases beyond the units that may be lent; returns them."""
        revoked = [
            lease
            for lease in self._leases.values()
            if lease.server_id not in self._servers and not lease.is_revoked
        ]
        lendable_home_members = self._lendable_home_members()
        for allocation in self._servers.values():
            excess = allocation.lent_units - allocation.lendable(
                lendable_home_members=lendable_home_members
            )
            if excess > 0:
                ordered = sorted(
                    allocation.leases.values(),
                    key=lambda lease: not lease.is_revoked,
                )
                revoked += [
                    lease for lease in ordered[:excess] if not lease.is_revoked
                ]
        for lease in revoked:
            lease.is_revoked = True
        return revoked

    def _lendable_home_members(self) -> frozenset[str]:
        if not self._takeover.blocked_home_members:
            return self._live
        return self._live.difference(self._takeover.blocked_home_members)

    def _update_availability(self, server_id: str) -> None:
        allocation = self._servers[server_id]
        if allocation.lent_units < allocation.lendable(
            lendable_home_members=self._lendable_home_members()
        ):
            if server_id not in self._available_index:
                self._available_index[server_id] = len(self._available)
                self._available.append(server_id)
        else:
            self._mark_unavailable(server_id)

    def _mark_unavailable(self, server_id: str) -> None:
        index = self._available_index.pop(server_id, None)
        if index is None:
            return
        last = self._available.pop()
        if last != server_id:
            self._available[index] = last
            self._available_index[last] = index
