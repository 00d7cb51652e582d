"""Leases and limit of one backend server, as its allocator tracks them.

`GroupAllocation` holds one for each server of its group.
"""

from collections.abc import Collection
from typing import NamedTuple

from teaselrock.coordination.slots.limit import AdaptiveLimit
from teaselrock.state import BackendServer


class LeaseKey(NamedTuple):
    """Key of a lease; `number` is that of the borrower's slot request."""

    borrower: str
    number: int


class LentLease:
    """A unit lent to a borrower; `expires` is on the loop's clock.

    `is_return_due` is set if the borrower was recalled or may use the lease
    a bounded number of times, so that it returns the lease without a further
    recall. `is_revoked` is set if no further request may use the lease.
    """

    def __init__(
        self,
        *,
        key: LeaseKey,
        server_id: str,
        start_id: str,
        expires: float,
        waited_ms: float = 0.0,
    ) -> None:
        self.key = key
        self.server_id = server_id
        self.start_id = start_id
        self.expires = expires
        self.waited_ms = waited_ms
        self.is_return_due = False
        self.is_revoked = False


class ServerAllocation:
    """Leases, limit and ejection state of one server."""

    def __init__(self, *, server: BackendServer, limit: AdaptiveLimit) -> None:
        self.server = server
        self.limit = limit
        self.leases: dict[LeaseKey, LentLease] = {}
        self.home_members: tuple[str, ...] = ()
        self.is_ejected = False
        # By borrower, the start id that it has used last.
        self.used_start_ids: dict[str, str] = {}

    @property
    def lent_units(self) -> int:
        """Units lent for the current start.

        Requests of a former start ended with its process. A lease without
        a start id may belong to the current start, so it counts.
        """
        start = self.limit.start_id
        return sum(
            1
            for lease in self.leases.values()
            if start == '' or lease.start_id in ('', start)
        )

    def lendable(self, *, lendable_home_members: Collection[str]) -> int:
        """Number of units that this allocator may lend, lent ones included.

        Only units below the limit whose home member is in
        `lendable_home_members` count, so that the two sides of a partition
        lend disjoint units.
        """
        if self.is_ejected or self.limit.is_draining:
            return 0
        return sum(
            1
            for home in self.home_members[: self.limit.limit]
            if home in lendable_home_members
        )
