"""Writes segments of report rows, immutable and numbered, to the store.

A segment is created conditionally and keeps its number and bytes until it is
stored, so that retrying a write whose response was lost is idempotent.
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


class _PendingSegment(NamedTuple):
    """A segment that is not stored yet; `rows` are the rows in it."""

    key: str
    segment: Segment
    value: bytes
    rows: tuple[Row, ...]


class _CreateResult(enum.Enum):
    """Result of creating a segment.

    `NUMBER_TAKEN` means that another writer has used its number.
    """

    STORED = enum.auto()
    FAILED = enum.auto()
    NUMBER_TAKEN = enum.auto()


class SegmentLog:
    """Segments of one writer name and incarnation."""

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
        self._next_number = 0
        self._pending: deque[_PendingSegment] = deque()
        # A stop, even a second one, may run while a flush is writing.
        self._write_lock = asyncio.Lock()

    @property
    def pending_rows(self) -> int:
        """Rows in segments that are not stored yet."""
        return sum(len(pending.rows) for pending in self._pending)

    @property
    def has_segments(self) -> bool:
        """Whether any segment has been added."""
        return self._next_number > 0

    @property
    def has_pending(self) -> bool:
        """Whether a segment is not stored yet."""
        return bool(self._pending)

    def add_segments(
        self,
        *,
        rows: Sequence[Row],
        as_accounting: bool = False,
        is_final: bool = False,
    ) -> None:
        """Add segments with the rows, or only with their accounting rows.

        Rows that exceed `MAX_SEGMENT_BYTES` are split between segments.
        """
        self._add_segments(rows, as_accounting, is_final, self._wall_clock())

    async def write(self) -> list[Row]:
        """Store pending segments in order; returns the rows stored.

        Stops at the first failure and leaves the rest for the next call.
        """
        async with self._write_lock:
            return await self._write()

    async def _write(self) -> list[Row]:
        stored: list[Row] = []
        while self._pending:
            pending = self._pending[0]
            created = await self._create(pending)
            if created is _CreateResult.FAILED:
                break
            if created is _CreateResult.NUMBER_TAKEN:
                self._renumber()
                continue
            self._pending.popleft()
            stored += pending.rows
        return stored

    def _add_segments(
        self,
        rows: Sequence[Row],
        as_accounting: bool,
        is_final: bool,
        through: float,
    ) -> None:
        """Add segments; see `add_segments`.

        All rows that ended before the Unix time `through` are in these
        segments or in earlier ones.
        """
        cover = SegmentCoverage(
            self._writer,
            self._incarnation,
            self._next_number,
            through,
            is_final,
        )
        segment = Segment((cover,), tuple(rows))
        if as_accounting:
            segment = Segment(
                (cover,), accounting=tuple(map(accounting_row_of, rows))
            )
        pending = self._encode(segment, tuple(rows))
        if len(pending.value) > MAX_SEGMENT_BYTES and len(rows) > 1:
            middle = len(rows) // 2
            # The first segment must not cover rows of the second one.
            earliest = min(row.ended for row in rows)
            self._add_segments(rows[:middle], as_accounting, False, earliest)
            self._add_segments(rows[middle:], as_accounting, is_final, through)
            return
        self._next_number += 1
        self._pending.append(pending)

    def _encode(
        self, segment: Segment, rows: tuple[Row, ...]
    ) -> _PendingSegment:
        day = utc_day(self._wall_clock())
        return _PendingSegment(
            segment_key(day=day, coverage=segment.coverage[0]),
            segment,
            self._codec.encode(value=segment),
            rows,
        )

    def _renumber(self) -> None:
        """Move the pending segments past a number that is already taken."""
        renumbered = []
        for pending in self._pending:
            cover = pending.segment.coverage[0]
            cover = cover._replace(number=cover.number + 1)
            renumbered.append(
                self._encode(
                    pending.segment._replace(coverage=(cover,)), pending.rows
                )
            )
        self._pending = deque(renumbered)
        self._next_number += 1

    async def _create(self, pending: _PendingSegment) -> _CreateResult:
        put = await self._store.put(
            key=pending.key, value=pending.value, expected_version=0
        )
        if put.is_ok():
            return _CreateResult.STORED
        if put.error.kind not in (
            StoreErrorKind.CONFLICT,
            StoreErrorKind.UNKNOWN,
        ):
            return _CreateResult.FAILED
        # An earlier attempt may have created the segment.
        found = await self._store.get(key=pending.key)
        if found.is_error() or found.ok is None:
            return _CreateResult.FAILED
        if found.ok.value == pending.value:
            return _CreateResult.STORED
        return _CreateResult.NUMBER_TAKEN
