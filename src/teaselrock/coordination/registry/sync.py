"""Applies changes in the store to the view of the installation.

`watch` and `relay` apply changes to the mirrors, which call back here. After
an outage of the store, and after its restore from an older copy, what is
missing is kept for a grace period, since its writers write it again.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from typing import Any
from typing import Final

from teaselrock.coordination.events import Event
from teaselrock.coordination.events import Events
from teaselrock.coordination.ports import ObjectEntry
from teaselrock.coordination.registry.delayed_actions import DelayedActions
from teaselrock.coordination.registry.freshness import TableFreshness
from teaselrock.coordination.registry.mirror import Change
from teaselrock.coordination.registry.mirror import Mirror
from teaselrock.coordination.registry.precedence import newer_server
from teaselrock.coordination.registry.precedence import newer_table
from teaselrock.coordination.registry.view import InstallationView
from teaselrock.coordination.registry.view import TableOrigin
from teaselrock.coordination.registry.watch import StoreConnectivity
from teaselrock.state import BackendServer
from teaselrock.state.routes import RoutingTable

# Running servers register again within about 2 s after a store outage, so they
# are not removed until this long after it.
REGISTRATION_GRACE_S: Final = 2.5
# A restored store also has entries of servers that have left since the copy.
# It removes them after three missed heartbeats of 1.5 s, so that an entry
# that is still there later belongs to a running server.
DEPARTED_ENTRY_S: Final = 6.0
# Servers that left are remembered up to this number.
MAX_DEPARTED: Final = 10_000


class InstallationSync:
    """Updates the view of the installation on each change of a mirror.

    `on_removed` is called with the id of each server that is removed or whose
    process has started again, `on_restored` after a restore of the store.
    """

    def __init__(
        self,
        *,
        view: InstallationView,
        connectivity: StoreConnectivity,
        events: Events,
        on_removed: Callable[[str], None],
        on_restored: Callable[[], None] = lambda: None,
    ) -> None:
        self._view = view
        self._connectivity = connectivity
        self._events = events
        self._on_removed = on_removed
        self._on_restored = on_restored
        self._era: int | None = None
        self._restored_at = float('-inf')
        self._removals = DelayedActions()
        self._returns = DelayedActions()
        self._zone_returns = DelayedActions()
        # Starts of the servers that left, by id.
        self._departed: OrderedDict[str, int] = OrderedDict()
        self._zones_out_by_key: dict[str, str] = {}
        self._tables = Mirror(on_change=self._apply_tables, newer=newer_table)
        self._servers = Mirror(
            on_change=self._apply_servers, newer=newer_server
        )
        self._zones_out = Mirror(on_change=self._apply_zones)

    @property
    def era(self) -> int:
        """Era of the store that the mirrors follow, 0 if it is unknown."""
        return self._era or 0

    @property
    def tables(self) -> Mirror[RoutingTable]:
        """Mirror of the routing table."""
        return self._tables

    @property
    def table_freshness(self) -> TableFreshness:
        """Whether the routing table is known to be that in the store."""
        return self._view.table_freshness

    @property
    def servers(self) -> Mirror[BackendServer]:
        """Mirror of the servers' registrations."""
        return self._servers

    @property
    def zones_out(self) -> Mirror[str]:
        """Mirror of the zones that are out of service."""
        return self._zones_out

    def stop(self) -> None:
        """Cancel pending changes of the view."""
        for timers in (self._removals, self._returns, self._zone_returns):
            timers.stop()

    def _observe_era(self, change: Change[Any]) -> None:
        """Note a restore of the store, which the change may be the first of.

        Each kind of object is listed on its own, so that the others may still
        be in the former era.
        """
        position = change.listing.position
        if self._era is not None and position.era > self._era:
            self._restored_at = asyncio.get_running_loop().time()
            self._events.emit(
                event=Event.STORE_RESTORED,
                era=position.era,
                former_era=self._era,
                revision=position.revision,
            )
            self._on_restored()
        if self._era is None or position.era > self._era:
            self._era = position.era

    def _remaining_grace(self) -> float:
        """Seconds for which objects that are missing are kept."""
        begun_at = max(self._connectivity.reconnected_at, self._restored_at)
        now = asyncio.get_running_loop().time()
        return max(0.0, begun_at + REGISTRATION_GRACE_S - now)

    def _apply_tables(self, change: Change[RoutingTable]) -> None:
        self._observe_era(change)
        for entry in change.listing.entries:
            if entry.value is not None and self._view.put_table_in_force(
                entry.value,
                origin=TableOrigin(
                    change.source, asyncio.get_running_loop().time()
                ),
            ):
                self._events.emit(
                    event=Event.ROUTES_IN_FORCE,
                    version=entry.value.version,
                    routes=len(entry.value.routes),
                    source=change.source,
                )

    def _apply_servers(self, change: Change[BackendServer]) -> None:
        self._observe_era(change)
        entries = change.listing.entries
        for entry in entries:
            if change.is_snapshot and self._has_departed(entry):
                self._returns.schedule(
                    entry.name,
                    delay=DEPARTED_ENTRY_S,
                    action=self._return_server,
                )
            else:
                self._apply_server(entry)
        if change.is_snapshot:
            listed = {entry.name for entry in entries if entry.value}
            for server in self._view.servers:
                if server.server_id not in listed:
                    self._schedule_removal(server.server_id)
            self._view.mark_servers_read()

    def _has_departed(self, entry: ObjectEntry[BackendServer]) -> bool:
        """Whether an entry may be that of a server that has left.

        A restored store lists it again although its process has left.
        """
        now = asyncio.get_running_loop().time()
        return (
            entry.value is not None
            and now - self._restored_at < DEPARTED_ENTRY_S
            and self._view.server(entry.name) is None
            and self._departed.get(entry.name) == entry.value.started_at
        )

    def _return_server(self, server_id: str) -> None:
        """Use a server whose entry the restored store has kept."""
        entry = self._servers.entry(server_id)
        if entry is not None:
            self._apply_server(entry)

    def _apply_server(self, entry: ObjectEntry[BackendServer]) -> None:
        self._returns.cancel(entry.name)
        if entry.value is None:
            self._schedule_removal(entry.name)
            return
        self._removals.cancel(entry.name)
        known = self._view.server(entry.name)
        if known == entry.value:
            return
        former_start = self._departed.pop(entry.name, None)
        if known is not None:
            former_start = known.started_at
        if former_start not in (None, entry.value.started_at):
            # Nothing that is known of the former process holds for this one,
            # nor what its last responses told after it was removed.
            self._on_removed(entry.name)
        self._view.put_server(entry.value)
        self._events.emit(
            event=(
                Event.SERVER_DRAINS
                if entry.value.is_draining
                else Event.SERVER_REGISTERED
            ),
            server=entry.name,
            service=entry.value.service,
            zone=str(entry.value.zone),
        )

    def _schedule_removal(self, server_id: str) -> None:
        """Remove a server whose entry was deleted or is unreadable.

        After an outage of the store the removal is delayed, since running
        servers register again.
        """
        server = self._view.server(server_id)
        if server is None:
            return
        grace_s = self._remaining_grace()
        if grace_s <= 0 or server.is_draining:
            self._removals.cancel(server_id)
            self._remove(server_id)
            return
        self._removals.schedule(server_id, delay=grace_s, action=self._remove)

    def _remove(self, server_id: str) -> None:
        server = self._view.server(server_id)
        if server is not None:
            self._departed[server_id] = server.started_at
            self._departed.move_to_end(server_id)
            if len(self._departed) > MAX_DEPARTED:
                self._departed.popitem(last=False)
        self._view.remove_server(server_id)
        self._on_removed(server_id)
        self._events.emit(event=Event.SERVER_GONE, server=server_id)

    def _apply_zones(self, change: Change[str]) -> None:
        self._observe_era(change)
        for entry in change.listing.entries:
            self._zone_returns.cancel(entry.name)
            if entry.value is None:
                self._zones_out_by_key.pop(entry.name, None)
            else:
                self._zones_out_by_key[entry.name] = entry.value
        if change.is_snapshot:
            listed = {entry.name for entry in change.listing.entries}
            for key in self._zones_out_by_key.keys() - listed:
                self._schedule_zone_return(key)
        self._update_zones()

    def _schedule_zone_return(self, key: str) -> None:
        """Put a zone back into service whose object is no longer listed.

        After a restore of the store the operator may yet write it again.
        """
        now = asyncio.get_running_loop().time()
        grace_s = self._restored_at + REGISTRATION_GRACE_S - now
        if grace_s <= 0:
            del self._zones_out_by_key[key]
            return
        self._zone_returns.schedule(
            key, delay=grace_s, action=self._return_zone
        )

    def _return_zone(self, key: str) -> None:
        self._zones_out_by_key.pop(key, None)
        self._update_zones()

    def _update_zones(self) -> None:
        zones = frozenset(self._zones_out_by_key.values())
        if zones != self._view.zones_out:
            self._events.emit(
                event=Event.ZONES_OUT, zones=', '.join(sorted(zones))
            )
        self._view.set_zones_out(zones)
