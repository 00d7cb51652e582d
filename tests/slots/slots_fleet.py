"""A fleet of gateways and simulated backend servers for slot tests.

Each gateway has the real slot service; membership, directory, links and
servers are in memory.
"""

import asyncio
from collections import Counter
import random
from typing import NamedTuple

from teaselrock.coordination.ports import MessageHandler
from teaselrock.coordination.slots import SharedSlots
from teaselrock.coordination.slots import SlotOptions
from teaselrock.protocol.messages import KINDS
from teaselrock.standins.network import MemoryLink
from teaselrock.standins.network import MemoryNetwork
from teaselrock.state import AttemptOutcome
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer
from teaselrock.state import FailureKind
from teaselrock.state import Instance
from teaselrock.state import LoadReport
from teaselrock.state import Request
from teaselrock.state import RequestContent
from teaselrock.state import ServerState

REGIONS = frozenset({'east', 'west'})
CONTENT = RequestContent('GET', '/desk', (), b'')


class SettableMemberView:
    """`MemberView` whose live members the test sets."""

    def __init__(self, own: Instance, all_members: list[Instance]) -> None:
        self.own = own
        self.live = list(all_members)
        self.roster = list(all_members)
        self.epoch = 1

    def set_live(self, live: list[Instance]) -> None:
        self.live = live
        self.epoch += 1


class LinkPeers:
    """`Peers` over a memory link."""

    def __init__(self, link: MemoryLink) -> None:
        self.link = link
        self.handlers: dict[type, MessageHandler] = {}

    def send(self, *, to: str, message: NamedTuple) -> bool:
        return self.link.send(to=to, message=message) > 0

    def register_handler(
        self, *, message_type: type, handler: MessageHandler
    ) -> None:
        self.handlers[message_type] = handler

    async def run(self) -> None:
        while True:
            sender, message = await self.link.receive()
            self.handlers[type(message)](sender=sender, message=message)


class SettableDirectory:
    """`Directory` whose server list the test sets."""

    def __init__(self) -> None:
        self.listed: list[BackendServer] = []
        self.document = {'services': {'desk': {}}}

    def backend_servers(self, *, service: str) -> list[BackendServer]:
        return [server for server in self.listed if server.service == service]


class SimulatedServer:
    """A backend server that counts the requests above its own capacity.

    A cold server's capacity grows with its successes.
    """

    def __init__(self, server: BackendServer, rng: random.Random) -> None:
        self.server = server
        self.rng = rng
        self.mean_service_time_s = 0.005
        self.start_number = 1
        self.in_flight = 0
        self.peak = 0
        self.excess = 0
        self.served = 0
        self.successes = 0
        self.state = ServerState.WARM
        self.reports_full_capacity = False
        self.running_tasks: set[asyncio.Task[None]] = set()
        self.served_by_gateway: Counter[str] = Counter()

    @property
    def start_id(self) -> str:
        return f'{self.server.server_id}#{self.start_number}'

    @property
    def capacity(self) -> int:
        if self.state is ServerState.WARM:
            return self.server.concurrency
        level = 1
        while self.successes >= 3 * level * (level + 1) // 2:
            level += 1
        return min(level, self.server.concurrency)

    @property
    def load(self) -> LoadReport:
        capacity = (
            self.server.concurrency
            if self.reports_full_capacity
            else self.capacity
        )
        return LoadReport(self.start_id, self.state, self.in_flight, capacity)

    def restart(self) -> None:
        self.start_number += 1
        self.successes = 0
        self.state = ServerState.COLD
        for task in self.running_tasks:
            task.cancel()

    async def serve(self, gateway: str) -> FailureKind | None:
        self.in_flight += 1
        self.peak = max(self.peak, self.in_flight)
        self.excess += self.in_flight > self.capacity
        start_number = self.start_number
        work = asyncio.create_task(
            asyncio.sleep(
                self.rng.uniform(0.5, 1.5) * self.mean_service_time_s
            )
        )
        self.running_tasks.add(work)
        try:
            await asyncio.wait((work,))
        finally:
            self.in_flight -= 1
            self.running_tasks.discard(work)
            work.cancel()
        if start_number != self.start_number:
            return FailureKind.NO_RESPONSE
        self.successes += 1
        self.served += 1
        self.served_by_gateway[gateway] += 1
        if self.successes >= 100 and self.state is ServerState.COLD:
            self.state = ServerState.WARM
        return None


class Gateway:
    """One instance's slot service and the requests sent through it."""

    def __init__(self, fleet: 'Fleet', own: Instance) -> None:
        self.fleet = fleet
        self.own = own
        self.members = SettableMemberView(own, fleet.instances)
        self.peers = LinkPeers(fleet.network.link(own=own))
        for peer in fleet.instances:
            self.peers.link.connect(peer=peer)
        self.slots = SharedSlots(
            directory=fleet.directory,
            members=self.members,
            peers=self.peers,
            options=fleet.options,
            rng=random.Random(f'{fleet.seed} {own.instance_id}'),
        )
        self.receive_task = asyncio.create_task(self.peers.run())
        self.slots.start()
        self.results: Counter[str] = Counter()
        self.reasons: Counter[str] = Counter()
        self.is_killed = False

    def kill(self) -> None:
        """Stop receiving, and send into an empty network from now on."""
        self.is_killed = True
        self.receive_task.cancel()
        self.fleet.network.remove(instance_id=self.own.instance_id)
        self.peers.link = MemoryNetwork(
            kinds=KINDS, rng=random.Random(0)
        ).link(own=self.own)

    async def acquire(
        self,
        *,
        timeout: float = 1.0,
        customer: str = 'c',
        regions: frozenset[str] = REGIONS,
    ):
        now = asyncio.get_running_loop().time()
        return await self.slots.source.acquire(
            request=Request(customer, 'desk', CONTENT, now + timeout),
            regions=regions,
            weight=1,
            exclude=frozenset(),
            reason=None,
        )

    async def request(self, *, timeout: float = 1.0) -> None:
        loop = asyncio.get_running_loop()
        acquired = await self.acquire(timeout=timeout)
        if acquired.is_error():
            self.results[acquired.error.code] += 1
            return
        slot = acquired.ok
        self.reasons[slot.reason] += 1
        backend = self.fleet.backends[slot.server.server_id]
        started = loop.time()
        failure: FailureKind | None = FailureKind.CANCELLED
        try:
            if not slot.is_valid:
                failure = FailureKind.TIMEOUT
            elif slot.start_id not in ('', backend.start_id):
                failure = FailureKind.SERVER_CHANGED
            else:
                failure = await backend.serve(self.own.instance_id)
        finally:
            latency = loop.time() - started
            slot.release(
                outcome=AttemptOutcome(latency, failure, backend.load)
            )
        self.results[failure.value if failure else 'ok'] += 1

    async def send_load(self, *, rate_per_s: float, duration_s: float) -> None:
        """Send open-loop requests with Poisson arrivals."""
        loop = asyncio.get_running_loop()
        rng = random.Random(f'{self.fleet.seed} load {self.own.instance_id}')
        end = loop.time() + duration_s
        async with asyncio.TaskGroup() as group:
            while loop.time() < end and not self.is_killed:
                await asyncio.sleep(rng.expovariate(rate_per_s))
                group.create_task(self.request())


class Fleet:
    """`gateways` instances and `servers` servers, spread over the zones."""

    def __init__(
        self,
        *,
        seed: int,
        gateways: int,
        servers: int,
        concurrency: int = 3,
        zones: tuple[str, ...] = ('east/a', 'east/b'),
        loss: float = 0.0,
        cold: bool = False,
    ) -> None:
        self.seed = seed
        self.options = SlotOptions()
        self.network = MemoryNetwork(
            kinds=KINDS, rng=random.Random(seed), loss=loss
        )
        self.directory = SettableDirectory()
        zone_cycle = [AvailabilityZone(*zone.split('/')) for zone in zones]
        self.instances = [
            Instance(
                f'g{index}',
                zone_cycle[index % len(zone_cycle)],
                f'tcp://g{index}',
            )
            for index in range(gateways)
        ]
        self.directory.listed = [
            BackendServer(
                f's{index}',
                'desk',
                zone_cycle[index % len(zone_cycle)],
                'x:1',
                concurrency,
            )
            for index in range(servers)
        ]
        self.backends = {
            server.server_id: SimulatedServer(
                server, random.Random(f'{seed} {index}')
            )
            for index, server in enumerate(self.directory.listed)
        }
        if cold:
            for backend in self.backends.values():
                backend.state = ServerState.COLD
        self.gateways = [Gateway(self, own) for own in self.instances]

    @property
    def results(self) -> Counter[str]:
        return sum((gateway.results for gateway in self.gateways), Counter())

    @property
    def excess(self) -> int:
        """Requests that servers received above their capacity."""
        return sum(backend.excess for backend in self.backends.values())

    def set_live(self, gateway: Gateway, names: set[str]) -> None:
        gateway.members.set_live(
            [peer for peer in self.instances if peer.instance_id in names]
        )

    async def send_load(
        self,
        *,
        rate_per_s: float,
        duration_s: float,
        only: list[int] | None = None,
    ) -> None:
        """Spread `rate_per_s` requests/s over all gateways, or `only` some."""
        used = [self.gateways[i] for i in only or range(len(self.gateways))]
        await asyncio.gather(
            *(
                gateway.send_load(
                    rate_per_s=rate_per_s / len(used), duration_s=duration_s
                )
                for gateway in used
            )
        )
