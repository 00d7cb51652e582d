"""Whether the routing table of this instance is known to be current.

A request that no route matches is refused for good only while it is, since a
newer version may have a route for it.
"""

import asyncio
from typing import Final

from teaselrock.coordination.registry.watch import BATCH_DELAY_S
from teaselrock.coordination.registry.watch import SHORT_POLL_WAIT_S

# Responses of the store to the long poll of the routes are this far apart at
# most while it answers in time: batch delay, wait, and 0.4 s for the response.
STORE_CONFIRMATION_S: Final = BATCH_DELAY_S + SHORT_POLL_WAIT_S + 0.4
# A heartbeat follows after up to 0.35 s. A version must be in force 2 s after
# the store acknowledged it, so nothing older than that may count as current.
MAX_CONFIRMATION_AGE_S: Final = STORE_CONFIRMATION_S + 0.5


class TableFreshness:
    """When the routing table was last known to be that in the store.

    It is known by a response of the store to this instance, or to another one
    that has no newer table and tells this instance. While no instance reaches
    the store, it is not known, although no instance knows of a newer table
    either: the store may have acknowledged a version right before.
    """

    def __init__(self) -> None:
        self._confirmed_at = float('-inf')

    @property
    def is_current(self) -> bool:
        """Whether the table may be taken as that in the store."""
        return self.age <= MAX_CONFIRMATION_AGE_S

    @property
    def age(self) -> float:
        """Seconds since the last confirmation; infinite before the first."""
        return asyncio.get_running_loop().time() - self._confirmed_at

    def confirm(self, *, at: float) -> None:
        """Record that the table was that in the store at a time.

        `at` is on the loop's clock.
        """
        self._confirmed_at = max(self._confirmed_at, at)
