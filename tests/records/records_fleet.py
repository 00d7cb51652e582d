"""A small fleet of instances for tests of one part of an instance.

Members, links, store and wall clock are in memory; `Node.part` is the part
under test.
"""

import asyncio
import random

from teaselrock.coordination.in_memory import FixedDirectory
from teaselrock.protocol.document_codec import JsonDocumentCodec
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


class SettableMemberView:
    """`MemberView` whose live members the test sets."""

    def __init__(self, own, members):
        self.own = own
        self.live = tuple(members)
        self.roster = tuple(members)
        self.epoch = 1

    def set_live(self, members):
        self.live = tuple(members)
        self.epoch += 1


class LinkPeers:
    """`Peers` over a memory link; keeps what was sent."""

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
    """One instance: its member view, peers, store client and tested part."""

    def __init__(self, fleet, instance):
        self.own = instance
        self.view = SettableMemberView(instance, fleet.members)
        self.peers = LinkPeers(fleet.network.link(own=instance), fleet.members)
        self.store = MemoryStore(model=fleet.store_model)
        self.receive_task = asyncio.create_task(self.peers.run())
        self.rng = random.Random(f'{fleet.seed}/{instance.instance_id}')
        self.part = None

    def common_arguments(self, fleet):
        """Arguments that the constructors of all tested parts share."""
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

    def __init__(self, *, count=3, seed=1, allow=None, home_regions=None):
        self.seed = seed
        rng = random.Random(seed)
        self.codec = JsonDocumentCodec()
        self.network = MemoryNetwork(kinds=KINDS, rng=rng)
        self.store_model = StoreModel(rng=rng)
        self.clock_skew_s = 0.0
        self.members = [
            Instance(f'gw-{index}', ZONES[index % len(ZONES)], '')
            for index in range(count)
        ]
        self.directory = FixedDirectory(
            document=document(allow or {}, home_regions), servers=()
        )
        self.nodes = [Node(self, member) for member in self.members]

    def wall_clock(self):
        return START_S + self.clock_skew_s + asyncio.get_running_loop().time()

    def kill(self, node, *, is_detected=True):
        """End an instance; the others' views show it if `is_detected`."""
        node.receive_task.cancel()
        self.network.remove(instance_id=node.own.instance_id)
        if is_detected:
            self.remove_from_views(node, self.nodes)

    def remove_from_views(self, node, others):
        for other in others:
            other.view.set_live(
                [peer for peer in other.view.live if peer is not node.own]
            )


def document(allow, home_regions):
    customers = {
        'shannon-press': {'plan': 'basic', 'key_sha256': []},
        'corrib-books': {'plan': 'basic', 'key_sha256': []},
    }
    if home_regions:
        customers['corrib-books']['home_regions'] = home_regions
    entry = {'service': 'desk', 'regions': ['east', 'west', 'north']}
    return {
        'customers': customers,
        'plans': {'basic': {'weight': 1, 'allow': [entry | allow]}},
        'services': {},
        'out_zones': {},
        'out_instances': {},
        'out_servers': {},
    }


def request(key=b'', customer='shannon-press', timeout_s=5.0, units=1):
    loop = asyncio.get_running_loop()
    return Request(
        customer,
        'desk',
        CONTENT,
        loop.time() + timeout_s,
        key_digest=key.ljust(32, b'.') if key else None,
        units=units,
    )
