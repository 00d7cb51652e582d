"""Caches of the groups' allocators and of the servers of each service.

Choosing a server must not cost more with more members or servers, so member
view and directory are read again only when they may have changed.
"""

import asyncio
from typing import NamedTuple

from teaselrock.coordination.ports import Directory
from teaselrock.coordination.ports import MemberView
from teaselrock.coordination.routing.zones import zone_order
from teaselrock.coordination.slots import placement
from teaselrock.coordination.slots.options import ServerGroup
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer


def distance(zone: AvailabilityZone, other_zone: AvailabilityZone) -> int:
    """0 within a zone, 1 within a region, else 2."""
    if zone == other_zone:
        return 0
    return 1 if zone.region == other_zone.region else 2


class GroupAllocators:
    """The allocator of each group according to this instance's member view."""

    def __init__(self, *, members: MemberView) -> None:
        self._members = members
        self._epoch = -1
        self._allocators: dict[ServerGroup, str | None] = {}

    def allocator_of(self, group: ServerGroup) -> str | None:
        """Id of the group's allocator, None without live members."""
        if self._epoch != self._members.epoch:
            self._epoch = self._members.epoch
            self._allocators.clear()
        if group not in self._allocators:
            self._allocators[group] = placement.group_allocator(
                key=group.key, zone=group.zone, live=self._members.live
            )
        return self._allocators[group]


class ServiceView(NamedTuple):
    """Servers of a service, cached `until` a loop time.

    `zones` are in order of preference.
    """

    servers: dict[str, BackendServer]
    zones: tuple[AvailabilityZone, ...]
    by_zone: dict[AvailabilityZone, list[BackendServer]]
    until: float


class ServerCatalogue:
    """Servers of each service, copied from the `Directory` at intervals."""

    def __init__(
        self,
        *,
        own_zone: AvailabilityZone,
        directory: Directory,
        refresh_interval_s: float,
    ) -> None:
        self._own_zone = own_zone
        self._directory = directory
        self._refresh_s = refresh_interval_s
        self._views: dict[str, ServiceView] = {}

    def groups(self) -> list[ServerGroup]:
        """Groups of all services of the configuration."""
        return [
            ServerGroup(service, zone)
            for service in self._directory.document['services']
            for zone in self.view(service).zones
        ]

    def view(self, service: str) -> ServiceView:
        """Servers of a service, at most `refresh_interval_s` old."""
        now = asyncio.get_running_loop().time()
        view = self._views.get(service)
        if view is not None and now < view.until:
            return view
        by_zone: dict[AvailabilityZone, list[BackendServer]] = {}
        servers = self._directory.backend_servers(service=service)
        for server in servers:
            by_zone.setdefault(server.zone, []).append(server)
        view = self._views[service] = ServiceView(
            {server.server_id: server for server in servers},
            zone_order(own_zone=self._own_zone, zones=by_zone),
            by_zone,
            now + self._refresh_s,
        )
        return view
