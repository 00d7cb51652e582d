"""Local mirror of the store's objects of one kind, at one position.

`watch` and `relay` apply changes to it. It keeps recent changes, so that an
instance that follows this one is sent only the changes that it lacks.
"""

from collections import deque
from collections.abc import Callable
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

from teaselrock.coordination.ports import ObjectEntry
from teaselrock.coordination.ports import ObjectListing
from teaselrock.coordination.ports import StorePosition

T = TypeVar('T')

# Changes kept; a follower that lacks more of them is sent a full snapshot.
MAX_KEPT_CHANGES: Final = 64
# Position before the first listing, and `after` of a full snapshot.
NO_POSITION: Final = StorePosition(-1, -1)
# Source of the changes that this instance reads from the store itself.
STORE_SOURCE: Final = 'store'


class Change(NamedTuple, Generic[T]):
    """Change from position `after` to that of the listing.

    With `after` at `NO_POSITION` the listing is a full snapshot. `source` is
    the store or the id of the instance that relayed the change. `replaced`
    holds the values that a mirror had at position `after`.
    """

    after: StorePosition
    listing: ObjectListing[T]
    source: str = STORE_SOURCE
    replaced: Mapping[str, T] = MappingProxyType({})

    @property
    def is_snapshot(self) -> bool:
        """Whether objects that are not listed do not exist."""
        return self.after == NO_POSITION


def _value_read(known: T | None, read: T | None) -> T | None:
    return read


class Mirror(Generic[T]):
    """Objects of one kind; `on_change` is called with each applied change.

    `newer` chooses between the known value of an object and the one that was
    read. Objects that were deleted have no known value.
    """

    def __init__(
        self,
        *,
        on_change: Callable[[Change[T]], None],
        newer: Callable[[T | None, T | None], T | None] = _value_read,
    ) -> None:
        self._on_change = on_change
        self._newer = newer
        self._entries: dict[str, ObjectEntry[T]] = {}
        self._position = NO_POSITION
        self._changes: deque[Change[T]] = deque(maxlen=MAX_KEPT_CHANGES)

    @property
    def position(self) -> StorePosition:
        """Position of the mirror, `NO_POSITION` before the first listing."""
        return self._position

    def entry(self, name: str) -> ObjectEntry[T] | None:
        """The object with this name, None if there is none."""
        return self._entries.get(name)

    def apply(self, change: Change[T]) -> bool:
        """Apply a change; False if an earlier change is missing.

        Changes up to the current position have no effect and return True. A
        new era begins with a snapshot, since changes of an earlier one may be
        lost.
        """
        position = change.listing.position
        if position <= self._position:
            return True
        if not change.is_snapshot and (
            change.after > self._position or position.era != self._position.era
        ):
            return False
        if change.is_snapshot and position.era == self._position.era:
            change = self._difference(change)
        change = self._coalesced(change)
        if change.is_snapshot:
            self._entries.clear()
            self._changes.clear()
        else:
            change = change._replace(replaced=self._values_before(change))
            self._changes.append(change)
        self._position = position
        for entry in change.listing.entries:
            if entry.is_deleted:
                self._entries.pop(entry.name, None)
            else:
                self._entries[entry.name] = entry
        self._on_change(change)
        return True

    def _difference(self, snapshot: Change[T]) -> Change[T]:
        """A snapshot of the same era as a change from the present state.

        After lost history the followers lack little or nothing, and a whole
        snapshot for each of them could fill the link.
        """
        entries = snapshot.listing.entries
        listed = {entry.name for entry in entries}
        changed = tuple(
            entry
            for entry in entries
            if self._entries.get(entry.name) != entry
        )
        deleted: tuple[ObjectEntry[T], ...] = tuple(
            ObjectEntry(name, None, True)
            for name in self._entries.keys() - listed
        )
        return snapshot._replace(
            after=self._position,
            listing=snapshot.listing._replace(entries=(*changed, *deleted)),
        )

    def _coalesced(self, change: Change[T]) -> Change[T]:
        """The change with the last state of each object only.

        A response of the store may hold several states of one object in
        order, which a relayed change cannot express. An older value does not
        replace a known one that was not deleted in between.
        """
        last: dict[str, ObjectEntry[T]] = {}
        for entry in change.listing.entries:
            known = last.pop(entry.name, None) or self._entries.get(entry.name)
            if known is not None and not (
                known.is_deleted or entry.is_deleted
            ):
                entry = entry._replace(
                    value=self._newer(known.value, entry.value)
                )
            last[entry.name] = entry
        return change._replace(
            listing=change.listing._replace(entries=tuple(last.values()))
        )

    def _values_before(self, change: Change[T]) -> Mapping[str, T]:
        """Present values of the objects that a change names."""
        values: dict[str, T] = {}
        for entry in change.listing.entries:
            known = self._entries.get(entry.name)
            if known is not None and known.value is not None:
                values[entry.name] = known.value
        return values

    def since(self, position: StorePosition) -> list[Change[T]]:
        """Changes after `position`, or a snapshot if they are not all kept."""
        if position == self._position:
            return []
        changes: list[Change[T]] = []
        for change in self._changes:
            if changes or change.after <= position < change.listing.position:
                changes.append(change)
        if changes:
            return changes
        entries = tuple(self._entries.values())
        return [Change(NO_POSITION, ObjectListing(entries, self._position))]
