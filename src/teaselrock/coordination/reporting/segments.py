"""Writes segments: immutable, numbered, created conditionally.

A segment keeps its number and bytes until it is stored, so that repeating
a write whose answer was lost changes nothing.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from collections.abc import Sequence
import enum
from typing import NamedTuple

from teaselrock.coordination.ports import DocumentCodec
from teaselrock.coordination.ports import Store
from teaselrock.coordination.ports import StoreErrorKind
from teaselrock.state.report import accounting_row_of
from teaselrock.state.report import MAX_SEGMENT_BYTES
from teaselrock.state.report import Row
from teaselrock.state.report import Segment
from teaselrock.state.report import segment_key
from teaselrock.state.report import SegmentCoverage
from teaselrock.state.report import utc_day


class _Cut(NamedTuple):
    """A segment on its way to the store; `rows` are what it reports."""

    key: str
    segment: Segment
    value: bytes
    rows: tuple[Row, ...]


class _Created(enum.Enum):
    """How the creation of a segment ended."""

    STORED = enum.auto()
    FAILED = enum.auto()
    FOREIGN = enum.auto()


class SegmentLog:
    """The segments of one writer name and incarnation."""

    def __init__(
        self,
        *,
        writer: str,
        incarnation: int,
        store: Store,
        codec: DocumentCodec,
        wall_clock: Callable[[], float],
    ) -> None:
        self._writer = writer
        self._incarnation = incarnation
        self._store = store
        self._codec = codec
        self._wall_clock = wall_clock
        self._next = 0
        self._cuts: deque[_Cut] = deque()
        # A stop may come while a flush writes, or twice.
        self._writing = asyncio.Lock()

    @property
    def pending_rows(self) -> int:
        """Rows in segments that are not stored yet."""
        return sum(len(cut.rows) for cut in self._cuts)

    @property
    def is_used(self) -> bool:
        """Whether any segment has been cut."""
        return self._next > 0

    @property
    def has_pending(self) -> bool:
        """Whether a segment is not stored yet."""
        return bool(self._cuts)

    def cut(
        self,
        *,
        rows: Sequence[Row],
        accounting: bool = False,
        is_final: bool = False,
    ) -> None:
        """Make segments of rows, or of accounting rows in their place."""
        self._cut(rows, accounting, is_final, self._wall_clock())

    async def write(self) -> list[Row]:
        """Store the cut segments in order; returns the rows stored now.

        Stops at the first failure; the rest stays for the next call.
        """
        async with self._writing:
            return await self._write()

    async def _write(self) -> list[Row]:
        stored: list[Row] = []
        while self._cuts:
            cut = self._cuts[0]
            created = await self._create(cut)
            if created is _Created.FAILED:
                break
            if created is _Created.FOREIGN:
                self._renumber()
                continue
            self._cuts.popleft()
            stored += cut.rows
        return stored

    def _cut(
        self,
        rows: Sequence[Row],
        accounting: bool,
        is_final: bool,
        through: float,
    ) -> None:
        cover = SegmentCoverage(
            self._writer, self._incarnation, self._next, through, is_final
        )
        segment = Segment((cover,), tuple(rows))
        if accounting:
            segment = Segment(
                (cover,), accounting=tuple(map(accounting_row_of, rows))
            )
        cut = self._encoded(segment, tuple(rows))
        if len(cut.value) > MAX_SEGMENT_BYTES and len(rows) > 1:
            half = len(rows) // 2
            # Rows of the second half are not stored with the first.
            earliest = min(row.ended for row in rows)
            self._cut(rows[:half], accounting, False, earliest)
            self._cut(rows[half:], accounting, is_final, through)
            return
        self._next += 1
        self._cuts.append(cut)

    def _encoded(self, segment: Segment, rows: tuple[Row, ...]) -> _Cut:
        day = utc_day(self._wall_clock())
        return _Cut(
            segment_key(day=day, cover=segment.covers[0]),
            segment,
            self._codec.encode(value=segment),
            rows,
        )

    def _renumber(self) -> None:
        """Move the waiting segments past a number used by another."""
        moved = []
        for cut in self._cuts:
            cover = cut.segment.covers[0]
            cover = cover._replace(number=cover.number + 1)
            moved.append(
                self._encoded(cut.segment._replace(covers=(cover,)), cut.rows)
            )
        self._cuts = deque(moved)
        self._next += 1

    async def _create(self, cut: _Cut) -> _Created:
        put = await self._store.put(
            key=cut.key, value=cut.value, expected_version=0
        )
        if put.is_ok():
            return _Created.STORED
        if put.error.kind not in (
            StoreErrorKind.CONFLICT,
            StoreErrorKind.UNKNOWN,
        ):
            return _Created.FAILED
        # The segment may be there since an earlier try.
        got = await self._store.get(key=cut.key)
        if got.is_error() or got.ok is None:
            return _Created.FAILED
        if got.ok.value == cut.value:
            return _Created.STORED
        return _Created.FOREIGN
