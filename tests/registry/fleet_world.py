"""Instances of several regions with shared backend servers, in memory."""

import asyncio
from collections.abc import Iterable
import random
from typing import NamedTuple

from expression import Ok
from expression import Result
from registry_world import MemoryObjectSource
from registry_world import MemoryRelayLink
from registry_world import OnChannel
from registry_world import RecordedEvents
from registry_world import SourceCopy

from teaselrock.coordination.ports import InstanceListing
from teaselrock.coordination.ports import InstanceRegistration
from teaselrock.coordination.ports import StoreError
from teaselrock.coordination.routed_instance import RoutedInstance
from teaselrock.coordination.routed_instance import RoutedOptions
from teaselrock.coordination.routed_instance import RoutedPorts
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendResponse
from teaselrock.state import BackendServer
from teaselrock.state import ExchangeFailure
from teaselrock.state import LoadReport
from teaselrock.state import Refusal
from teaselrock.state import Request
from teaselrock.state import RequestContent
from teaselrock.state import ServerState
from teaselrock.state.routes import Route
from teaselrock.state.routes import RoutingTable
from teaselrock.state.routes import ServiceProfile
from teaselrock.state.routes import ServiceShare

REGIONS = ('east', 'west')
COLD_RATE_PER_S = 6.0
CAPACITY = 8
WORK_S = 0.05
CHECK_S = 0.001


def route(name: str, *, priority: int = 1, idempotent: bool = True) -> Route:
    return Route(
        name=name,
        host='a.example',
        prefix=f'/{name}/',
        shares=(ServiceShare('desk', 1.0),),
        is_idempotent=idempotent,
        timeout=2.0,
        target_latency=0.6,
        priority=priority,
        max_attempts=2,
    )


LOOKUP = route('lookup')
BATCH = route('batch', priority=3)


class Arrival(NamedTuple):
    """A request that reached a server."""

    at: float
    instance_id: str
    request_id: str


class FleetServer:
    """A backend server whose limit, cold start and response a test sets."""

    def __init__(self, server_id: str, region: str) -> None:
        self.server = BackendServer(
            server_id,
            'desk',
            AvailabilityZone(region, f'{region}-a'),
            f'{server_id}:1',
            CAPACITY,
        )
        self.rate_limit: float | None = None
        self.cold_until = 0.0
        self.work_s = WORK_S
        self.status = 200
        self.running = 0
        self.arrivals: list[Arrival] = []

    @property
    def load(self) -> LoadReport:
        now = asyncio.get_running_loop().time()
        return LoadReport(
            self.server.server_id,
            ServerState.WARM,
            self.running,
            CAPACITY,
            cold_remaining=max(0.0, self.cold_until - now),
            rate_limit=self.rate_limit,
        )

    def most_in(self, seconds: float) -> int:
        """Largest number of requests in a window of this length."""
        times = [arrival.at for arrival in self.arrivals]
        return max(
            (
                sum(1 for at in times if start <= at < start + seconds)
                for start in times
            ),
            default=0,
        )


class FleetConnection:
    """`BackendConnection` of one instance to a server in memory."""

    def __init__(self, target: FleetServer, instance_id: str) -> None:
        self.target = target
        self.instance_id = instance_id
        self.is_open = True

    @property
    def load(self) -> LoadReport:
        return self.target.load

    async def check_load(
        self, *, deadline: float
    ) -> Result[LoadReport, ExchangeFailure]:
        await asyncio.sleep(CHECK_S)
        return Ok(self.target.load)

    async def exchange(
        self, *, content: RequestContent, deadline: float
    ) -> Result[BackendResponse, ExchangeFailure]:
        target = self.target
        now = asyncio.get_running_loop().time()
        target.arrivals.append(
            Arrival(now, self.instance_id, content.headers[0][1])
        )
        target.running += 1
        try:
            await asyncio.sleep(target.work_s)
        finally:
            target.running -= 1
        return Ok(BackendResponse(target.status, (), b'', target.load))

    def close(self) -> None:
        self.is_open = False


class FleetConnector:
    """`BackendConnector` of one instance."""

    def __init__(self, fleet: 'Fleet', instance_id: str) -> None:
        self.fleet = fleet
        self.instance_id = instance_id

    async def connect_unchecked(
        self, *, server: BackendServer, deadline: float
    ) -> Result[FleetConnection, ExchangeFailure]:
        target = self.fleet.servers[server.server_id]
        return Ok(FleetConnection(target, self.instance_id))

    connect = connect_unchecked


class FleetRegistry:
    """`InstanceRegistry` shared by the instances."""

    def __init__(self) -> None:
        self.entries: dict[str, InstanceRegistration] = {}
        self.era = 1

    async def register(
        self, *, entry: InstanceRegistration
    ) -> Result[bool, StoreError]:
        is_new = entry.instance_id not in self.entries
        self.entries[entry.instance_id] = entry
        return Ok(is_new)

    async def read(self) -> Result[InstanceListing, StoreError]:
        return Ok(InstanceListing(tuple(self.entries.values()), self.era))


class Outcome(NamedTuple):
    """A request that ended, and its refusal if it was refused."""

    request: Request
    started_at: float
    seconds: float
    refusal: Refusal | None


class FleetCopy(NamedTuple):
    """Content of the store at one moment."""

    sources: tuple[SourceCopy, ...]
    registrations: dict[str, InstanceRegistration]


class Fleet:
    """Instances, servers, and callers that send at a given rate."""

    def __init__(
        self, *, seed: int, routes: Iterable[Route] = (LOOKUP,)
    ) -> None:
        self.rng = random.Random(seed)
        self.listeners: dict[str, tuple[MemoryRelayLink, OnChannel]] = {}
        self.connections: list[tuple[str, str]] = []
        self.tables = MemoryObjectSource()
        self.server_entries = MemoryObjectSource()
        self.zones_out = MemoryObjectSource()
        self.registry = FleetRegistry()
        self.servers: dict[str, FleetServer] = {}
        self.instances: dict[str, RoutedInstance] = {}
        self.links: dict[str, MemoryRelayLink] = {}
        self.events = RecordedEvents()
        self.outcomes: list[Outcome] = []
        self._request_count = 0
        self._callers: list[asyncio.Task[None]] = []
        self.tables.put(
            'main',
            RoutingTable(
                1,
                tuple(routes),
                {'desk': ServiceProfile('desk', '/h', 200, COLD_RATE_PER_S)},
            ),
        )

    def on_attempt(self, *, service: str, reason: str, end: str) -> None:
        """Count no attempts."""

    def on_excess_attempts(self, *, service: str) -> None:
        raise AssertionError(f'too many attempts at {service}')

    def add_server(self, server_id: str, region: str = 'east') -> FleetServer:
        added = FleetServer(server_id, region)
        self.servers[server_id] = added
        self.server_entries.put(server_id, added.server)
        return added

    async def add_instance(
        self, name: str, region: str = 'east', *, is_first_start: bool = True
    ) -> RoutedInstance:
        link = MemoryRelayLink(self, name)
        instance = RoutedInstance(
            ports=RoutedPorts(
                connector=FleetConnector(self, name),
                tables=self.tables,
                servers=self.server_entries,
                zones_out=self.zones_out,
                registry=self.registry,
                link=link,
                events=self.events,
                attempt_observer=self,
            ),
            options=RoutedOptions(
                own=InstanceRegistration(name, region, f'{region}-a', name),
                regions=frozenset(REGIONS),
                is_first_start=is_first_start,
            ),
            rng=random.Random(self.rng.getrandbits(32)),
        )
        self.instances[name] = instance
        self.links[name] = link
        await instance.start()
        return instance

    def restore(self, copy: 'FleetCopy') -> None:
        """Return the store to a copy, as the platform does in a drill."""
        for source, old in zip(self._sources, copy.sources):
            source.restore(old)
        self.registry.entries = dict(copy.registrations)
        self.registry.era += 1

    def copy(self) -> 'FleetCopy':
        return FleetCopy(
            tuple(source.copy() for source in self._sources),
            dict(self.registry.entries),
        )

    @property
    def _sources(self) -> tuple[MemoryObjectSource, ...]:
        return self.tables, self.server_entries, self.zones_out

    async def kill(self, name: str) -> None:
        """End an instance without notice to its peers' requests."""
        instance = self.instances.pop(name)
        self.links.pop(name).close()
        await instance.stop()

    def call(self, name: str, sent: Route = LOOKUP) -> 'asyncio.Task[None]':
        return asyncio.create_task(self._call(name, sent))

    def start_callers(
        self, name: str, *, per_s: float, sent: Route = LOOKUP
    ) -> None:
        """Send requests to an instance at random until `stop`."""
        self._callers.append(
            asyncio.create_task(self._send_at_rate(name, per_s, sent))
        )

    async def stop(self) -> None:
        for task in self._callers:
            task.cancel()
        await asyncio.gather(*self._callers, return_exceptions=True)
        for name in tuple(self.instances):
            await self.kill(name)

    async def _send_at_rate(
        self, name: str, per_s: float, sent: Route
    ) -> None:
        tasks: set[asyncio.Task[None]] = set()
        while True:
            await asyncio.sleep(self.rng.expovariate(per_s))
            if name in self.instances:
                task = self.call(name, sent)
                tasks.add(task)
                task.add_done_callback(tasks.discard)

    async def _call(self, name: str, sent: Route) -> None:
        loop = asyncio.get_running_loop()
        self._request_count += 1
        request_id = f'r{self._request_count}'
        started_at = loop.time()
        request = Request(
            '',
            'desk',
            RequestContent('GET', sent.prefix, (('id', request_id),), b''),
            started_at + sent.timeout,
            request_id=request_id,
            route=sent,
        )
        result = await self.instances[name].dispatcher.dispatch(
            request=request
        )
        self.outcomes.append(
            Outcome(
                request,
                started_at,
                loop.time() - started_at,
                result.error if result.is_error() else None,
            )
        )
