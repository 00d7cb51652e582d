"""Configuration from the store.

Two instances of each region, the configuration watchers, watch the head; the
others poll it every 30 s. So the number of watches grows with the number of
regions and not with the fleet, since each watch counts as a call.
"""

import asyncio
import random
from typing import Final

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination import rendezvous
from teaselrock.coordination.dissemination.in_force import ConfigurationInForce
from teaselrock.coordination.events import Event
from teaselrock.coordination.events import Events
from teaselrock.coordination.events import NoEvents
from teaselrock.coordination.ports import DocumentCodec
from teaselrock.coordination.ports import MemberView
from teaselrock.coordination.ports import Store
from teaselrock.coordination.ports import StoredValue
from teaselrock.coordination.ports import StoreError
from teaselrock.coordination.ports import StoreErrorKind
from teaselrock.state.configuration import ConfigurationHead
from teaselrock.state.configuration import Snapshot

HEAD_KEY: Final = 'config/head'
WATCHERS_PER_REGION: Final = 2
WATCH_TIMEOUT_S: Final = 20.0
# A watch that exceeds its timeout by this time is treated as failed.
WATCH_GRACE_S: Final = 2.0
POLL_INTERVAL_S: Final = 30.0
RETRY_MIN_S: Final = 0.25
RETRY_MAX_S: Final = 4.0


def _unavailable(detail: str) -> StoreError:
    return StoreError(StoreErrorKind.UNAVAILABLE, detail)


class StoreSource:
    """Reads versions from the store into a `ConfigurationInForce`."""

    def __init__(
        self,
        *,
        in_force: ConfigurationInForce,
        store: Store,
        codec: DocumentCodec,
        view: MemberView,
        rng: random.Random,
        events: Events = NoEvents(),
    ) -> None:
        self._events = events
        self._in_force = in_force
        self._store = store
        self._codec = codec
        self._view = view
        self._rng = rng
        self._head_version = 0
        self._role_changed = asyncio.Event()
        self._was_watcher = False

    @property
    def is_watcher(self) -> bool:
        """Whether this instance is a configuration watcher of its region."""
        own = self._view.own
        members = [
            peer.instance_id
            for peer in self._view.live
            if peer.zone.region == own.zone.region
        ]
        ranked_members = rendezvous.ranked(key=HEAD_KEY, members=members)
        return own.instance_id in ranked_members[:WATCHERS_PER_REGION]

    def on_members_changed(self) -> None:
        """End the wait for the next poll if the role has changed."""
        if self.is_watcher != self._was_watcher:
            self._role_changed.set()

    async def refresh(self) -> Result[None, StoreError]:
        """Read the head now and apply it."""
        result = await self._store.get(key=HEAD_KEY)
        if result.is_error():
            return Error(result.error)
        return await self._apply(result.ok)

    async def run(self) -> None:
        """Watch or poll the store, until cancelled."""
        retry_s = RETRY_MIN_S
        while True:
            self._was_watcher = self.is_watcher
            self._role_changed.clear()
            if self._was_watcher:
                result = await self._watch()
            else:
                await self._wait_for_poll()
                result = await self.refresh()
            if result.is_ok():
                retry_s = RETRY_MIN_S
                continue
            if retry_s == RETRY_MIN_S:
                # Reported once for each outage, not for each retry.
                self._events.emit(
                    event=Event.CONFIGURATION_SOURCE_LOST,
                    detail=result.error.detail,
                )
            await asyncio.sleep(retry_s * self._rng.uniform(0.5, 1.0))
            retry_s = min(RETRY_MAX_S, 2 * retry_s)

    async def _watch(self) -> Result[None, StoreError]:
        try:
            async with asyncio.timeout(WATCH_TIMEOUT_S + WATCH_GRACE_S):
                result = await self._store.watch(
                    key=HEAD_KEY,
                    after=self._head_version,
                    timeout=WATCH_TIMEOUT_S,
                )
        except TimeoutError:
            return Error(
                _unavailable(
                    f'watch of {HEAD_KEY} did not end before its timeout'
                )
            )
        if result.is_error():
            return Error(result.error)
        return await self._apply(result.ok)

    async def _wait_for_poll(self) -> None:
        delay_s = POLL_INTERVAL_S * self._rng.uniform(0.75, 1.25)
        try:
            async with asyncio.timeout(delay_s):
                await self._role_changed.wait()
        except TimeoutError:
            return

    async def _apply(
        self, stored: StoredValue | None
    ) -> Result[None, StoreError]:
        if stored is None:
            return Ok(None)
        decoded = self._codec.decode(
            data=stored.value, value_type=ConfigurationHead
        )
        if decoded.is_error():
            return self._unreadable(f'{HEAD_KEY}: {decoded.error.detail}')
        head: ConfigurationHead = decoded.ok
        if head['version'] > self._in_force.version:
            if self._in_force.version < head['snapshot']:
                loaded = await self._load_snapshot(head['snapshot_key'])
                if loaded.is_error():
                    return loaded
            self._in_force.apply_deltas(head['deltas'])
        self._head_version = max(self._head_version, stored.version)
        return Ok(None)

    async def _load_snapshot(self, key: str) -> Result[None, StoreError]:
        result = await self._store.get(key=key)
        if result.is_error():
            return Error(result.error)
        if result.ok is None:
            return self._unreadable(f'{key} is missing')
        decoded = self._codec.decode(data=result.ok.value, value_type=Snapshot)
        if decoded.is_error():
            return self._unreadable(f'{key}: {decoded.error.detail}')
        snapshot: Snapshot = decoded.ok
        self._in_force.apply_document(
            version=snapshot['version'], document=snapshot['document']
        )
        return Ok(None)

    def _unreadable(self, detail: str) -> Result[None, StoreError]:
        """Report an unreadable head or snapshot; `detail` has its key."""
        self._events.emit(event=Event.SNAPSHOT_UNREADABLE, detail=detail)
        return Error(_unavailable(detail))
