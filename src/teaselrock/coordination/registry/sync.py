"""Keeps the view of the installation in step with the store.

One task for each kind of object lists it once and then waits for changes.
`ServerLapses` decides when an entry that disappeared counts as gone.
"""

import asyncio
from collections.abc import Callable
import random
from typing import Final
from typing import Generic
from typing import TypeVar

from teaselrock.coordination.events import Event
from teaselrock.coordination.events import Events
from teaselrock.coordination.ports import Entry
from teaselrock.coordination.ports import Listing
from teaselrock.coordination.ports import ObjectSource
from teaselrock.coordination.ports import StoreErrorKind
from teaselrock.coordination.registry.view import InstallationView
from teaselrock.state import BackendServer
from teaselrock.state.routes import RoutingTable

T = TypeVar('T')

# A waiting call can be lost without a sign, for example while the store is
# silent; it is renewed often enough to be in step 3 s after the store is back.
WAIT_S: Final = 2.2
# Changes within this time are fetched by one call.
BATCH_S: Final = 0.2
# Wait of a call after a failed one, which shows whether the store answers.
PROBE_WAIT_S: Final = 0.2
RETRY_MIN_S: Final = 0.25
RETRY_MAX_S: Final = 0.8
# Servers that live register again within about 2 s of the store's return.
LAPSE_GRACE_S: Final = 2.5


class KindSync(Generic[T]):
    """Follows the objects of one kind."""

    def __init__(
        self,
        *,
        name: str,
        source: ObjectSource[T],
        apply: Callable[[Listing[T], bool], None],
        events: Events,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._source = source
        self._apply = apply
        self._events = events
        self._rng = rng
        self._lost_at: float | None = None
        self._regained_at = float('-inf')

    @property
    def is_connected(self) -> bool:
        """Whether the last call succeeded."""
        return self._lost_at is None

    @property
    def regained_at(self) -> float:
        """When the store answered again, on the loop's clock."""
        return self._regained_at

    async def run(self) -> None:
        """Follow until cancelled."""
        revision: int | None = None
        delay = RETRY_MIN_S
        while True:
            wait = WAIT_S if self.is_connected else PROBE_WAIT_S
            result = (
                await self._source.list_all()
                if revision is None
                else await self._source.changes(after=revision, wait=wait)
            )
            if result.is_error():
                if result.error.kind is StoreErrorKind.HISTORY_LOST:
                    revision = None
                    continue
                self._note_lost(result.error.detail)
                await asyncio.sleep(delay * self._rng.uniform(0.5, 1.5))
                delay = min(RETRY_MAX_S, delay * 2)
                continue
            delay = RETRY_MIN_S
            self._note_contact()
            self._apply(result.ok, revision is None)
            revision = result.ok.revision
            if result.ok.entries:
                await asyncio.sleep(BATCH_S)

    def _note_lost(self, detail: str) -> None:
        if self._lost_at is None:
            self._lost_at = asyncio.get_running_loop().time()
            self._events.emit(
                event=Event.STORE_LOST, kind=self._name, detail=detail
            )

    def _note_contact(self) -> None:
        if self._lost_at is None:
            return
        now = asyncio.get_running_loop().time()
        self._events.emit(
            event=Event.STORE_REGAINED,
            kind=self._name,
            seconds=round(now - self._lost_at, 3),
        )
        self._lost_at = None
        self._regained_at = now


class InstallationSync:
    """Tasks that keep an `InstallationView` in step with the store."""

    def __init__(
        self,
        *,
        view: InstallationView,
        tables: ObjectSource[RoutingTable],
        servers: ObjectSource[BackendServer],
        zones_out: ObjectSource[str],
        events: Events,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._events = events
        self._lapsed: dict[str, asyncio.TimerHandle] = {}
        self._zones: dict[str, str] = {}
        self._tables = KindSync(
            name='routes',
            source=tables,
            apply=self._apply_tables,
            events=events,
            rng=rng,
        )
        self._servers = KindSync(
            name='servers',
            source=servers,
            apply=self._apply_servers,
            events=events,
            rng=rng,
        )
        self._zones_out = KindSync(
            name='zones-out',
            source=zones_out,
            apply=self._apply_zones,
            events=events,
            rng=rng,
        )
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def is_connected(self) -> bool:
        """Whether the store answered the last call of each kind."""
        return (
            self._tables.is_connected
            and self._servers.is_connected
            and self._zones_out.is_connected
        )

    def start(self) -> None:
        """Start one task for each kind."""
        self._tasks = [
            asyncio.create_task(self._tables.run()),
            asyncio.create_task(self._servers.run()),
            asyncio.create_task(self._zones_out.run()),
        ]

    async def stop(self) -> None:
        """End the tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for handle in self._lapsed.values():
            handle.cancel()
        self._lapsed.clear()

    def _apply_tables(
        self, listing: Listing[RoutingTable], is_whole: bool
    ) -> None:
        for entry in listing.entries:
            if entry.value is not None and self._view.adopt_table(entry.value):
                self._events.emit(
                    event=Event.ROUTES_IN_FORCE, version=entry.value.version
                )

    def _apply_servers(
        self, listing: Listing[BackendServer], is_whole: bool
    ) -> None:
        for entry in listing.entries:
            self._apply_server(entry)
        if is_whole:
            listed = {one.name for one in listing.entries if one.value}
            for server in self._view.servers:
                if server.server_id not in listed:
                    self._lapse(server.server_id)
            self._view.note_servers_read()

    def _apply_server(self, entry: Entry[BackendServer]) -> None:
        if entry.value is None:
            self._lapse(entry.name)
            return
        timer = self._lapsed.pop(entry.name, None)
        if timer is not None:
            timer.cancel()
        if self._view.server(entry.name) == entry.value:
            return
        self._view.put_server(entry.value)
        self._events.emit(
            event=(
                Event.SERVER_DRAINS
                if entry.value.leaving
                else Event.SERVER_REGISTERED
            ),
            server=entry.name,
            service=entry.value.service,
            zone=str(entry.value.zone),
        )

    def _lapse(self, server_id: str) -> None:
        """An entry disappeared: now, or after the grace that follows an
        outage, during which live servers register again.
        """
        loop = asyncio.get_running_loop()
        if server_id in self._lapsed:
            return
        known = self._view.server(server_id)
        grace = self._servers.regained_at + LAPSE_GRACE_S - loop.time()
        if grace <= 0 or known is None or known.leaving:
            self._remove(server_id)
            return
        self._lapsed[server_id] = loop.call_later(
            grace, self._remove, server_id
        )

    def _remove(self, server_id: str) -> None:
        self._lapsed.pop(server_id, None)
        self._view.remove_server(server_id)
        self._events.emit(event=Event.SERVER_GONE, server=server_id)

    def _apply_zones(self, listing: Listing[str], is_whole: bool) -> None:
        if is_whole:
            self._zones = {}
        for entry in listing.entries:
            if entry.value is None:
                self._zones.pop(entry.name, None)
            else:
                self._zones[entry.name] = entry.value
        zones = frozenset(self._zones.values())
        if zones != self._view.zones_out:
            self._events.emit(
                event=Event.ZONES_OUT, zones=', '.join(sorted(zones))
            )
        self._view.set_zones_out(zones)
