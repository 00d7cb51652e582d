"""A fleet of control planes on in-process stand-ins, without a data path.

Tests, `membership_cost` and `change_cost` start, cut off and kill instances
with it on the paused clock.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import Final

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination.configuration_admin import ConfigurationAdmin
from teaselrock.coordination.control import ControlPlane
from teaselrock.coordination.events import Events
from teaselrock.coordination.events import NoEvents
from teaselrock.coordination.ports import StoreError
from teaselrock.coordination.ports import StoreErrorKind
from teaselrock.protocol.document_codec import JsonDocumentCodec
from teaselrock.protocol.messages import KINDS
from teaselrock.standins.network import MemoryNetwork
from teaselrock.standins.operators import Announcer
from teaselrock.standins.store import MemoryStore
from teaselrock.standins.store import StoreModel
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer
from teaselrock.state import Instance
from teaselrock.state.configuration import Document
from teaselrock.state.configuration import empty_document

REGIONS: Final = ('east', 'west', 'north')
ZONES: Final = ('a', 'b')
# One-way latency from other regions to the store, which is in the first one.
STORE_LATENCY_S: Final = 0.008
POLL_INTERVAL_S: Final = 0.01


class FleetPlatform:
    """`PlatformList` without lag.

    `ControlFleet` adds the gateways; tests set the rest.
    """

    def __init__(self) -> None:
        self.servers: tuple[BackendServer, ...] = ()
        self.gateways: set[str] = set()
        self.is_down = False

    async def backend_servers(
        self,
    ) -> Result[Sequence[BackendServer], StoreError]:
        """All servers."""
        if self.is_down:
            return Error(StoreError(StoreErrorKind.UNAVAILABLE, 'down'))
        return Ok(self.servers)

    async def instance_ids(self) -> Result[frozenset[str], StoreError]:
        """Ids of the listed gateways."""
        if self.is_down:
            return Error(StoreError(StoreErrorKind.UNAVAILABLE, 'down'))
        return Ok(frozenset(self.gateways))


def example_document() -> Document:
    """A valid document with one customer, plan and service."""
    document = empty_document()
    document['customers']['shannon'] = {'plan': 'basic', 'key_sha256': []}
    document['plans']['basic'] = {
        'weight': 1,
        'allow': [{'service': 'desk', 'regions': list(REGIONS)}],
    }
    document['services']['desk'] = {
        'prefix': '/desk',
        'concurrency': 3,
        'deadline_ms': 1000,
        'non_idempotent_methods': ['POST'],
    }
    return document


class ControlFleet:
    """Instances `gw-0`, `gw-1`, ..., spread over regions and zones."""

    def __init__(self, *, seed: int, loss: float = 0.0) -> None:
        self._rng = random.Random(seed)
        self.network = MemoryNetwork(
            kinds=KINDS, rng=random.Random(seed + 1), loss=loss
        )
        self.store = StoreModel(rng=random.Random(seed + 2))
        self.platform = FleetPlatform()
        self.control_planes: dict[str, ControlPlane] = {}
        self.store_clients: dict[str, MemoryStore] = {}
        self.codec = JsonDocumentCodec()
        self._incarnation = 0
        # Whether operators announce accepted changes to instances.
        self.announces_changes = False
        # Receives the events of instances that are started from now on.
        self.events: Events = NoEvents()

    @property
    def now(self) -> float:
        """Time on the loop's clock, in seconds."""
        return asyncio.get_running_loop().time()

    def admin(self) -> ConfigurationAdmin:
        """Create an operator's client in the store's region."""
        announcer = Announcer(
            network=self.network,
            zone=self.instance_at(0).zone,
            instances=lambda: [
                node.membership.own for node in self.control_planes.values()
            ],
            rng=random.Random(self._rng.getrandbits(32)),
        )
        return ConfigurationAdmin(
            store=MemoryStore(model=self.store),
            codec=self.codec,
            rng=random.Random(self._rng.getrandbits(32)),
            announce=announcer.announce if self.announces_changes else None,
        )

    def instance_at(self, index: int) -> Instance:
        """Id, zone and address of instance number `index`."""
        zone = AvailabilityZone(
            REGIONS[index % 3], ZONES[index // 3 % len(ZONES)]
        )
        name = f'gw-{index}'
        return Instance(name, zone, f'memory:{name}')

    def start_instance(
        self, index: int, *, seed_indexes: Sequence[int] = (0, 1)
    ) -> str:
        """Start an instance; returns its id.

        `seed_indexes` are the numbers of the instances that it joins.
        """
        own = self.instance_at(index)
        self._incarnation += 1000
        one_way_latency_s = (
            0.0 if own.zone.region == REGIONS[0] else STORE_LATENCY_S
        )
        client = MemoryStore(
            model=self.store, one_way_latency_s=one_way_latency_s
        )
        node = ControlPlane(
            own=own,
            incarnation=self._incarnation,
            link=self.network.link(own=own),
            store=client,
            platform=self.platform,
            codec=self.codec,
            seeds=tuple(
                self.instance_at(seed_index) for seed_index in seed_indexes
            ),
            rng=random.Random(self._rng.getrandbits(32)),
            events=self.events,
        )
        self.store_clients[own.instance_id] = client
        self.control_planes[own.instance_id] = node
        self.platform.gateways.add(own.instance_id)
        node.start()
        return own.instance_id

    async def start_all(
        self, count: int, *, has_document: bool = True
    ) -> None:
        """Start `count` instances and wait until all list each other as live.

        With `has_document` the example document is accepted first, and they
        must be ready too.
        """
        if has_document:
            await self.apply_document(example_document())
        for index in range(count):
            self.start_instance(index)
        await self.wait_until(
            lambda: all(
                len(node.membership.live) == count
                and (not has_document or node.directory.is_ready)
                for node in self.control_planes.values()
            )
        )

    async def apply_document(self, document: Document) -> int:
        """Accept a document as an operator does; returns its version."""
        admin = self.admin()
        current = (await admin.current()).ok
        accepted = await admin.apply_document(base=current, document=document)
        return accepted.ok.version

    async def kill(self, name: str) -> None:
        """End an instance as if it had crashed."""
        self.network.remove(instance_id=name)
        await self.control_planes.pop(name).kill()

    def in_region(self, region: str) -> list[str]:
        """Ids of the running instances of a region."""
        return [
            name
            for name, node in self.control_planes.items()
            if node.membership.own.zone.region == region
        ]

    def cut_groups(
        self, group: Sequence[str], other_group: Sequence[str]
    ) -> None:
        """Cut all links between two groups of instances."""
        for name in group:
            for peer in other_group:
                self.network.cut(name, peer)

    async def wait_until(
        self, condition: Callable[[], bool], *, limit_s: float = 60.0
    ) -> float:
        """Wait for a condition; returns how many seconds it took."""
        started = self.now
        while not condition():
            if self.now - started > limit_s:
                raise TimeoutError(f'condition is not met after {limit_s} s')
            await asyncio.sleep(POLL_INTERVAL_S)
        return self.now - started

    async def wait_in_force(
        self, version: int, *, limit_s: float = 60.0
    ) -> float:
        """Wait until all running instances have at least a version.

        Returns how many seconds it took.
        """
        return await self.wait_until(
            lambda: all(
                node.configuration.version >= version
                for node in self.control_planes.values()
            ),
            limit_s=limit_s,
        )
