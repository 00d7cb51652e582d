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
from teaselrock.coordination.registry.messages import TablesChanged
from teaselrock.coordination.registry.messages import WatchHeartbeat
from teaselrock.coordination.registry.relayed_changes import RelayedChanges
from teaselrock.coordination.registry.relayed_changes import TableMessage

HEARTBEAT_INTERVAL_S: Final = 0.25
# `publish` is called at intervals of 0.1 s, and may be early for a heartbeat.
HEARTBEAT_TOLERANCE_S: Final = 0.05
# Changes of more routes are sent to a few followers at a time. Sent to all at
# once they would delay the heartbeats of the others, who would take over.
SMALL_CHANGE_ROUTES: Final = 32
# 6 x 35 KB, for 1,400 routes, occupy a link of 10 Mbit/s for 0.17 s, which is
# less than the interval of heartbeats.
MAX_LARGE_SENDS: Final = 6
# A follower that does not read no longer counts as one of these.
LARGE_SEND_TIMEOUT_S: Final = 0.5


class _Follower:
    """Connection of an instance that follows this one."""

    def __init__(self, *, channel: RelayChannel, first: FollowRequest) -> None:
        self.channel = channel
        self.instance_id = first.instance_id
        self.positions = first.positions
        self.heartbeat_at = float('-inf')
        # Set while a large change of the routing table has to be sent.
        self.large_change = asyncio.Event()


class Followers:
    """Connections of the instances that follow this one.

    `rank_of` and `protocol_of` return the rank and the version of the relay's
    messages of an instance.
    """

    def __init__(
        self,
        *,
        changes: RelayedChanges,
        rank_of: Callable[[str], int],
        protocol_of: Callable[[str], int],
        events: Events,
    ) -> None:
        self._events = events
        self._changes = changes
        self._rank_of = rank_of
        self._protocol_of = protocol_of
        self._followers: set[_Follower] = set()
        self._large_sends = asyncio.Semaphore(MAX_LARGE_SENDS)

    async def serve(self, channel: RelayChannel, first: FollowRequest) -> None:
        """Serve the connection of a follower until it ends."""
        follower = _Follower(channel=channel, first=first)
        self._followers.add(follower)
        sender = asyncio.create_task(self._send_large_changes(follower))
        try:
            while True:
                message = await channel.receive()
                if not isinstance(message, FollowRequest):
                    return
                follower.positions = message.positions
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
                self._send_changes(follower)
            since_heartbeat = now - follower.heartbeat_at
            if since_heartbeat >= HEARTBEAT_INTERVAL_S - HEARTBEAT_TOLERANCE_S:
                follower.heartbeat_at = now
                follower.channel.send(heartbeat)

    def _send_changes(self, follower: _Follower) -> None:
        for message in self._changes.objects_since(follower.positions):
            follower.channel.send(message)
        follower.positions = self._changes.positions._replace(
            tables=follower.positions.tables
        )
        if follower.large_change.is_set():
            return
        messages = self._table_messages(follower)
        if sum(map(_route_count, messages)) > SMALL_CHANGE_ROUTES:
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
        self._send_tables(follower, self._table_messages(follower))
        follower.large_change.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LARGE_SEND_TIMEOUT_S):
                await follower.channel.drain()

    def _table_messages(self, follower: _Follower) -> list[TableMessage]:
        return self._changes.tables_since(
            follower.positions,
            protocol=self._protocol_of(follower.instance_id),
        )

    def _send_tables(
        self, follower: _Follower, messages: list[TableMessage]
    ) -> None:
        for message in messages:
            follower.channel.send(message)
        follower.positions = follower.positions._replace(
            tables=self._changes.positions.tables
        )


def _route_count(message: TableMessage) -> int:
    """Number of routes that a message contains."""
    if isinstance(message, TablesChanged):
        return sum(len(table.routes) for table in message.values if table)
    return sum(edit.added_count for edit in message.edits if edit)
