"""Slots: a concurrency limit for each server, shared by all instances.

Terms of this package:

- A unit is capacity for one concurrent request at a server. The limit of a
  server is the number of its units that may be lent.
- A lease is a unit lent to a borrower for a time. Each instance is a borrower.
- A slot is the right of one request to use a lease. A lease can be used by
  several requests, one after the other.
- A group is the servers of a service in one availability zone. Its allocator
  is the instance that lends their units.
- A slot request is a borrower's message that requests a lease of a group.
- A start is one run of a server process; its start id changes with each run.
- The home member of a unit is an instance. The unit may be lent only by an
  allocator in whose member view the home member is live.

The package holds both sides, allocator and borrower, and their messages. The
fair queue and the outlier detection are in `routing`; load checks, which need
no leases, are in `choice`.
"""

from teaselrock.coordination.slots.allocator import SlotAllocator
from teaselrock.coordination.slots.borrower import SlotBorrower
from teaselrock.coordination.slots.limit import AdaptiveLimit
from teaselrock.coordination.slots.options import ServerGroup
from teaselrock.coordination.slots.options import SlotOptions
from teaselrock.coordination.slots.service import SharedSlots

__all__ = (
    'AdaptiveLimit',
    'ServerGroup',
    'SharedSlots',
    'SlotAllocator',
    'SlotBorrower',
    'SlotOptions',
)
