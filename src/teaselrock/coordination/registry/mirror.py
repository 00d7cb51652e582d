"""Local mirror of the store's objects of one kind, at one revision.

`watch` and `relay` apply changes to it. It keeps recent changes, so that an
instance that follows this one is sent only the changes that it lacks.
"""

from collections import deque
from collections.abc import Callable
from typing import Final
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

from teaselrock.coordination.ports import ObjectEntry
from teaselrock.coordination.ports import ObjectListing

T = TypeVar('T')

# Changes kept; a follower that lacks more of them is sent a full snapshot.
MAX_KEPT_CHANGES: Final = 64
# Revision before the first listing, and `after` of a full snapshot.
NO_REVISION: Final = -1


class Change(NamedTuple, Generic[T]):
    """Change from revision `after` to that of the listing.

    With `after` at `NO_REVISION` the listing is a full snapshot.
    """

    after: int
    listing: ObjectListing[T]

    @property
    def is_snapshot(self) -> bool:
        """Whether objects that are not listed do not exist."""
        return self.after == NO_REVISION


class Mirror(Generic[T]):
    """Objects of one kind; `on_change` is called with each applied change."""

    def __init__(self, *, on_change: Callable[[Change[T]], None]) -> None:
        self._on_change = on_change
        self._entries: dict[str, ObjectEntry[T]] = {}
        self._revision = NO_REVISION
        self._changes: deque[Change[T]] = deque(maxlen=MAX_KEPT_CHANGES)

    @property
    def revision(self) -> int:
        """Revision of the mirror, `NO_REVISION` before the first listing."""
        return self._revision

    def apply(self, change: Change[T]) -> bool:
        """Apply a change; False if an earlier change is missing.

        Changes up to the current revision have no effect and return True.
        """
        revision = change.listing.revision
        if revision <= self._revision:
            return True
        if not change.is_snapshot and change.after > self._revision:
            return False
        if change.is_snapshot:
            self._entries.clear()
            self._changes.clear()
        else:
            self._changes.append(change)
        self._revision = revision
        for entry in change.listing.entries:
            if entry.is_deleted:
                self._entries.pop(entry.name, None)
            else:
                self._entries[entry.name] = entry
        self._on_change(change)
        return True

    def since(self, revision: int) -> list[Change[T]]:
        """Changes after `revision`, or a snapshot if they are not all kept."""
        if revision == self._revision:
            return []
        changes: list[Change[T]] = []
        for change in self._changes:
            if changes or change.after <= revision < change.listing.revision:
                changes.append(change)
        if changes:
            return changes
        entries = tuple(self._entries.values())
        return [Change(NO_REVISION, ObjectListing(entries, self._revision))]
