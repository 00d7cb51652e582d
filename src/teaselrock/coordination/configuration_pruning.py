"""Deletes configuration snapshots that are no longer needed.

One instance, chosen by rendezvous hashing, prunes once an hour; concurrent
runs of two instances are harmless. `control` starts it.
"""

import asyncio
import random
from typing import Final

from teaselrock.coordination import rendezvous
from teaselrock.coordination.configuration_history import ConfigurationHistory
from teaselrock.coordination.ports import DocumentCodec
from teaselrock.coordination.ports import MemberView
from teaselrock.coordination.ports import Store

SNAPSHOT_PREFIX: Final = 'config/snapshots/'
PRUNE_INTERVAL_S: Final = 3600.0
# With fewer snapshots in the chain, nothing is deleted.
MIN_KEPT_SNAPSHOTS: Final = 3
# Versions that operators can read and roll forward to.
MIN_KEPT_VERSIONS: Final = 100
# Keys listed in one call.
LIST_PAGE_KEYS: Final = 1000


class SnapshotPruner:
    """Deletes old snapshots, including those outside the head's chain."""

    def __init__(
        self,
        *,
        store: Store,
        codec: DocumentCodec,
        view: MemberView,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._view = view
        self._rng = rng
        self._history = ConfigurationHistory(store=store, codec=codec)
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the hourly run."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """End the hourly run."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def prune(self) -> int:
        """Delete old snapshots and return how many were deleted.

        Nothing is deleted if the store cannot be read. Snapshots that are
        newer than the oldest kept one stay, so one that a change in progress
        has just written is not deleted.
        """
        kept = await self._history.newest_snapshots(
            count=MIN_KEPT_SNAPSHOTS, versions=MIN_KEPT_VERSIONS
        )
        if kept.is_error() or len(kept.ok) < MIN_KEPT_SNAPSHOTS:
            return 0
        deleted = 0
        # Keys begin with the zero-padded version, so they sort by version.
        oldest = min(kept.ok)
        after = ''
        while True:
            listed = await self._store.list_keys(
                prefix=SNAPSHOT_PREFIX, after=after, limit=LIST_PAGE_KEYS
            )
            if listed.is_error():
                return deleted
            old = [key for key in listed.ok if key < oldest]
            for key in old:
                result = await self._store.delete(
                    key=key, expected_version=None
                )
                deleted += result.is_ok()
            if len(old) < LIST_PAGE_KEYS:
                return deleted
            after = old[-1]

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(PRUNE_INTERVAL_S * self._rng.uniform(0.9, 1.1))
            live = [peer.instance_id for peer in self._view.live]
            owner = rendezvous.owner(key=SNAPSHOT_PREFIX, members=live)
            if owner == self._view.own.instance_id:
                await self.prune()
