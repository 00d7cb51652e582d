"""Relays changes in the store among the instances of a region.

`RegionRelay` decides whether this instance watches the store, and exchanges
changes with other instances. The instances of a region are ranked by the speed
of their links, then by rendezvous hashing. The first one watches the store and
sends changes and heartbeats (`followers`); the others follow it, and take over
the watch in the order of their ranks when its heartbeats stop or it cannot
reach the store.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import Final
from typing import NamedTuple

from teaselrock.coordination import rendezvous
from teaselrock.coordination.events import Event
from teaselrock.coordination.events import Events
from teaselrock.coordination.ports import InstanceRegistration
from teaselrock.coordination.ports import RelayChannel
from teaselrock.coordination.ports import RelayLink
from teaselrock.coordination.registry.followers import Followers
from teaselrock.coordination.registry.messages import FollowerProtocol
from teaselrock.coordination.registry.messages import FollowRequest
from teaselrock.coordination.registry.messages import MirrorPositions
from teaselrock.coordination.registry.messages import RELAY_PROTOCOL
from teaselrock.coordination.registry.messages import TablesConfirmed
from teaselrock.coordination.registry.messages import TablesEdited
from teaselrock.coordination.registry.messages import TablesReceived
from teaselrock.coordination.registry.messages import WatchHeartbeat
from teaselrock.coordination.registry.relayed_changes import ChangeMessage
from teaselrock.coordination.registry.relayed_changes import is_large
from teaselrock.coordination.registry.relayed_changes import RelayedChanges
from teaselrock.coordination.registry.sync import InstallationSync
from teaselrock.coordination.registry.watch import StoreWatch

# A watching instance without a heartbeat for this time is considered failed.
HEARTBEAT_TIMEOUT_S: Final = 0.6
# While a watching instance sends heartbeats but cannot reach the store, other
# ranks take over no sooner, since a single call may have failed.
OUTAGE_TIMEOUT_S: Final = 0.3
# Each rank waits this much longer than the rank before it.
RANK_DELAY_S: Final = 0.15
# While the watching instances cannot reach the store, ranks up to this one try
# it after `RANK_DELAY_S` each. Later ranks wait `SLOW_RANK_DELAY_S` each,
# since calls to a store that is down are billed. A store that refuses a third
# of the instances refuses all of ranks 0 to 6 with a probability of 1/2187.
FAST_RANKS: Final = 6
SLOW_RANK_DELAY_S: Final = 3.0
# Instances to follow while one of them is connected to the store.
MIN_FOLLOWED: Final = 3
# Limit while none of them is connected to the store: the 7 ranks that take
# over after `RANK_DELAY_S` each, and 3 more in case some of those are down.
MAX_FOLLOWED: Final = 10
# Additional connection attempts at a time, since some instances may be down.
MAX_SPARE_CONNECTS: Final = 3
RECONNECT_DELAY_S: Final = 5.0
# Shorter while no watching instance is usable: the sooner this instance finds
# one, the fewer calls to the store it makes itself.
RECONNECT_DELAY_STALE_S: Final = 1.0
TICK_INTERVAL_S: Final = 0.1

# Serves a connection whose first message is not a `FollowRequest`.
ServeChannel = Callable[[RelayChannel, NamedTuple], Awaitable[None]]


class _ReceivedHeartbeat(NamedTuple):
    """Latest heartbeat of a followed instance that watches the store.

    `received_at` is on the loop's clock.
    """

    received_at: float
    is_connected: bool

    def is_recent(self, now: float) -> bool:
        """Whether it was received within `HEARTBEAT_TIMEOUT_S`."""
        return now - self.received_at <= HEARTBEAT_TIMEOUT_S

    def is_usable(self, now: float) -> bool:
        """Whether it is recent and reports a connection to the store."""
        return self.is_connected and self.is_recent(now)


class RegionRelay:
    """Role of this instance: it watches the store or follows one that does."""

    def __init__(
        self,
        *,
        own: InstanceRegistration,
        link: RelayLink,
        sync: InstallationSync,
        watch: StoreWatch,
        events: Events,
        serve_other: ServeChannel | None = None,
    ) -> None:
        self._own = own
        self._serve_other = serve_other
        self._link = link
        self._changes = RelayedChanges(sync=sync)
        self._watch = watch
        self._events = events
        self._ranked: tuple[InstanceRegistration, ...] = ()
        self._heartbeats: dict[str, _ReceivedHeartbeat] = {}
        # When the mirrors were last known to be current, on the loop's clock.
        self._current_at = float('-inf')
        self._followed: dict[str, asyncio.Task[None]] = {}
        self._connected: set[str] = set()
        self._retry_at: dict[str, float] = {}
        self._ranks: dict[str, int] = {}
        self._followers = Followers(
            changes=self._changes,
            # Instances that are not registered yet come last.
            rank_of=lambda name: self._ranks.get(name, len(self._ranks)),
            events=events,
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Accept followers and start the relay task."""
        await self._link.serve(on_channel=self._serve_channel)
        self._tasks = [asyncio.create_task(self._run())]

    async def stop(self) -> None:
        """End all tasks; followers detect it by the closed connections."""
        tasks = [*self._tasks, *self._followed.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._watch.stop()
        self._link.close()

    def set_roster(self, roster: Sequence[InstanceRegistration]) -> None:
        """Set the registered instances; those of the own region are ranked."""
        same_region = {
            entry.instance_id: entry
            for entry in (*roster, self._own)
            if entry.region == self._own.region
        }
        same_region[self._own.instance_id] = self._own
        order = rendezvous.ranked(key=self._own.region, members=same_region)
        if not self._ranked:
            self._current_at = asyncio.get_running_loop().time()
        # The instance that watches sends all changes to all others. Those
        # with the fastest links do it first; the sort keeps other orders.
        order.sort(key=lambda name: -same_region[name].link_mbps)
        self._ranked = tuple(same_region[instance_id] for instance_id in order)
        self._ranks = {name: rank for rank, name in enumerate(order)}

    @property
    def rank(self) -> int:
        """Rank of this instance in its region, from 0."""
        return self._ranks.get(self._own.instance_id, 0)

    @property
    def view_age(self) -> float:
        """Seconds since the mirrors were known to be current.

        They are current while this instance, or one that it follows, is
        connected to the store.
        """
        return asyncio.get_running_loop().time() - self._current_at

    async def _run(self) -> None:
        while True:
            try:
                if self._ranked:
                    self._update_followed()
                    await self._update_role()
                self._publish()
            except Exception as error:
                # Without this task the instance would follow no changes.
                self._events.emit(event=Event.RELAY_FAILED, detail=repr(error))
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _update_role(self) -> None:
        """Start the watch, or stop it if an instance ranked before has one."""
        now = asyncio.get_running_loop().time()
        heartbeats = [
            self._heartbeats[entry.instance_id]
            for entry in self._ranked[: self.rank]
            if entry.instance_id in self._heartbeats
        ]
        recent = [
            heartbeat for heartbeat in heartbeats if heartbeat.is_recent(now)
        ]
        if any(heartbeat.is_usable(now) for heartbeat in recent):
            self._current_at = now
            if self._watch.is_running:
                await self._watch.stop()
                self._events.emit(event=Event.WATCH_ENDED)
            return
        if self._watch.is_connected:
            self._current_at = now
            return
        delay = watch_takeover_delay(rank=self.rank, is_outage=bool(recent))
        if not self._watch.is_running and now - self._current_at >= delay:
            self._watch.start()
            self._events.emit(event=Event.WATCH_STARTED, rank=self.rank)

    def _update_followed(self) -> None:
        """Keep connections to the reachable instances of lowest rank.

        An instance that watches the store follows others too, so that it
        receives changes while the store refuses its calls.
        """
        to_follow = self._instances_to_follow()
        for instance_id in [
            followed
            for followed in self._followed
            if followed not in to_follow
        ]:
            self._followed.pop(instance_id).cancel()
        for instance_id, entry in to_follow.items():
            if instance_id not in self._followed:
                self._followed[instance_id] = asyncio.create_task(
                    self._follow(entry)
                )

    def _instances_to_follow(self) -> dict[str, InstanceRegistration]:
        """The instances of lowest rank until enough of them are connected.

        Those with a usable heartbeat are included at any rank. While no
        followed instance is usable, one more is followed for each
        `RANK_DELAY_S`, since any rank may have taken over meanwhile.
        """
        now = asyncio.get_running_loop().time()
        count = MIN_FOLLOWED
        stale_s = now - self._current_at - OUTAGE_TIMEOUT_S
        if stale_s > 0:
            count = min(
                MAX_FOLLOWED, MIN_FOLLOWED + 1 + int(stale_s / RANK_DELAY_S)
            )
        to_follow: dict[str, InstanceRegistration] = {}
        connected = 0
        for entry in self._ranked:
            instance_id = entry.instance_id
            if (
                instance_id == self._own.instance_id
                or self._retry_at.get(instance_id, 0.0) > now
            ):
                continue
            to_follow[instance_id] = entry
            connected += instance_id in self._connected
            if (
                connected >= count
                or len(to_follow) >= count + MAX_SPARE_CONNECTS
            ):
                break
        # The instance that provides the changes now may have a later rank.
        for entry in self._ranked:
            heartbeat = self._heartbeats.get(entry.instance_id)
            if heartbeat is not None and heartbeat.is_usable(now):
                to_follow[entry.instance_id] = entry
        return to_follow

    async def _follow(self, entry: InstanceRegistration) -> None:
        """Follow one instance until its connection ends."""
        loop = asyncio.get_running_loop()
        channel = await self._link.connect(address=entry.address)
        try:
            if channel is None:
                return
            if entry.relay_protocol > 0:
                channel.send(FollowerProtocol(RELAY_PROTOCOL))
            self._request_changes(channel, self._changes.positions)
            self._connected.add(entry.instance_id)
            while True:
                message = await channel.receive()
                if message is None:
                    return
                if isinstance(message, WatchHeartbeat):
                    self._heartbeats[entry.instance_id] = _ReceivedHeartbeat(
                        loop.time(), message.is_connected
                    )
                    if entry.relay_protocol == 0:
                        self._changes.confirm_by_heartbeat(message)
                elif isinstance(message, TablesConfirmed):
                    self._changes.confirm(message)
                elif isinstance(message, ChangeMessage):
                    missing = self._changes.receive(
                        message, source=entry.instance_id
                    )
                    if missing is not None:
                        self._request_changes(channel, missing)
                    elif isinstance(message, TablesEdited) and is_large(
                        message
                    ):
                        channel.send(TablesReceived(message.position))
        finally:
            if channel is not None:
                channel.close()
            self._connected.discard(entry.instance_id)
            self._heartbeats.pop(entry.instance_id, None)
            # A cancelled task was removed from `_followed` before, and does
            # not mean that the instance is unreachable.
            if self._followed.get(entry.instance_id) is asyncio.current_task():
                del self._followed[entry.instance_id]
                self._retry_at[entry.instance_id] = (
                    loop.time() + self._reconnect_delay()
                )

    def _reconnect_delay(self) -> float:
        """Seconds until an unreachable instance is tried again."""
        if self.view_age > OUTAGE_TIMEOUT_S:
            return RECONNECT_DELAY_STALE_S
        return RECONNECT_DELAY_S

    def _request_changes(
        self, channel: RelayChannel, positions: MirrorPositions
    ) -> None:
        channel.send(FollowRequest(self._own.instance_id, positions))

    async def _serve_channel(self, channel: RelayChannel) -> None:
        """Serve one accepted connection until it ends."""
        protocol = 0
        first = await channel.receive()
        if isinstance(first, FollowerProtocol):
            protocol = first.version
            first = await channel.receive()
        if isinstance(first, FollowRequest):
            await self._followers.serve(channel, first, protocol=protocol)
        elif first is not None and self._serve_other is not None:
            await self._serve_other(channel, first)

    def _publish(self) -> None:
        """Send followers the changes that they lack, and heartbeats."""
        if self._watch.is_running:
            self._followers.publish(
                WatchHeartbeat(
                    self._own.instance_id,
                    self._watch.is_connected,
                    self._changes.positions,
                )
            )


def watch_takeover_delay(*, rank: int, is_outage: bool) -> float:
    """Seconds without a usable watching instance until a rank takes over.

    `is_outage` means that heartbeats of watching instances arrive but report
    no connection to the store.
    """
    if rank == 0:
        return 0.0
    if not is_outage:
        return HEARTBEAT_TIMEOUT_S + rank * RANK_DELAY_S
    slow_ranks = max(0, rank - FAST_RANKS)
    fast_ranks = rank - slow_ranks
    return (
        OUTAGE_TIMEOUT_S
        + fast_ranks * RANK_DELAY_S
        + slow_ranks * SLOW_RANK_DELAY_S
    )
