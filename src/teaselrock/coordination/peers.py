"""Messages to and from peers, within the control budget.

`PeerHub` implements the `Peers` port on a `PeerLink`. Each peer has a task
that handles its messages. `membership` connects and disconnects peers; each
component registers handlers for its messages. Control traffic is charged by
priority; request data, whose rate grows with the requests served, has a budget
of its own.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Mapping
import logging
from typing import Any
from typing import Final
from typing import NamedTuple

from teaselrock.coordination.control_budget import ControlBudget
from teaselrock.coordination.control_budget import Priority
from teaselrock.coordination.ports import MessageHandler
from teaselrock.coordination.ports import PeerLink
from teaselrock.state import Instance

LOG: Final = logging.getLogger(__name__)
# Received messages of one peer that wait for its task; others are dropped.
INBOX_MESSAGES: Final = 256
# Tasks of senders that are not connected: operators' commands and instances
# that are joining.
MAX_UNKNOWN_SENDERS: Final = 64


class PeerCounters(NamedTuple):
    """Messages and bytes sent, received and dropped since the start.

    `sent_*` count control traffic, `data_*` request data.
    """

    sent_messages: int = 0
    sent_bytes: int = 0
    cross_region_bytes: int = 0
    data_messages: int = 0
    data_bytes: int = 0
    over_budget: int = 0
    dropped_by_link: int = 0
    received_messages: int = 0
    dropped_at_inbox: int = 0
    failed_handlers: int = 0


class _Peer(NamedTuple):
    inbox: asyncio.Queue[NamedTuple]
    task: asyncio.Task[None]


class PeerHub:
    """`Peers` port of one instance."""

    def __init__(
        self, *, own: Instance, link: PeerLink, budget: ControlBudget
    ) -> None:
        self._own = own
        self._link = link
        self._budget = budget
        self._handlers: dict[type, MessageHandler] = {}
        self._priorities: dict[type, Priority] = {}
        self._data_types: set[type] = set()
        self._connected_regions: dict[str, str] = {}
        self._peers: dict[str, _Peer] = {}
        self._read_task: asyncio.Task[None] | None = None
        self._counts = dict.fromkeys(PeerCounters._fields, 0)

    @property
    def counters(self) -> PeerCounters:
        """Current values of the counters."""
        return PeerCounters(**self._counts)

    def set_priorities(self, *, priorities: Mapping[type, Priority]) -> None:
        """Set priorities of message types; the default is `SLOT_REQUESTS`."""
        self._priorities.update(priorities)

    def count_as_request_data(self, *, message_types: Iterable[type]) -> None:
        """Charge message types as request data, not as control traffic."""
        self._data_types.update(message_types)

    def register_handler(
        self, *, message_type: type, handler: MessageHandler
    ) -> None:
        """Register the handler of a message type."""
        self._handlers[message_type] = handler

    def start(self) -> None:
        """Start the task that reads the link."""
        self._read_task = asyncio.create_task(self._read_link())

    async def stop(self) -> None:
        """End the tasks of the reader and of all peers."""
        tasks = [peer.task for peer in self._peers.values()]
        if self._read_task is not None:
            tasks.append(self._read_task)
        self._peers.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def is_connected(self, instance_id: str) -> bool:
        """Whether messages can be sent to a peer."""
        return instance_id in self._connected_regions

    def connect(self, *, peer: Instance) -> None:
        """Make a peer reachable; repeated calls are harmless."""
        if peer.instance_id != self._own.instance_id:
            self._connected_regions[peer.instance_id] = peer.zone.region
            self._link.connect(peer=peer)

    def disconnect(self, *, instance_id: str) -> None:
        """Drop the link and the task of a peer."""
        self._connected_regions.pop(instance_id, None)
        self._link.disconnect(instance_id=instance_id)
        peer = self._peers.pop(instance_id, None)
        if peer is not None:
            peer.task.cancel()

    def send(self, *, to: str, message: NamedTuple) -> bool:
        """Send to a peer.

        Returns False if the peer is not connected, the budget is used up or
        the link dropped the message.
        """
        region = self._connected_regions.get(to)
        if region is None:
            return False
        is_cross_region = region != self._own.zone.region
        is_data = type(message) in self._data_types
        if not self._is_within_budget(type(message), is_data, is_cross_region):
            self._counts['over_budget'] += 1
            return False
        size = self._link.send(to=to, message=message)
        if size == 0:
            self._counts['dropped_by_link'] += 1
            return False
        self._charge(size, is_data, is_cross_region)
        return True

    def _is_within_budget(
        self, message_type: type, is_data: bool, is_cross_region: bool
    ) -> bool:
        if is_data:
            return self._budget.allows_request_data()
        priority = self._priorities.get(message_type, Priority.SLOT_REQUESTS)
        return self._budget.allows(
            priority=priority, is_cross_region=is_cross_region
        )

    def _charge(self, size: int, is_data: bool, is_cross_region: bool) -> None:
        if is_data:
            self._budget.charge_request_data(size=size)
            self._counts['data_messages'] += 1
            self._counts['data_bytes'] += size
            return
        self._budget.charge(size=size, is_cross_region=is_cross_region)
        self._counts['sent_messages'] += 1
        self._counts['sent_bytes'] += size
        if is_cross_region:
            self._counts['cross_region_bytes'] += size

    async def _read_link(self) -> None:
        while True:
            sender, message = await self._link.receive()
            self._counts['received_messages'] += 1
            peer = self._peers.get(sender) or self._add_peer(sender)
            if peer.inbox.full():
                self._counts['dropped_at_inbox'] += 1
            else:
                peer.inbox.put_nowait(message)

    def _add_peer(self, sender: str) -> _Peer:
        unknown = [
            name for name in self._peers if name not in self._connected_regions
        ]
        if len(unknown) >= MAX_UNKNOWN_SENDERS:
            self._peers.pop(unknown[0]).task.cancel()
        inbox: asyncio.Queue[NamedTuple] = asyncio.Queue(INBOX_MESSAGES)
        task = asyncio.create_task(self._handle_messages(sender, inbox))
        peer = self._peers[sender] = _Peer(inbox, task)
        return peer

    async def _handle_messages(
        self, sender: str, inbox: asyncio.Queue[Any]
    ) -> None:
        while True:
            message = await inbox.get()
            handler = self._handlers.get(type(message))
            if handler is None:
                continue
            try:
                handler(sender=sender, message=message)
            except Exception:
                # A message whose handler fails must not end the peer's task.
                self._counts['failed_handlers'] += 1
                LOG.exception('handler of %s failed', type(message).__name__)
