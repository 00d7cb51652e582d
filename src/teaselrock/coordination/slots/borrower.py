"""Slot borrower: the `SlotSource` of one instance.

A request gets a slot of an idle lease of this instance, or waits in the
service's fair queue while slot requests go to the allocators of its zones.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from typing import Final

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination.ports import Slot
from teaselrock.coordination.routing.fair_queue import FairQueue
from teaselrock.coordination.routing.zones import attempt_reason
from teaselrock.coordination.slots.lease_manager import LeaseManager
from teaselrock.coordination.slots.lease_table import Lease
from teaselrock.coordination.slots.lease_table import LeasedSlot
from teaselrock.coordination.slots.lease_table import LeaseTable
from teaselrock.coordination.slots.loopback import LoopbackPeers
from teaselrock.coordination.slots.messages import SlotGrant
from teaselrock.coordination.slots.name_codes import find_server
from teaselrock.coordination.slots.options import ServerGroup
from teaselrock.coordination.slots.options import SlotOptions
from teaselrock.coordination.slots.outbox import Outbox
from teaselrock.coordination.slots.slot_request_table import SlotRequestTable
from teaselrock.coordination.slots.views import ServerCatalogue
from teaselrock.coordination.slots.waiter import PendingSlotRequest
from teaselrock.coordination.slots.waiter import Waiter
from teaselrock.state import AttemptOutcome
from teaselrock.state import AttemptReason
from teaselrock.state import AvailabilityZone
from teaselrock.state import FailureKind
from teaselrock.state import Refusal
from teaselrock.state import RefusalCode
from teaselrock.state import Request
from teaselrock.state import Verdict

# Gain of the moving average of a service's latency.
LATENCY_GAIN: Final = 0.1
# A timer may fire early by up to the clock's resolution. Waiting for less time
# than this could return at once and loop until the deadline.
MIN_WAIT_S: Final = 0.001
# `SlotGrant.waited_ticks` is in ticks of 0.1 ms.
TICKS_PER_S: Final = 10_000


class SlotBorrower:
    """Assigns slots of the leases that this instance holds to requests."""

    def __init__(
        self,
        *,
        own_zone: AvailabilityZone,
        catalogue: ServerCatalogue,
        lease_table: LeaseTable,
        lease_manager: LeaseManager,
        outbox: Outbox,
        peers: LoopbackPeers,
        options: SlotOptions,
        slot_requests: SlotRequestTable,
    ) -> None:
        self._own_zone = own_zone
        self._catalogue = catalogue
        self._lease_table = lease_table
        self._lease_manager = lease_manager
        self._outbox = outbox
        self._options = options
        self._queues: dict[str, FairQueue[Waiter]] = {}
        self._average_latency_s: dict[str, float] = {}
        self._slot_requests = slot_requests
        peers.register_handler(message_type=SlotGrant, handler=self._on_grant)

    @property
    def pending_slot_request_count(self) -> int:
        """Number of slot requests without an answer."""
        return len(self._slot_requests)

    async def acquire(
        self,
        *,
        request: Request,
        regions: frozenset[str],
        weight: int,
        exclude: frozenset[str],
        reason: AttemptReason | None,
    ) -> Result[Slot, Refusal]:
        """Use an idle lease, or wait in the fair queue for a slot.

        `regions` are those that may serve the request; the servers in
        `exclude` are not chosen.
        """
        groups = self._groups(request.service, regions, exclude)
        if not groups:
            return Error(
                _refusal(
                    RefusalCode.NO_BACKEND,
                    f'no backend server of service {request.service} in the'
                    ' allowed regions can be used',
                    1.0,
                )
            )
        queue = self._queue(request.service)
        waiter = Waiter(
            deadline=request.deadline,
            regions=regions,
            exclude=exclude,
            reason=reason,
        )
        if not len(queue):
            for group in groups:
                if group.zone.region == self._own_zone.region:
                    slot = self._take_idle(group, waiter)
                    if slot is not None:
                        return Ok(slot)
        refusal = self._refuse_early(request, queue)
        ticket = None
        if refusal is None:
            ticket = queue.put(
                customer=request.customer, weight=weight, item=waiter
            )
        if ticket is None:
            return Error(
                refusal
                or _refusal(
                    RefusalCode.OVERLOADED,
                    f'the queue of service {request.service} (limit'
                    f' {self._options.max_queued_per_service}) or of customer'
                    f' {request.customer} (limit'
                    f' {self._options.max_queued_per_customer}) is full',
                    0.1,
                )
            )
        return await self._wait(request, queue, ticket, waiter, groups)

    async def _wait(
        self,
        request: Request,
        queue: FairQueue[Waiter],
        ticket: int,
        waiter: Waiter,
        groups: Sequence[ServerGroup],
    ) -> Result[Slot, Refusal]:
        try:
            await self._request_slot(request, waiter, groups)
        except asyncio.CancelledError:
            if waiter.slot is not None:
                waiter.slot.release(outcome=None)
            raise
        finally:
            queue.discard(customer=request.customer, ticket=ticket)
            for pending in list(waiter.slot_requests.values()):
                self._slot_requests.reassign(pending, queue)
        if waiter.slot is not None:
            return Ok(waiter.slot)
        return Error(
            _refusal(
                RefusalCode.DEADLINE_EXCEEDED,
                f'no slot of service {request.service} was free before the'
                ' deadline',
                0.1,
            )
        )

    async def _request_slot(
        self, request: Request, waiter: Waiter, groups: Sequence[ServerGroup]
    ) -> None:
        """Request leases from group after group until a slot is assigned.

        Slot requests to earlier groups stay pending. Those without an answer
        are repeated at growing intervals until shortly before the deadline.
        """
        loop = asyncio.get_running_loop()
        retry_interval = self._options.retry_interval_s
        give_up_at = request.deadline - MIN_WAIT_S
        while waiter.slot is None and loop.time() < give_up_at:
            for index, group in enumerate(groups):
                if self._assign_idle(group, waiter):
                    return
                self._slot_requests.send(waiter, group)
                is_last = index == len(groups) - 1
                wait_s = (
                    retry_interval
                    if is_last
                    else self._spill_wait(groups[index + 1])
                )
                await waiter.wait(
                    until=loop.time() + wait_s, stop_on_no_lease=not is_last
                )
                if waiter.slot is not None:
                    return
            retry_interval = min(
                2 * retry_interval, self._options.max_retry_interval_s
            )

    def _spill_wait(self, group: ServerGroup) -> float:
        """Seconds to wait before a lease of a farther group is requested."""
        if group.zone.region == self._own_zone.region:
            return self._options.region_spill_wait_s
        return self._options.remote_spill_wait_s

    def _groups(
        self, service: str, regions: frozenset[str], exclude: frozenset[str]
    ) -> list[ServerGroup]:
        view = self._catalogue.view(service)
        return [
            ServerGroup(service, zone)
            for zone in view.zones
            if zone.region in regions
            and (
                not exclude
                or any(
                    server.server_id not in exclude
                    for server in view.by_zone[zone]
                )
            )
        ]

    def _queue(self, service: str) -> FairQueue[Waiter]:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = FairQueue(
                max_per_customer=self._options.max_queued_per_customer,
                max_total=self._options.max_queued_per_service,
            )
        return queue

    def _refuse_early(
        self, request: Request, queue: FairQueue[Waiter]
    ) -> Refusal | None:
        """Refuse if the expected queueing time exceeds the remaining time."""
        remaining = request.deadline - asyncio.get_running_loop().time()
        if remaining <= 0:
            return _refusal(
                RefusalCode.DEADLINE_EXCEEDED,
                'the deadline passed before a slot was requested',
                None,
            )
        in_use = self._lease_manager.slots_in_use(request.service)
        if not in_use:
            return None
        expected = (
            len(queue)
            * self._average_latency_s.get(request.service, 0.0)
            / in_use
        )
        if expected <= remaining:
            return None
        return _refusal(
            RefusalCode.OVERLOADED,
            f'expected queueing time {expected:.3f} s, {remaining:.3f} s to'
            ' the deadline',
            round(expected - remaining, 3),
        )

    def _take_idle(
        self, group: ServerGroup, waiter: Waiter
    ) -> LeasedSlot | None:
        lease = self._lease_table.take_idle(
            group=group,
            exclude=waiter.exclude,
            now=asyncio.get_running_loop().time(),
        )
        return self._make_slot(lease, waiter) if lease is not None else None

    def _assign_idle(self, group: ServerGroup, waiter: Waiter) -> bool:
        slot = self._take_idle(group, waiter)
        if slot is not None:
            waiter.assign(slot)
        return slot is not None

    def _make_slot(self, lease: Lease, waiter: Waiter) -> LeasedSlot:
        zones = self._catalogue.view(lease.group.service).zones
        self._lease_manager.begin_use(lease)
        return LeasedSlot(
            lease=lease,
            reason=waiter.reason
            or attempt_reason(
                own_zone=self._own_zone,
                zone=lease.server.zone,
                served_in_region=bool(zones)
                and zones[0].region == self._own_zone.region,
            ),
            on_release=self._on_release,
        )

    def _on_grant(self, *, sender: str, message: SlotGrant) -> None:
        pending = self._slot_requests.complete(sender, message)
        if pending is None:
            self._decline(sender, message)
            return
        lease = self._lease_from_grant(pending, message)
        if lease is None:
            if message.server != '':
                self._decline(sender, message)
            pending.waiter.notify_no_lease()
            return
        self._lease_table.add(lease)
        self._lease_manager.record_limit(lease, message.limit)
        self._dispatch(lease)
        self._slot_requests.send_for_next(
            pending.group, self._queue(pending.group.service)
        )

    def _lease_from_grant(
        self, pending: PendingSlotRequest, grant: SlotGrant
    ) -> Lease | None:
        """The lease of a grant, None if the grant must not be used."""
        view = self._catalogue.view(pending.group.service)
        server = find_server(
            servers=view.by_zone.get(pending.group.zone, ()),
            code=grant.server,
        )
        if server is None:
            return None
        start_id = self._lease_manager.resolve_start_code(
            server.server_id, grant.start_code
        )
        if start_id is None:
            self._slot_requests.needs_full_names.add(pending.group)
            return None
        if isinstance(grant.start_code, str):
            self._slot_requests.needs_full_names.discard(pending.group)
        if self._lease_manager.is_start_failed(server, start_id):
            return None
        # The lease begins here before it begins at the allocator, so it also
        # expires here first: the transit of the slot request is not counted.
        lease_begins_at = pending.sent_at + grant.waited_ticks / TICKS_PER_S
        return Lease(
            number=grant.number,
            group=pending.group,
            allocator=pending.allocator,
            server=server,
            start_id=start_id,
            expires=lease_begins_at + self._options.lease_s,
            uses_left=grant.max_uses or self._default_uses(pending.group),
        )

    def _default_uses(self, group: ServerGroup) -> int | None:
        """Unbounded in the own zone, where idle leases are kept."""
        if group.zone == self._own_zone:
            return None
        return self._options.preferred_uses

    def _decline(self, sender: str, message: SlotGrant) -> None:
        """Return the lease of a grant that is not used."""
        to = self._slot_requests.destination_of(message.number)
        if (
            to is not None
            and to.allocator == sender
            and self._lease_table.get(message.number) is None
        ):
            self._outbox.return_lease(to=to, number=message.number)

    def _on_release(
        self, lease: Lease, outcome: AttemptOutcome | None
    ) -> None:
        self._lease_manager.end_use(lease)
        if outcome is not None:
            if outcome.failure is None:
                service = lease.group.service
                average = self._average_latency_s.get(service, outcome.latency)
                average += LATENCY_GAIN * (outcome.latency - average)
                self._average_latency_s[service] = average
            self._lease_manager.record_outcome(lease, outcome)
            if outcome.failure in (
                FailureKind.CANCELLED,
                FailureKind.TIMEOUT,
            ):
                # The server keeps working until it detects the closed
                # connection, so the unit is not free yet.
                asyncio.get_running_loop().call_later(
                    self._options.cancel_grace_s,
                    self._lease_manager.return_lease,
                    lease,
                )
                return
        if lease.uses_left:
            lease.uses_left -= 1
        self._dispatch(lease)

    def _dispatch(self, lease: Lease) -> None:
        """Assign a lease to the next waiting request, or keep or return it."""
        now = asyncio.get_running_loop().time()
        service = lease.group.service
        if not lease.is_usable(
            now
        ) or not self._lease_manager.has_listed_server(lease):
            self._lease_manager.return_lease(lease)
            self._slot_requests.send_for_next(
                lease.group, self._queue(service)
            )
            return
        waiter = self._queue(service).take(
            accepts=_can_use_lease(lease, now),
        )
        if waiter is not None:
            waiter.assign(self._make_slot(lease, waiter))
        elif lease.uses_left is not None:
            self._lease_manager.return_lease(lease)
        else:
            self._lease_table.put_idle(lease, now)


def _can_use_lease(lease: Lease, now: float) -> Callable[[Waiter], bool]:
    def accepts(waiter: Waiter) -> bool:
        return waiter.slot is None and waiter.accepts(lease.server, now)

    return accepts


def _refusal(
    code: RefusalCode, detail: str, retry_after: float | None
) -> Refusal:
    return Refusal(code, Verdict.DID_NOT_RUN, detail, retry_after)
