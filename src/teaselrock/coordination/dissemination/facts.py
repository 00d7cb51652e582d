"""Dissemination of facts by random pushes: which servers and instances leave.

A fact records whether one process run of a server or an instance is leaving.
Each subject has one fact, and a higher revision replaces a lower one, so that
the order and repetition of messages do not matter. Lost messages are detected
by the digests in pings and repaired by comparing the digests of buckets.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import hashlib
import random
from typing import Final

from teaselrock.coordination.control_budget import Priority
from teaselrock.coordination.dissemination.messages import Fact
from teaselrock.coordination.dissemination.messages import FactPush
from teaselrock.coordination.dissemination.messages import FactSummary
from teaselrock.coordination.events import Event
from teaselrock.coordination.events import Events
from teaselrock.coordination.events import NoEvents
from teaselrock.coordination.membership import MemberStatus
from teaselrock.coordination.peers import PeerHub
from teaselrock.coordination.ports import MemberView

SERVER: Final = 'server'
INSTANCE: Final = 'instance'
# Random peers that each instance sends a new fact to.
PUSH_FANOUT: Final = 4
# Peers exchange only the facts of buckets whose digests differ.
DIGEST_BUCKETS: Final = 64
FACTS_PER_MESSAGE: Final = 100
# Digests differ while a fact is being disseminated, so they are compared only
# after this time without a change, and then at most once in each interval.
SETTLE_TIME_S: Final = 0.5
COMPARE_INTERVAL_S: Final = 1.0
# Peers that are starting know no facts either. An instance that hears of no
# ready peer for this long after its start needs no comparison with one.
READY_PEER_WAIT_S: Final = 1.0
# Facts about unlisted subjects are kept this long, since the platform list
# lags.
UNLISTED_RETENTION_S: Final = 600.0


def _fact_digest(fact: Fact) -> int:
    text = '\0'.join(str(field) for field in fact).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=6).digest())


def _bucket(kind: str, subject: str) -> int:
    text = f'{kind}\0{subject}'.encode()
    return hashlib.blake2b(text, digest_size=1).digest()[0] % DIGEST_BUCKETS


class FactTable:
    """Table of the facts of this instance, by kind and subject."""

    def __init__(
        self,
        *,
        hub: PeerHub,
        view: MemberView,
        rng: random.Random,
        events: Events = NoEvents(),
    ) -> None:
        self._events = events
        self._hub = hub
        self._view = view
        self._rng = rng
        self._facts: dict[tuple[str, str], Fact] = {}
        self._buckets = [0] * DIGEST_BUCKETS
        self._listed: dict[str, frozenset[str]] = {}
        self._unlisted_since: dict[tuple[str, str], float] = {}
        self._epoch = 0
        self._changed_at = float('-inf')
        self._compared_at = float('-inf')
        self._loop: asyncio.AbstractEventLoop | None = None
        self._started_at = 0.0
        self._is_synchronized = False
        self._ready_peers: set[str] = set()
        self._listeners: list[Callable[[Fact], None]] = []
        hub.set_priorities(
            priorities={FactPush: Priority.FACTS, FactSummary: Priority.FACTS}
        )
        hub.register_handler(message_type=FactPush, handler=self._on_push)
        hub.register_handler(
            message_type=FactSummary, handler=self._on_summary
        )

    @property
    def epoch(self) -> int:
        """Counter that increases whenever facts are added or replaced."""
        return self._epoch

    @property
    def digest(self) -> int:
        """Digest of all facts about listed subjects."""
        digest = 0
        for bucket in self._buckets:
            digest ^= bucket
        return digest

    @property
    def is_synchronized(self) -> bool:
        """Whether this instance has the facts that a ready peer had.

        A started instance knows none, and would use servers that leave. If
        no peer is ready, there are no facts to get.
        """
        if self._is_synchronized:
            return True
        # The operators' endpoint reads this in other threads, which have no
        # running loop.
        if self._loop is None:
            return False
        age = self._loop.time() - self._started_at
        return age >= READY_PEER_WAIT_S and self._ready_peers.isdisjoint(
            peer.instance_id for peer in self._view.live
        )

    def start(self) -> None:
        """Begin to wait for a comparison with a ready peer."""
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()

    def get(self, *, kind: str, subject: str) -> Fact | None:
        """The fact about a subject, None if there is none."""
        return self._facts.get((kind, subject))

    def on_fact(self, listener: Callable[[Fact], None]) -> None:
        """Call `listener` with each fact that is added or replaced."""
        self._listeners.append(listener)

    def set_listed(self, *, kind: str, subjects: Iterable[str]) -> None:
        """Set the listed subjects; drop facts that were unlisted for long.

        Digests cover listed subjects only. Otherwise an instance that has
        dropped a fact would receive it again from one that still has it.
        """
        listed = frozenset(subjects)
        before = self._listed.get(kind)
        self._listed[kind] = listed
        now = asyncio.get_running_loop().time()
        for key in [key for key in self._facts if key[0] == kind]:
            if key[1] in listed:
                self._unlisted_since.pop(key, None)
            elif (
                now - self._unlisted_since.setdefault(key, now)
                > UNLISTED_RETENTION_S
            ):
                del self._facts[key]
                del self._unlisted_since[key]
        if before != listed:
            self._changed_at = now
            self._buckets = [0] * DIGEST_BUCKETS
            for fact in self._facts.values():
                self._toggle_in_digest(fact)

    def _is_listed(self, kind: str, subject: str) -> bool:
        """Whether a subject is listed; True before the first list."""
        listed = self._listed.get(kind)
        return listed is None or subject in listed

    def _toggle_in_digest(self, fact: Fact) -> None:
        """Add a fact to its bucket's digest, or remove it."""
        if self._is_listed(fact.kind, fact.subject):
            index = _bucket(fact.kind, fact.subject)
            self._buckets[index] ^= _fact_digest(fact)

    def announce(
        self, *, kind: str, subject: str, start_id: str, is_leaving: bool
    ) -> None:
        """Disseminate an observation of this instance, if it is new.

        A leaving subject stays so until its start id changes, so that a
        delayed load report from before the drain does not undo it.
        """
        existing = self._facts.get((kind, subject))
        if (
            existing is not None
            and existing.start_id == start_id
            and (existing.is_leaving or not is_leaving)
        ):
            return
        revision = 1 if existing is None else existing.revision + 1
        self._merge((Fact(kind, subject, revision, start_id, is_leaving),))

    def on_status(self, *, sender: str, status: MemberStatus) -> None:
        """Send a summary to a peer whose digest differs for some time.

        Before the first comparison it is sent at once.
        """
        # Peers that become ready later do not change this.
        self._is_synchronized = self.is_synchronized
        if status.is_ready:
            self._ready_peers.add(sender)
        else:
            self._ready_peers.discard(sender)
        if status.facts_digest == self.digest:
            self._on_compared(sender)
            return
        now = asyncio.get_running_loop().time()
        if not self._is_synchronized or (
            now - self._changed_at > SETTLE_TIME_S
            and now - self._compared_at > COMPARE_INTERVAL_S
        ):
            self._compared_at = now
            self._hub.send(
                to=sender, message=FactSummary(tuple(self._buckets), True)
            )

    def _merge(self, facts: tuple[Fact, ...]) -> None:
        new_facts = []
        for fact in facts:
            key = (fact.kind, fact.subject)
            existing = self._facts.get(key)
            # Of facts with equal revisions, all instances keep the one whose
            # remaining fields are larger.
            if existing is not None and fact <= existing:
                continue
            if existing is not None:
                self._toggle_in_digest(existing)
            self._toggle_in_digest(fact)
            self._facts[key] = fact
            new_facts.append(fact)
        if not new_facts:
            return
        self._epoch += 1
        self._changed_at = asyncio.get_running_loop().time()
        for fact in new_facts:
            # `registry.sync` emits SERVER_DRAINS too, for registrations.
            if fact.kind == SERVER and fact.is_leaving:
                self._events.emit(
                    event=Event.SERVER_DRAINS,
                    server=fact.subject,
                    start_id=fact.start_id,
                )
            for listener in self._listeners:
                listener(fact)
        self._push_to_peers(tuple(new_facts))

    def _push_to_peers(self, facts: tuple[Fact, ...]) -> None:
        own = self._view.own
        others = [peer for peer in self._view.live if peer != own]
        for peer in self._rng.sample(others, min(PUSH_FANOUT, len(others))):
            self._hub.send(to=peer.instance_id, message=FactPush(facts))

    def _on_push(self, *, sender: str, message: FactPush) -> None:
        self._merge(message.facts)

    def _on_summary(self, *, sender: str, message: FactSummary) -> None:
        if len(message.buckets) != DIGEST_BUCKETS:
            return
        facts = [
            fact
            for key, fact in self._facts.items()
            if self._buckets[_bucket(*key)] != message.buckets[_bucket(*key)]
            and self._is_listed(*key)
        ]
        for start in range(0, len(facts), FACTS_PER_MESSAGE):
            part = tuple(facts[start : start + FACTS_PER_MESSAGE])
            self._hub.send(to=sender, message=FactPush(part))
        if message.needs_reply:
            self._hub.send(
                to=sender, message=FactSummary(tuple(self._buckets), False)
            )
        else:
            # The facts that this instance lacked were sent before the reply.
            self._on_compared(sender)

    def _on_compared(self, peer: str) -> None:
        """Record that this instance has all facts of a peer."""
        if peer in self._ready_peers:
            self._is_synchronized = True
