"""Applies changes in the store to the view of the installation.

`watch` and `relay` apply changes to the mirrors, which call back here. After
an outage of the store, servers without an entry are kept for a grace period.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from teaselrock.coordination.events import Event
from teaselrock.coordination.events import Events
from teaselrock.coordination.ports import ObjectEntry
from teaselrock.coordination.registry.mirror import Change
from teaselrock.coordination.registry.mirror import Mirror
from teaselrock.coordination.registry.view import InstallationView
from teaselrock.coordination.registry.watch import StoreConnectivity
from teaselrock.state import BackendServer
from teaselrock.state.routes import RoutingTable

# Running servers register again within about 2 s after a store outage, so they
# are not removed until this long after it.
REGISTRATION_GRACE_S: Final = 2.5


class InstallationSync:
    """Updates the view of the installation on each change of a mirror.

    `on_removed` is called with the id of each server that is removed or whose
    process has started again.
    """

    def __init__(
        self,
        *,
        view: InstallationView,
        connectivity: StoreConnectivity,
        events: Events,
        on_removed: Callable[[str], None],
    ) -> None:
        self._view = view
        self._connectivity = connectivity
        self._events = events
        self._on_removed = on_removed
        self._removals: dict[str, asyncio.TimerHandle] = {}
        self._zones_out_by_key: dict[str, str] = {}
        self._tables = Mirror(on_change=self._apply_tables)
        self._servers = Mirror(on_change=self._apply_servers)
        self._zones_out = Mirror(on_change=self._apply_zones)

    @property
    def tables(self) -> Mirror[RoutingTable]:
        """Mirror of the routing table."""
        return self._tables

    @property
    def servers(self) -> Mirror[BackendServer]:
        """Mirror of the servers' registrations."""
        return self._servers

    @property
    def zones_out(self) -> Mirror[str]:
        """Mirror of the zones that are out of service."""
        return self._zones_out

    def stop(self) -> None:
        """Cancel pending removals of servers."""
        for handle in self._removals.values():
            handle.cancel()
        self._removals.clear()

    def _apply_tables(self, change: Change[RoutingTable]) -> None:
        for entry in change.listing.entries:
            if entry.value is not None and self._view.put_table_in_force(
                entry.value
            ):
                self._events.emit(
                    event=Event.ROUTES_IN_FORCE, version=entry.value.version
                )

    def _apply_servers(self, change: Change[BackendServer]) -> None:
        entries = change.listing.entries
        for entry in entries:
            self._apply_server(entry)
        if change.is_snapshot:
            listed = {entry.name for entry in entries if entry.value}
            for server in self._view.servers:
                if server.server_id not in listed:
                    self._schedule_removal(server.server_id)
            self._view.mark_servers_read()

    def _apply_server(self, entry: ObjectEntry[BackendServer]) -> None:
        if entry.value is None:
            self._schedule_removal(entry.name)
            return
        timer = self._removals.pop(entry.name, None)
        if timer is not None:
            timer.cancel()
        known = self._view.server(entry.name)
        if known == entry.value:
            return
        if known is not None and known.started_at != entry.value.started_at:
            # Nothing that is known of the former process holds for this one.
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
        loop = asyncio.get_running_loop()
        server = self._view.server(server_id)
        if server is None or server_id in self._removals:
            return
        grace_s = (
            self._connectivity.reconnected_at
            + REGISTRATION_GRACE_S
            - loop.time()
        )
        if grace_s <= 0 or server.is_draining:
            self._remove(server_id)
            return
        self._removals[server_id] = loop.call_later(
            grace_s, self._remove, server_id
        )

    def _remove(self, server_id: str) -> None:
        self._removals.pop(server_id, None)
        self._view.remove_server(server_id)
        self._on_removed(server_id)
        self._events.emit(event=Event.SERVER_GONE, server=server_id)

    def _apply_zones(self, change: Change[str]) -> None:
        if change.is_snapshot:
            self._zones_out_by_key = {}
        for entry in change.listing.entries:
            if entry.value is None:
                self._zones_out_by_key.pop(entry.name, None)
            else:
                self._zones_out_by_key[entry.name] = entry.value
        zones = frozenset(self._zones_out_by_key.values())
        if zones != self._view.zones_out:
            self._events.emit(
                event=Event.ZONES_OUT, zones=', '.join(sorted(zones))
            )
        self._view.set_zones_out(zones)
