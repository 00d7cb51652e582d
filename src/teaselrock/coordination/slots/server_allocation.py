"""Leases and limit of one backend server in an allocator's books.

`GroupBook` holds one for each server of its group.
"""

from collections.abc import Collection
from typing import NamedTuple

from teaselrock.coordination.slots.limit import AdaptiveLimit
from teaselrock.state import BackendServer


class LeaseKey(NamedTuple):
    """Name of a lease."""

    borrower: str
    number: int


class LentLease:
    """A unit that is lent."""

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
        self.recalled = False
        self.revoked = False


class ServerAllocation:
    """One server."""

    def __init__(self, *, server: BackendServer, limit: AdaptiveLimit) -> None:
        self.server = server
        self.limit = limit
        self.leases: dict[LeaseKey, LentLease] = {}
        self.home_members: tuple[str, ...] = ()
        self.is_ejected = False
        # The start that each borrower is known to have used.
        self.known_start_ids: dict[str, str] = {}

    @property
    def lent_units(self) -> int:
        """Units lent for the present start.

        Requests of a former start ended with its process. A lease without
        a start id may belong to the present one.
        """
        start = self.limit.start_id
        return sum(
            1
            for lease in self.leases.values()
            if start == '' or lease.start_id in ('', start)
        )

    def lendable(self, *, lendable_homes: Collection[str]) -> int:
        """Units that this allocator may lend in all.

        Only units below the limit whose home member is in `lent_homes`
        count, so that two sides of a partition lend disjoint units.
        """
        if self.is_ejected or self.limit.is_draining:
            return 0
        return sum(
            1
            for home in self.home_members[: self.limit.limit]
            if home in lendable_homes
        )
