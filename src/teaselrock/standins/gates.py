"""Wrappers of an instance's ports that can pause or kill it in process.

A paused instance neither receives nor sends until it is resumed; in a killed
one each awaited call through a port raises `CancelledError`, and messages are
dropped. `fleet_instance` makes one gate for each instance.

Limits, as all instances share one event loop: timers and callbacks of a
paused instance still run, and messages that they send are held until the
resume; an exchange whose deadline passes during the pause times out at the
resume, even if its response had arrived.
"""

import asyncio
from collections.abc import Sequence
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination.ports import BackendConnection
from teaselrock.coordination.ports import BackendConnector
from teaselrock.coordination.ports import PeerLink
from teaselrock.coordination.ports import PlatformList
from teaselrock.coordination.ports import Store
from teaselrock.coordination.ports import StoredValue
from teaselrock.coordination.ports import StoreError
from teaselrock.state import BackendResponse
from teaselrock.state import BackendServer
from teaselrock.state import ExchangeFailure
from teaselrock.state import Instance
from teaselrock.state import LoadReport
from teaselrock.state import RequestContent


class Gate:
    """Lets calls of one instance pass, holds them or cancels them."""

    def __init__(self) -> None:
        self._open = asyncio.Event()
        self._open.set()
        self._is_dead = False

    @property
    def is_open(self) -> bool:
        """Whether calls pass now."""
        return self._open.is_set() and not self._is_dead

    @property
    def is_dead(self) -> bool:
        """Whether the instance was killed."""
        return self._is_dead

    def pause(self) -> None:
        """Hold all calls."""
        self._open.clear()

    def resume(self) -> None:
        """Let held calls pass."""
        self._open.set()

    def kill(self) -> None:
        """Cancel all calls, including held ones."""
        self._is_dead = True
        self._open.set()

    async def wait(self) -> None:
        """Wait while paused; raises `CancelledError` when killed."""
        await self._open.wait()
        if self._is_dead:
            raise asyncio.CancelledError


class GatedLink:
    """`PeerLink` behind a gate."""

    def __init__(self, *, link: PeerLink, gate: Gate) -> None:
        self._link = link
        self._gate = gate
        self._held_messages: list[tuple[str, NamedTuple]] = []

    def connect(self, *, peer: Instance) -> None:
        """Make `peer` reachable."""
        self._link.connect(peer=peer)

    def disconnect(self, *, instance_id: str) -> None:
        """Drop the link to a peer."""
        self._link.disconnect(instance_id=instance_id)

    def send(self, *, to: str, message: NamedTuple) -> int:
        """Send; returns the size in bytes, 0 if dropped.

        The message is held while paused, and the result is then 1. It is
        dropped when killed.
        """
        if self._gate.is_dead:
            return 0
        if not self._gate.is_open:
            self._held_messages.append((to, message))
            return 1
        return self._link.send(to=to, message=message)

    def flush(self) -> None:
        """Send the messages that were held while paused."""
        held_messages, self._held_messages = self._held_messages, []
        for to, message in held_messages:
            self._link.send(to=to, message=message)

    async def receive(self) -> tuple[str, NamedTuple]:
        """Wait for the next message."""
        received = await self._link.receive()
        await self._gate.wait()
        return received


class GatedStore:
    """`Store` behind a gate."""

    def __init__(self, *, store: Store, gate: Gate) -> None:
        self._store = store
        self._gate = gate

    async def get(self, *, key: str) -> Result[StoredValue | None, StoreError]:
        """Read a value."""
        await self._gate.wait()
        result = await self._store.get(key=key)
        await self._gate.wait()
        return result

    async def put(
        self, *, key: str, value: bytes, expected_version: int | None
    ) -> Result[int, StoreError]:
        """Write a value if it has the expected version."""
        await self._gate.wait()
        result = await self._store.put(
            key=key, value=value, expected_version=expected_version
        )
        await self._gate.wait()
        return result

    async def delete(
        self, *, key: str, expected_version: int | None
    ) -> Result[None, StoreError]:
        """Delete a value if it has the expected version."""
        await self._gate.wait()
        result = await self._store.delete(
            key=key, expected_version=expected_version
        )
        await self._gate.wait()
        return result

    async def list_keys(
        self, *, prefix: str, after: str = '', limit: int = 1000
    ) -> Result[Sequence[str], StoreError]:
        """List keys in order."""
        await self._gate.wait()
        result = await self._store.list_keys(
            prefix=prefix, after=after, limit=limit
        )
        await self._gate.wait()
        return result

    async def watch(
        self, *, key: str, after: int, timeout: float
    ) -> Result[StoredValue | None, StoreError]:
        """Wait until the version exceeds `after`."""
        await self._gate.wait()
        result = await self._store.watch(key=key, after=after, timeout=timeout)
        await self._gate.wait()
        return result


class GatedPlatform:
    """`PlatformList` behind a gate."""

    def __init__(self, *, platform: PlatformList, gate: Gate) -> None:
        self._platform = platform
        self._gate = gate

    async def backend_servers(
        self,
    ) -> Result[Sequence[BackendServer], StoreError]:
        """All backend servers in the platform's list."""
        await self._gate.wait()
        result = await self._platform.backend_servers()
        await self._gate.wait()
        return result

    async def instance_ids(self) -> Result[frozenset[str], StoreError]:
        """Ids of the live gateway instances."""
        await self._gate.wait()
        result = await self._platform.instance_ids()
        await self._gate.wait()
        return result


class GatedConnection:
    """`BackendConnection` behind a gate."""

    def __init__(self, *, connection: BackendConnection, gate: Gate) -> None:
        self._connection = connection
        self._gate = gate

    @property
    def load(self) -> LoadReport:
        """Newest load report seen on this connection."""
        return self._connection.load

    @property
    def is_open(self) -> bool:
        """Whether an exchange can start on it."""
        return self._connection.is_open

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()

    async def check_load(
        self, *, deadline: float
    ) -> Result[LoadReport, ExchangeFailure]:
        """Request the server's load report."""
        await self._gate.wait()
        result = await self._connection.check_load(deadline=deadline)
        await self._gate.wait()
        return result

    async def exchange(
        self, *, content: RequestContent, deadline: float
    ) -> Result[BackendResponse, ExchangeFailure]:
        """Send one request and read its whole response."""
        await self._gate.wait()
        result = await self._connection.exchange(
            content=content, deadline=deadline
        )
        await self._gate.wait()
        return result


class GatedConnector:
    """`BackendConnector` behind a gate; keeps track of its connections."""

    def __init__(self, *, connector: BackendConnector, gate: Gate) -> None:
        self._connector = connector
        self._gate = gate
        self._opened: list[BackendConnection] = []

    async def connect(
        self, *, server: BackendServer, deadline: float
    ) -> Result[BackendConnection, ExchangeFailure]:
        """Connect and read the load report."""
        await self._gate.wait()
        result = await self._connector.connect(
            server=server, deadline=deadline
        )
        if result.is_error():
            await self._gate.wait()
            return Error(result.error)
        connection = GatedConnection(connection=result.ok, gate=self._gate)
        self._opened.append(connection)
        if self._gate.is_dead:
            connection.close()
        await self._gate.wait()
        return Ok(connection)

    async def connect_unchecked(
        self, *, server: BackendServer, deadline: float
    ) -> Result[BackendConnection, ExchangeFailure]:
        """Same as `connect`, which reads the load report too."""
        return await self.connect(server=server, deadline=deadline)

    def close_all(self) -> None:
        """Close all connections, as the end of the process does."""
        for connection in self._opened:
            connection.close()
        self._opened.clear()
