"""Detects that this instance can reach neither the store nor any peer."""

import asyncio
from typing import Final

from teaselrock.coordination.events import Event
from teaselrock.coordination.events import Events
from teaselrock.coordination.events import NoEvents
from teaselrock.coordination.membership.table import MemberTable
from teaselrock.coordination.ports import Store

# An instance without contact for this long is isolated.
ISOLATION_TIMEOUT_S: Final = 3.0
CHECK_INTERVAL_S: Final = 0.5
# Without a message from a peer for this long, the store is read to test
# whether it can be reached.
STORE_CHECK_DELAY_S: Final = 1.0


class IsolationMonitor:
    """Records messages from peers and, without them, replies of the store."""

    def __init__(
        self,
        *,
        table: MemberTable,
        store: Store,
        events: Events = NoEvents(),
    ) -> None:
        self._table = table
        self._events = events
        self._was_isolated = False
        self._store = store
        # The operators' endpoint reads `is_isolated` in other threads, which
        # have no running loop.
        self._loop = asyncio.get_running_loop()
        self._contact_at = self._loop.time()
        self._has_had_peers = False

    @property
    def is_isolated(self) -> bool:
        """Whether there was no contact for more than `ISOLATION_TIMEOUT_S`.

        False before contact with a peer and while the roster has no other
        member.
        """
        now = self._loop.time()
        return self._has_had_peers and (
            now - self._contact_at > ISOLATION_TIMEOUT_S
        )

    def on_peer_contact(self) -> None:
        """Record a message from a peer."""
        self._has_had_peers = True
        self._contact_at = self._loop.time()

    async def run(self) -> None:
        """Read from the store while no peer sends, until cancelled."""
        own_id = self._table.own.instance_id
        while True:
            if len(self._table.roster) == 1:
                # All others have left or were removed.
                self._has_had_peers = False
            self._report_transition()
            read_started_at = self._loop.time()
            if read_started_at - self._contact_at > STORE_CHECK_DELAY_S:
                result = await self._store.get(key=f'members/{own_id}')
                if result.is_ok():
                    self._contact_at = read_started_at
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _report_transition(self) -> None:
        is_isolated = self.is_isolated
        if is_isolated != self._was_isolated:
            self._was_isolated = is_isolated
            self._events.emit(
                event=Event.ISOLATED if is_isolated else Event.ISOLATION_ENDED
            )
