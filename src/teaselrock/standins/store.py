"""Stand-in object store with versions, conditional updates and watches.

`StoreModel` holds the objects; `MemoryStore` is the `Store` port of one
client, with the latency from its region and the faults of its link.
"""

import asyncio
from collections import Counter
from collections.abc import Sequence
import contextvars
import random
from typing import Final

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination.ports import StoredValue
from teaselrock.coordination.ports import StoreError
from teaselrock.coordination.ports import StoreErrorKind

MAX_VALUE_BYTES: Final = 1_000_000
WRITES_PER_SECOND: Final = 400
READS_PER_SECOND: Final = 2000
TIMEOUT_S: Final = 1.0
WRITE_KINDS: Final = frozenset({'put', 'delete'})


class _TokenBucket:
    """Token bucket that holds at most one second's calls."""

    def __init__(self, *, rate: float) -> None:
        self._rate = rate
        self._tokens = rate
        self._refilled = 0.0

    def try_take(self) -> bool:
        now = asyncio.get_running_loop().time()
        refill = (now - self._refilled) * self._rate
        self._tokens = min(self._rate, self._tokens + refill)
        self._refilled = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class StoreModel:
    """Objects and faults of the store; `latency_s` is that of each call."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._values: dict[str, StoredValue] = {}
        self._last_version: dict[str, int] = {}
        self._change_event = asyncio.Event()
        self._writes = _TokenBucket(rate=WRITES_PER_SECOND)
        self._reads = _TokenBucket(rate=READS_PER_SECOND)
        self._is_down = False
        self.latency_s = 0.003
        self.lost_response_share = 0.0
        self.limited_share = 0.0
        self.write_calls = 0
        self.read_calls = 0
        self.calls: Counter[str] = Counter()

    @property
    def values(self) -> dict[str, StoredValue]:
        """All objects by key."""
        return self._values

    @property
    def is_down(self) -> bool:
        """Whether all calls fail; waiting watches fail too."""
        return self._is_down

    @is_down.setter
    def is_down(self, value: bool) -> None:
        self._is_down = value
        self._notify()

    def _notify(self) -> None:
        """Wake the watches."""
        self._change_event.set()
        self._change_event = asyncio.Event()

    def admit(self, *, is_write: bool, kind: str = '') -> StoreError | None:
        """Count a call; an error if the store is down or over its rate."""
        self.calls[kind] += 1
        if is_write:
            self.write_calls += 1
        else:
            self.read_calls += 1
        if self.is_down:
            return StoreError(StoreErrorKind.UNAVAILABLE, 'store is down')
        bucket = self._writes if is_write else self._reads
        if not bucket.try_take() or self._rng.random() < self.limited_share:
            return StoreError(StoreErrorKind.LIMITED, 'rate exceeded')
        return None

    def loses_response(self) -> bool:
        """Draw whether the response to a completed write is lost.

        `MemoryStore` draws for `put` only, `store_http` for `delete` too.
        """
        return self._rng.random() < self.lost_response_share

    async def put(
        self, key: str, value: bytes, expected_version: int | None
    ) -> Result[int, StoreError]:
        """Write now, without latency."""
        if len(value) > MAX_VALUE_BYTES:
            return Error(StoreError(StoreErrorKind.TOO_LARGE, key))
        stored = self._values.get(key)
        current = stored.version if stored is not None else 0
        if expected_version is not None and expected_version != current:
            return Error(
                StoreError(StoreErrorKind.CONFLICT, f'{key} is at {current}')
            )
        version = self._last_version.get(key, 0) + 1
        self._last_version[key] = version
        self._values[key] = StoredValue(key, version, value)
        self._notify()
        return Ok(version)

    def delete(
        self, key: str, expected_version: int | None
    ) -> Result[None, StoreError]:
        """Delete now, without latency."""
        stored = self._values.get(key)
        if stored is not None and expected_version not in (
            None,
            stored.version,
        ):
            return Error(
                StoreError(
                    StoreErrorKind.CONFLICT, f'{key} is at {stored.version}'
                )
            )
        self._values.pop(key, None)
        return Ok(None)

    async def wait_changed(self, key: str, after: int) -> StoredValue | None:
        """Wait until the version of `key` exceeds `after`.

        Returns None if the store goes down.
        """
        while not self._is_down:
            stored = self._values.get(key)
            if stored is not None and stored.version > after:
                return stored
            await self._change_event.wait()
        return None


class MemoryStore:
    """`Store` port of one client; `is_cut` cuts its link to the store."""

    def __init__(
        self, *, model: StoreModel, one_way_latency_s: float = 0.0
    ) -> None:
        self._model = model
        self._one_way_latency_s = one_way_latency_s
        self._late_writes: set[asyncio.Task[None]] = set()
        self.is_cut = False

    async def _call(self, *, kind: str) -> StoreError | None:
        """Wait for the call's latency; returns an error if the call fails.

        The error of a write that times out is `UNKNOWN`. Only a `put` to a
        store with a latency above `TIMEOUT_S` takes effect later.
        """
        is_write = kind in WRITE_KINDS
        delay = self._model.latency_s + 2 * self._one_way_latency_s
        if self.is_cut or delay > TIMEOUT_S:
            await asyncio.sleep(TIMEOUT_S)
            return StoreError(
                StoreErrorKind.UNKNOWN
                if is_write
                else StoreErrorKind.UNAVAILABLE,
                'timeout',
            )
        await asyncio.sleep(delay)
        return self._model.admit(is_write=is_write, kind=kind)

    async def _write_late(
        self, key: str, value: bytes, expected_version: int | None
    ) -> None:
        """Write to a slow store, after the caller's timeout."""
        await asyncio.sleep(self._model.latency_s)
        if self._model.admit(is_write=True, kind='put') is None:
            await self._model.put(key, value, expected_version)

    async def get(self, *, key: str) -> Result[StoredValue | None, StoreError]:
        """Read a value."""
        error = await self._call(kind='get')
        if error is not None:
            return Error(error)
        return Ok(self._model.values.get(key))

    async def put(
        self, *, key: str, value: bytes, expected_version: int | None
    ) -> Result[int, StoreError]:
        """Write a value if it has the expected version."""
        if self._model.latency_s > TIMEOUT_S and not self.is_cut:
            late_write = asyncio.create_task(
                self._write_late(key, value, expected_version),
                context=contextvars.Context(),
            )
            self._late_writes.add(late_write)
            late_write.add_done_callback(self._late_writes.discard)
        error = await self._call(kind='put')
        if error is not None:
            return Error(error)
        result = await self._model.put(key, value, expected_version)
        if result.is_ok() and self._model.loses_response():
            await asyncio.sleep(TIMEOUT_S)
            return Error(StoreError(StoreErrorKind.UNKNOWN, 'response lost'))
        return result

    async def delete(
        self, *, key: str, expected_version: int | None
    ) -> Result[None, StoreError]:
        """Delete a value if it has the expected version."""
        error = await self._call(kind='delete')
        if error is not None:
            return Error(error)
        return self._model.delete(key, expected_version)

    async def list_keys(
        self, *, prefix: str, after: str = '', limit: int = 1000
    ) -> Result[Sequence[str], StoreError]:
        """List keys in order."""
        error = await self._call(kind='list')
        if error is not None:
            return Error(error)
        keys = sorted(
            key
            for key in self._model.values
            if key.startswith(prefix) and key > after
        )
        return Ok(keys[:limit])

    async def watch(
        self, *, key: str, after: int, timeout: float
    ) -> Result[StoredValue | None, StoreError]:
        """Wait until the version exceeds `after`; None on timeout."""
        error = await self._call(kind='watch')
        if error is not None:
            return Error(error)
        try:
            async with asyncio.timeout(timeout):
                stored = await self._model.wait_changed(key, after)
        except TimeoutError:
            stored = None
        if self.is_cut or self._model.is_down:
            return Error(
                StoreError(StoreErrorKind.UNAVAILABLE, 'watch was cut off')
            )
        return Ok(stored)
