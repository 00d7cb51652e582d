"""Group commit for one shard, with one conditional write in flight.

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

# After this time a commit fails and its claims are refused.
COMMIT_TIMEOUT_S: Final = 3.0
RETRY_INTERVAL_S: Final = 0.05
# Updates wait this long for others of the shard to share a write. A release
# waits less than a completion because a caller may reuse a released key,
# while a completed key is refused in any case.
BATCH_DELAY_S: Final = {
    UpdateKind.CLAIM: 0.0,
    UpdateKind.RELEASE: 1.0,
    UpdateKind.COMPLETE: 5.0,
}

Entries = dict[str, ShardEntry]


class WriteRateLimiter:
    """Token bucket for store writes.

    `rate` returns writes per second and may change with the fleet's size.
    """

    def __init__(self, *, rate: Callable[[], float]) -> None:
        self._rate = rate
        self._next_write_at = 0.0

    async def take(self) -> None:
        """Wait for permission to write; bursts of one second are allowed."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._next_write_at = (
            max(self._next_write_at, now - 1.0) + 1.0 / self._rate()
        )
        if self._next_write_at > now:
            await asyncio.sleep(self._next_write_at - now)


class _PendingUpdate(NamedTuple):
    """An update to be committed; `due` is on the event loop's clock."""

    update: ShardUpdate
    due: float
    done: asyncio.Future[UpdateOutcome]


class _ShardState(NamedTuple):
    """Content of the shard as last read or written by this writer."""

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
        write_limiter: WriteRateLimiter,
        wall_clock: Callable[[], float],
    ) -> None:
        self._key = shard_key(shard)
        self._store = store
        self._codec = codec
        self._write_limiter = write_limiter
        self._wall_clock = wall_clock
        self._pending: list[_PendingUpdate] = []
        self._submitted = asyncio.Event()
        self._is_flushing = False
        self._task: asyncio.Task[None] | None = None
        self._cached: _ShardState | None = None

    async def submit(self, *, update: ShardUpdate) -> UpdateOutcome:
        """Queue an update for the next batch and wait for its write."""
        loop = asyncio.get_running_loop()
        done: asyncio.Future[UpdateOutcome] = loop.create_future()
        due = loop.time() + BATCH_DELAY_S[update.kind]
        self._pending.append(_PendingUpdate(update, due, done))
        # The new update may be due earlier than the others.
        self._submitted.set()
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())
        return await done

    def flush(self) -> None:
        """Write pending updates without batch delay from now on."""
        self._is_flushing = True
        self._submitted.set()

    def cancel(self) -> None:
        """Stop writing; pending updates get the outcome `UNCERTAIN`."""
        if self._task is not None:
            self._task.cancel()
        self._resolve(
            self._pending, [UpdateOutcome.UNCERTAIN] * len(self._pending)
        )

    async def _run(self) -> None:
        """Commit batches until no update is pending."""
        while self._pending:
            await self._wait_until_due()
            await self._write_limiter.take()
            batch = [item for item in self._pending if not item.done.done()]
            self._pending = []
            if batch:
                await self._commit_batch(batch)

    async def _wait_until_due(self) -> None:
        """Wait until the first update is due, or a flush."""
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

    async def _commit_batch(self, batch: list[_PendingUpdate]) -> None:
        outcomes = [UpdateOutcome.UNCERTAIN] * len(batch)
        try:
            outcomes = await self._commit([item.update for item in batch])
        finally:
            self._resolve(batch, outcomes)

    def _resolve(
        self, batch: list[_PendingUpdate], outcomes: list[UpdateOutcome]
    ) -> None:
        for item, outcome in zip(batch, outcomes, strict=True):
            if not item.done.done():
                item.done.set_result(outcome)

    async def _commit(self, updates: list[ShardUpdate]) -> list[UpdateOutcome]:
        """Read, apply and write until the stored entries hold the updates.

        After a put without a response the shard is read again; an update
        that was written is recognized by its claim id (`attempt` in the
        stored entry).
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + COMMIT_TIMEOUT_S
        failed_outcome = UpdateOutcome.UNAVAILABLE
        is_fresh = False
        put_count = 0
        while loop.time() < deadline:
            if self._cached is None:
                read = await self._read()
                if read.is_error():
                    await asyncio.sleep(RETRY_INTERVAL_S)
                    continue
                self._cached = read.ok
                is_fresh = True
            entries, outcomes = apply_updates(
                self._cached.entries, updates, now=self._wall_clock()
            )
            is_rejected = any(
                outcome is not UpdateOutcome.DONE for outcome in outcomes
            )
            if is_rejected and not is_fresh:
                # Another writer may have released the key in the meantime.
                self._cached = None
                continue
            if entries == self._cached.entries and is_fresh:
                return list(outcomes)
            if put_count:
                await self._write_limiter.take()
            put_count += 1
            put = await self._store.put(
                key=self._key,
                value=self._codec.encode(
                    value=ShardContent(tuple(entries.values()))
                ),
                expected_version=self._cached.version,
            )
            if put.is_ok():
                self._cached = _ShardState(put.ok, entries)
                return list(outcomes)
            self._cached = None
            if put.error.kind is StoreErrorKind.UNKNOWN:
                failed_outcome = UpdateOutcome.UNCERTAIN
            elif put.error.kind is not StoreErrorKind.CONFLICT:
                await asyncio.sleep(RETRY_INTERVAL_S)
        return [failed_outcome] * len(updates)

    async def _read(self) -> Result[_ShardState, None]:
        found = await self._store.get(key=self._key)
        if found.is_error():
            return Error(None)
        if found.ok is None:
            return Ok(_ShardState(0, {}))
        decoded = self._codec.decode(
            data=found.ok.value, value_type=ShardContent
        )
        if decoded.is_error():
            return Error(None)
        content: ShardContent = decoded.ok
        return Ok(
            _ShardState(
                found.ok.version,
                {entry.digest: entry for entry in content.entries},
            )
        )
