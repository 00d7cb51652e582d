"""Deletes configuration snapshots that no reader needs any more.

One instance does it once an hour, the first by rendezvous hashing. Two that
do it at once do no harm. `control` starts it.
"""

import asyncio
import random
from typing import Final

from teaselrock.coordination import rendezvous
from teaselrock.coordination.configuration_history import ConfigurationHistory
from teaselrock.coordination.ports import DocumentCodec
from teaselrock.coordination.ports import MemberView
from teaselrock.coordination.ports import Store

PREFIX: Final = 'config/snapshots/'
PRUNE_EVERY_S: Final = 3600.0
KEPT_SNAPSHOTS: Final = 3
# Versions that operators can read and roll forward to.
KEPT_VERSIONS: Final = 100
PAGE_KEYS: Final = 1000


class SnapshotPruner:
    """Deletes old snapshots, in the chain of the head or not."""

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
        """Delete now; returns how many snapshots were deleted.

        Nothing is deleted if the store cannot be read. A snapshot that an
        operator has just written is newer than all that are deleted.
        """
        kept = await self._history.newest_snapshots(
            count=KEPT_SNAPSHOTS, versions=KEPT_VERSIONS
        )
        if kept.is_error() or len(kept.ok) < KEPT_SNAPSHOTS:
            return 0
        deleted = 0
        # Keys begin with the version, in digits of a fixed length.
        oldest = min(kept.ok)
        after = ''
        while True:
            listed = await self._store.list_keys(
                prefix=PREFIX, after=after, limit=PAGE_KEYS
            )
            if listed.is_error():
                return deleted
            old = [key for key in listed.ok if key < oldest]
            for key in old:
                result = await self._store.delete(
                    key=key, expected_version=None
                )
                deleted += result.is_ok()
            if len(old) < PAGE_KEYS:
                return deleted
            after = old[-1]

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(PRUNE_EVERY_S * self._rng.uniform(0.9, 1.1))
            live = [peer.instance_id for peer in self._view.live]
            first = rendezvous.owner(key=PREFIX, members=live)
            if first == self._view.own.instance_id:
                await self.prune()
