"""Registration of this instance, and the roster of all registered ones.

One task registers the instance in the installation's store and reads the
registrations of the others at intervals, for the relay of the region and for
the lenders of permits.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import Final

from teaselrock.coordination.ports import InstanceListing
from teaselrock.coordination.ports import InstanceRegistration
from teaselrock.coordination.ports import InstanceRegistry
from teaselrock.coordination.rate_permits import InstanceRoster
from teaselrock.coordination.rate_permits import PermitLender
from teaselrock.coordination.registry import RegionRelay

# Registrations change only when instances are added, and reads are billed.
ROSTER_READ_INTERVAL_S: Final = 15.0
# Shorter at first: instances that start together register within seconds.
ROSTER_STARTUP_PAUSES_S: Final = (0.7, 1.5, 4.0)
# Largest deviation of these intervals, as a share.
INTERVAL_JITTER: Final = 0.2
# All instances have read a new entry by then.
ENTRY_KNOWN_S: Final = ROSTER_READ_INTERVAL_S * (1 + INTERVAL_JITTER) + 1.0
REGISTER_RETRY_INTERVAL_S: Final = 1.0
# After a restore of the store the instances read it within this time, and not
# all at once.
RESTORE_READ_SPREAD_S: Final = 2.0
# A read may return data from before the restore; it is then repeated.
STALE_READ_RETRY_S: Final = 1.0
# Longer if the store does not answer, since its calls are billed all the same.
FAILED_READ_RETRY_S: Final = 4.0


class Registration:
    """Keeps this instance registered and the roster current.

    `era` returns the era of the store that the view follows.
    """

    def __init__(
        self,
        *,
        own: InstanceRegistration,
        registry: InstanceRegistry,
        roster: InstanceRoster,
        relay: RegionRelay,
        lender: PermitLender,
        era: Callable[[], int],
        is_first_start: bool,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._registry = registry
        self._roster = roster
        self._relay = relay
        self._lender = lender
        self._era = era
        self._is_first_start = is_first_start
        self._rng = rng
        self._known: tuple[InstanceRegistration, ...] = ()
        self._restored = asyncio.Event()
        self._keeps_known_until = float('-inf')
        self._may_be_lost = False

    def on_restored(self) -> None:
        """Read the registrations soon: the store may have lost some."""
        now = asyncio.get_running_loop().time()
        self._keeps_known_until = now + ENTRY_KNOWN_S
        self._may_be_lost = True
        self._restored.set()

    async def run(self) -> None:
        """Register, then read the registrations until cancelled.

        While reading fails, the relay gets an empty roster, so that this
        instance does not depend on any other; while registering fails, it
        gets the roster that was read before.
        """
        is_new = await self._register()
        if is_new and not self._is_first_start:
            self._lender.delay_start(seconds=ENTRY_KNOWN_S)
        pauses = iter(ROSTER_STARTUP_PAUSES_S)
        while True:
            read = await self._registry.read()
            if read.is_ok():
                self._known = self._with_lost_entries(read.ok.registrations)
                self._roster.set_entries(self._known)
            pause = next(pauses, ROSTER_READ_INTERVAL_S)
            # When all instances start together, the first read may list only
            # this one; the next read decides which one watches the store.
            is_only_entry = read.is_ok() and len(self._known) <= 1
            if not is_only_entry or pause != ROSTER_STARTUP_PAUSES_S[0]:
                self._relay.set_roster(self._known if read.is_ok() else ())
            if self._may_be_lost:
                await self._register_if_lost(read.ok if read.is_ok() else None)
            if self._may_be_lost and read.is_ok():
                pause = STALE_READ_RETRY_S
            elif self._may_be_lost:
                pause = FAILED_READ_RETRY_S
            await self._pause(pause)

    async def _register(self) -> bool:
        """Register; True if other instances may not know the entry yet."""
        registered = await self._registry.register(entry=self._own)
        # A failed call may have written the entry.
        may_be_new = registered.is_error() or registered.ok
        while registered.is_error():
            self._relay.set_roster(self._known)
            await asyncio.sleep(
                REGISTER_RETRY_INTERVAL_S * self._rng.uniform(0.5, 1.5)
            )
            registered = await self._registry.register(entry=self._own)
        return bool(may_be_new)

    async def _register_if_lost(self, listing: InstanceListing | None) -> None:
        """Register again if the restored store does not have the entry.

        The other instances know it from before, so lending goes on.
        """
        if listing is None or listing.era < self._era():
            return
        self._may_be_lost = False
        if self._own.instance_id not in {
            entry.instance_id for entry in listing.registrations
        }:
            await self._register()

    def _with_lost_entries(
        self, read: Sequence[InstanceRegistration]
    ) -> tuple[InstanceRegistration, ...]:
        """Entries that were read, and after a restore those known before.

        An instance whose entry was lost still lends permits.
        """
        by_id = {entry.instance_id: entry for entry in read}
        now = asyncio.get_running_loop().time()
        if now < self._keeps_known_until:
            by_id = {entry.instance_id: entry for entry in self._known} | by_id
        return tuple(by_id.values())

    async def _pause(self, seconds: float) -> None:
        """Wait until the next read, which a restore brings forward."""
        seconds *= self._rng.uniform(1 - INTERVAL_JITTER, 1 + INTERVAL_JITTER)
        try:
            async with asyncio.timeout(seconds):
                await self._restored.wait()
        except TimeoutError:
            return
        self._restored.clear()
        await asyncio.sleep(self._rng.uniform(0.0, RESTORE_READ_SPREAD_S))
