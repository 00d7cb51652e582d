"""Limit of requests to a cold server, summed over all instances.

A cold server accepts requests from a few owner instances only, chosen by
rendezvous hashing over the roster; each owner has a fixed part of what the
server bears, so that no messages are needed.
"""

import asyncio
from collections import deque
from collections.abc import Sequence
from typing import Final

from teaselrock.coordination import rendezvous
from teaselrock.coordination.ports import RosterEntry
from teaselrock.state import BackendServer

OWNERS: Final = 3
# Rosters of two instances may differ for some seconds; the part that is
# left out lets one instance more than the owners send.
SHARED_PART: Final = 0.75
WINDOW_S: Final = 1.0


class ColdLimits:
    """Sends of this instance to cold servers in the last second."""

    def __init__(
        self, *, own: RosterEntry, overshoot: float, slack: float
    ) -> None:
        self._own = own
        self._overshoot = overshoot
        self._slack = slack
        self._roster: tuple[RosterEntry, ...] = (own,)
        self._has_roster = False
        self._sends: dict[str, deque[float]] = {}

    def set_bounds(self, *, overshoot: float, slack: float) -> None:
        """Change the bound: rate x `overshoot` + `slack` in one second."""
        self._overshoot = overshoot
        self._slack = slack

    def set_roster(self, roster: Sequence[RosterEntry]) -> None:
        """Set the instances that share the servers."""
        known = {one.instance_id: one for one in roster}
        known[self._own.instance_id] = self._own
        self._roster = tuple(known.values())
        self._has_roster = True

    @property
    def instance_count(self) -> int:
        """Instances that share the servers, as far as known."""
        return len(self._roster)

    @property
    def counted_servers(self) -> frozenset[str]:
        """Ids of the servers whose requests are counted."""
        return frozenset(self._sends)

    def forget(self, server_id: str) -> None:
        """Drop the counts of a server that is gone.

        Counts of the last second stay, since the server may return under
        its id at once.
        """
        now = asyncio.get_running_loop().time()
        sends = self._sends.get(server_id)
        if sends is not None and (not sends or sends[-1] <= now - WINDOW_S):
            del self._sends[server_id]

    def allows(self, *, server: BackendServer, cold_rate: float) -> bool:
        """Whether the limit allows a request to a cold server now."""
        now = asyncio.get_running_loop().time()
        sends = self._sends.setdefault(server.server_id, deque())
        while sends and sends[0] <= now - WINDOW_S:
            sends.popleft()
        return len(sends) < self._limit(server, cold_rate)

    def record_send(self, *, server: BackendServer) -> None:
        """Count a request to a cold server."""
        now = asyncio.get_running_loop().time()
        self._sends.setdefault(server.server_id, deque()).append(now)

    def _limit(self, server: BackendServer, cold_rate: float) -> int:
        if not self._has_roster:
            return 0
        near = [
            one.instance_id
            for one in self._roster
            if one.region == server.zone.region
        ]
        owners = rendezvous.ranked(key=server.server_id, members=near)[:OWNERS]
        if self._own.instance_id not in owners:
            return 0
        bound = cold_rate * self._overshoot + self._slack
        return int(bound * SHARED_PART / len(owners))
