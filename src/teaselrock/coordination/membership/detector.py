"""Failure detection by the SWIM protocol with the Lifeguard extensions.

One member is pinged in each interval. A member that acknowledges neither a
direct ping nor one by another member is suspected. It is declared failed
unless it refutes the suspicion in time, by a record with a higher incarnation.
An instance whose pings often fail has a higher health score, which lengthens
its timeouts, so that a slow instance suspects others less.

See Das et al., "SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol", and Dadgar et al., "Lifeguard: Local Health Awareness for
More Accurate Failure Detection".
"""

import asyncio
import math
import random
from typing import Final
from typing import NamedTuple

from teaselrock.coordination.membership.messages import Ack
from teaselrock.coordination.membership.messages import MemberRecord
from teaselrock.coordination.membership.messages import MemberState
from teaselrock.coordination.membership.messages import Nack
from teaselrock.coordination.membership.messages import Ping
from teaselrock.coordination.membership.messages import PingRequest
from teaselrock.coordination.membership.status_exchange import StatusExchange
from teaselrock.coordination.membership.table import MemberTable
from teaselrock.coordination.peers import PeerHub

PING_INTERVAL_S: Final = 0.2
# Wait for an ack at health score 0; each point of the score adds it once more.
ACK_TIMEOUT_S: Final = 0.1
# An indirect ping without an ack is answered by a nack after this time, before
# the sender's own timeout ends.
NACK_DELAY_S: Final = 0.08
# Members that are requested to ping a target that did not answer.
INDIRECT_PINGS: Final = 2
# Duration of a suspicion; the maximum is that at health score 0.
SUSPICION_MIN_S: Final = 1.0
SUSPICION_MAX_S: Final = 1.5
# Independent further reports after which a suspicion lasts its minimum.
EXPECTED_CONFIRMATIONS: Final = 2
# The score also rises in the smaller part of a network partition. At 2 points
# a suspicion lasts up to twice `SUSPICION_MAX_S`, 3 s; with a higher limit
# unreachable peers would stay live there for longer.
MAX_HEALTH_SCORE: Final = 2
# A timer that fires this late means that this process was paused.
PAUSE_THRESHOLD_S: Final = 0.5


class _Suspicion(NamedTuple):
    incarnation: int
    started_at: float
    reporters: frozenset[str]
    timer: asyncio.TimerHandle


class _PendingPing(NamedTuple):
    acked: asyncio.Future[None]
    nacks: list[str]


class FailureDetector:
    """Pings members, and declares failed those that do not answer."""

    def __init__(
        self,
        *,
        table: MemberTable,
        hub: PeerHub,
        exchange: StatusExchange,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._hub = hub
        self._exchange = exchange
        self._rng = rng
        self._health_score = 0
        self._sequence = 0
        self._ping_order: list[str] = []
        self._pending_pings: dict[int, _PendingPing] = {}
        self._relayed_pings: dict[int, tuple[str, int]] = {}
        self._suspicions: dict[str, _Suspicion] = {}
        self._peers_with_own_record: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        hub.register_handler(message_type=Ping, handler=self._on_ping)
        hub.register_handler(message_type=Ack, handler=self._on_ack)
        hub.register_handler(
            message_type=PingRequest, handler=self._on_ping_request
        )
        hub.register_handler(message_type=Nack, handler=self._on_nack)

    @property
    def health_score(self) -> int:
        """Lifeguard's local health score, from 0 (healthy) to 2."""
        return self._health_score

    async def run(self) -> None:
        """Ping one member in each interval, until cancelled."""
        while True:
            target = self._next_target()
            if target is not None:
                # A slow answer must not delay the next ping.
                task = asyncio.create_task(self._ping_member(target))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(PING_INTERVAL_S * self._rng.uniform(0.9, 1.1))

    def ping_failed_member(self, target: str) -> None:
        """Ping a member declared failed, so that it can refute this."""
        member = self._table.get(target)
        if member is not None:
            self._hub.connect(peer=member.record.instance)
            self._send_ping(target, self._next_sequence())

    def stop(self) -> None:
        """Cancel pings in progress and the timers of suspicions."""
        for task in self._tasks:
            task.cancel()
        for suspicion in self._suspicions.values():
            suspicion.timer.cancel()
        self._suspicions.clear()

    def merge(self, *, sender: str, updates: tuple[MemberRecord, ...]) -> None:
        """Merge updates from a peer."""
        before = self._table.refutations
        own = self._table.own_record
        for record in updates:
            if (
                record.instance.instance_id == own.instance.instance_id
                and record.incarnation < own.incarnation
            ):
                # The sender missed a refutation, so it needs the own record.
                self._peers_with_own_record.discard(sender)
            if record.state is MemberState.SUSPECT:
                self._suspect(record)
            elif self._table.apply(record):
                self._on_record_change(record)
        if self._table.refutations != before:
            self._adjust_health_score(1)

    def _next_target(self) -> str | None:
        while True:
            while self._ping_order:
                target = self._ping_order.pop()
                member = self._table.get(target)
                if member is not None and member.is_live:
                    return target
            self._ping_order = [
                peer.instance_id
                for peer in self._table.live
                if peer != self._table.own
            ]
            if not self._ping_order:
                return None
            self._rng.shuffle(self._ping_order)

    async def _ping_member(self, target: str) -> None:
        sequence = self._next_sequence()
        pending = _PendingPing(asyncio.get_running_loop().create_future(), [])
        self._pending_pings[sequence] = pending
        try:
            # A ping that was not sent is no evidence against the target.
            if not self._send_ping(target, sequence):
                return
            timeout = ACK_TIMEOUT_S * (1 + self._health_score)
            if await self._wait_for_ack(pending, timeout):
                self._adjust_health_score(-1)
                return
            relays = self._send_ping_requests(target, sequence)
            if await self._wait_for_ack(pending, timeout):
                return
            self._adjust_health_score(
                max(0, relays - len(pending.nacks)) if relays else 1
            )
            self._report_suspect(target)
        finally:
            del self._pending_pings[sequence]

    async def _wait_for_ack(
        self, pending: _PendingPing, timeout: float
    ) -> bool:
        """Wait for an ack; True also if this process was paused meanwhile."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        await asyncio.wait((pending.acked,), timeout=timeout)
        return (
            pending.acked.done() or loop.time() - deadline > PAUSE_THRESHOLD_S
        )

    def _send_ping_requests(self, target: str, sequence: int) -> int:
        skipped = (target, self._table.own.instance_id)
        others = [
            member.record.instance.instance_id
            for member in self._table.members
            if member.record.state is MemberState.ALIVE
            and member.record.instance.instance_id not in skipped
        ]
        relays = self._rng.sample(others, min(INDIRECT_PINGS, len(others)))
        return sum(
            self._hub.send(to=relay, message=PingRequest(sequence, target))
            for relay in relays
        )

    def _report_suspect(self, target: str) -> None:
        member = self._table.get(target)
        if member is not None and member.is_live:
            self._suspect(
                member.record._replace(
                    state=MemberState.SUSPECT,
                    reporter=self._table.own.instance_id,
                )
            )

    def _suspect(self, record: MemberRecord) -> None:
        instance_id = record.instance.instance_id
        suspicion = self._suspicions.get(instance_id)
        loop = asyncio.get_running_loop()
        if self._table.apply(record):
            self._on_record_change(record)
            if instance_id == self._table.own.instance_id:
                return
            started_at, reporters = loop.time(), frozenset({record.reporter})
        elif (
            suspicion is None
            or suspicion.incarnation != record.incarnation
            or record.reporter in suspicion.reporters
            or len(suspicion.reporters) > EXPECTED_CONFIRMATIONS
        ):
            return
        else:
            suspicion.timer.cancel()
            started_at = suspicion.started_at
            reporters = suspicion.reporters | {record.reporter}
            self._table.requeue_update(instance_id)
        self._schedule_suspicion_end(
            instance_id, record.incarnation, started_at, reporters
        )

    def _schedule_suspicion_end(
        self,
        instance_id: str,
        incarnation: int,
        started_at: float,
        reporters: frozenset[str],
    ) -> None:
        ends_at = started_at + self._suspicion_duration(len(reporters) - 1)
        timer = asyncio.get_running_loop().call_at(
            ends_at, self._on_suspicion_end, instance_id, ends_at
        )
        self._suspicions[instance_id] = _Suspicion(
            incarnation, started_at, reporters, timer
        )

    def _suspicion_duration(self, confirmations: int) -> float:
        expected = min(EXPECTED_CONFIRMATIONS, len(self._table.live) - 2)
        if expected < 1:
            return SUSPICION_MIN_S
        longest = SUSPICION_MAX_S * (1 + self._health_score / 2)
        share = math.log(confirmations + 1) / math.log(expected + 1)
        return max(
            SUSPICION_MIN_S, longest - (longest - SUSPICION_MIN_S) * share
        )

    def _on_suspicion_end(self, instance_id: str, ends_at: float) -> None:
        suspicion = self._suspicions.pop(instance_id)
        loop = asyncio.get_running_loop()
        if loop.time() - ends_at > PAUSE_THRESHOLD_S:
            # Refutations that arrived during the pause are not handled yet.
            self._schedule_suspicion_end(
                instance_id,
                suspicion.incarnation,
                loop.time(),
                suspicion.reporters,
            )
            return
        member = self._table.get(instance_id)
        if member is not None:
            self._table.apply(member.record._replace(state=MemberState.FAILED))

    def _on_record_change(self, record: MemberRecord) -> None:
        instance_id = record.instance.instance_id
        # The member may have restarted without a record of this instance.
        self._peers_with_own_record.discard(instance_id)
        suspicion = self._suspicions.pop(instance_id, None)
        if suspicion is not None:
            suspicion.timer.cancel()
        if record.state <= MemberState.SUSPECT:
            self._hub.connect(peer=record.instance)
        elif record.state is MemberState.LEFT:
            self._hub.disconnect(instance_id=instance_id)

    def _send_ping(self, target: str, sequence: int) -> bool:
        required_ids = self._ids_to_refute(target)
        if target not in self._peers_with_own_record:
            # The target may not have this instance's record yet.
            required_ids += (self._table.own.instance_id,)
        message = Ping(
            sequence,
            self._exchange.own_status(),
            self._table.take_updates(required_ids),
        )
        return self._hub.send(to=target, message=message)

    def _ids_to_refute(self, target: str) -> tuple[str, ...]:
        """Ids of records to send to `target`, so that it can refute them."""
        member = self._table.get(target)
        if member is None or member.record.state < MemberState.SUSPECT:
            return ()
        return (target,)

    def _on_ping(self, *, sender: str, message: Ping) -> None:
        self.merge(sender=sender, updates=message.updates)
        member = self._table.get(sender)
        if member is None:
            return
        if not member.is_live:
            self._hub.connect(peer=member.record.instance)
        self._hub.send(
            to=sender,
            message=Ack(
                message.sequence,
                self._exchange.own_status(),
                self._table.take_updates(self._ids_to_refute(sender)),
            ),
        )
        self._record_status(sender, message)

    def _on_ack(self, *, sender: str, message: Ack) -> None:
        self._peers_with_own_record.add(sender)
        self.merge(sender=sender, updates=message.updates)
        relayed = self._relayed_pings.pop(message.sequence, None)
        if relayed is not None:
            origin, sequence = relayed
            self._hub.send(
                to=origin,
                message=Ack(sequence, self._exchange.own_status(), ()),
            )
        pending = self._pending_pings.get(message.sequence)
        if pending is not None and not pending.acked.done():
            pending.acked.set_result(None)
        self._record_status(sender, message)

    def _record_status(self, sender: str, message: Ping | Ack) -> None:
        self._table.record_message(sender, message.status)
        self._exchange.notify(sender=sender, status=message.status)

    def _on_ping_request(self, *, sender: str, message: PingRequest) -> None:
        sequence = self._next_sequence()
        self._relayed_pings[sequence] = (sender, message.sequence)
        self._send_ping(message.target, sequence)
        asyncio.get_running_loop().call_later(
            NACK_DELAY_S, self._send_nack, sequence
        )

    def _send_nack(self, sequence: int) -> None:
        relayed = self._relayed_pings.pop(sequence, None)
        if relayed is not None:
            origin, origin_sequence = relayed
            self._hub.send(to=origin, message=Nack(origin_sequence))

    def _on_nack(self, *, sender: str, message: Nack) -> None:
        pending = self._pending_pings.get(message.sequence)
        if pending is not None:
            pending.nacks.append(sender)

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _adjust_health_score(self, change: int) -> None:
        score = self._health_score + change
        self._health_score = min(MAX_HEALTH_SCORE, max(0, score))
