"""Copy of the objects of one kind at one revision of the store.

`watch` and `relay` write it in steps; the recent steps are kept, so that
other instances can be brought up to date without the whole copy.
"""

from collections import deque
from collections.abc import Callable
from typing import Final
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

from teaselrock.coordination.ports import Entry
from teaselrock.coordination.ports import Listing

T = TypeVar('T')

# Changes that can be passed on without the whole copy.
KEPT_CHANGES: Final = 64
# Revision before the first listing, and `after` of a whole copy.
UNKNOWN: Final = -1


class Change(NamedTuple, Generic[T]):
    """Step from revision `after` to that of the listing.

    With `after` at `UNKNOWN` the listing is the whole copy.
    """

    after: int
    listing: Listing[T]

    @property
    def is_snapshot(self) -> bool:
        """Whether entries that are not listed are gone."""
        return self.after == UNKNOWN


class Mirror(Generic[T]):
    """Objects of one kind; `on_change` sees each step that was applied."""

    def __init__(self, *, on_change: Callable[[Change[T]], None]) -> None:
        self._on_change = on_change
        self._entries: dict[str, Entry[T]] = {}
        self._revision = UNKNOWN
        self._changes: deque[Change[T]] = deque(maxlen=KEPT_CHANGES)

    @property
    def revision(self) -> int:
        """Revision of the copy, `UNKNOWN` before the first listing."""
        return self._revision

    def apply(self, change: Change[T]) -> bool:
        """Apply a step; False if a step before it is missing.

        Steps that are already part of the copy change nothing.
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
        """Steps from `revision` to now; the whole copy if one is missing."""
        if revision == self._revision:
            return []
        found: list[Change[T]] = []
        for change in self._changes:
            if found or change.after <= revision < change.listing.revision:
                found.append(change)
        if found:
            return found
        entries = tuple(self._entries.values())
        return [Change(UNKNOWN, Listing(entries, self._revision))]
