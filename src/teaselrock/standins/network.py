"""In-process links between instances, with latency, loss and cuts.

`MemoryNetwork` delivers messages of `MemoryLink`s on the event loop's clock
and counts messages and bytes by sender, type and whether they left the
region. Messages to a removed instance count as within the region.
"""

import asyncio
from collections import Counter
from collections.abc import Mapping
import random
from typing import Final
from typing import NamedTuple

from teaselrock.protocol import MessageCodec
from teaselrock.state import Instance

INBOX_MAX_MESSAGES: Final = 4000
# One-way latency within a zone.
SAME_ZONE_S: Final = 0.0002


class Traffic(NamedTuple):
    """Key of the message counters; `kind` is the message type's name."""

    sender: str
    kind: str
    is_cross_region: bool


class Latencies(NamedTuple):
    """One-way latencies in seconds between zones and between regions."""

    cross_zone_s: float = 0.0005
    cross_region_s: float = 0.008


class MemoryNetwork:
    """Carries messages between links of one process."""

    def __init__(
        self,
        *,
        kinds: Mapping[int, type],
        rng: random.Random,
        latencies: Latencies = Latencies(),
        loss: float = 0.0,
    ) -> None:
        self._codec = MessageCodec(kinds=kinds)
        self._rng = rng
        self._latencies = latencies
        self._loss = loss
        self._links: dict[str, MemoryLink] = {}
        self._cut_pairs: set[frozenset[str]] = set()
        self._held_messages: dict[str, list[tuple[str, NamedTuple]]] = {}
        self.sent_messages: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self.cross_region_bytes: Counter[str] = Counter()
        self.messages_by_traffic: Counter[Traffic] = Counter()
        self.bytes_by_traffic: Counter[Traffic] = Counter()

    def set_loss(self, loss: float) -> None:
        """Drop this share of messages, from 0 to 1, from now on."""
        self._loss = loss

    def link(self, *, own: Instance) -> 'MemoryLink':
        """Create the link of an instance; a new one replaces the old."""
        link = MemoryLink(network=self, own=own)
        self._links[own.instance_id] = link
        return link

    def remove(self, *, instance_id: str) -> None:
        """Remove an ended instance; messages to it are dropped."""
        self._links.pop(instance_id, None)
        self._held_messages.pop(instance_id, None)

    def cut(self, instance_id: str, other_id: str) -> None:
        """Drop messages between two instances in both directions."""
        self._cut_pairs.add(frozenset((instance_id, other_id)))

    def restore_link(self, instance_id: str, other_id: str) -> None:
        """Undo `cut`."""
        self._cut_pairs.discard(frozenset((instance_id, other_id)))

    def restore_all_links(self) -> None:
        """Undo all cuts."""
        self._cut_pairs.clear()

    def pause(self, instance_id: str) -> None:
        """Hold messages to an instance until `resume`."""
        self._held_messages.setdefault(instance_id, [])

    def resume(self, instance_id: str) -> None:
        """Undo `pause` and deliver the held messages."""
        held = self._held_messages.pop(instance_id, [])
        link = self._links.get(instance_id)
        for sender, message in held:
            if link is not None:
                link.deliver(sender, message)

    def latency(self, instance: Instance, other: Instance) -> float:
        """One-way latency between two instances, in seconds."""
        if instance.zone.region != other.zone.region:
            return self._latencies.cross_region_s
        if instance.zone != other.zone:
            return self._latencies.cross_zone_s
        return SAME_ZONE_S

    def transmit(self, own: Instance, to: str, message: NamedTuple) -> int:
        """Send a message; returns its encoded size in bytes."""
        frame = self._codec.encode(message)
        size = len(frame)
        self.sent_messages[own.instance_id] += 1
        self.sent_bytes[own.instance_id] += size
        target = self._links.get(to)
        is_cross_region = (
            target is not None and target.own.zone.region != own.zone.region
        )
        traffic = Traffic(
            own.instance_id, type(message).__name__, is_cross_region
        )
        self.messages_by_traffic[traffic] += 1
        self.bytes_by_traffic[traffic] += size
        if target is None:
            return size
        if is_cross_region:
            self.cross_region_bytes[own.instance_id] += size
        if frozenset((own.instance_id, to)) in self._cut_pairs:
            return size
        if self._loss and self._rng.random() < self._loss:
            return size
        delay = self.latency(own, target.own) * self._rng.uniform(1.0, 1.2)
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self._deliver_frame, own.instance_id, to, frame)
        return size

    def _deliver_frame(self, sender: str, to: str, frame: bytes) -> None:
        link = self._links.get(to)
        if link is None:
            return
        message = self._codec.decode(frame).ok
        if to in self._held_messages:
            self._held_messages[to].append((sender, message))
        else:
            link.deliver(sender, message)


class MemoryLink:
    """`PeerLink` of one instance on a `MemoryNetwork`."""

    def __init__(self, *, network: MemoryNetwork, own: Instance) -> None:
        self._network = network
        self._own = own
        self._connected_peers: set[str] = set()
        self._inbox: asyncio.Queue[tuple[str, NamedTuple]] = asyncio.Queue(
            INBOX_MAX_MESSAGES
        )

    @property
    def own(self) -> Instance:
        """The instance that the link belongs to."""
        return self._own

    def connect(self, *, peer: Instance) -> None:
        """Make `peer` reachable."""
        self._connected_peers.add(peer.instance_id)

    def disconnect(self, *, instance_id: str) -> None:
        """Drop the link to a peer."""
        self._connected_peers.discard(instance_id)

    def send(self, *, to: str, message: NamedTuple) -> int:
        """Send a message; returns its size in bytes, 0 if not connected.

        Messages that are lost on the way return their size too.
        """
        if to not in self._connected_peers:
            return 0
        return self._network.transmit(self._own, to, message)

    async def receive(self) -> tuple[str, NamedTuple]:
        """Wait for the next message."""
        return await self._inbox.get()

    def deliver(self, sender: str, message: NamedTuple) -> None:
        """Put a message into the inbox; a full inbox drops it."""
        if not self._inbox.full():
            self._inbox.put_nowait((sender, message))
