"""Sends the changes of a watching instance to those that follow it.

`relay` decides which instance watches the store. Each connection of a
follower has a task that receives, and one that sends large changes of the
routing table.
"""

import asyncio
from collections.abc import Callable
import contextlib
from typing import Final

from teaselrock.coordination.events import Event
from teaselrock.coordination.events import Events
from teaselrock.coordination.ports import RelayChannel
from teaselrock.coordination.registry.messages import FollowRequest
from teaselrock.coordination.registry.messages import TablesReceived
from teaselrock.coordination.registry.messages import WatchHeartbeat
from teaselrock.coordination.registry.mirror import NO_POSITION
from teaselrock.coordination.registry.relayed_changes import is_large
from teaselrock.coordination.registry.relayed_changes import RelayedChanges
from teaselrock.coordination.registry.relayed_changes import route_count
from teaselrock.coordination.registry.relayed_changes import TableMessage

HEARTBEAT_INTERVAL_S: Final = 0.25
# `publish` is called at intervals of 0.1 s, and may be early for a heartbeat.
HEARTBEAT_TOLERANCE_S: Final = 0.05
# Large changes that are sent and not acknowledged. Sent to all followers at
# once they would delay the heartbeats of most, who would take over. With 1,400
# routes, each of 20 to 35 KB, they occupy a link of 10 Mbit/s for less than
# the interval of heartbeats.
MAX_LARGE_SENDS: Final = 6
# After this time, and that for each route, a follower that has acknowledged
# nothing no longer counts. A link of 10 Mbit/s takes half of it.
ACK_TIMEOUT_S: Final = 0.3
ACK_TIMEOUT_PER_ROUTE_S: Final = 0.0003


class _Follower:
    """Connection of an instance that follows this one."""

    def __init__(
        self, *, channel: RelayChannel, first: FollowRequest, protocol: int
    ) -> None:
        self.channel = channel
        self.protocol = protocol
        self.instance_id = first.instance_id
        self.positions = first.positions
        self.heartbeat_at = float('-inf')
        # Set while a large change of the routing table has to be sent.
        self.large_change = asyncio.Event()
        # Position of the last large change that was sent to it.
        self.sent_position = NO_POSITION
        # Set when the follower has acknowledged that change.
        self.acknowledged = asyncio.Event()


class Followers:
    """Connections of the instances that follow this one.

    `rank_of` returns the rank of an instance.
    """

    def __init__(
        self,
        *,
        changes: RelayedChanges,
        rank_of: Callable[[str], int],
        events: Events,
    ) -> None:
        self._events = events
        self._changes = changes
        self._rank_of = rank_of
        self._followers: set[_Follower] = set()
        self._large_sends = asyncio.Semaphore(MAX_LARGE_SENDS)

    async def serve(
        self, channel: RelayChannel, first: FollowRequest, *, protocol: int
    ) -> None:
        """Serve the connection of a follower until it ends."""
        follower = _Follower(channel=channel, first=first, protocol=protocol)
        self._followers.add(follower)
        sender = asyncio.create_task(self._send_large_changes(follower))
        try:
            while True:
                message = await channel.receive()
                if isinstance(message, FollowRequest):
                    follower.positions = message.positions
                elif not isinstance(message, TablesReceived):
                    return
                elif message.position >= follower.sent_position:
                    follower.acknowledged.set()
        finally:
            self._followers.discard(follower)
            sender.cancel()

    def publish(self, heartbeat: WatchHeartbeat) -> None:
        """Send the changes that followers lack, and heartbeats.

        Large changes go to the lowest ranks first, which take over from this
        instance if it fails.
        """
        now = asyncio.get_running_loop().time()
        for follower in sorted(
            self._followers,
            key=lambda follower: self._rank_of(follower.instance_id),
        ):
            if follower.positions != heartbeat.positions:
                self._send_servers_and_zones(follower)
                self._send_or_schedule_tables(follower)
            since_heartbeat = now - follower.heartbeat_at
            if since_heartbeat >= HEARTBEAT_INTERVAL_S - HEARTBEAT_TOLERANCE_S:
                follower.heartbeat_at = now
                follower.channel.send(heartbeat)
                if follower.protocol > 0:
                    follower.channel.send(self._changes.confirmed)

    def _send_servers_and_zones(self, follower: _Follower) -> None:
        for message in self._changes.servers_and_zones_since(
            follower.positions
        ):
            follower.channel.send(message)
        follower.positions = self._changes.positions._replace(
            tables=follower.positions.tables
        )

    def _send_or_schedule_tables(self, follower: _Follower) -> None:
        """Send small changes of the routing table at once.

        Those that come while a large one waits are sent after it.
        """
        if follower.large_change.is_set():
            return
        messages = self._table_messages(follower)
        if any(map(is_large, messages)):
            follower.large_change.set()
        else:
            self._send_tables(follower, messages)

    async def _send_large_changes(self, follower: _Follower) -> None:
        try:
            while True:
                await follower.large_change.wait()
                async with self._large_sends:
                    await self._send_large_change(follower)
        except Exception as error:
            # Without this task the follower would miss the routes. It connects
            # again and asks for what it lacks.
            self._events.emit(event=Event.RELAY_FAILED, detail=repr(error))
            follower.channel.close()

    async def _send_large_change(self, follower: _Follower) -> None:
        messages = self._table_messages(follower)
        follower.acknowledged.clear()
        seconds = ACK_TIMEOUT_S
        for message in filter(is_large, messages):
            follower.sent_position = message.position
            seconds += ACK_TIMEOUT_PER_ROUTE_S * route_count(message)
        self._send_tables(follower, messages)
        follower.large_change.clear()
        if follower.protocol == 0:
            # Earlier builds acknowledge nothing.
            seconds = ACK_TIMEOUT_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await follower.acknowledged.wait()

    def _table_messages(self, follower: _Follower) -> list[TableMessage]:
        return self._changes.tables_since(
            follower.positions, protocol=follower.protocol
        )

    def _send_tables(
        self, follower: _Follower, messages: list[TableMessage]
    ) -> None:
        for message in messages:
            follower.channel.send(message)
        follower.positions = follower.positions._replace(
            tables=self._changes.positions.tables
        )
