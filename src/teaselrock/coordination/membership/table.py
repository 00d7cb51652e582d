"""Member records of one instance, and the queue of updates to disseminate.

`detector` applies updates and `roster` removes members. The table implements
the `MemberView` port.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import math
from typing import Final
from typing import NamedTuple

from teaselrock.coordination.events import Event
from teaselrock.coordination.events import Events
from teaselrock.coordination.events import NoEvents
from teaselrock.coordination.membership.messages import MemberRecord
from teaselrock.coordination.membership.messages import MemberState
from teaselrock.coordination.membership.messages import MemberStatus
from teaselrock.state import Instance

# An update is sent this many times for each power of ten of the number of
# members, so that it reaches all of them with high probability.
RETRANSMIT_FACTOR: Final = 4
UPDATES_PER_MESSAGE: Final = 12
LIVE_STATES: Final = frozenset(
    {MemberState.ALIVE, MemberState.LEAVING, MemberState.SUSPECT}
)


class Member(NamedTuple):
    """A member as recorded by this instance.

    Times are on the loop's clock. `recorded_at` is the time of the first
    record, `changed_at` that of the latest. `last_message_at` is None before
    the first direct message. `is_removed` means that it is no longer in the
    roster.
    """

    record: MemberRecord
    recorded_at: float
    changed_at: float
    last_message_at: float | None = None
    status: MemberStatus = MemberStatus()
    is_removed: bool = False

    @property
    def is_live(self) -> bool:
        """Whether the member is alive, leaving or suspect."""
        return self.record.state in LIVE_STATES


class MemberTable:
    """Records of all members, including this instance and removed ones."""

    def __init__(
        self, *, own: Instance, incarnation: int, events: Events = NoEvents()
    ) -> None:
        self._own = own
        self._events = events
        now = asyncio.get_running_loop().time()
        record = MemberRecord(own, incarnation, MemberState.ALIVE)
        self._members = {own.instance_id: Member(record, now, now)}
        self._send_counts: dict[str, int] = {}
        self._listeners: list[Callable[[], None]] = []
        self._refutations = 0
        self._epoch = 0
        self._live: tuple[Instance, ...] = (own,)
        self._roster: tuple[Instance, ...] = (own,)

    @property
    def own(self) -> Instance:
        """This instance."""
        return self._own

    @property
    def own_record(self) -> MemberRecord:
        """Record of this instance."""
        return self._members[self._own.instance_id].record

    @property
    def live(self) -> Sequence[Instance]:
        """Members that are alive, leaving or suspect, in order of id."""
        return self._live

    @property
    def roster(self) -> Sequence[Instance]:
        """Members that have neither left nor been removed, in order of id."""
        return self._roster

    @property
    def epoch(self) -> int:
        """Counter that increases with each change of `live` or `roster`."""
        return self._epoch

    @property
    def members(self) -> Sequence[Member]:
        """All recorded members, including removed ones."""
        return tuple(self._members.values())

    @property
    def refutations(self) -> int:
        """Number of reports about itself that this instance has refuted."""
        return self._refutations

    def get(self, instance_id: str) -> Member | None:
        """The record of a member, None if there is none."""
        return self._members.get(instance_id)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after every change of the epoch."""
        self._listeners.append(listener)

    def apply(self, record: MemberRecord) -> bool:
        """Merge an update; True if a record was added or changed."""
        instance_id = record.instance.instance_id
        if instance_id == self._own.instance_id:
            return self._merge_own(record)
        existing = self._members.get(instance_id)
        if existing is not None:
            before = (existing.record.incarnation, existing.record.state)
            if (record.incarnation, record.state) <= before:
                if existing.record.state is MemberState.LEFT:
                    # The sender's record is older: the member has left.
                    self._send_counts.setdefault(instance_id, 0)
                return False
        self._store(record)
        return True

    def set_own_state(self, state: MemberState) -> None:
        """Disseminate a new state of this instance."""
        own = self.own_record
        self._store(own._replace(incarnation=own.incarnation + 1, state=state))

    def record_message(self, instance_id: str, status: MemberStatus) -> None:
        """Record the time and status of a member's direct message."""
        existing = self._members.get(instance_id)
        if existing is not None:
            now = asyncio.get_running_loop().time()
            self._members[instance_id] = existing._replace(
                last_message_at=now, status=status
            )

    def mark_removed(self, instance_id: str) -> None:
        """Remove a failed member from the roster."""
        existing = self._members[instance_id]
        self._members[instance_id] = existing._replace(is_removed=True)
        self._events.emit(event=Event.MEMBER_REMOVED, member=instance_id)
        self._update_views()

    def drop_record(self, instance_id: str) -> None:
        """Drop the record of a removed member."""
        self._members.pop(instance_id, None)
        self._send_counts.pop(instance_id, None)

    def requeue_update(self, instance_id: str) -> None:
        """Queue the record of a member again, as if it had not been sent."""
        self._send_counts[instance_id] = 0

    def take_updates(
        self, required_ids: Sequence[str] = ()
    ) -> tuple[MemberRecord, ...]:
        """Updates for the next message, the least often sent first.

        The records of the members in `required_ids` are always included.
        """
        max_sends = RETRANSMIT_FACTOR * math.ceil(
            math.log10(len(self._members) + 1)
        )
        chosen_ids = [
            instance_id
            for instance_id in required_ids
            if instance_id in self._members
        ]
        for instance_id in sorted(
            self._send_counts, key=self._send_counts.__getitem__
        ):
            if len(chosen_ids) >= UPDATES_PER_MESSAGE:
                break
            if instance_id not in chosen_ids:
                chosen_ids.append(instance_id)
        for instance_id in chosen_ids:
            if instance_id in self._send_counts:
                self._send_counts[instance_id] += 1
                if self._send_counts[instance_id] >= max_sends:
                    del self._send_counts[instance_id]
        return tuple(
            self._members[instance_id].record for instance_id in chosen_ids
        )

    def _merge_own(self, record: MemberRecord) -> bool:
        own = self.own_record
        is_same = record.incarnation == own.incarnation
        if record.incarnation < own.incarnation or (
            is_same and record.state <= own.state
        ):
            return False
        self._refutations += 1
        self._store(own._replace(incarnation=record.incarnation + 1))
        return True

    def _store(self, record: MemberRecord) -> None:
        now = asyncio.get_running_loop().time()
        instance_id = record.instance.instance_id
        existing = self._members.get(instance_id)
        if existing is None:
            member = Member(record, now, now)
        else:
            member = existing._replace(record=record, changed_at=now)
        member = member._replace(
            is_removed=record.state is MemberState.LEFT
            or (member.is_removed and not member.is_live)
        )
        self._members[instance_id] = member
        self._send_counts[instance_id] = 0
        self._emit_change(existing, member)
        if (
            existing is None
            or existing.is_live != member.is_live
            or existing.is_removed != member.is_removed
            or existing.record.instance != record.instance
        ):
            self._update_views()

    def _emit_change(self, existing: Member | None, member: Member) -> None:
        record = member.record
        was_failed = (
            existing is not None
            and existing.record.state is MemberState.FAILED
        )
        if (record.state is MemberState.FAILED) == was_failed:
            return
        if was_failed and not member.is_live:
            return
        self._events.emit(
            event=Event.MEMBER_RETURNED if was_failed else Event.MEMBER_FAILED,
            member=record.instance.instance_id,
            zone=str(record.instance.zone),
        )

    def _update_views(self) -> None:
        ordered = sorted(self._members.items())
        self._live = tuple(
            member.record.instance for _, member in ordered if member.is_live
        )
        self._roster = tuple(
            member.record.instance
            for _, member in ordered
            if not member.is_removed
        )
        self._epoch += 1
        for listener in self._listeners:
            listener()
