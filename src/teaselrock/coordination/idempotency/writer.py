"""Group commit of one shard: one conditional write in flight at a time.

`StoreIdempotencyRecords` keeps one `ShardWriter` for each shard that it
writes, for its own claims and for those that other instances send to it.
Several instances may write a shard: the conditional update orders them.
"""

import asyncio
from collections.abc import Callable
from typing import Final
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination.ports import DocumentCodec
from teaselrock.coordination.ports import Store
from teaselrock.coordination.ports import StoreErrorKind
from teaselrock.state.records import apply_updates
from teaselrock.state.records import shard_key
from teaselrock.state.records import ShardContent
from teaselrock.state.records import ShardEntry
from teaselrock.state.records import ShardUpdate
from teaselrock.state.records import UpdateKind
from teaselrock.state.records import UpdateOutcome

# A commit gives up after this time; its claims are then refused.
COMMIT_LIMIT_S: Final = 3.0
RETRY_S: Final = 0.05
# Updates wait this long for other updates of the shard. A caller may repeat
# a released key, while a completed one is refused in any case.
LINGER_S: Final = {
    UpdateKind.CLAIM: 0.0,
    UpdateKind.RELEASE: 1.0,
    UpdateKind.COMPLETE: 5.0,
}

Entries = dict[str, ShardEntry]


class WriteBucket:
    """Token bucket of store writes; `rate` may change with the fleet."""

    def __init__(self, *, rate: Callable[[], float]) -> None:
        self._rate = rate
        self._next = 0.0

    async def take(self) -> None:
        """Wait for a write; a burst of one second's writes is allowed."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._next = max(self._next, now - 1.0) + 1.0 / self._rate()
        if self._next > now:
            await asyncio.sleep(self._next - now)


class _Pending(NamedTuple):
    """An update that waits for its commit; `due` is on the loop's clock."""

    update: ShardUpdate
    due: float
    done: asyncio.Future[UpdateOutcome]


class _Held(NamedTuple):
    """The newest content that this writer has read or written."""

    version: int
    entries: Entries


class ShardWriter:
    """Writes the updates of one shard in batches."""

    def __init__(
        self,
        *,
        shard: int,
        store: Store,
        codec: DocumentCodec,
        bucket: WriteBucket,
        wall_clock: Callable[[], float],
    ) -> None:
        self._key = shard_key(shard)
        self._store = store
        self._codec = codec
        self._bucket = bucket
        self._wall_clock = wall_clock
        self._pending: list[_Pending] = []
        self._submitted = asyncio.Event()
        self._is_flushing = False
        self._task: asyncio.Task[None] | None = None
        self._held: _Held | None = None

    async def submit(self, *, update: ShardUpdate) -> UpdateOutcome:
        """Write an update with the next batch; returns after the write."""
        loop = asyncio.get_running_loop()
        done: asyncio.Future[UpdateOutcome] = loop.create_future()
        due = loop.time() + LINGER_S[update.kind]
        self._pending.append(_Pending(update, due, done))
        # An earlier due time may end the wait of the task.
        self._submitted.set()
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())
        return await done

    def flush(self) -> None:
        """Write what is pending now."""
        self._is_flushing = True
        self._submitted.set()

    def cancel(self) -> None:
        """Stop writing; the pending updates end as uncertain."""
        if self._task is not None:
            self._task.cancel()
        self._resolve(
            self._pending, [UpdateOutcome.UNCERTAIN] * len(self._pending)
        )

    async def _run(self) -> None:
        """Commit until nothing is pending."""
        while self._pending:
            await self._wait_due()
            await self._bucket.take()
            batch = [item for item in self._pending if not item.done.done()]
            self._pending = []
            if batch:
                await self._commit_batch(batch)

    async def _wait_due(self) -> None:
        """Wait until an update is due."""
        loop = asyncio.get_running_loop()
        while not self._is_flushing:
            due = min(item.due for item in self._pending)
            if due <= loop.time():
                return
            self._submitted.clear()
            try:
                async with asyncio.timeout_at(due):
                    await self._submitted.wait()
            except TimeoutError:
                return

    async def _commit_batch(self, batch: list[_Pending]) -> None:
        outcomes = [UpdateOutcome.UNCERTAIN] * len(batch)
        try:
            outcomes = await self._commit([item.update for item in batch])
        finally:
            self._resolve(batch, outcomes)

    def _resolve(
        self, batch: list[_Pending], outcomes: list[UpdateOutcome]
    ) -> None:
        for item, outcome in zip(batch, outcomes, strict=True):
            if not item.done.done():
                item.done.set_result(outcome)

    async def _commit(self, updates: list[ShardUpdate]) -> list[UpdateOutcome]:
        """Read, apply and write until the entries hold the updates.

        After a put without an answer the shard is read again: an update
        that was written is found by its attempt id.
        """
        loop = asyncio.get_running_loop()
        limit = loop.time() + COMMIT_LIMIT_S
        failure = UpdateOutcome.UNAVAILABLE
        is_fresh = False
        puts = 0
        while loop.time() < limit:
            if self._held is None:
                read = await self._read()
                if read.is_error():
                    await asyncio.sleep(RETRY_S)
                    continue
                self._held = read.ok
                is_fresh = True
            entries, outcomes = apply_updates(
                self._held.entries, updates, now=self._wall_clock()
            )
            refused = any(
                outcome is not UpdateOutcome.DONE for outcome in outcomes
            )
            if refused and not is_fresh:
                # Another writer may have released the key since.
                self._held = None
                continue
            if entries == self._held.entries and is_fresh:
                return list(outcomes)
            if puts:
                await self._bucket.take()
            puts += 1
            put = await self._store.put(
                key=self._key,
                value=self._codec.encode(
                    value=ShardContent(tuple(entries.values()))
                ),
                expected_version=self._held.version,
            )
            if put.is_ok():
                self._held = _Held(put.ok, entries)
                return list(outcomes)
            self._held = None
            if put.error.kind is StoreErrorKind.UNKNOWN:
                failure = UpdateOutcome.UNCERTAIN
            elif put.error.kind is not StoreErrorKind.CONFLICT:
                await asyncio.sleep(RETRY_S)
        return [failure] * len(updates)

    async def _read(self) -> Result[_Held, None]:
        got = await self._store.get(key=self._key)
        if got.is_error():
            return Error(None)
        if got.ok is None:
            return Ok(_Held(0, {}))
        decoded = self._codec.decode(
            data=got.ok.value, value_type=ShardContent
        )
        if decoded.is_error():
            return Error(None)
        content: ShardContent = decoded.ok
        return Ok(
            _Held(
                got.ok.version,
                {entry.digest: entry for entry in content.entries},
            )
        )
