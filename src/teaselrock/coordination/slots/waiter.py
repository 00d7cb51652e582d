"""A request that waits for a slot, and its pending slot requests."""

import asyncio
from typing import NamedTuple

from teaselrock.coordination.slots.lease_table import LeasedSlot
from teaselrock.coordination.slots.options import ServerGroup
from teaselrock.state import AttemptReason
from teaselrock.state import BackendServer


class PendingSlotRequest(NamedTuple):
    """A slot request without an answer.

    `sent_at` is the loop time at which it was first sent.
    """

    number: int
    allocator: str
    group: ServerGroup
    sent_at: float
    waiter: 'Waiter'


class Waiter:
    """One request that waits in a fair queue for a slot."""

    def __init__(
        self,
        *,
        deadline: float,
        regions: frozenset[str],
        exclude: frozenset[str],
        reason: AttemptReason | None,
    ) -> None:
        self._regions = regions
        self._exclude = exclude
        self.deadline = deadline
        self.reason = reason
        self.slot_requests: dict[ServerGroup, PendingSlotRequest] = {}
        # Groups from which the request may take a slot, after waiting for
        # those before them.
        self.eligible_groups: set[ServerGroup] = set()
        self.slot: LeasedSlot | None = None
        self._wake = asyncio.Event()

    @property
    def exclude(self) -> frozenset[str]:
        """Ids of servers that must not be chosen."""
        return self._exclude

    def accepts(self, server: BackendServer, now: float) -> bool:
        """Whether the request may use a lease of `server`."""
        return (
            server.zone.region in self._regions
            and server.server_id not in self._exclude
            and now < self.deadline
        )

    def accepts_slot_request(self, group: ServerGroup) -> bool:
        """Whether another waiter's slot request may be assigned to this one.

        Not with excluded servers: the allocator has the list of exclusions
        of the waiter that sent the slot request.
        """
        return (
            self.slot is None
            and not self._exclude
            and group in self.eligible_groups
            and group not in self.slot_requests
        )

    def assign(self, slot: LeasedSlot) -> None:
        """Assign a slot and wake the waiting task."""
        self.slot = slot
        self._wake.set()

    def notify_no_lease(self) -> None:
        """Wake the waiting task: a slot request ended without a lease."""
        self._wake.set()

    async def wait(self, *, until: float, stop_on_no_lease: bool) -> None:
        """Wait for a slot until a loop time or the deadline.

        If `stop_on_no_lease`, `notify_no_lease` also ends the wait.
        """
        try:
            async with asyncio.timeout_at(min(until, self.deadline)):
                while self.slot is None:
                    self._wake.clear()
                    await self._wake.wait()
                    if stop_on_no_lease:
                        return
        except TimeoutError:
            return
