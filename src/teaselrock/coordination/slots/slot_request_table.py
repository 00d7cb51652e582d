"""Slot requests of a borrower that allocators have not answered yet.

`SlotBorrower` sends them for its waiting requests and assigns granted leases
to requests in its fair queue.
"""

import asyncio
from collections import Counter
from collections import OrderedDict
from typing import Final

from teaselrock.coordination.routing.fair_queue import FairQueue
from teaselrock.coordination.slots.lease_table import LeaseTable
from teaselrock.coordination.slots.messages import SlotGrant
from teaselrock.coordination.slots.messages import SlotRequest
from teaselrock.coordination.slots.name_codes import GroupCodes
from teaselrock.coordination.slots.options import ServerGroup
from teaselrock.coordination.slots.options import SlotOptions
from teaselrock.coordination.slots.outbox import Destination
from teaselrock.coordination.slots.outbox import Outbox
from teaselrock.coordination.slots.views import GroupAllocators
from teaselrock.coordination.slots.waiter import PendingSlotRequest
from teaselrock.coordination.slots.waiter import Waiter
from teaselrock.state import AvailabilityZone

# Ended slot requests that are kept, so that late grants can be returned.
MAX_ENDED_REQUESTS: Final = 2000
# Request numbers below 2**16 take 3 bytes in a message, larger ones 5, and
# they make up most bytes of the slot messages.
REQUEST_NUMBER_COUNT: Final = 2**16


class SlotRequestTable:
    """Pending slot requests, and the destinations of ended ones."""

    def __init__(
        self,
        *,
        own_zone: AvailabilityZone,
        options: SlotOptions,
        allocators: GroupAllocators,
        group_codes: GroupCodes,
        lease_table: LeaseTable,
        outbox: Outbox,
        first_number: int,
    ) -> None:
        self._own_zone = own_zone
        self._options = options
        self._allocators = allocators
        self._group_codes = group_codes
        self._lease_table = lease_table
        self._outbox = outbox
        self._pending: dict[int, PendingSlotRequest] = {}
        self._pending_counts: Counter[ServerGroup] = Counter()
        self._ended_destinations: OrderedDict[int, Destination] = OrderedDict()
        # Starts at random, so that a restarted instance is unlikely to reuse
        # the numbers of its former leases.
        self._number = first_number % REQUEST_NUMBER_COUNT
        # Groups whose last grant had a start code that was not resolved.
        self.needs_full_names: set[ServerGroup] = set()

    def __len__(self) -> int:
        return len(self._pending)

    def send(self, waiter: Waiter, group: ServerGroup) -> None:
        """Send or repeat a waiter's slot request to a group's allocator."""
        loop = asyncio.get_running_loop()
        allocator = self._allocators.allocator_of(group)
        pending = waiter.slot_requests.get(group)
        if pending is not None and pending.allocator != allocator:
            self.withdraw(pending)
            pending = None
        waiter.eligible_groups.add(group)
        if allocator is None or (pending is None and self._is_at_bound(group)):
            return
        if pending is None:
            self._pending_counts[group] += 1
            self._number = self._next_number()
            pending = PendingSlotRequest(
                self._number, allocator, group, loop.time(), waiter
            )
            waiter.slot_requests[group] = self._pending[pending.number] = (
                pending
            )
        number = pending.number
        wait = max(0.0, waiter.deadline - loop.time())
        self._outbox.send_request(
            to=Destination(allocator, group),
            build=lambda returned: SlotRequest(
                number,
                self._group_codes.code_of(group),
                int(wait * 1000),
                returned,
                tuple(sorted(waiter.exclude)),
                group in self.needs_full_names,
            ),
        )

    def complete(
        self, sender: str, grant: SlotGrant
    ) -> PendingSlotRequest | None:
        """End the slot request that a grant answers, None if there is none."""
        pending = self._pending.get(grant.number)
        if pending is None or pending.allocator != sender:
            return None
        del self._pending[grant.number]
        self._pending_counts[pending.group] -= 1
        del pending.waiter.slot_requests[pending.group]
        self._record_ended(pending)
        return pending

    def destination_of(self, number: int) -> Destination | None:
        """Destination of an ended slot request, None if no longer kept."""
        return self._ended_destinations.get(number)

    def withdraw(self, pending: PendingSlotRequest) -> None:
        """End a slot request without an answer."""
        if self._pending.pop(pending.number, None) is not None:
            self._pending_counts[pending.group] -= 1
            pending.waiter.slot_requests.pop(pending.group, None)
            to = self._record_ended(pending)
            self._outbox.return_lease(to=to, number=pending.number)

    def reassign(
        self, pending: PendingSlotRequest, queue: FairQueue[Waiter]
    ) -> None:
        """Reassign a slot request to another waiter, or withdraw it.

        A granted lease is assigned to the next waiter in the queue, not to
        the one whose slot request was answered. So the waiter whose slot
        request was answered may be left without one, and can take over that
        of a waiter that has left the queue. A withdrawal would waste a grant
        in transit.
        """
        successor = None
        if not pending.waiter.exclude and pending.number in self._pending:
            successor = queue.find(
                accepts=lambda waiter: waiter.accepts_slot_request(
                    pending.group
                )
            )
        if successor is None:
            self.withdraw(pending)
            return
        reassigned = pending._replace(waiter=successor)
        successor.slot_requests[pending.group] = self._pending[
            pending.number
        ] = reassigned

    def send_for_next(
        self, group: ServerGroup, queue: FairQueue[Waiter]
    ) -> None:
        """Send a slot request for a waiter without one, if below the bound."""
        if len(queue) and not self._is_at_bound(group):
            waiter = queue.find(
                accepts=lambda waiter: waiter.accepts_slot_request(group)
            )
            if waiter is not None:
                self.send(waiter, group)

    def _next_number(self) -> int:
        """The next number without a pending slot request or a held lease."""
        number = (self._number + 1) % REQUEST_NUMBER_COUNT
        while (
            number in self._pending
            or self._lease_table.get(number) is not None
        ):
            number = (number + 1) % REQUEST_NUMBER_COUNT
        return number

    def _is_at_bound(self, group: ServerGroup) -> bool:
        is_own_region = group.zone.region == self._own_zone.region
        options = self._options
        bound = (
            options.max_region_requests
            if is_own_region
            else options.max_remote_requests
        )
        return self._pending_counts[group] >= bound

    def redirect(self, group: ServerGroup, allocator: str) -> None:
        """Move the slot requests of a group to its new allocator."""
        for pending in list(self._pending.values()):
            if pending.group == group and pending.allocator != allocator:
                self.withdraw(pending)
                self.send(pending.waiter, group)

    def _record_ended(self, pending: PendingSlotRequest) -> Destination:
        # A number that is reused after a wrap counts as the newest.
        self._ended_destinations.pop(pending.number, None)
        to = self._ended_destinations[pending.number] = Destination(
            pending.allocator, pending.group
        )
        if len(self._ended_destinations) > MAX_ENDED_REQUESTS:
            self._ended_destinations.popitem(last=False)
        return to
