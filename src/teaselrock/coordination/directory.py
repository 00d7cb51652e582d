"""Configuration in force and the servers that may get new work.

`LiveDirectory` implements the `Directory` port from the configuration, the
facts and the platform list. Results are cached, since each request asks.
"""

import asyncio
from collections import defaultdict
from collections.abc import Sequence
from typing import Final

from teaselrock.coordination.dissemination import ConfigurationSync
from teaselrock.coordination.dissemination import FactTable
from teaselrock.coordination.dissemination import INSTANCE
from teaselrock.coordination.dissemination import SERVER
from teaselrock.coordination.membership import Membership
from teaselrock.coordination.ports import PlatformList
from teaselrock.state import BackendServer
from teaselrock.state.configuration import Document

POLL_S: Final = 1.0

_CacheKey = tuple[int, int, int]


class LiveDirectory:
    """`Directory` port of one instance."""

    def __init__(
        self,
        *,
        configuration: ConfigurationSync,
        facts: FactTable,
        membership: Membership,
        platform: PlatformList,
    ) -> None:
        self._configuration = configuration
        self._facts = facts
        self._membership = membership
        self._platform = platform
        self._listed: tuple[BackendServer, ...] = ()
        self._list_epoch = 0
        self._cached_at: _CacheKey = (-1, -1, -1)
        self._cached: dict[str, tuple[BackendServer, ...]] = {}
        self._is_stopping = False
        self._poll: asyncio.Task[None] | None = None

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 if there is none."""
        return self._configuration.version

    @property
    def document(self) -> Document:
        """The configuration in force."""
        return self._configuration.document

    @property
    def is_ready(self) -> bool:
        """Whether this instance may accept new work."""
        own = self._membership.own
        document = self._configuration.document
        return (
            not self._is_stopping
            and self._configuration.has_configuration
            and not self._membership.is_isolated
            and own.instance_id not in document['out_instances']
            and str(own.zone) not in document['out_zones']
        )

    def backend_servers(self, *, service: str) -> Sequence[BackendServer]:
        """Servers of a service that are neither out nor leaving."""
        key = (
            self._configuration.version,
            self._facts.epoch,
            self._list_epoch,
        )
        if key != self._cached_at:
            self._cached = self._in_service()
            self._cached_at = key
        return self._cached.get(service, ())

    def start(self) -> None:
        """Start to read the platform list."""
        self._poll = asyncio.create_task(self._read_list())

    def stop(self) -> None:
        """Accept no new work; the list is still read."""
        self._is_stopping = True

    async def close(self) -> None:
        """End the task that reads the list."""
        if self._poll is not None:
            self._poll.cancel()
            await asyncio.gather(self._poll, return_exceptions=True)

    async def _read_list(self) -> None:
        while True:
            result = await self._platform.backend_servers()
            if result.is_ok():
                self._note_listed(result.ok)
            # The last list stays in use while there is no answer.
            if result.is_ok() and tuple(result.ok) != self._listed:
                self._listed = tuple(result.ok)
                self._list_epoch += 1
            await asyncio.sleep(POLL_S)

    def _note_listed(self, servers: Sequence[BackendServer]) -> None:
        self._facts.set_listed(
            kind=SERVER, subjects=(one.server_id for one in servers)
        )
        self._facts.set_listed(
            kind=INSTANCE,
            subjects=(one.instance_id for one in self._membership.roster),
        )

    def _in_service(self) -> dict[str, tuple[BackendServer, ...]]:
        document = self._configuration.document
        services = document['services']
        found: defaultdict[str, list[BackendServer]] = defaultdict(list)
        for server in self._listed:
            service = services.get(server.service)
            if service is not None and self._may_serve(server, document):
                found[server.service].append(
                    server._replace(concurrency=service['concurrency'])
                )
        return {name: tuple(servers) for name, servers in found.items()}

    def _may_serve(self, server: BackendServer, document: Document) -> bool:
        if (
            server.leaving
            or str(server.zone) in document['out_zones']
            or server.server_id in document['out_servers']
        ):
            return False
        fact = self._facts.get(kind=SERVER, subject=server.server_id)
        return fact is None or not fact.is_leaving
