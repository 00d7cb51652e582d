"""Watches the store by long polling, one task for each kind of object.

`relay` starts and stops the watch: normally one instance of a region watches
the store and sends the changes to the others.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
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
from teaselrock.coordination.registry.mirror import NO_POSITION

T = TypeVar('T')

# Wait of a long poll. A waiting call can be lost without an error, for example
# while the store hangs, so it is renewed often enough to be current 3 s after
# the store is back.
POLL_WAIT_S: Final = 2.2
# One kind polls with this shorter wait, which detects an outage for all kinds:
# another instance must take over and relay a change within 2 s.
SHORT_POLL_WAIT_S: Final = 0.7
# Delay after a change, so that one call fetches several changes.
BATCH_DELAY_S: Final = 0.2
# Wait of the first long poll and of a retry, which test whether the store
# answers.
PROBE_WAIT_S: Final = 0.2
# Delay between calls while the store fails; it doubles up to the maximum.
RETRY_MIN_S: Final = 0.25
RETRY_MAX_S: Final = 0.8


class StoreConnectivity:
    """Whether the store answers; shared by the `KindWatch`es of one instance.

    After a failure one `KindWatch` at a time retries, because calls to a
    store that is down are billed like others.
    """

    def __init__(self, *, events: Events) -> None:
        self._events = events
        self._failed_at: dict[str, float] = {}
        # Kinds without a successful call since the watch was started.
        self._unanswered: set[str] = set()
        self._reconnected_at = float('-inf')
        self._retry_lock = asyncio.Lock()

    @property
    def is_connected(self) -> bool:
        """Whether the last call of each kind succeeded."""
        return not self._unanswered and not self._failed_at

    @property
    def reconnected_at(self) -> float:
        """When calls of a kind last succeeded again, on the loop's clock."""
        return self._reconnected_at

    @property
    def retry_lock(self) -> asyncio.Lock:
        """Held by the watch that retries."""
        return self._retry_lock

    def is_failing(self, kind: str) -> bool:
        """Whether the last call of a kind failed."""
        return kind in self._failed_at

    def reset(self, *, kinds: Iterable[str]) -> None:
        """Discard the results of earlier calls of these kinds.

        The mirror of a kind may be old until its first call succeeds.
        """
        self._unanswered = set(kinds)
        self._failed_at.clear()

    def record_failure(self, *, kind: str, detail: str) -> None:
        """Record a failed call of a kind."""
        if kind not in self._failed_at:
            self._failed_at[kind] = asyncio.get_running_loop().time()
            self._events.emit(event=Event.STORE_LOST, kind=kind, detail=detail)

    def record_success(self, *, kind: str) -> None:
        """Record a successful call of a kind."""
        self._unanswered.discard(kind)
        lost_at = self._failed_at.pop(kind, None)
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
    """Watches the objects of one kind and applies changes to a mirror.

    `wait` is that of a long poll, in seconds. `on_current` is called after
    each response that the mirror has applied, with a time on the loop's clock
    at which the mirror was current.
    """

    def __init__(
        self,
        *,
        name: str,
        source: ObjectSource[T],
        mirror: Mirror[T],
        connectivity: StoreConnectivity,
        rng: random.Random,
        wait: float = POLL_WAIT_S,
        on_current: Callable[[float], None] = lambda at: None,
    ) -> None:
        self._name = name
        self._source = source
        self._mirror = mirror
        self._connectivity = connectivity
        self._rng = rng
        self._wait = wait
        self._on_current = on_current
        self._needs_listing = False
        self._has_just_listed = False

    @property
    def name(self) -> str:
        """Name of the kind."""
        return self._name

    async def run(self) -> None:
        """Poll until cancelled, at first with a short wait."""
        wait = PROBE_WAIT_S
        while True:
            if await self._poll(wait):
                wait = self._wait
                continue
            wait = PROBE_WAIT_S
            retry_delay = RETRY_MIN_S
            async with self._connectivity.retry_lock:
                while self._connectivity.is_failing(self._name):
                    await asyncio.sleep(
                        retry_delay * self._rng.uniform(0.5, 1.5)
                    )
                    retry_delay = min(RETRY_MAX_S, retry_delay * 2)
                    await self._poll(wait)

    async def _poll(self, wait: float) -> bool:
        """Make one call to the store; False if it failed.

        An unexpected error, for example of a decoder, must not end the watch
        without a sign. The objects are then listed again.
        """
        try:
            return await self._follow_once(wait)
        except Exception as error:
            self._needs_listing = True
            self._connectivity.record_failure(
                kind=self._name, detail=f'unexpected error: {error!r}'
            )
            return False

    async def _follow_once(self, wait: float) -> bool:
        loop = asyncio.get_running_loop()
        after = self._mirror.position
        if after == NO_POSITION or self._needs_listing:
            if self._has_just_listed:
                # A listing that does not help must not be repeated at once.
                await asyncio.sleep(RETRY_MIN_S)
            sent_at = loop.time()
            result = await self._source.list_all()
            after = NO_POSITION
        else:
            sent_at = loop.time()
            result = await self._source.wait_for_changes(
                after=after, wait=wait
            )
        if result.is_error():
            if result.error.kind is StoreErrorKind.HISTORY_LOST:
                # The store has answered, so no retry delay is due.
                self._connectivity.record_success(kind=self._name)
                self._needs_listing = True
                return True
            self._connectivity.record_failure(
                kind=self._name, detail=result.error.detail
            )
            return False
        self._connectivity.record_success(kind=self._name)
        is_listing = after == NO_POSITION
        self._has_just_listed = is_listing
        self._needs_listing = not self._mirror.apply(Change(after, result.ok))
        if not self._needs_listing:
            # A response may take long to arrive. One without changes was not
            # made before the end of the wait.
            is_empty_poll = not (result.ok.entries or is_listing)
            made_at = sent_at + wait if is_empty_poll else sent_at
            self._on_current(min(made_at, loop.time()))
        if result.ok.entries and not is_listing:
            await asyncio.sleep(BATCH_DELAY_S)
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
        """Start the tasks, unless they are running."""
        if not self._tasks:
            self._connectivity.reset(
                kinds=(watch.name for watch in self._watches)
            )
            self._tasks = [
                asyncio.create_task(watch.run()) for watch in self._watches
            ]

    async def stop(self) -> None:
        """Cancel the tasks and wait for their end."""
        tasks, self._tasks = self._tasks, []
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
