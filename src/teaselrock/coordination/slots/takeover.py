"""Answers to lease queries that a new allocator awaits before it lends.

`SlotAllocator` sends each `LeaseQuery` and records each answer, `HeldLeases`;
`GroupAllocation` lends no unit whose home member is blocked.
"""

from collections.abc import Collection
from collections.abc import Iterable


class Takeover:
    """Members that have not answered a `LeaseQuery` for a group.

    `timeout` is in seconds; `now` is the loop's time in all methods.
    """

    def __init__(
        self, *, members: Iterable[str], now: float, timeout: float
    ) -> None:
        self._timeout_s = timeout
        self._initial_members = set(members)
        self._initial_deadline = now + timeout
        self._joined_members: set[str] = set()
        self._joined_deadline = now
        self._blocked_home_members: set[str] = set()

    @property
    def unanswered(self) -> frozenset[str]:
        """Members to query again."""
        return frozenset(self._initial_members | self._joined_members)

    @property
    def may_lend(self) -> bool:
        """Whether units whose home members are not blocked may be lent."""
        return not self._initial_members

    @property
    def blocked_home_members(self) -> Collection[str]:
        """Home members whose units must not be lent yet."""
        return self._blocked_home_members

    def add_members(self, *, members: Iterable[str], now: float) -> None:
        """Block the units of members that have just become live.

        During a partition an allocator on their side may have lent these
        units to any member there, so all of the members are queried. Their
        units stay blocked until the last one answers or the timeout passes.
        """
        joined = set(members)
        self._joined_members |= joined
        self._blocked_home_members |= joined
        self._joined_deadline = now + self._timeout_s

    def record_answer(self, member: str) -> None:
        """Record that a member has sent its `HeldLeases`."""
        self._initial_members.discard(member)
        self._joined_members.discard(member)
        self._unblock()

    def expire(self, *, now: float) -> None:
        """Stop waiting for answers once any unreported lease has expired."""
        if now >= self._initial_deadline:
            self._initial_members.clear()
        if now >= self._joined_deadline:
            self._joined_members.clear()
            self._unblock()

    def _unblock(self) -> None:
        if not self._joined_members:
            self._blocked_home_members.clear()
