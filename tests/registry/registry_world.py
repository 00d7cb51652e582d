"""A store of typed objects and a region of instances for registry tests."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
from typing import Any
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination.events import Event
from teaselrock.coordination.ports import InstanceRegistration
from teaselrock.coordination.ports import ObjectEntry
from teaselrock.coordination.ports import ObjectListing
from teaselrock.coordination.ports import StoreError
from teaselrock.coordination.ports import StoreErrorKind
from teaselrock.coordination.registry import InstallationSync
from teaselrock.coordination.registry import InstallationView
from teaselrock.coordination.registry import KindWatch
from teaselrock.coordination.registry import RegionRelay
from teaselrock.coordination.registry import StoreConnectivity
from teaselrock.coordination.registry import StoreWatch
from teaselrock.coordination.registry.watch import POLL_WAIT_S
from teaselrock.coordination.registry.watch import SHORT_POLL_WAIT_S
from teaselrock.protocol import MessageCodec
from teaselrock.protocol.relay_messages import RELAY_KINDS
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer
from teaselrock.state.routes import Route
from teaselrock.state.routes import RoutingTable
from teaselrock.state.routes import ServiceProfile
from teaselrock.state.routes import ServiceShare

ZONE = AvailabilityZone('east', 'east-a')
LINK_S = 0.001
CALL_S = 0.004
CODEC = MessageCodec(kinds=RELAY_KINDS)


def server(name: str, *, leaving: bool = False) -> BackendServer:
    return BackendServer(name, 'desk', ZONE, '127.0.0.1:1', 3, leaving)


def table(version: int) -> RoutingTable:
    route = Route(
        name='r',
        host='a.example',
        prefix='/x/',
        shares=(ServiceShare('desk', 1.0),),
        is_idempotent=True,
        timeout=1.0,
        target_latency=0.5,
        priority=1,
        max_attempts=2,
        home_regions=frozenset({'east'}),
    )
    services = {'desk': ServiceProfile('desk', '/health', 200, 6.0)}
    return RoutingTable(version, (route,), services)


class MemoryKind:
    """`ObjectSource` of one kind, with the faults of a store."""

    def __init__(self) -> None:
        self.entries: dict[str, ObjectEntry[Any]] = {}
        self.log: list[tuple[int, ObjectEntry[Any]]] = []
        self.revision = 1
        self.first_revision = 0
        self.calls = 0
        self.changed = asyncio.Event()
        self.is_down = False
        self.is_silent = False
        self.refuses_silently = False

    def put(self, name: str, value: Any) -> None:
        self._note(ObjectEntry(name, value))

    def delete(self, name: str) -> None:
        self._note(ObjectEntry(name, None, True))

    def forget_history(self) -> None:
        self.first_revision = self.revision
        self.log.clear()

    async def list_all(self) -> Result[ObjectListing[Any], StoreError]:
        failed = await self._call(1.0)
        if failed is not None:
            return Error(failed)
        return Ok(ObjectListing(tuple(self.entries.values()), self.revision))

    async def wait_for_changes(
        self, *, after: int, wait: float
    ) -> Result[ObjectListing[Any], StoreError]:
        failed = await self._call(wait + 0.6)
        if failed is not None:
            return Error(failed)
        if after < self.first_revision:
            return Error(StoreError(StoreErrorKind.HISTORY_LOST, 'gone'))
        if self.revision <= after:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), wait)
            except TimeoutError:
                return Ok(ObjectListing((), self.revision))
            if self.is_silent:
                await asyncio.sleep(0.6)
                return Error(_lost())
        found = tuple(entry for at, entry in self.log if at > after)
        return Ok(ObjectListing(found, self.revision))

    async def _call(self, timeout: float) -> StoreError | None:
        self.calls += 1
        await asyncio.sleep(CALL_S)
        if self.is_silent:
            await asyncio.sleep(timeout)
            return _lost()
        if self.is_down:
            return StoreError(StoreErrorKind.UNAVAILABLE, 'down')
        return None

    def _note(self, entry: ObjectEntry[Any]) -> None:
        self.revision += 1
        if entry.is_deleted:
            self.entries.pop(entry.name, None)
        else:
            self.entries[entry.name] = entry
        self.log.append((self.revision, entry))
        self.changed.set()
        self.changed = asyncio.Event()


def _lost() -> StoreError:
    return StoreError(StoreErrorKind.UNKNOWN, 'no answer')


class RecordedEvents:
    """`Events` sink that keeps what was emitted."""

    def __init__(self) -> None:
        self.seen: list[Event] = []

    def emit(self, *, event: Event, **fields: str | int | float) -> None:
        self.seen.append(event)


class MemoryChannel:
    """One end of a connection; messages pass through the codec."""

    def __init__(self) -> None:
        self.inbox: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.other: MemoryChannel | None = None
        self.is_closed = False
        self.is_cut = False

    def send(self, message: NamedTuple) -> bool:
        if self.is_closed or self.other is None:
            return False
        if not self.is_cut:
            loop = asyncio.get_running_loop()
            frame = CODEC.encode(message)
            loop.call_later(LINK_S, self.other.inbox.put_nowait, frame)
        return True

    async def receive(self) -> Any:
        frame = await self.inbox.get()
        if frame is None:
            return None
        decoded = CODEC.decode(frame)
        assert decoded.is_ok(), decoded
        return decoded.ok

    def close(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            if self.other is not None:
                self.other.is_closed = True
                self.other.inbox.put_nowait(None)


OnChannel = Callable[[Any], Awaitable[None]]


class MemoryRelayLink:
    """`RelayLink` of one instance in a shared region."""

    def __init__(self, region: 'Region', address: str) -> None:
        self.region = region
        self.address = address
        self.channels: list[MemoryChannel] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def connect(self, *, address: str) -> MemoryChannel | None:
        await asyncio.sleep(LINK_S)
        peer = self.region.listening.get(address)
        if peer is None:
            return None
        self.region.connected.append((self.address, address))
        here, there = MemoryChannel(), MemoryChannel()
        here.other, there.other = there, here
        self.channels.append(here)
        link, on_channel = peer
        link.channels.append(there)
        link.tasks.append(asyncio.ensure_future(on_channel(there)))
        return here

    async def serve(self, *, on_channel: OnChannel) -> None:
        self.region.listening[self.address] = (self, on_channel)

    def close(self) -> None:
        self.region.listening.pop(self.address, None)
        for channel in self.channels:
            channel.close()
        for task in self.tasks:
            task.cancel()


class Member:
    """One instance's view, watch and relay."""

    def __init__(self, region: 'Region', name: str) -> None:
        self.entry = InstanceRegistration(name, 'east', 'east-a', name)
        self.events = RecordedEvents()
        self.view = InstallationView()
        self.gone: list[str] = []
        connectivity = StoreConnectivity(events=self.events)
        self.sync = InstallationSync(
            view=self.view,
            connectivity=connectivity,
            events=self.events,
            on_removed=self.gone.append,
        )
        self.tables = region.kind(name, 0)
        self.watch = StoreWatch(
            watches=tuple(
                KindWatch(
                    name=kind,
                    source=source,
                    mirror=mirror,
                    connectivity=connectivity,
                    rng=random.Random(name),
                    wait=SHORT_POLL_WAIT_S
                    if kind == 'routes'
                    else POLL_WAIT_S,
                )
                for kind, source, mirror in (
                    ('routes', region.kind(name, 0), self.sync.tables),
                    ('servers', region.kind(name, 1), self.sync.servers),
                    ('zones', region.kind(name, 2), self.sync.zones_out),
                )
            ),
            connectivity=connectivity,
        )
        self.link = MemoryRelayLink(region, name)
        self.relay = RegionRelay(
            own=self.entry,
            link=self.link,
            sync=self.sync,
            watch=self.watch,
            events=self.events,
        )

    def servers(self) -> set[str]:
        found = self.view.backend_servers(service='desk')
        return {one.server_id for one in found}


class _Refusing:
    """The store as seen by an instance that it may turn away."""

    def __init__(self, kind: MemoryKind, refused: set[str], name: str) -> None:
        self._kind = kind
        self._refused = refused
        self._name = name

    async def list_all(self) -> Result[ObjectListing[Any], StoreError]:
        if self._name in self._refused:
            return Error(await self._refuse(1.0))
        return await self._kind.list_all()

    async def wait_for_changes(
        self, *, after: int, wait: float
    ) -> Result[ObjectListing[Any], StoreError]:
        if self._name in self._refused:
            return Error(await self._refuse(wait + 0.4))
        listing = await self._kind.wait_for_changes(after=after, wait=wait)
        if self._name in self._refused:
            return Error(_lost())
        return listing

    async def _refuse(self, timeout: float) -> StoreError:
        self._kind.calls += 1
        if self._kind.refuses_silently:
            await asyncio.sleep(timeout)
            return _lost()
        return StoreError(StoreErrorKind.UNAVAILABLE, 'busy')


class Region:
    """Instances of one region and the store's three kinds."""

    def __init__(self, count: int) -> None:
        self.listening: dict[str, tuple[MemoryRelayLink, OnChannel]] = {}
        self.connected: list[tuple[str, str]] = []
        self.kinds = (MemoryKind(), MemoryKind(), MemoryKind())
        self.refused: set[str] = set()
        tables, servers, _ = self.kinds
        tables.put('main', table(1))
        servers.put('s1', server('s1'))
        self.members = [Member(self, f'i{n}') for n in range(count)]

    def kind(self, name: str, index: int) -> _Refusing:
        return _Refusing(self.kinds[index], self.refused, name)

    async def start(self) -> None:
        for member in self.members:
            await member.relay.start()
        for member in self.members:
            member.relay.set_roster([one.entry for one in self.members])
        await asyncio.sleep(3.0)

    @property
    def calls(self) -> int:
        return sum(kind.calls for kind in self.kinds)

    def watchers(self) -> list[Member]:
        return [one for one in self.members if one.watch.is_running]

    async def kill(self, member: Member) -> None:
        await member.relay.stop()
        self.members.remove(member)
