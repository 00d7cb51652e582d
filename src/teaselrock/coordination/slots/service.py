"""`SharedSlots`: allocator, borrower and lease manager of one instance.

`GatewayInstance` starts and stops it; the borrower is its `SlotSource`.
"""

import random
from typing import Final

from teaselrock.coordination.events import Events
from teaselrock.coordination.events import NoEvents
from teaselrock.coordination.ports import Directory
from teaselrock.coordination.ports import MemberView
from teaselrock.coordination.ports import Peers
from teaselrock.coordination.slots.allocator import SlotAllocator
from teaselrock.coordination.slots.borrower import SlotBorrower
from teaselrock.coordination.slots.lease_manager import LeaseManager
from teaselrock.coordination.slots.lease_table import LeaseTable
from teaselrock.coordination.slots.loopback import LoopbackPeers
from teaselrock.coordination.slots.messages import ServerLimit
from teaselrock.coordination.slots.name_codes import GroupCodes
from teaselrock.coordination.slots.options import ServerGroup
from teaselrock.coordination.slots.options import SlotOptions
from teaselrock.coordination.slots.outbox import Outbox
from teaselrock.coordination.slots.slot_request_table import SlotRequestTable
from teaselrock.coordination.slots.views import GroupAllocators
from teaselrock.coordination.slots.views import ServerCatalogue

# Bits of the random number of the first slot request; `REQUEST_NUMBER_COUNT`
# numbers are in use.
FIRST_NUMBER_BITS: Final = 16


class SharedSlots:
    """Allocator, borrower and lease manager of one instance."""

    def __init__(
        self,
        *,
        directory: Directory,
        members: MemberView,
        peers: Peers,
        options: SlotOptions,
        rng: random.Random,
        events: Events = NoEvents(),
    ) -> None:
        own = members.own
        loopback = LoopbackPeers(own_id=own.instance_id, peers=peers)
        allocators = GroupAllocators(members=members)
        catalogue = ServerCatalogue(
            own_zone=own.zone,
            directory=directory,
            refresh_interval_s=options.refresh_interval_s,
        )
        self._lease_table = LeaseTable()
        group_codes = GroupCodes(catalogue=catalogue)
        outbox = Outbox(
            peers=loopback, group_codes=group_codes, options=options
        )
        self._allocator = SlotAllocator(
            members=members,
            catalogue=catalogue,
            allocators=allocators,
            group_codes=group_codes,
            peers=loopback,
            options=options,
            rng=rng,
            events=events,
        )
        self._lease_manager = LeaseManager(
            catalogue=catalogue,
            allocators=allocators,
            lease_table=self._lease_table,
            group_codes=group_codes,
            outbox=outbox,
            peers=loopback,
            options=options,
            release_group=self._release_group,
        )
        slot_requests = SlotRequestTable(
            own_zone=own.zone,
            options=options,
            allocators=allocators,
            group_codes=group_codes,
            lease_table=self._lease_table,
            outbox=outbox,
            first_number=rng.getrandbits(FIRST_NUMBER_BITS),
        )
        self._borrower = SlotBorrower(
            own_zone=own.zone,
            catalogue=catalogue,
            lease_table=self._lease_table,
            lease_manager=self._lease_manager,
            outbox=outbox,
            peers=loopback,
            options=options,
            slot_requests=slot_requests,
        )
        self._lease_manager.on_takeover = slot_requests.redirect

    @property
    def source(self) -> SlotBorrower:
        """The `SlotSource` of this instance."""
        return self._borrower

    @property
    def held_count(self) -> int:
        """Number of leases that this instance holds as a borrower."""
        return self._lease_table.count

    @property
    def lent_count(self) -> int:
        """Number of leases that the allocator of this instance lends now."""
        return self._allocator.lent_count

    def start(self) -> None:
        """Start the periodic tasks; messages are handled even before."""
        self._allocator.start()
        self._lease_manager.start()

    async def stop(self) -> None:
        """Return all leases, then stop lending the units of own groups."""
        await self._lease_manager.stop()
        await self._allocator.stop()

    def _release_group(self, group: ServerGroup) -> tuple[ServerLimit, ...]:
        return self._allocator.release_group(group=group)
