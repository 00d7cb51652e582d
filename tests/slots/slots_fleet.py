"""Gateways, members, directory and backend servers for slot tests."""

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


class Members:
    """`MemberView` that a test sets."""

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


class Servers:
    """`Directory` of the fleet's servers."""

    def __init__(self) -> None:
        self.listed: list[BackendServer] = []
        self.document = {'services': {'desk': {}}}

    def backend_servers(self, *, service: str) -> list[BackendServer]:
        return [one for one in self.listed if one.service == service]


class Backend:
    """A server that judges by itself whether it got too much."""

    def __init__(self, server: BackendServer, rng: random.Random) -> None:
        self.server = server
        self.rng = rng
        self.mean_s = 0.005
        self.start = 1
        self.in_flight = 0
        self.peak = 0
        self.excess = 0
        self.served = 0
        self.successes = 0
        self.state = ServerState.WARM
        self.claims_all = False
        self.running: set[asyncio.Task[None]] = set()
        self.by_gateway: Counter[str] = Counter()

    @property
    def start_id(self) -> str:
        return f'{self.server.server_id}#{self.start}'

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
            self.server.concurrency if self.claims_all else self.capacity
        )
        return LoadReport(self.start_id, self.state, self.in_flight, capacity)

    def restart(self) -> None:
        self.start += 1
        self.successes = 0
        self.state = ServerState.COLD
        for task in self.running:
            task.cancel()

    async def serve(self, gateway: str) -> FailureKind | None:
        self.in_flight += 1
        self.peak = max(self.peak, self.in_flight)
        self.excess += self.in_flight > self.capacity
        start = self.start
        work = asyncio.create_task(
            asyncio.sleep(self.rng.uniform(0.5, 1.5) * self.mean_s)
        )
        self.running.add(work)
        try:
            await asyncio.wait((work,))
        finally:
            self.in_flight -= 1
            self.running.discard(work)
            work.cancel()
        if start != self.start:
            return FailureKind.RESET
        self.successes += 1
        self.served += 1
        self.by_gateway[gateway] += 1
        if self.successes >= 100 and self.state is ServerState.COLD:
            self.state = ServerState.WARM
        return None


class Gateway:
    """The slots part of one instance and its requests."""

    def __init__(self, fleet: 'Fleet', own: Instance) -> None:
        self.fleet = fleet
        self.own = own
        self.members = Members(own, fleet.instances)
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
        self.inbox = asyncio.create_task(self.peers.run())
        self.slots.start()
        self.results: Counter[str] = Counter()
        self.reasons: Counter[str] = Counter()
        self.is_dead = False

    def die(self) -> None:
        self.is_dead = True
        self.inbox.cancel()
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
                failure = FailureKind.START_ID
            else:
                failure = await backend.serve(self.own.instance_id)
        finally:
            latency = loop.time() - started
            slot.release(
                outcome=AttemptOutcome(latency, failure, backend.load)
            )
        self.results[failure.value if failure else 'ok'] += 1

    async def load(self, *, rate: float, seconds: float) -> None:
        """Open-loop requests at a Poisson rate."""
        loop = asyncio.get_running_loop()
        rng = random.Random(f'{self.fleet.seed} load {self.own.instance_id}')
        end = loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            while loop.time() < end and not self.is_dead:
                await asyncio.sleep(rng.expovariate(rate))
                group.create_task(self.request())


class Fleet:
    """`count` gateways and `servers` servers over the given zones."""

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
        self.directory = Servers()
        places = [AvailabilityZone(*one.split('/')) for one in zones]
        self.instances = [
            Instance(f'g{at}', places[at % len(places)], f'tcp://g{at}')
            for at in range(gateways)
        ]
        self.directory.listed = [
            BackendServer(
                f's{at}', 'desk', places[at % len(places)], 'x:1', concurrency
            )
            for at in range(servers)
        ]
        self.backends = {
            one.server_id: Backend(one, random.Random(f'{seed} {at}'))
            for at, one in enumerate(self.directory.listed)
        }
        if cold:
            for backend in self.backends.values():
                backend.state = ServerState.COLD
        self.gateways = [Gateway(self, one) for one in self.instances]

    @property
    def results(self) -> Counter[str]:
        return sum((one.results for one in self.gateways), Counter())

    @property
    def excess(self) -> int:
        """Requests that arrived at servers above their capacity."""
        return sum(one.excess for one in self.backends.values())

    def set_live(self, gateway: Gateway, names: set[str]) -> None:
        gateway.members.set_live(
            [one for one in self.instances if one.instance_id in names]
        )

    async def load(
        self, *, rate: float, seconds: float, only: list[int] | None = None
    ) -> None:
        """Load spread over live gateways, `rate` requests/s in all."""
        used = [self.gateways[at] for at in only or range(len(self.gateways))]
        await asyncio.gather(
            *(one.load(rate=rate / len(used), seconds=seconds) for one in used)
        )
