"""Membership of one instance: join, failure detection, leave.

`Membership` implements the `MemberView` port, which `dissemination` and
`directory` use.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import Final
from typing import NotRequired
from typing import TypedDict

from teaselrock.coordination.control_budget import Priority
from teaselrock.coordination.events import Events
from teaselrock.coordination.events import NoEvents
from teaselrock.coordination.membership.detector import FailureDetector
from teaselrock.coordination.membership.isolation import IsolationMonitor
from teaselrock.coordination.membership.messages import Join
from teaselrock.coordination.membership.messages import JoinReply
from teaselrock.coordination.membership.messages import KINDS
from teaselrock.coordination.membership.messages import Leave
from teaselrock.coordination.membership.messages import MemberRecord
from teaselrock.coordination.membership.messages import MemberState
from teaselrock.coordination.membership.messages import MemberStatus
from teaselrock.coordination.membership.roster import RosterPruner
from teaselrock.coordination.membership.status_exchange import StatusExchange
from teaselrock.coordination.membership.table import Member
from teaselrock.coordination.membership.table import MemberTable
from teaselrock.coordination.peers import PeerHub
from teaselrock.coordination.ports import DocumentCodec
from teaselrock.coordination.ports import PlatformList
from teaselrock.coordination.ports import Store
from teaselrock.state import AvailabilityZone
from teaselrock.state import Instance

JOIN_RETRY_INTERVAL_S: Final = 0.5
REJOIN_INTERVAL_S: Final = 1.0
# Interval in which the own seed object is written again.
REGISTER_INTERVAL_S: Final = 300.0
REGISTER_RETRY_S: Final = 5.0
# Seeds that are read from the store at a time.
MAX_STORED_SEEDS: Final = 5
# Member records in one `JoinReply`, which limits the size of a message.
RECORDS_PER_REPLY: Final = 100
# Peers that are sent a `Leave`, more if there are more regions.
MIN_LEAVE_MESSAGES: Final = 8


class SeedDocument(TypedDict):
    """Stored object `members/ID`: the address of a possible join seed.

    `operators` is `HOST:PORT` of the instance's operators' endpoint.
    """

    instance: str
    region: str
    zone: str
    address: str
    operators: NotRequired[str]


class Membership:
    """Members of the fleet, as recorded by this instance."""

    def __init__(
        self,
        *,
        own: Instance,
        incarnation: int,
        hub: PeerHub,
        store: Store,
        platform: PlatformList,
        codec: DocumentCodec,
        seeds: Sequence[Instance],
        rng: random.Random,
        operators: str = '',
        events: Events = NoEvents(),
    ) -> None:
        self._hub = hub
        self._store = store
        self._codec = codec
        self._seeds = tuple(seed for seed in seeds if seed != own)
        self._rng = rng
        self._operators = operators
        self._has_joined = False
        self._exchange = StatusExchange()
        self._table = MemberTable(
            own=own, incarnation=incarnation, events=events
        )
        self._detector = FailureDetector(
            table=self._table, hub=hub, exchange=self._exchange, rng=rng
        )
        self._roster_pruner = RosterPruner(
            table=self._table, hub=hub, platform=platform, store=store
        )
        self._isolation = IsolationMonitor(
            table=self._table, store=store, events=events
        )
        self._exchange.add_listener(self._on_status)
        self._tasks: list[asyncio.Task[None]] = []
        hub.set_priorities(
            priorities=dict.fromkeys(
                KINDS.values(), Priority.FAILURE_DETECTION
            )
        )
        hub.register_handler(message_type=Join, handler=self._on_join)
        hub.register_handler(
            message_type=JoinReply, handler=self._on_join_reply
        )
        hub.register_handler(message_type=Leave, handler=self._on_leave)

    @property
    def own(self) -> Instance:
        """This instance."""
        return self._table.own

    @property
    def live(self) -> Sequence[Instance]:
        """Members that are alive, leaving or suspect, including this one."""
        return self._table.live

    @property
    def roster(self) -> Sequence[Instance]:
        """Members that have neither left nor been removed."""
        return self._table.roster

    @property
    def epoch(self) -> int:
        """Counter that increases with each change of `live` or `roster`."""
        return self._table.epoch

    @property
    def members(self) -> Sequence[Member]:
        """All recorded members with their latest status."""
        return self._table.members

    @property
    def has_joined(self) -> bool:
        """Whether a peer has answered a join."""
        return self._has_joined

    @property
    def is_isolated(self) -> bool:
        """Whether neither the store nor any peer was reached recently.

        See `IsolationMonitor.is_isolated`.
        """
        return self._isolation.is_isolated

    @property
    def exchange(self) -> StatusExchange:
        """Exchange of instance status in pings and acks."""
        return self._exchange

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after every change of the epoch."""
        self._table.on_change(listener)

    def start(self) -> None:
        """Start all tasks: join, failure detection, registration, roster."""
        for coroutine in (
            self._detector.run(),
            self._run_join(),
            self._register(),
            self._roster_pruner.poll_platform(),
            self._roster_pruner.check_majorities(),
            self._isolation.run(),
        ):
            self._tasks.append(asyncio.create_task(coroutine))

    async def stop(self) -> None:
        """End all tasks without a message to the peers."""
        self._detector.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def announce_leaving(self) -> None:
        """Announce to the peers that a graceful shutdown has begun."""
        self._table.set_own_state(MemberState.LEAVING)

    async def leave(self) -> None:
        """Leave at the end of a graceful shutdown, then stop."""
        self._table.set_own_state(MemberState.LEFT)
        own_id = self.own.instance_id
        others = [peer for peer in self.live if peer.instance_id != own_id]
        self._rng.shuffle(others)
        # At least one message goes to each region.
        one_per_region = {peer.zone.region: peer for peer in others}
        targets = dict.fromkeys([*one_per_region.values(), *others])
        for peer in list(targets)[
            : max(MIN_LEAVE_MESSAGES, len(one_per_region))
        ]:
            self._hub.send(
                to=peer.instance_id, message=Leave(self._table.own_record)
            )
        await self.stop()
        # A stale seed only costs a join that is not answered, so a failed
        # delete is not repeated.
        await self._store.delete(
            key=f'members/{own_id}', expected_version=None
        )

    async def _run_join(self) -> None:
        while True:
            if len(self._table.live) == 1:
                self._send_joins(self._seeds)
                await asyncio.sleep(JOIN_RETRY_INTERVAL_S)
                if len(self._table.live) == 1:
                    self._send_joins(await self._read_stored_seeds())
            self._ping_failed_member()
            await asyncio.sleep(
                REJOIN_INTERVAL_S * self._rng.uniform(0.75, 1.25)
            )

    def _send_joins(self, seeds: Sequence[Instance]) -> None:
        for seed in seeds:
            self._hub.connect(peer=seed)
            self._hub.send(
                to=seed.instance_id, message=Join(self._table.own_record)
            )

    def _ping_failed_member(self) -> None:
        """Ping a failed member, since a network partition may have ended."""
        failed = [
            member.record.instance.instance_id
            for member in self._table.members
            if member.record.state is MemberState.FAILED
            and not member.is_removed
        ]
        if failed:
            self._detector.ping_failed_member(self._rng.choice(failed))

    async def _read_stored_seeds(self) -> list[Instance]:
        listed = await self._store.list_keys(prefix='members/')
        if listed.is_error():
            return []
        own_key = f'members/{self.own.instance_id}'
        keys = [key for key in listed.ok if key != own_key]
        seeds = []
        for key in self._rng.sample(keys, min(MAX_STORED_SEEDS, len(keys))):
            stored = await self._store.get(key=key)
            if stored.is_error() or stored.ok is None:
                continue
            decoded = self._codec.decode(
                data=stored.ok.value, value_type=SeedDocument
            )
            if decoded.is_ok():
                seed: SeedDocument = decoded.ok
                zone = AvailabilityZone(seed['region'], seed['zone'])
                seeds.append(Instance(seed['instance'], zone, seed['address']))
        return seeds

    async def _register(self) -> None:
        """Write the own seed object periodically, until cancelled."""
        own = self.own
        document: SeedDocument = {
            'instance': own.instance_id,
            'region': own.zone.region,
            'zone': own.zone.name,
            'address': own.address,
        }
        if self._operators:
            document['operators'] = self._operators
        value = self._codec.encode(value=document)
        while True:
            result = await self._store.put(
                key=f'members/{own.instance_id}',
                value=value,
                expected_version=None,
            )
            delay_s = (
                REGISTER_INTERVAL_S if result.is_ok() else REGISTER_RETRY_S
            )
            await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.0))

    def _on_join(self, *, sender: str, message: Join) -> None:
        self._hub.connect(peer=message.record.instance)
        self._detector.merge(sender=sender, updates=(message.record,))
        records: list[MemberRecord] = [
            member.record
            for member in self._table.members
            if not member.is_removed
            or member.record.instance.instance_id == sender
        ]
        for start in range(0, len(records), RECORDS_PER_REPLY):
            part = tuple(records[start : start + RECORDS_PER_REPLY])
            self._hub.send(to=sender, message=JoinReply(part))

    def _on_join_reply(self, *, sender: str, message: JoinReply) -> None:
        self._has_joined = True
        self._detector.merge(sender=sender, updates=message.records)

    def _on_leave(self, *, sender: str, message: Leave) -> None:
        self._detector.merge(sender=sender, updates=(message.record,))

    def _on_status(self, *, sender: str, status: MemberStatus) -> None:
        self._isolation.on_peer_contact()
