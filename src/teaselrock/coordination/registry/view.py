"""What one instance knows of the installation: routes, servers, zones out.

`sync` writes it, admission and the choice of a server read it. Results are
cached, since each request asks.
"""

import asyncio
from collections import defaultdict
from collections.abc import Sequence

from teaselrock.coordination.registry.matching import RouteIndex
from teaselrock.state import BackendServer
from teaselrock.state.routes import EMPTY_TABLE
from teaselrock.state.routes import RoutingTable


class InstallationView:
    """`Readiness` port, and the servers that may get new work."""

    def __init__(self) -> None:
        self._table = EMPTY_TABLE
        self._index = RouteIndex(table=EMPTY_TABLE)
        self._servers: dict[str, BackendServer] = {}
        self._zones_out: frozenset[str] = frozenset()
        self._in_service: dict[str, tuple[BackendServer, ...]] | None = None
        self._is_stopping = False
        self._has_servers = False
        self._has_zones = False
        self._complete = asyncio.Event()

    @property
    def table(self) -> RoutingTable:
        """The routing table in force; version 0 if there is none."""
        return self._table

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
        """Whether this instance may accept new work."""
        return self.is_complete and not self._is_stopping

    @property
    def servers(self) -> Sequence[BackendServer]:
        """All registered servers, also those that may get no new work."""
        return tuple(self._servers.values())

    @property
    def zones_out(self) -> frozenset[str]:
        """Names of zones that are out of service."""
        return self._zones_out

    def backend_servers(self, *, service: str) -> tuple[BackendServer, ...]:
        """Servers of a service that are neither out nor leaving."""
        if self._in_service is None:
            found: defaultdict[str, list[BackendServer]] = defaultdict(list)
            for server in self._servers.values():
                if not server.leaving and (
                    server.zone.name not in self._zones_out
                ):
                    found[server.service].append(server)
            self._in_service = {
                name: tuple(servers) for name, servers in found.items()
            }
        return self._in_service.get(service, ())

    @property
    def in_service_counts(self) -> dict[str, int]:
        """Servers that may get new work, by service of the table."""
        return {
            name: len(self.backend_servers(service=name))
            for name in self._table.services
        }

    def server(self, server_id: str) -> BackendServer | None:
        """A registered server."""
        return self._servers.get(server_id)

    def may_serve(self, server: BackendServer) -> bool:
        """Whether the server may still get new work."""
        known = self._servers.get(server.server_id)
        return (
            known is not None
            and not known.leaving
            and known.address == server.address
            and known.zone.name not in self._zones_out
        )

    def adopt_table(self, table: RoutingTable) -> bool:
        """Put a newer table in force; an older one changes nothing."""
        if table.version <= self._table.version:
            return False
        self._table = table
        self._index = RouteIndex(table=table)
        self._note_complete()
        return True

    def put_server(self, server: BackendServer) -> None:
        """Add or replace a server."""
        self._servers[server.server_id] = server
        self._in_service = None

    def remove_server(self, server_id: str) -> None:
        """Forget a server."""
        self._servers.pop(server_id, None)
        self._in_service = None

    def set_zones_out(self, zones: frozenset[str]) -> None:
        """Set the zones that are out of service."""
        self._zones_out = zones
        self._in_service = None
        self._has_zones = True
        self._note_complete()

    def note_servers_read(self) -> None:
        """Note that the servers were read once."""
        self._has_servers = True
        self._note_complete()

    def stop(self) -> None:
        """Accept no new work."""
        self._is_stopping = True

    async def wait_complete(self) -> None:
        """Wait until routes, servers and zones have been read."""
        await self._complete.wait()

    def _note_complete(self) -> None:
        if self.is_complete:
            self._complete.set()
