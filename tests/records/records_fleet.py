"""A small fleet at the ports: members, peers, store and a wall clock."""

import asyncio
import random

from teaselrock.coordination.in_memory import FixedDirectory
from teaselrock.protocol.documents import JsonDocumentCodec
from teaselrock.protocol.messages import KINDS
from teaselrock.standins.network import MemoryNetwork
from teaselrock.standins.store import MemoryStore
from teaselrock.standins.store import StoreModel
from teaselrock.state import AvailabilityZone
from teaselrock.state import Instance
from teaselrock.state import Request
from teaselrock.state import RequestContent

# 2026-12-04 10:00:00 UTC.
START_S = 1_796_378_400.0
CONTENT = RequestContent('POST', '/secret-path', (), b'secret-body')
ZONES = [
    AvailabilityZone(region, zone)
    for zone in ('a', 'b')
    for region in ('east', 'west', 'north')
]


class View:
    """A member view that the test sets."""

    def __init__(self, own, members):
        self.own = own
        self.live = tuple(members)
        self.roster = tuple(members)
        self.epoch = 1

    def set_live(self, members):
        self.live = tuple(members)
        self.epoch += 1


class LinkPeers:
    """`Peers` on a memory link."""

    def __init__(self, link, members):
        self.link = link
        self.handlers = {}
        self.sent = []
        for member in members:
            link.connect(peer=member)

    def send(self, *, to, message):
        self.sent.append((to, message))
        return self.link.send(to=to, message=message) > 0

    def register_handler(self, *, message_type, handler):
        self.handlers[message_type] = handler

    async def run(self):
        while True:
            sender, message = await self.link.receive()
            self.handlers[type(message)](sender=sender, message=message)


class Node:
    """One instance: its view, peers, store client and part under test."""

    def __init__(self, fleet, instance):
        self.own = instance
        self.view = View(instance, fleet.members)
        self.peers = LinkPeers(fleet.network.link(own=instance), fleet.members)
        self.store = MemoryStore(model=fleet.model)
        self.task = asyncio.create_task(self.peers.run())
        self.rng = random.Random(f'{fleet.seed}/{instance.instance_id}')
        self.part = None

    def common(self, fleet):
        return {
            'view': self.view,
            'peers': self.peers,
            'store': self.store,
            'codec': fleet.codec,
            'directory': fleet.directory,
            'wall_clock': fleet.wall_clock,
            'rng': self.rng,
        }


class Fleet:
    """Instances spread over three regions of two zones."""

    def __init__(self, *, count=3, seed=1, allow=None, homes=None):
        self.seed = seed
        rng = random.Random(seed)
        self.codec = JsonDocumentCodec()
        self.network = MemoryNetwork(kinds=KINDS, rng=rng)
        self.model = StoreModel(rng=rng)
        self.skew = 0.0
        self.members = [
            Instance(f'gw-{index}', ZONES[index % len(ZONES)], '')
            for index in range(count)
        ]
        self.directory = FixedDirectory(
            document=document(allow or {}, homes), servers=()
        )
        self.nodes = [Node(self, member) for member in self.members]

    def wall_clock(self):
        return START_S + self.skew + asyncio.get_running_loop().time()

    def kill(self, node, *, is_seen=True):
        """End an instance at once; `is_seen` tells the others' views."""
        node.task.cancel()
        self.network.remove(instance_id=node.own.instance_id)
        if is_seen:
            self.drop(node, self.nodes)

    def drop(self, node, others):
        for other in others:
            other.view.set_live(
                [m for m in other.view.live if m is not node.own]
            )


def document(allow, homes):
    customers = {
        'shannon-press': {'plan': 'basic', 'key_sha256': []},
        'corrib-books': {'plan': 'basic', 'key_sha256': []},
    }
    if homes:
        customers['corrib-books']['home_regions'] = homes
    entry = {'service': 'desk', 'regions': ['east', 'west', 'north']}
    return {
        'customers': customers,
        'plans': {'basic': {'weight': 1, 'allow': [entry | allow]}},
        'services': {},
        'out_zones': {},
        'out_instances': {},
        'out_servers': {},
    }


def request(key=b'', customer='shannon-press', wait=5.0, units=1):
    loop = asyncio.get_running_loop()
    return Request(
        customer,
        'desk',
        CONTENT,
        loop.time() + wait,
        key_digest=key.ljust(32, b'.') if key else None,
        units=units,
    )
