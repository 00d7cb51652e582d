"""Leases that a borrower holds, and the slots that use them.

A slot is the right of one request to use a lease; the borrower decides whether
another request may use the lease after it.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Container

from teaselrock.coordination.ports import BackendConnection
from teaselrock.coordination.slots.options import ServerGroup
from teaselrock.state import AttemptOutcome
from teaselrock.state import AttemptReason
from teaselrock.state import BackendServer


class Lease:
    """A unit lent to this instance; `expires` is on the borrower's clock.

    `uses_left` is None if the number of uses is not bounded.
    `is_start_failed` is set if the server's start has failed.
    """

    def __init__(
        self,
        *,
        number: int,
        group: ServerGroup,
        allocator: str,
        server: BackendServer,
        start_id: str,
        expires: float,
        uses_left: int | None,
    ) -> None:
        self.number = number
        self.group = group
        self.allocator = allocator
        self.server = server
        self.start_id = start_id
        self.expires = expires
        self.uses_left = uses_left
        self.is_start_failed = False
        self.in_use = False
        self.idle_since = 0.0

    def is_usable(self, now: float) -> bool:
        """Whether another request may use the lease."""
        return self.may_send(now) and self.uses_left != 0

    def may_send(self, now: float) -> bool:
        """Whether the request that has the slot may still be sent."""
        return not self.is_start_failed and now < self.expires


class LeasedSlot:
    """Implements `Slot`: the right of one request to use a lease."""

    def __init__(
        self,
        *,
        lease: Lease,
        reason: AttemptReason,
        on_release: Callable[[Lease, AttemptOutcome | None], None],
    ) -> None:
        self._lease = lease
        self._reason = reason
        self._on_release = on_release
        self._is_released = False

    @property
    def server(self) -> BackendServer:
        """The server that the slot is for."""
        return self._lease.server

    @property
    def start_id(self) -> str:
        """Id of the server's start that the lease is for, '' if unknown."""
        return self._lease.start_id

    @property
    def reason(self) -> AttemptReason:
        """Why this server was chosen."""
        return self._reason

    @property
    def evidence(self) -> str:
        """Empty: a lease is granted by count, not by a load measurement."""
        return ''

    @property
    def is_valid(self) -> bool:
        """Whether the request may still be sent."""
        now = asyncio.get_running_loop().time()
        return not self._is_released and self._lease.may_send(now)

    @property
    def connection(self) -> BackendConnection | None:
        """None: the connection pool chooses a connection."""
        return None

    def release(self, *, outcome: AttemptOutcome | None) -> None:
        """Release the slot; further calls do nothing."""
        if not self._is_released:
            self._is_released = True
            self._on_release(self._lease, outcome)


class LeaseTable:
    """Held leases by number, and idle ones by group."""

    def __init__(self) -> None:
        self._leases: dict[int, Lease] = {}
        self._idle: dict[ServerGroup, list[Lease]] = {}

    @property
    def count(self) -> int:
        """Number of leases."""
        return len(self._leases)

    def all(self) -> list[Lease]:
        """All leases."""
        return list(self._leases.values())

    def in_group(self, group: ServerGroup) -> list[Lease]:
        """Leases of a group, idle ones first."""
        leases = [
            lease for lease in self._leases.values() if lease.group == group
        ]
        return sorted(leases, key=lambda lease: lease.in_use)

    def get(self, number: int) -> Lease | None:
        """The lease with a number, None if it is not held."""
        return self._leases.get(number)

    def add(self, lease: Lease) -> None:
        """Add a lease that is in use."""
        lease.in_use = True
        self._leases[lease.number] = lease

    def put_idle(self, lease: Lease, now: float) -> None:
        """Mark a lease as idle, for the next request."""
        lease.in_use = False
        lease.idle_since = now
        self._idle.setdefault(lease.group, []).append(lease)

    def take_idle(
        self, *, group: ServerGroup, exclude: Container[str], now: float
    ) -> Lease | None:
        """Take the idle lease used last, since its server is the warmest."""
        idle = self._idle.get(group, [])
        for index in range(len(idle) - 1, -1, -1):
            lease = idle[index]
            if lease.is_usable(now) and lease.server.server_id not in exclude:
                del idle[index]
                lease.in_use = True
                return lease
        return None

    def drop(self, lease: Lease) -> None:
        """Remove a lease."""
        self._leases.pop(lease.number, None)
        idle = self._idle.get(lease.group)
        if not lease.in_use and idle is not None and lease in idle:
            idle.remove(lease)
