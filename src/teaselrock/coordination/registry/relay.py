"""Shares the watching of the store among the instances of a region.

The instances of a region are ranked by rendezvous hashing. The first one
watches the store and passes changes on; the others follow it and take over
in the order of their ranks when its beats stop or its store is lost.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import Final
from typing import NamedTuple

from teaselrock.coordination import rendezvous
from teaselrock.coordination.events import Event
from teaselrock.coordination.events import Events
from teaselrock.coordination.ports import Entry
from teaselrock.coordination.ports import Listing
from teaselrock.coordination.ports import RelayChannel
from teaselrock.coordination.ports import RelayLink
from teaselrock.coordination.ports import RosterEntry
from teaselrock.coordination.registry.messages import FollowRequest
from teaselrock.coordination.registry.messages import Revisions
from teaselrock.coordination.registry.messages import ServersChanged
from teaselrock.coordination.registry.messages import TablesChanged
from teaselrock.coordination.registry.messages import WatchHeartbeat
from teaselrock.coordination.registry.messages import ZonesChanged
from teaselrock.coordination.registry.mirror import Change
from teaselrock.coordination.registry.mirror import Mirror
from teaselrock.coordination.registry.sync import InstallationSync
from teaselrock.coordination.registry.watch import StoreWatch

BEAT_S: Final = 0.25
# A watcher whose beats stop for this time is no longer relied on.
BEAT_TIMEOUT_S: Final = 0.6
# A watcher that beats without the store may only have missed one call.
OUTAGE_TIMEOUT_S: Final = 0.3
# Time by which each rank waits longer than the one before it.
RANK_STEP_S: Final = 0.15
# Ranks that try the store soon while watchers are alive without it; the
# others come one by one, since calls to a store that is down are priced. The
# store may turn a third of the instances away, hardly ever the first seven.
EAGER_RANKS: Final = 6
SLOW_RANK_STEP_S: Final = 3.0
# Instances that one instance follows.
FOLLOWED: Final = 3
# The same, while none of them watches a store that answers: the ranks that
# take over early, and a few in case that those are gone.
MAX_FOLLOWED: Final = 10
# Instances more that are asked at a time, since some may be gone.
SPARE_FOLLOWED: Final = 3
RECONNECT_S: Final = 5.0
# The same while this instance relies on no watcher: the sooner it hears of
# one, the fewer calls it makes itself.
RECONNECT_LOST_S: Final = 1.0
TICK_S: Final = 0.1

_Changed = TablesChanged | ServersChanged | ZonesChanged


class _Heard(NamedTuple):
    """The newest beat of a watcher, and when it came."""

    at: float
    is_connected: bool

    def is_fresh(self, now: float) -> bool:
        """Whether the watcher still beats."""
        return now - self.at <= BEAT_TIMEOUT_S

    def is_usable(self, now: float) -> bool:
        """Whether the watcher beats and the store answers it."""
        return self.is_connected and self.is_fresh(now)


class _Follower:
    """An instance that follows this one."""

    def __init__(self, *, channel: RelayChannel, revisions: Revisions) -> None:
        self.channel = channel
        self.revisions = revisions
        self.beat_at = float('-inf')


class RegionRelay:
    """Decides whether this instance watches, and passes changes on."""

    def __init__(
        self,
        *,
        own: RosterEntry,
        link: RelayLink,
        sync: InstallationSync,
        watch: StoreWatch,
        events: Events,
    ) -> None:
        self._own = own
        self._link = link
        self._sync = sync
        self._watch = watch
        self._events = events
        self._ranked: tuple[RosterEntry, ...] = ()
        self._heard: dict[str, _Heard] = {}
        self._relied_at = float('-inf')
        self._followed: dict[str, asyncio.Task[None]] = {}
        self._connected: set[str] = set()
        self._unreachable: dict[str, float] = {}
        self._followers: set[_Follower] = set()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen for followers and start to decide."""
        await self._link.serve(on_channel=self._serve_follower)
        self._tasks = [asyncio.create_task(self._run())]

    async def stop(self) -> None:
        """End all tasks; followers notice that the beats stop."""
        tasks = [*self._tasks, *self._followed.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._watch.stop()
        self._link.close()

    def set_roster(self, roster: Sequence[RosterEntry]) -> None:
        """Set the known instances; those of the own region are ranked."""
        near = {
            one.instance_id: one
            for one in (*roster, self._own)
            if one.region == self._own.region
        }
        near[self._own.instance_id] = self._own
        order = rendezvous.ranked(key=self._own.region, members=near)
        if not self._ranked:
            self._relied_at = asyncio.get_running_loop().time()
        self._ranked = tuple(near[name] for name in order)

    @property
    def rank(self) -> int:
        """Rank of this instance in its region, 0 is the first."""
        for rank, entry in enumerate(self._ranked):
            if entry.instance_id == self._own.instance_id:
                return rank
        return 0

    @property
    def view_age(self) -> float:
        """Seconds since the copies were known to be current.

        Copies are current while this instance, or the one that it follows,
        watches a store that answers.
        """
        return asyncio.get_running_loop().time() - self._relied_at

    async def _run(self) -> None:
        while True:
            if self._ranked:
                self._follow_first()
                await self._decide()
            self._pass_on()
            await asyncio.sleep(TICK_S)

    async def _decide(self) -> None:
        """Watch the store, or leave it to an instance of lower rank."""
        now = asyncio.get_running_loop().time()
        beats = [
            self._heard[one.instance_id]
            for one in self._ranked[: self.rank]
            if one.instance_id in self._heard
        ]
        fresh = [one for one in beats if one.is_fresh(now)]
        if any(one.is_usable(now) for one in fresh):
            self._relied_at = now
            if self._watch.is_running:
                await self._watch.stop()
                self._events.emit(event=Event.WATCH_ENDED)
            return
        if self._watch.is_connected:
            self._relied_at = now
            return
        delay = takeover_delay(rank=self.rank, is_outage=bool(fresh))
        if not self._watch.is_running and now - self._relied_at >= delay:
            self._watch.start()
            self._events.emit(event=Event.WATCH_STARTED, rank=self.rank)

    def _follow_first(self) -> None:
        """Keep connections to the first reachable instances.

        An instance of lower rank follows others as well, so that it hears
        of changes while the store turns it away.
        """
        wanted = self._wanted()
        for name in [one for one in self._followed if one not in wanted]:
            self._followed.pop(name).cancel()
        for name, entry in wanted.items():
            if name not in self._followed:
                self._followed[name] = asyncio.create_task(self._follow(entry))

    def _wanted(self) -> dict[str, RosterEntry]:
        """Instances to follow, until enough of them are connected.

        The first ones may all be without the store, so that others are
        followed too, one for each step by which the ranks take over.
        """
        now = asyncio.get_running_loop().time()
        count = FOLLOWED
        late = now - self._relied_at - OUTAGE_TIMEOUT_S
        if late > 0:
            count = min(MAX_FOLLOWED, FOLLOWED + 1 + int(late / RANK_STEP_S))
        wanted: dict[str, RosterEntry] = {}
        connected = 0
        for entry in self._ranked:
            name = entry.instance_id
            if (
                name == self._own.instance_id
                or self._unreachable.get(name, 0.0) > now
            ):
                continue
            wanted[name] = entry
            connected += name in self._connected
            if connected >= count or len(wanted) >= count + SPARE_FOLLOWED:
                break
        # The instance that watches for this one may have a later rank.
        for entry in self._ranked:
            heard = self._heard.get(entry.instance_id)
            if heard is not None and heard.is_usable(now):
                wanted[entry.instance_id] = entry
        return wanted

    async def _follow(self, entry: RosterEntry) -> None:
        """Follow one instance until its connection ends."""
        loop = asyncio.get_running_loop()
        channel = await self._link.connect(address=entry.address)
        try:
            if channel is None:
                return
            self._ask(channel)
            self._connected.add(entry.instance_id)
            while True:
                message = await channel.receive()
                if message is None:
                    return
                if isinstance(message, WatchHeartbeat):
                    self._heard[entry.instance_id] = _Heard(
                        loop.time(), message.is_connected
                    )
                elif isinstance(
                    message, (TablesChanged, ServersChanged, ZonesChanged)
                ) and not self._apply(message):
                    self._ask(channel)
        finally:
            if channel is not None:
                channel.close()
            self._connected.discard(entry.instance_id)
            self._heard.pop(entry.instance_id, None)
            # A task that is cancelled has been removed before, and says
            # nothing of the instance.
            if self._followed.get(entry.instance_id) is asyncio.current_task():
                del self._followed[entry.instance_id]
                self._unreachable[entry.instance_id] = (
                    loop.time() + self._reconnect_after()
                )

    def _reconnect_after(self) -> float:
        """Seconds until a lost instance is tried again."""
        if self.view_age > OUTAGE_TIMEOUT_S:
            return RECONNECT_LOST_S
        return RECONNECT_S

    def _ask(self, channel: RelayChannel) -> None:
        channel.send(FollowRequest(self._own.instance_id, self._revisions()))

    def _apply(self, message: _Changed) -> bool:
        """Apply a step; False if a step before it is missing."""
        if isinstance(message, TablesChanged):
            return self._sync.tables.apply(_change(message))
        if isinstance(message, ServersChanged):
            return self._sync.servers.apply(_change(message))
        return self._sync.zones_out.apply(_change(message))

    async def _serve_follower(self, channel: RelayChannel) -> None:
        """Serve one follower's connection until it ends."""
        first = await channel.receive()
        if not isinstance(first, FollowRequest):
            return
        follower = _Follower(channel=channel, revisions=first.revisions)
        self._followers.add(follower)
        try:
            while True:
                message = await channel.receive()
                if not isinstance(message, FollowRequest):
                    return
                follower.revisions = message.revisions
        finally:
            self._followers.discard(follower)

    def _pass_on(self) -> None:
        """Send beats, and what followers do not have yet."""
        if not self._watch.is_running:
            return
        now = asyncio.get_running_loop().time()
        revisions = self._revisions()
        beat = WatchHeartbeat(
            self._own.instance_id, self._watch.is_connected, revisions
        )
        for follower in tuple(self._followers):
            if follower.revisions != revisions:
                self._send_changes(follower)
                follower.revisions = revisions
            if now - follower.beat_at >= BEAT_S - TICK_S / 2:
                follower.beat_at = now
                follower.channel.send(beat)

    def _send_changes(self, follower: _Follower) -> None:
        known = follower.revisions
        _send(follower.channel, self._sync.tables, known.tables, TablesChanged)
        _send(
            follower.channel,
            self._sync.servers,
            known.servers,
            ServersChanged,
        )
        _send(
            follower.channel,
            self._sync.zones_out,
            known.zones_out,
            ZonesChanged,
        )

    def _revisions(self) -> Revisions:
        return Revisions(
            self._sync.tables.revision,
            self._sync.servers.revision,
            self._sync.zones_out.revision,
        )


def takeover_delay(*, rank: int, is_outage: bool) -> float:
    """Seconds without a usable watcher after which a rank takes over.

    `is_outage` tells that watchers are alive, but not connected.
    """
    if rank == 0:
        return 0.0
    if not is_outage:
        return BEAT_TIMEOUT_S + rank * RANK_STEP_S
    slow = max(0, rank - EAGER_RANKS)
    eager = rank - slow
    return OUTAGE_TIMEOUT_S + eager * RANK_STEP_S + slow * SLOW_RANK_STEP_S


def _send(
    channel: RelayChannel,
    mirror: Mirror[Any],
    known: int,
    message_type: Callable[..., NamedTuple],
) -> None:
    if mirror.revision <= known:
        return
    for change in mirror.since(known):
        entries = change.listing.entries
        kept = [one for one in entries if not one.is_deleted]
        channel.send(
            message_type(
                change.after,
                change.listing.revision,
                tuple(one.name for one in kept),
                tuple(one.value for one in kept),
                tuple(one.name for one in entries if one.is_deleted),
            )
        )


def _change(message: _Changed) -> Change[Any]:
    kept: list[Entry[Any]] = [
        Entry(name, value)
        for name, value in zip(message.names, message.values)
    ]
    gone: list[Entry[Any]] = [
        Entry(name, None, True) for name in message.deleted
    ]
    return Change(message.after, Listing((*kept, *gone), message.revision))
