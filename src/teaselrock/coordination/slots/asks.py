"""Open requests of a borrower to the allocators.

`SlotBorrower` opens them for its waiting requests and passes grants on to
its fair queue.
"""

import asyncio
from collections import Counter
from collections import OrderedDict
from typing import Final

from teaselrock.coordination.routing.fair_queue import FairQueue
from teaselrock.coordination.slots.codes import GroupCodes
from teaselrock.coordination.slots.lease_table import LeaseTable
from teaselrock.coordination.slots.messages import SlotGrant
from teaselrock.coordination.slots.messages import SlotRequest
from teaselrock.coordination.slots.options import ServerGroup
from teaselrock.coordination.slots.options import SlotOptions
from teaselrock.coordination.slots.outbox import Destination
from teaselrock.coordination.slots.outbox import Outbox
from teaselrock.coordination.slots.views import GroupOwners
from teaselrock.coordination.slots.waiter import PendingSlotRequest
from teaselrock.coordination.slots.waiter import Waiter
from teaselrock.state import AvailabilityZone

# Ended requests that are remembered, for grants that come late.
MAX_ENDED_REQUESTS: Final = 2000
# Numbers below 2**16 take 3 bytes in a message, larger ones 5, and most of
# the bytes of the slots are numbers.
REQUEST_NUMBER_COUNT: Final = 2**16


class SlotRequestTable:
    """Requests without an answer, and where late grants go back to."""

    def __init__(
        self,
        *,
        own: AvailabilityZone,
        options: SlotOptions,
        owners: GroupOwners,
        group_codes: GroupCodes,
        holdings: LeaseTable,
        outbox: Outbox,
        first_number: int,
    ) -> None:
        self._own = own
        self._options = options
        self._owners = owners
        self._group_codes = group_codes
        self._lease_table = holdings
        self._outbox = outbox
        self._pending: dict[int, PendingSlotRequest] = {}
        self._pending_counts: Counter[ServerGroup] = Counter()
        self._ended_destinations: OrderedDict[int, Destination] = OrderedDict()
        # A restarted instance should not repeat the numbers of its leases.
        self._number = first_number % REQUEST_NUMBER_COUNT
        # Groups whose grants came with a code that is not known here.
        self.needs_full_names: set[ServerGroup] = set()

    def __len__(self) -> int:
        return len(self._pending)

    def send(self, waiter: Waiter, group: ServerGroup) -> None:
        """Ask a group's allocator for a slot, or ask again."""
        loop = asyncio.get_running_loop()
        allocator = self._owners.owner_of(group)
        slot_request = waiter.slot_requests.get(group)
        if slot_request is not None and slot_request.allocator != allocator:
            self.withdraw(slot_request)
            slot_request = None
        waiter.eligible_groups.add(group)
        if allocator is None or (
            slot_request is None and self._is_at_bound(group)
        ):
            return
        if slot_request is None:
            self._pending_counts[group] += 1
            self._number = self._next_number()
            slot_request = PendingSlotRequest(
                self._number, allocator, group, loop.time(), waiter
            )
            waiter.slot_requests[group] = self._pending[
                slot_request.number
            ] = slot_request
        number = slot_request.number
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
        """End the ask that a grant answers, None if there is none."""
        slot_request = self._pending.get(grant.number)
        if slot_request is None or slot_request.allocator != sender:
            return None
        del self._pending[grant.number]
        self._pending_counts[slot_request.group] -= 1
        del slot_request.waiter.slot_requests[slot_request.group]
        self._remember_ended(slot_request)
        return slot_request

    def destination_of(self, number: int) -> Destination | None:
        """Where an ended ask was sent, None if that is forgotten."""
        return self._ended_destinations.get(number)

    def withdraw(self, slot_request: PendingSlotRequest) -> None:
        """End an ask without an answer."""
        if self._pending.pop(slot_request.number, None) is not None:
            self._pending_counts[slot_request.group] -= 1
            slot_request.waiter.slot_requests.pop(slot_request.group, None)
            to = self._remember_ended(slot_request)
            self._outbox.return_lease(to=to, number=slot_request.number)

    def reassign(
        self, slot_request: PendingSlotRequest, queue: FairQueue[Waiter]
    ) -> None:
        """Leave an ask to another waiting request, or withdraw it.

        Slots go to the queue's next request, not to the one that asked, so
        the latter often has no ask any more. A withdrawal would waste a
        grant that is on its way.
        """
        successor = None
        if (
            not slot_request.waiter.exclude
            and slot_request.number in self._pending
        ):
            successor = queue.find(
                accepts=lambda one: one.can_adopt_request(slot_request.group)
            )
        if successor is None:
            self.withdraw(slot_request)
            return
        reassigned = slot_request._replace(waiter=successor)
        successor.slot_requests[slot_request.group] = self._pending[
            slot_request.number
        ] = reassigned

    def send_for_next(
        self, group: ServerGroup, queue: FairQueue[Waiter]
    ) -> None:
        """Ask for a request that waits without an ask, after one has ended."""
        if len(queue) and not self._is_at_bound(group):
            waiter = queue.find(
                accepts=lambda one: one.can_adopt_request(group)
            )
            if waiter is not None:
                self.send(waiter, group)

    def _next_number(self) -> int:
        """The next number that names no open ask and no held lease."""
        number = (self._number + 1) % REQUEST_NUMBER_COUNT
        while (
            number in self._pending
            or self._lease_table.get(number) is not None
        ):
            number = (number + 1) % REQUEST_NUMBER_COUNT
        return number

    def _is_at_bound(self, group: ServerGroup) -> bool:
        is_near = group.zone.region == self._own.region
        options = self._options
        bound = (
            options.max_region_requests
            if is_near
            else options.max_remote_requests
        )
        return self._pending_counts[group] >= bound

    def redirect(self, group: ServerGroup, allocator: str) -> None:
        """Ask a group's new allocator instead of former ones."""
        for slot_request in list(self._pending.values()):
            if (
                slot_request.group == group
                and slot_request.allocator != allocator
            ):
                self.withdraw(slot_request)
                self.send(slot_request.waiter, group)

    def _remember_ended(self, slot_request: PendingSlotRequest) -> Destination:
        # A number that comes round again counts as the newest.
        self._ended_destinations.pop(slot_request.number, None)
        to = self._ended_destinations[slot_request.number] = Destination(
            slot_request.allocator, slot_request.group
        )
        if len(self._ended_destinations) > MAX_ENDED_REQUESTS:
            self._ended_destinations.popitem(last=False)
        return to
