"""View of the installation: routing table, servers, zones out of service.

`sync` writes it; admission and the choice of a server read it. Servers in
service are cached, since each request needs them.
"""

import asyncio
from collections import defaultdict
from collections.abc import Sequence
from typing import NamedTuple

from teaselrock.coordination.registry.freshness import TableFreshness
from teaselrock.coordination.registry.matching import RouteIndex
from teaselrock.state import BackendServer
from teaselrock.state.routes import EMPTY_TABLE
from teaselrock.state.routes import RoutingTable


class TableOrigin(NamedTuple):
    """Where an instance has its routing table from.

    `source` is the store or the id of an instance, '' if there is no table;
    `in_force_since` is on the loop's clock.
    """

    source: str = ''
    in_force_since: float = 0.0


class InstallationView:
    """Routes and servers of this instance; implements `Readiness`.

    `InstallationSync` updates it from the objects in the installation's store.
    `LiveDirectory` is updated from the operators' configuration instead.
    """

    def __init__(self) -> None:
        self._table = EMPTY_TABLE
        self._index = RouteIndex(table=EMPTY_TABLE)
        self._table_origin = TableOrigin()
        self._table_freshness = TableFreshness()
        self._servers: dict[str, BackendServer] = {}
        self._zones_out: frozenset[str] = frozenset()
        self._in_service_cache: dict[str, tuple[BackendServer, ...]] | None = (
            None
        )
        self._is_stopping = False
        self._has_servers = False
        self._has_zones = False
        self._complete = asyncio.Event()

    @property
    def table(self) -> RoutingTable:
        """The routing table in force; version 0 if there is none."""
        return self._table

    @property
    def table_origin(self) -> TableOrigin:
        """Source of the routing table in force, and since when it is."""
        return self._table_origin

    @property
    def table_freshness(self) -> TableFreshness:
        """Whether the routing table is known to be that in the store."""
        return self._table_freshness

    @property
    def index(self) -> RouteIndex:
        """Index of the routing table in force."""
        return self._index

    @property
    def is_complete(self) -> bool:
        """Whether routes, servers and zones have been read."""
        return (
            self._table.version > 0 and self._has_servers and self._has_zones
        )

    @property
    def is_ready(self) -> bool:
        """Whether this instance may accept new requests."""
        return self.is_complete and not self._is_stopping

    @property
    def servers(self) -> Sequence[BackendServer]:
        """All registered servers, including those out of service."""
        return tuple(self._servers.values())

    @property
    def zones_out(self) -> frozenset[str]:
        """Names of zones out of service, without the region."""
        return self._zones_out

    def backend_servers(self, *, service: str) -> tuple[BackendServer, ...]:
        """Servers in service: not draining, and in a zone in service.

        `is_draining` comes from a server's registration; the state `DRAINING`
        in a load report has no effect here.
        """
        if self._in_service_cache is None:
            servers_by_service: defaultdict[str, list[BackendServer]] = (
                defaultdict(list)
            )
            for server in self._servers.values():
                if not server.is_draining and (
                    server.zone.name not in self._zones_out
                ):
                    servers_by_service[server.service].append(server)
            self._in_service_cache = {
                name: tuple(servers)
                for name, servers in servers_by_service.items()
            }
        return self._in_service_cache.get(service, ())

    @property
    def in_service_counts(self) -> dict[str, int]:
        """Number of servers in service, by service of the routing table."""
        return {
            name: len(self.backend_servers(service=name))
            for name in self._table.services
        }

    def server(self, server_id: str) -> BackendServer | None:
        """The registered server with this id, None if there is none."""
        return self._servers.get(server_id)

    def may_serve(self, server: BackendServer) -> bool:
        """Whether the server is in service at the same address."""
        registered = self._servers.get(server.server_id)
        return (
            registered is not None
            and not registered.is_draining
            and registered.address == server.address
            and registered.zone.name not in self._zones_out
        )

    def put_table_in_force(
        self, table: RoutingTable, *, origin: TableOrigin = TableOrigin()
    ) -> bool:
        """Put a newer table in force; False if the version is not newer."""
        if table.version <= self._table.version:
            return False
        self._table = table
        self._index = RouteIndex(table=table)
        self._table_origin = origin
        self._set_if_complete()
        return True

    def put_server(self, server: BackendServer) -> None:
        """Add a server, or replace the one with the same id."""
        self._servers[server.server_id] = server
        self._in_service_cache = None

    def remove_server(self, server_id: str) -> None:
        """Remove a server; unknown ids are ignored."""
        self._servers.pop(server_id, None)
        self._in_service_cache = None

    def set_zones_out(self, zones: frozenset[str]) -> None:
        """Set the zones that are out of service."""
        self._zones_out = zones
        self._in_service_cache = None
        self._has_zones = True
        self._set_if_complete()

    def mark_servers_read(self) -> None:
        """Record that the servers have been read, for `is_complete`."""
        self._has_servers = True
        self._set_if_complete()

    def stop(self) -> None:
        """Accept no new requests; `is_ready` is False from now on."""
        self._is_stopping = True

    async def wait_complete(self) -> None:
        """Wait until routes, servers and zones have been read."""
        await self._complete.wait()

    def _set_if_complete(self) -> None:
        if self.is_complete:
            self._complete.set()
