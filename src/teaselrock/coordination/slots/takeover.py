"""What a new allocator must wait for before it lends.

A `GroupBook` asks which home members are blocked; the allocator sends the
lease queries and passes the claims on.
"""

from collections.abc import Collection
from collections.abc import Iterable


class Takeover:
    """Members that have not said yet what they hold of a group."""

    def __init__(
        self, *, members: Iterable[str], now: float, timeout: float
    ) -> None:
        self._timeout = timeout
        self._initial_members = set(members)
        self._initial_deadline = now + timeout
        self._joined: set[str] = set()
        self._joined_deadline = now
        self._blocked_homes: set[str] = set()

    @property
    def unanswered(self) -> frozenset[str]:
        """Members to ask again."""
        return frozenset(self._initial_members | self._joined)

    @property
    def is_settled(self) -> bool:
        """Whether units may be lent at all."""
        return not self._initial_members

    @property
    def blocked_homes(self) -> Collection[str]:
        """Home members whose units must not be lent yet."""
        return self._blocked_homes

    def add_members(self, *, members: Iterable[str], now: float) -> None:
        """Block the units of members that have just become live.

        Another allocator may have lent them on the far side of a partition,
        to any member of that side, so all of these members are asked.
        """
        joined = set(members)
        self._joined |= joined
        self._blocked_homes |= joined
        self._joined_deadline = now + self._timeout

    def record_answer(self, member: str) -> None:
        """Note the claim of a member."""
        self._initial_members.discard(member)
        self._joined.discard(member)
        self._unblock()

    def expire(self, *, now: float) -> None:
        """Stop waiting once the longest lease has expired."""
        if now >= self._initial_deadline:
            self._initial_members.clear()
        if now >= self._joined_deadline:
            self._joined.clear()
            self._unblock()

    def _unblock(self) -> None:
        if not self._joined:
            self._blocked_homes.clear()
