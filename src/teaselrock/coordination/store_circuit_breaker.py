"""Circuit breaker in front of the platform's store.

`instance` puts it between the components and the `Store` port. During an
outage at most one call per `PROBE_INTERVAL_S` is sent, as a probe. Calls that
the open breaker refuses fail with `UNAVAILABLE` and are never sent.
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

# Failed calls in a row after which calls are refused.
FAILURES_TO_OPEN: Final = 3
PROBE_INTERVAL_S: Final = 0.5
# Other errors, such as conflicts and refused sizes, are answers of the store.
FAILURE_KINDS: Final = frozenset(
    {StoreErrorKind.UNAVAILABLE, StoreErrorKind.UNKNOWN}
)
CIRCUIT_OPEN_ERROR: Final = StoreError(
    StoreErrorKind.UNAVAILABLE,
    f'circuit breaker is open: {FAILURES_TO_OPEN} calls to the store or more '
    'failed in a row',
)


class CircuitBreakerStore:
    """`Store` that refuses calls while the underlying store fails.

    It opens after `FAILURES_TO_OPEN` failures in a row. While it is open, one
    call per `PROBE_INTERVAL_S`, with jitter, is sent as a probe; the first
    success closes it.
    """

    def __init__(self, *, store: Store, rng: random.Random) -> None:
        self._store = store
        self._rng = rng
        self._consecutive_failures = 0
        self._probe_at = 0.0

    @property
    def is_open(self) -> bool:
        """Whether calls are refused until a probe succeeds."""
        return self._consecutive_failures >= FAILURES_TO_OPEN

    async def get(self, *, key: str) -> Result[StoredValue | None, StoreError]:
        """Read a value."""
        return await self._call(lambda: self._store.get(key=key))

    async def put(
        self, *, key: str, value: bytes, expected_version: int | None
    ) -> Result[int, StoreError]:
        """Write a value; see `Store.put`."""
        return await self._call(
            lambda: self._store.put(
                key=key, value=value, expected_version=expected_version
            )
        )

    async def delete(
        self, *, key: str, expected_version: int | None
    ) -> Result[None, StoreError]:
        """Delete a key; see `Store.delete`."""
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
        """Wait for a newer version; sent also while the breaker is open.

        An instance has at most one watch, which retries with a delay.
        """
        return await self._store.watch(key=key, after=after, timeout=timeout)

    async def _call(
        self, send: Callable[[], Awaitable[Result[T, StoreError]]]
    ) -> Result[T, StoreError]:
        now = asyncio.get_running_loop().time()
        if self.is_open:
            if now < self._probe_at:
                return Error(CIRCUIT_OPEN_ERROR)
            jitter = self._rng.uniform(1.0, 1.5)
            self._probe_at = now + PROBE_INTERVAL_S * jitter
        result = await send()
        if result.is_error() and result.error.kind in FAILURE_KINDS:
            self._consecutive_failures += 1
        else:
            self._consecutive_failures = 0
        return result
