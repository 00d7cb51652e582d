"""Whether the routing table of this instance is known to be current.

A request that no route matches is refused for good only while it is, since a
newer version may have a route for it.
"""

import asyncio
from typing import Final

from teaselrock.coordination.registry.watch import BATCH_DELAY_S
from teaselrock.coordination.registry.watch import SHORT_POLL_WAIT_S

# A version must be in force 2 s after the store acknowledged it, so nothing
# older than that may count as current.
#
# Responses of the store to the long poll of the routes are this far apart at
# most while the store answers: the batch delay, the wait, and 0.4 s for a slow
# response. The call fails after that.
STORE_CONFIRMATION_S: Final = BATCH_DELAY_S + SHORT_POLL_WAIT_S + 0.4
# Heartbeats arrive every 0.25 s, up to 0.1 s late. One that reports a
# connection to the store may rest on a response that is as old as
# `STORE_CONFIRMATION_S`, so the sum of both must be below 2 s.
HEARTBEAT_CONFIRMATION_S: Final = 0.6


class TableFreshness:
    """When the routing table was last known to be current.

    It is known by a response of the store to this instance, or by the
    heartbeat of an instance that is connected to the store and has no newer
    position. It then counts as current for the time between two of these in
    healthy operation.

    While no instance reaches the store, the table is not known to be current,
    although no instance knows of a newer one either: the store may have
    acknowledged a version right before.
    """

    def __init__(self) -> None:
        self._confirmed_at = float('-inf')
        self._current_until = float('-inf')

    @property
    def is_current(self) -> bool:
        """Whether the table may be taken as that in the store."""
        return asyncio.get_running_loop().time() <= self._current_until

    @property
    def age(self) -> float:
        """Seconds since the last confirmation; infinite before the first."""
        return asyncio.get_running_loop().time() - self._confirmed_at

    def confirm_by_store(self) -> None:
        """Record a response of the store that the mirror has applied."""
        self._confirm(STORE_CONFIRMATION_S)

    def confirm_by_heartbeat(self) -> None:
        """Record a heartbeat from the store's watch with no newer position."""
        self._confirm(HEARTBEAT_CONFIRMATION_S)

    def _confirm(self, seconds: float) -> None:
        now = asyncio.get_running_loop().time()
        self._confirmed_at = now
        self._current_until = max(self._current_until, now + seconds)
