"""Slot allocator: lends the units of the groups assigned to this instance.

The member view determines the allocator of each group; `GroupAllocation`
holds the state of a group. Borrowers, including this instance, communicate
with the allocator by messages only.
"""

import asyncio
from collections import Counter
import random

from teaselrock.coordination.events import Event
from teaselrock.coordination.events import Events
from teaselrock.coordination.events import NoEvents
from teaselrock.coordination.ports import MemberView
from teaselrock.coordination.slots.group_allocation import GroupAllocation
from teaselrock.coordination.slots.group_allocation import WaitingSlotRequest
from teaselrock.coordination.slots.loopback import LoopbackPeers
from teaselrock.coordination.slots.messages import HeldLeases
from teaselrock.coordination.slots.messages import LeaseQuery
from teaselrock.coordination.slots.messages import ServerLimit
from teaselrock.coordination.slots.messages import SlotConfirm
from teaselrock.coordination.slots.messages import SlotGrant
from teaselrock.coordination.slots.messages import SlotRecall
from teaselrock.coordination.slots.messages import SlotRequest
from teaselrock.coordination.slots.messages import SlotReturn
from teaselrock.coordination.slots.messages import SlotUpdate
from teaselrock.coordination.slots.name_codes import GroupCodes
from teaselrock.coordination.slots.name_codes import NameCode
from teaselrock.coordination.slots.options import ServerGroup
from teaselrock.coordination.slots.options import SlotOptions
from teaselrock.coordination.slots.server_allocation import LeaseKey
from teaselrock.coordination.slots.takeover import Takeover
from teaselrock.coordination.slots.views import distance
from teaselrock.coordination.slots.views import GroupAllocators
from teaselrock.coordination.slots.views import ServerCatalogue
from teaselrock.state import AvailabilityZone


class SlotAllocator:
    """Lends units of the groups whose allocator is this instance."""

    def __init__(
        self,
        *,
        members: MemberView,
        catalogue: ServerCatalogue,
        allocators: GroupAllocators,
        group_codes: GroupCodes,
        peers: LoopbackPeers,
        options: SlotOptions,
        rng: random.Random,
        events: Events = NoEvents(),
    ) -> None:
        self._events = events
        self._taking_over: set[ServerGroup] = set()
        self._members = members
        self._catalogue = catalogue
        self._allocators = allocators
        self._group_codes = group_codes
        self._peers = peers
        self._options = options
        self._rng = rng
        self._allocations: dict[ServerGroup, GroupAllocation] = {}
        self._epoch = -1
        self._live: frozenset[str] = frozenset()
        self._zones: dict[str, AvailabilityZone] = {}
        self._lost_at: dict[str, float] = {}
        self._last_tick = 0.0
        self._next_recall_search: dict[ServerGroup, float] = {}
        self._task: asyncio.Task[None] | None = None
        peers.register_handler(
            message_type=SlotRequest, handler=self._on_slot_request
        )
        peers.register_handler(
            message_type=SlotReturn, handler=self._on_return
        )
        peers.register_handler(
            message_type=SlotUpdate, handler=self._on_update
        )
        peers.register_handler(
            message_type=HeldLeases, handler=self._on_held_leases
        )

    @property
    def lent_count(self) -> int:
        """Number of leases in all groups of this allocator."""
        return sum(
            len(allocation.leases)
            for allocation in list(self._allocations.values())
        )

    def start(self) -> None:
        """Start the task that expires leases and repeats lease queries."""
        self._last_tick = asyncio.get_running_loop().time()
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop lending; the next allocator takes over the leases."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._allocations.clear()

    def release_group(self, *, group: ServerGroup) -> tuple[ServerLimit, ...]:
        """Drop a group that has another allocator now; returns its limits."""
        allocation = self._allocations.pop(group, None)
        return allocation.server_limits() if allocation is not None else ()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._options.query_interval_s)
            now = self._check_pause_and_members()
            for allocation in list(self._allocations.values()):
                if self._allocation_for(allocation.group) is not allocation:
                    continue
                self._query_borrowers(allocation)
                self._refresh(allocation)
                allocation.expire(now=now)
                self._report_takeover_end(allocation)
                self._grant_waiting(allocation, now)

    def _check_pause_and_members(self) -> float:
        """Drop all state after a pause of the process; apply member changes.

        During a pause leases expire unnoticed, and another allocator may
        have lent the same units. Returns the current loop time.
        """
        now = asyncio.get_running_loop().time()
        if now - self._last_tick > self._options.pause_threshold_s:
            self._allocations.clear()
        self._last_tick = now
        self._apply_member_changes(now)
        return now

    def _apply_member_changes(self, now: float) -> None:
        if self._epoch == self._members.epoch:
            return
        self._epoch = self._members.epoch
        live = frozenset(member.instance_id for member in self._members.live)
        self._zones = {
            member.instance_id: member.zone for member in self._members.live
        }
        joined_members = live - self._live
        for member in self._live - live:
            self._lost_at[member] = now
        self._live = live
        for allocation in list(self._allocations.values()):
            if (
                self._allocators.allocator_of(allocation.group)
                != self._members.own.instance_id
            ):
                del self._allocations[allocation.group]
                continue
            if joined_members:
                allocation.takeover.add_members(
                    members=joined_members, now=now
                )
                self._query_borrowers(allocation)
            self._refresh(allocation)

    def _allocation_by_code(self, code: NameCode) -> GroupAllocation | None:
        group = self._group_codes.group_of(code)
        return self._allocation_for(group) if group is not None else None

    def _allocation_for(self, group: ServerGroup) -> GroupAllocation | None:
        """State of a group, None if another instance is its allocator."""
        if (
            self._allocators.allocator_of(group)
            != self._members.own.instance_id
        ):
            return None
        allocation = self._allocations.get(group)
        if allocation is None:
            now = asyncio.get_running_loop().time()
            allocation = self._allocations[group] = GroupAllocation(
                group=group,
                takeover=Takeover(
                    members=self._possible_borrowers(now),
                    now=now,
                    timeout=self._options.takeover_timeout_s,
                ),
                rng=self._rng,
                lease_s=self._options.lease_s,
                events=self._events,
            )
            self._taking_over.add(group)
            self._emit(Event.TAKEOVER_STARTED, group)
            self._refresh(allocation)
            self._query_borrowers(allocation)
        return allocation

    def _report_takeover_end(self, allocation: GroupAllocation) -> None:
        if (
            allocation.takeover.may_lend
            and allocation.group in self._taking_over
        ):
            self._taking_over.discard(allocation.group)
            self._emit(Event.TAKEOVER_ENDED, allocation.group)

    def _emit(self, event: Event, group: ServerGroup) -> None:
        self._events.emit(
            event=event, service=group.service, zone=str(group.zone)
        )

    def _possible_borrowers(self, now: float) -> frozenset[str]:
        """Members that may hold leases: live ones and recently failed ones.

        Members that are no longer in the roster have left or been removed
        and hold no leases.
        """
        lost_after = now - self._options.takeover_timeout_s
        self._lost_at = {
            member: lost_at
            for member, lost_at in self._lost_at.items()
            if lost_at > lost_after
        }
        roster = {member.instance_id for member in self._members.roster}
        return self._live.union(roster.intersection(self._lost_at))

    def _query_borrowers(self, allocation: GroupAllocation) -> None:
        group = allocation.group
        for borrower in sorted(allocation.takeover.unanswered & self._live):
            self._peers.send(
                to=borrower,
                message=LeaseQuery(self._group_codes.code_of(group)),
            )

    def _refresh(self, allocation: GroupAllocation) -> None:
        view = self._catalogue.view(allocation.group.service)
        allocation.refresh(
            servers=view.by_zone.get(allocation.group.zone, ()),
            members=self._members,
            now=asyncio.get_running_loop().time(),
        )
        self._recall_excess(allocation)

    def _on_held_leases(self, *, sender: str, message: HeldLeases) -> None:
        now = self._check_pause_and_members()
        group = self._group_codes.group_of(message.group)
        allocation = (
            self._allocations.get(group) if group is not None else None
        )
        if allocation is None:
            return
        for lease in message.leases:
            allocation.add_reported_lease(
                key=LeaseKey(sender, lease.number),
                server_id=lease.server_id,
                start_id=lease.start_id,
                expires=now + self._options.lease_s,
            )
        for limit in message.limits:
            allocation.restore_limit(limit)
        allocation.takeover.record_answer(sender)
        self._report_takeover_end(allocation)
        allocation.refresh_availability()
        self._recall_excess(allocation)
        self._grant_waiting(allocation, now)

    def _on_slot_request(self, *, sender: str, message: SlotRequest) -> None:
        now = self._check_pause_and_members()
        allocation = self._allocation_by_code(message.group)
        key = LeaseKey(sender, message.number)
        if allocation is not None:
            for number in message.returned:
                allocation.return_lease(LeaseKey(sender, number))
            if message.full_names:
                allocation.drop_used_start_ids(sender)
        if allocation is None or not allocation.has_servers:
            self._peers.send(to=sender, message=SlotGrant(message.number, ''))
        elif key in allocation.leases:
            self._grant(allocation, key)
        else:
            # A repeated slot request keeps its place in the queue. Units of
            # leases that it returns go to slot requests queued before it.
            allocation.waiting.setdefault(
                key,
                WaitingSlotRequest(
                    key,
                    now,
                    now + message.wait_ms / 1000,
                    message.exclude,
                    self._distance(sender, allocation),
                ),
            )
            self._grant_waiting(allocation, now)
            if key in allocation.waiting:
                self._recall_for_waiting(allocation, sender, now)

    def _on_return(self, *, sender: str, message: SlotReturn) -> None:
        now = self._check_pause_and_members()
        allocation = self._allocation_by_code(message.group)
        if allocation is None:
            return
        for number in message.returned:
            allocation.return_lease(LeaseKey(sender, number))
        self._grant_waiting(allocation, now)

    def _on_update(self, *, sender: str, message: SlotUpdate) -> None:
        now = self._check_pause_and_members()
        allocation = self._allocation_by_code(message.group)
        if allocation is None:
            return
        for number in message.returned:
            allocation.return_lease(LeaseKey(sender, number))
        for outcomes in message.outcomes:
            allocation.observe(outcomes=outcomes, now=now)
            allocation.record_used_start_id(borrower=sender, outcomes=outcomes)
        self._recall_excess(allocation)
        if message.number and sender not in allocation.takeover.unanswered:
            self._send_confirm(allocation, sender, message, now)
        self._grant_waiting(allocation, now)

    def _send_confirm(
        self,
        allocation: GroupAllocation,
        sender: str,
        message: SlotUpdate,
        now: float,
    ) -> None:
        not_reusable = []
        for number in message.renewed:
            key = LeaseKey(sender, number)
            expires = now + self._options.lease_s
            is_reusable = allocation.renew(key=key, expires=expires)
            # If the recall message was lost, a busy borrower would otherwise
            # keep the lease.
            if not is_reusable or (
                allocation.waiting and allocation.leases[key].is_return_due
            ):
                not_reusable.append(number)
        limits = (
            allocation.server_limit(outcomes.server_id)
            for outcomes in message.outcomes
        )
        self._peers.send(
            to=sender,
            message=SlotConfirm(
                message.number,
                tuple(not_reusable),
                tuple(limit for limit in limits if limit is not None),
            ),
        )

    def _grant_waiting(self, allocation: GroupAllocation, now: float) -> None:
        """Lend free units, nearest borrowers first, then in order of arrival.

        A unit lent to another region is idle while the messages and the
        request are in transit, so lending to distant borrowers reduces the
        capacity of a saturated service.
        """
        if not allocation.has_free_units:
            return
        ordered = sorted(
            allocation.waiting.values(), key=lambda request: request.distance
        )
        for request in ordered:
            if not allocation.has_free_units:
                return
            if request.expires_at <= now:
                del allocation.waiting[request.key]
                continue
            lent = allocation.lend(
                key=request.key,
                exclude=request.exclude,
                queued_at=request.queued_at,
                now=now,
            )
            if lent is not None:
                del allocation.waiting[request.key]
                self._grant(allocation, request.key)

    def _grant(self, allocation: GroupAllocation, key: LeaseKey) -> None:
        lease = allocation.leases[key]
        limit = allocation.server_limit(lease.server_id)
        max_uses = self._max_uses(allocation, key.borrower)
        lease.is_return_due = lease.is_return_due or max_uses > 0
        self._peers.send(
            to=key.borrower,
            message=SlotGrant(
                key.number,
                allocation.server_code(lease.server_id),
                allocation.start_code(key.borrower, lease),
                limit.limit if limit is not None else 1,
                max_uses,
                # In ticks of 0.1 ms.
                int(lease.waited_ms * 10),
            ),
        )

    def _max_uses(self, allocation: GroupAllocation, borrower: str) -> int:
        """Requests that may use a lease before its return, 0 if unbounded."""
        if not allocation.waiting:
            return self._options.preferred_uses if allocation.is_scarce else 0
        nearest = min(
            request.distance for request in allocation.waiting.values()
        )
        if nearest <= self._distance(borrower, allocation):
            return self._options.contended_uses
        return self._options.preferred_uses

    def _distance(self, borrower: str, allocation: GroupAllocation) -> int:
        zone = self._zones.get(borrower)
        return distance(zone, allocation.group.zone) if zone is not None else 2

    def _recall_excess(self, allocation: GroupAllocation) -> None:
        counts = Counter(
            (lease.key.borrower, lease.server_id)
            for lease in allocation.revoke_excess()
        )
        for (borrower, server_id), count in counts.items():
            self._recall(allocation, borrower, count, server_id)

    def _recall_for_waiting(
        self, allocation: GroupAllocation, waiting_borrower: str, now: float
    ) -> None:
        """Recall a lease, since a slot request of `waiting_borrower` waits.

        The borrower with the most leases is chosen. Leases with a bound on
        their uses are not counted, since they are returned without a recall.
        """
        if now < self._next_recall_search.get(allocation.group, 0.0):
            return
        lease_counts = Counter(
            lease.key.borrower
            for lease in allocation.leases.values()
            if not lease.is_return_due
            and lease.key.borrower != waiting_borrower
        )
        if not lease_counts:
            # All leases are returned after a bounded number of uses, so
            # another search can wait.
            self._next_recall_search[allocation.group] = (
                now + self._options.recall_interval_s
            )
            return
        borrower = max(
            sorted(lease_counts), key=lambda member: lease_counts[member]
        )
        lease = next(
            lease
            for lease in allocation.leases.values()
            if lease.key.borrower == borrower and not lease.is_return_due
        )
        lease.is_return_due = True
        is_far = self._distance(waiting_borrower, allocation) > self._distance(
            borrower, allocation
        )
        self._recall(allocation, borrower, 1, '', idle_only=is_far)

    def _recall(
        self,
        allocation: GroupAllocation,
        borrower: str,
        count: int,
        server_id: str,
        *,
        idle_only: bool = False,
    ) -> None:
        self._peers.send(
            to=borrower,
            message=SlotRecall(
                self._group_codes.code_of(allocation.group),
                count,
                server_id,
                idle_only,
            ),
        )
