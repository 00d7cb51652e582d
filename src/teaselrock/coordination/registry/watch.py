"""Follows the store: one task for each kind of object.

`relay` starts and stops it, since only a few instances of a region watch.
"""

import asyncio
import random
from typing import Any
from typing import Final
from typing import Generic
from typing import TypeVar

from teaselrock.coordination.events import Event
from teaselrock.coordination.events import Events
from teaselrock.coordination.ports import ObjectSource
from teaselrock.coordination.ports import StoreErrorKind
from teaselrock.coordination.registry.mirror import Change
from teaselrock.coordination.registry.mirror import Mirror
from teaselrock.coordination.registry.mirror import UNKNOWN

T = TypeVar('T')

# A waiting call can be lost without a sign, for example while the store is
# silent; it is renewed often enough to be in step 3 s after the store is back.
WAIT_S: Final = 2.2
# The shortest wait shows for all kinds whether the store answers: another
# instance has to take over and pass a change on within 2 s.
SHORT_WAIT_S: Final = 0.7
# Changes within this time are fetched by one call.
BATCH_S: Final = 0.2
# Wait of a call after a failed one, which shows whether the store answers.
PROBE_WAIT_S: Final = 0.2
RETRY_MIN_S: Final = 0.25
RETRY_MAX_S: Final = 0.8


class StoreConnectivity:
    """Whether the store answers; shared by the kinds of one instance.

    After a failure one kind at a time tries again, because calls to a store
    that is down are priced like others.
    """

    def __init__(self, *, events: Events) -> None:
        self._events = events
        self._failing: dict[str, float] = {}
        self._has_succeeded = False
        self._reconnected_at = float('-inf')
        self._retry_lock = asyncio.Lock()

    @property
    def is_connected(self) -> bool:
        """Whether the last call of each kind succeeded."""
        return self._has_succeeded and not self._failing

    @property
    def reconnected_at(self) -> float:
        """When the store answered again, on the loop's clock."""
        return self._reconnected_at

    @property
    def retry_lock(self) -> asyncio.Lock:
        """Held by the kind that tries again."""
        return self._retry_lock

    def is_failing(self, kind: str) -> bool:
        """Whether the last call of a kind failed."""
        return kind in self._failing

    def reset(self) -> None:
        """Nothing is known until the next call."""
        self._has_succeeded = False
        self._failing.clear()

    def record_failure(self, *, kind: str, detail: str) -> None:
        """A call failed."""
        if kind not in self._failing:
            self._failing[kind] = asyncio.get_running_loop().time()
            self._events.emit(event=Event.STORE_LOST, kind=kind, detail=detail)

    def record_success(self, *, kind: str) -> None:
        """A call succeeded."""
        self._has_succeeded = True
        lost_at = self._failing.pop(kind, None)
        if lost_at is None:
            return
        now = asyncio.get_running_loop().time()
        self._events.emit(
            event=Event.STORE_REGAINED,
            kind=kind,
            seconds=round(now - lost_at, 3),
        )
        self._reconnected_at = now


class KindWatch(Generic[T]):
    """Follows the objects of one kind into a mirror."""

    def __init__(
        self,
        *,
        name: str,
        source: ObjectSource[T],
        mirror: Mirror[T],
        connectivity: StoreConnectivity,
        rng: random.Random,
        wait: float = WAIT_S,
    ) -> None:
        self._name = name
        self._source = source
        self._mirror = mirror
        self._connectivity = connectivity
        self._rng = rng
        self._wait = wait
        self._must_list = False

    async def run(self) -> None:
        """Follow until cancelled; the first call is a short one."""
        wait = PROBE_WAIT_S
        while True:
            if await self._step(wait):
                wait = self._wait
                continue
            wait = PROBE_WAIT_S
            delay = RETRY_MIN_S
            async with self._connectivity.retry_lock:
                while self._connectivity.is_failing(self._name):
                    await asyncio.sleep(delay * self._rng.uniform(0.5, 1.5))
                    delay = min(RETRY_MAX_S, delay * 2)
                    await self._step(wait)

    async def _step(self, wait: float) -> bool:
        """Make one call; False if the store did not answer."""
        after = self._mirror.revision
        if after == UNKNOWN or self._must_list:
            result = await self._source.list_all()
            after = UNKNOWN
        else:
            result = await self._source.changes(after=after, wait=wait)
        if result.is_error():
            if result.error.kind is StoreErrorKind.HISTORY_LOST:
                self._must_list = True
                return True
            self._connectivity.record_failure(
                kind=self._name, detail=result.error.detail
            )
            return False
        self._connectivity.record_success(kind=self._name)
        self._must_list = False
        self._mirror.apply(Change(after, result.ok))
        if result.ok.entries and after != UNKNOWN:
            await asyncio.sleep(BATCH_S)
        return True


class StoreWatch:
    """The watches of all kinds, started and stopped together."""

    def __init__(
        self,
        *,
        watches: tuple[KindWatch[Any], ...],
        connectivity: StoreConnectivity,
    ) -> None:
        self._watches = watches
        self._connectivity = connectivity
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def is_running(self) -> bool:
        """Whether this instance watches the store."""
        return bool(self._tasks)

    @property
    def is_connected(self) -> bool:
        """Whether this instance watches and the store answers."""
        return self.is_running and self._connectivity.is_connected

    def start(self) -> None:
        """Start to watch; a running watch is left alone."""
        if not self._tasks:
            self._connectivity.reset()
            self._tasks = [
                asyncio.create_task(watch.run()) for watch in self._watches
            ]

    async def stop(self) -> None:
        """End the tasks."""
        tasks, self._tasks = self._tasks, []
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
