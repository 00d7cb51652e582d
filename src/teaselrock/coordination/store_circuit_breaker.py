"""Circuit breaker in front of the platform's store.

`instance` puts it between the parts and the `Store` port, so that an outage
costs the store and this instance one probe at a time. A call that the open
breaker refuses is `UNAVAILABLE` and was never sent.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import Final
from typing import TypeVar

from expression import Error
from expression import Result

from teaselrock.coordination.ports import Store
from teaselrock.coordination.ports import StoredValue
from teaselrock.coordination.ports import StoreError
from teaselrock.coordination.ports import StoreErrorKind

T = TypeVar('T')

FAILURES_TO_OPEN: Final = 3
PROBE_INTERVAL_S: Final = 0.5
# Conflicts and refused sizes are answers of a store that works.
FAILURES: Final = frozenset(
    {StoreErrorKind.UNAVAILABLE, StoreErrorKind.UNKNOWN}
)
REFUSED: Final = StoreError(
    StoreErrorKind.UNAVAILABLE, 'the store has failed repeatedly'
)


class CircuitBreakerStore:
    """`Store` that stops calling a store that fails.

    After `FAILURES_TO_OPEN` failures in a row, one call each
    `PROBE_INTERVAL_S` (with jitter) goes through until one succeeds.
    """

    def __init__(self, *, store: Store, rng: random.Random) -> None:
        self._store = store
        self._rng = rng
        self._failures = 0
        self._probe_at = 0.0

    @property
    def is_open(self) -> bool:
        """Whether calls are refused until a probe succeeds."""
        return self._failures >= FAILURES_TO_OPEN

    async def get(self, *, key: str) -> Result[StoredValue | None, StoreError]:
        """Read a value."""
        return await self._call(lambda: self._store.get(key=key))

    async def put(
        self, *, key: str, value: bytes, expected_version: int | None
    ) -> Result[int, StoreError]:
        """Write at a version."""
        return await self._call(
            lambda: self._store.put(
                key=key, value=value, expected_version=expected_version
            )
        )

    async def delete(
        self, *, key: str, expected_version: int | None
    ) -> Result[None, StoreError]:
        """Delete at a version."""
        return await self._call(
            lambda: self._store.delete(
                key=key, expected_version=expected_version
            )
        )

    async def list_keys(
        self, *, prefix: str, after: str = '', limit: int = 1000
    ) -> Result[Sequence[str], StoreError]:
        """List keys in order."""
        return await self._call(
            lambda: self._store.list_keys(
                prefix=prefix, after=after, limit=limit
            )
        )

    async def watch(
        self, *, key: str, after: int, timeout: float
    ) -> Result[StoredValue | None, StoreError]:
        """Wait for a newer version; the few watches are not guarded."""
        return await self._store.watch(key=key, after=after, timeout=timeout)

    async def _call(
        self, send: Callable[[], Awaitable[Result[T, StoreError]]]
    ) -> Result[T, StoreError]:
        now = asyncio.get_running_loop().time()
        if self.is_open:
            if now < self._probe_at:
                return Error(REFUSED)
            jitter = self._rng.uniform(1.0, 1.5)
            self._probe_at = now + PROBE_INTERVAL_S * jitter
        result = await send()
        if result.is_error() and result.error.kind in FAILURES:
            self._failures += 1
        else:
            self._failures = 0
        return result
