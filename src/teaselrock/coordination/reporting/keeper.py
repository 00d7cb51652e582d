"""Copies of rows that this instance keeps for writers in other zones.

`SegmentReportWriter` writes the kept rows of a failed writer to the store.
"""

import asyncio
from collections.abc import Sequence
from typing import Final

from teaselrock.coordination import home_regions
from teaselrock.coordination import rendezvous
from teaselrock.coordination.reporting.messages import RowsStored
from teaselrock.state import Instance
from teaselrock.state.configuration import CustomerEntry
from teaselrock.state.report import more_complete_row
from teaselrock.state.report import Row

# A writer that sent no row for this long is queried for its stored rows.
QUERY_AFTER_S: Final = 5.0

WriterKey = tuple[str, int]


def choose_keepers(
    *, customer: CustomerEntry, own: Instance, live: Sequence[Instance]
) -> tuple[str, ...]:
    """Choose up to two peers in other zones, if possible in this region.

    Only peers in the customer's home regions are chosen.
    """
    allowed = [
        peer
        for peer in live
        if peer.zone != own.zone
        and home_regions.is_region_allowed(
            customer=customer, region=peer.zone.region
        )
    ]
    in_own_region = [
        peer for peer in allowed if peer.zone.region == own.zone.region
    ]
    candidates = {peer.instance_id for peer in in_own_region or allowed}
    chosen: list[str] = []
    while candidates and len(chosen) < 2:
        keeper = (
            rendezvous.owner(members=candidates, key=own.instance_id) or ''
        )
        chosen.append(keeper)
        candidates.discard(keeper)
    return tuple(chosen)


class KeptRows:
    """Copies of rows, by writer and incarnation."""

    def __init__(self) -> None:
        self._rows: dict[WriterKey, dict[int, Row]] = {}
        self._stored_below: dict[WriterKey, int] = {}
        self._newest_incarnation: dict[str, int] = {}
        self._changed_at: dict[WriterKey, float] = {}
        self._count = 0

    @property
    def count(self) -> int:
        """Number of rows kept."""
        return self._count

    def keep(self, row: Row) -> None:
        """Keep a copy of a row, unless the writer has stored the row."""
        key = (row.writer, row.incarnation)
        self._record_incarnation(row.writer, row.incarnation)
        self._changed_at[key] = asyncio.get_running_loop().time()
        if row.sequence < self._stored_below.get(key, 0):
            return
        rows = self._rows.setdefault(key, {})
        kept = rows.get(row.sequence)
        rows[row.sequence] = (
            row if kept is None else more_complete_row(kept, row)
        )
        self._count += kept is None

    def drop(self, writer: str, message: RowsStored) -> None:
        """Drop rows that the writer has stored."""
        key = (writer, message.incarnation)
        self._record_incarnation(writer, message.incarnation)
        self._stored_below[key] = max(
            self._stored_below.get(key, 0), message.below
        )
        rows = self._rows.get(key, {})
        stored = set(message.sequences)
        for sequence in [
            sequence
            for sequence in rows
            if sequence < message.below or sequence in stored
        ]:
            del rows[sequence]
            self._count -= 1

    def take_all(self) -> list[Row]:
        """Remove and return all rows."""
        taken = [row for rows in self._rows.values() for row in rows.values()]
        self._rows.clear()
        self._count = 0
        return taken

    def take_failed_writers(self, live: frozenset[str]) -> list[Row]:
        """Remove and return the rows of failed or restarted writers.

        `live` are the ids of the live members.
        """
        taken: list[Row] = []
        for key in list(self._rows):
            if key[0] not in live or key[1] < self._newest_incarnation[key[0]]:
                taken += self._rows.pop(key).values()
                self._stored_below.pop(key, None)
        self._count -= len(taken)
        self._stored_below = {
            key: below
            for key, below in self._stored_below.items()
            if key[0] in live
        }
        self._newest_incarnation = {
            writer: incarnation
            for writer, incarnation in self._newest_incarnation.items()
            if writer in live
        }
        self._changed_at = {
            key: at
            for key, at in self._changed_at.items()
            if key in self._rows
        }
        return taken

    def writers_to_query(self) -> list[WriterKey]:
        """Return writers that sent no row for `QUERY_AFTER_S`.

        Either they have stored the rows and the message was lost, or they
        were restarted before any member detected the failure. A writer is
        returned again after another `QUERY_AFTER_S`.
        """
        now = asyncio.get_running_loop().time()
        due = [
            key
            for key, rows in self._rows.items()
            if rows and now - self._changed_at[key] >= QUERY_AFTER_S
        ]
        self._changed_at.update(dict.fromkeys(due, now))
        return due

    def _record_incarnation(self, writer: str, incarnation: int) -> None:
        self._newest_incarnation[writer] = max(
            self._newest_incarnation.get(writer, 0), incarnation
        )
