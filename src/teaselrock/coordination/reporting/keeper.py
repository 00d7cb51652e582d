"""Rows that this instance keeps for writers in other zones.

`SegmentReportWriter` flushes the kept rows of a writer that has failed.
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

ASK_AFTER_S: Final = 5.0

WriterKey = tuple[str, int]


def choose_keepers(
    *, customer: CustomerEntry, own: Instance, live: Sequence[Instance]
) -> tuple[str, ...]:
    """Two peers in other zones, of the own region if there are any."""
    allowed = [
        peer
        for peer in live
        if peer.zone != own.zone
        and home_regions.is_region_allowed(
            customer=customer, region=peer.zone.region
        )
    ]
    near = [peer for peer in allowed if peer.zone.region == own.zone.region]
    left = {peer.instance_id for peer in near or allowed}
    chosen: list[str] = []
    while left and len(chosen) < 2:
        keeper = rendezvous.owner(members=left, key=own.instance_id) or ''
        chosen.append(keeper)
        left.discard(keeper)
    return tuple(chosen)


class Keeper:
    """Kept rows by writer and incarnation."""

    def __init__(self) -> None:
        self._rows: dict[WriterKey, dict[int, Row]] = {}
        self._below: dict[WriterKey, int] = {}
        self._newest: dict[str, int] = {}
        self._changed: dict[WriterKey, float] = {}
        self._count = 0

    @property
    def count(self) -> int:
        """Number of kept rows."""
        return self._count

    def keep(self, row: Row) -> None:
        """Keep a row, unless the writer has stored it."""
        key = (row.writer, row.incarnation)
        self._see(row.writer, row.incarnation)
        self._changed[key] = asyncio.get_running_loop().time()
        if row.sequence < self._below.get(key, 0):
            return
        rows = self._rows.setdefault(key, {})
        held = rows.get(row.sequence)
        rows[row.sequence] = (
            row if held is None else more_complete_row(held, row)
        )
        self._count += held is None

    def drop(self, writer: str, message: RowsStored) -> None:
        """Drop rows that the writer has stored."""
        key = (writer, message.incarnation)
        self._see(writer, message.incarnation)
        self._below[key] = max(self._below.get(key, 0), message.below)
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
        """Take every row, since this instance stops."""
        taken = [row for rows in self._rows.values() for row in rows.values()]
        self._rows.clear()
        self._count = 0
        return taken

    def take_failed(self, live: frozenset[str]) -> list[Row]:
        """Take the rows of writers that are not live or were restarted."""
        taken: list[Row] = []
        for key in list(self._rows):
            if key[0] not in live or key[1] < self._newest[key[0]]:
                taken += self._rows.pop(key).values()
                self._below.pop(key, None)
        self._count -= len(taken)
        self._below = {
            key: below for key, below in self._below.items() if key[0] in live
        }
        self._newest = {
            writer: incarnation
            for writer, incarnation in self._newest.items()
            if writer in live
        }
        self._changed = {
            key: at for key, at in self._changed.items() if key in self._rows
        }
        return taken

    def long_held(self) -> list[WriterKey]:
        """Writers without a new row for `ASK_AFTER_S`, once for each time.

        Either they have stored the rows and the message was lost, or they
        were restarted so fast that no member has seen their death.
        """
        now = asyncio.get_running_loop().time()
        long = [
            key
            for key, rows in self._rows.items()
            if rows and now - self._changed[key] >= ASK_AFTER_S
        ]
        self._changed.update(dict.fromkeys(long, now))
        return long

    def _see(self, writer: str, incarnation: int) -> None:
        self._newest[writer] = max(self._newest.get(writer, 0), incarnation)
