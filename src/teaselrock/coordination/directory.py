"""Configuration in force and the servers that may get new requests.

`LiveDirectory` implements the `Directory` port from the disseminated
configuration, the facts and the platform list. Servers are cached, since each
request reads them.
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

# Interval of reads of the platform list.
LIST_READ_INTERVAL_S: Final = 1.0

_CacheKey = tuple[int, int, int]


class LiveDirectory:
    """`Directory` of an instance with peers; follows changes.

    Servers come from the platform list; those that the configuration takes out
    of service or that a fact reports as leaving are left out.
    """

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
        self._cache_key: _CacheKey = (-1, -1, -1)
        self._cached_servers: dict[str, tuple[BackendServer, ...]] = {}
        self._is_stopping = False
        self._list_task: asyncio.Task[None] | None = None

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
        """Whether this instance accepts new requests."""
        own = self._membership.own
        document = self._configuration.document
        return (
            not self._is_stopping
            and self._configuration.has_configuration
            and self._facts.is_synchronized
            and not self._membership.is_isolated
            and own.instance_id not in document['out_instances']
            and str(own.zone) not in document['out_zones']
        )

    def backend_servers(self, *, service: str) -> Sequence[BackendServer]:
        """Servers of a service that are neither out of service nor leaving."""
        key = (
            self._configuration.version,
            self._facts.epoch,
            self._list_epoch,
        )
        if key != self._cache_key:
            self._cached_servers = self._in_service()
            self._cache_key = key
        return self._cached_servers.get(service, ())

    def start(self) -> None:
        """Start the task that reads the platform list."""
        self._list_task = asyncio.create_task(self._read_platform_list())

    def stop(self) -> None:
        """Make `is_ready` False; the platform list is still read."""
        self._is_stopping = True

    async def close(self) -> None:
        """End the task that reads the platform list."""
        if self._list_task is not None:
            self._list_task.cancel()
            await asyncio.gather(self._list_task, return_exceptions=True)

    async def _read_platform_list(self) -> None:
        while True:
            result = await self._platform.backend_servers()
            if result.is_ok():
                self._set_listed_subjects(result.ok)
            # If the read fails, the last list stays in use.
            if result.is_ok() and tuple(result.ok) != self._listed:
                self._listed = tuple(result.ok)
                self._list_epoch += 1
            await asyncio.sleep(LIST_READ_INTERVAL_S)

    def _set_listed_subjects(self, servers: Sequence[BackendServer]) -> None:
        """Set the listed servers and roster members as subjects of facts."""
        self._facts.set_listed(
            kind=SERVER, subjects=(server.server_id for server in servers)
        )
        self._facts.set_listed(
            kind=INSTANCE,
            subjects=(
                member.instance_id for member in self._membership.roster
            ),
        )

    def _in_service(self) -> dict[str, tuple[BackendServer, ...]]:
        document = self._configuration.document
        services = document['services']
        in_service: defaultdict[str, list[BackendServer]] = defaultdict(list)
        for server in self._listed:
            service = services.get(server.service)
            if service is not None and self._may_serve(server, document):
                in_service[server.service].append(
                    server._replace(concurrency=service['concurrency'])
                )
        return {name: tuple(servers) for name, servers in in_service.items()}

    def _may_serve(self, server: BackendServer, document: Document) -> bool:
        if (
            server.is_draining
            or str(server.zone) in document['out_zones']
            or server.server_id in document['out_servers']
        ):
            return False
        fact = self._facts.get(kind=SERVER, subject=server.server_id)
        return fact is None or not fact.is_leaving
