"""Reads the report from the store: rows, completeness and compaction.

The command line and the operators' tools use it; `state.report` has the
readings for operations and finance that take its rows.
"""

from collections.abc import AsyncIterator
from typing import Final
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination.ports import DocumentCodec
from teaselrock.coordination.ports import Store
from teaselrock.coordination.ports import StoreError
from teaselrock.coordination.ports import StoreErrorKind
from teaselrock.state.report import AccountingRow
from teaselrock.state.report import MAX_SEGMENT_BYTES
from teaselrock.state.report import merge_accounting_rows
from teaselrock.state.report import merge_rows
from teaselrock.state.report import more_complete_row
from teaselrock.state.report import REPORT_KEY_PREFIX
from teaselrock.state.report import Row
from teaselrock.state.report import Segment
from teaselrock.state.report import SegmentCoverage
from teaselrock.state.report import utc_day

DAY_S: Final = 86400.0
COMPACTED: Final = 'compacted'


class RowQuery(NamedTuple):
    """Which rows to read; times are Unix seconds, '' matches any.

    `late` is how long after its arrival a row may have been flushed.
    """

    since: float
    until: float
    customer: str = ''
    service: str = ''
    region: str = ''
    zone: str = ''
    late: float = DAY_S

    def matches(self, row: Row) -> bool:
        """Whether a row is asked for."""
        return (
            self.since <= row.arrived < self.until
            and self.customer in ('', row.customer)
            and self.service in ('', row.service)
            and self.region in ('', row.region)
            and self.zone in ('', row.zone)
        )


class ReportReadError(Exception):
    """The store or a segment could not be read; what follows is missing."""


class ReportReader:
    """Reads and maintains the stored segments."""

    def __init__(self, *, store: Store, codec: DocumentCodec) -> None:
        self._store = store
        self._codec = codec

    async def rows(self, query: RowQuery) -> AsyncIterator[Row]:
        """Stream matching rows, each once; rows without an end come last.

        Raises `ReportReadError` rather than leave rows out.
        """
        seen: set[tuple[str, int, int]] = set()
        unended: dict[tuple[str, int, int], Row] = {}
        async for segment in self._segments(query):
            for row in segment.rows:
                if not query.matches(row) or row.number in seen:
                    continue
                held = unended.pop(row.number, row)
                best = more_complete_row(held, row)
                if best.verdict is None:
                    unended[row.number] = best
                else:
                    seen.add(row.number)
                    yield best
        for row in unended.values():
            yield row

    async def accounting(
        self, query: RowQuery
    ) -> AsyncIterator[AccountingRow]:
        """Stream accounting rows, each once.

        They carry no time or place: the days of their segments count.
        """
        seen: set[str] = set()
        unended: dict[str, AccountingRow] = {}
        async for segment in self._segments(query):
            for row in segment.accounting:
                if (
                    row.number in seen
                    or query.customer not in ('', row.customer)
                    or query.service not in ('', row.service)
                ):
                    continue
                if row.verdict is None:
                    unended[row.number] = row
                    continue
                unended.pop(row.number, None)
                seen.add(row.number)
                yield row
        for row in unended.values():
            yield row

    async def covers(self, query: RowQuery) -> AsyncIterator[SegmentCoverage]:
        """What the stored segments cover, for `completeness`."""
        async for segment in self._segments(query):
            for cover in segment.covers:
                yield cover

    async def compact(self, *, day: str) -> Result[int, StoreError]:
        """Merge a past day's segments; returns how many were replaced.

        The merged segment is written before the others are deleted, so an
        interruption leaves repeats, which readers merge.
        """
        listed = await self._keys(f'{REPORT_KEY_PREFIX}{day}/')
        if listed.is_error():
            return Error(listed.error)
        keys = [key for key in listed.ok if f'/{day}/{COMPACTED}/' not in key]
        batch: list[str] = []
        held = Segment(())
        for key in keys:
            read = await self._read(key)
            if read.is_error():
                return Error(read.error)
            joined = _join(held, read.ok)
            size = len(self._codec.encode(value=joined))
            if size > MAX_SEGMENT_BYTES and batch:
                replaced = await self._replace(day, batch, held)
                if replaced.is_error():
                    return replaced
                batch = []
                joined = read.ok
            held = joined
            batch.append(key)
        if batch:
            replaced = await self._replace(day, batch, held)
            if replaced.is_error():
                return replaced
        return Ok(len(keys))

    async def expire(
        self, *, now: float, keep_days: int
    ) -> Result[int, StoreError]:
        """Delete segments of days that are too old; returns how many."""
        oldest = utc_day(now - keep_days * DAY_S)
        deleted = 0
        listed = await self._keys(
            REPORT_KEY_PREFIX, before=f'{REPORT_KEY_PREFIX}{oldest}/'
        )
        if listed.is_error():
            return Error(listed.error)
        for key in listed.ok:
            gone = await self._store.delete(key=key, expected_version=None)
            if gone.is_error():
                return Error(gone.error)
            deleted += 1
        return Ok(deleted)

    async def _replace(
        self, day: str, keys: list[str], segment: Segment
    ) -> Result[int, StoreError]:
        """Write a merged segment, then delete what it replaces.

        Its name is that of its first segment, so a repeat after an
        interruption overwrites it with at least the same rows.
        """
        name = (
            keys[0]
            .removeprefix(f'{REPORT_KEY_PREFIX}{day}/')
            .replace('/', '.')
        )
        target = f'{REPORT_KEY_PREFIX}{day}/{COMPACTED}/{name}'
        held = await self._store.get(key=target)
        if held.is_error():
            return Error(held.error)
        expected_version = 0
        if held.ok is not None:
            read = self._decode(held.ok.key, held.ok.value)
            if read.is_error():
                return Error(read.error)
            segment = _join(read.ok, segment)
            expected_version = held.ok.version
        put = await self._store.put(
            key=target,
            value=self._codec.encode(value=segment),
            expected_version=expected_version,
        )
        if put.is_error():
            return Error(put.error)
        for key in keys:
            gone = await self._store.delete(key=key, expected_version=None)
            if gone.is_error():
                return Error(gone.error)
        return Ok(len(keys))

    async def _segments(self, query: RowQuery) -> AsyncIterator[Segment]:
        day = query.since
        last = utc_day(query.until + query.late)
        while utc_day(day) <= last:
            listed = await self._keys(f'{REPORT_KEY_PREFIX}{utc_day(day)}/')
            if listed.is_error():
                raise ReportReadError(listed.error.detail)
            for key in listed.ok:
                read = await self._read(key)
                if read.is_error():
                    raise ReportReadError(read.error.detail)
                yield read.ok
            day += DAY_S

    async def _keys(
        self, prefix: str, before: str = ''
    ) -> Result[list[str], StoreError]:
        """All keys under a prefix, those before `before` if it is given."""
        keys: list[str] = []
        while True:
            listed = await self._store.list_keys(
                prefix=prefix, after=keys[-1] if keys else ''
            )
            if listed.is_error():
                return Error(listed.error)
            keys += listed.ok
            if not listed.ok or (before and keys[-1] >= before):
                break
        return Ok([key for key in keys if not before or key < before])

    async def _read(self, key: str) -> Result[Segment, StoreError]:
        got = await self._store.get(key=key)
        if got.is_error():
            return Error(got.error)
        if got.ok is None:
            return Error(
                StoreError(StoreErrorKind.CONFLICT, f'{key} was compacted')
            )
        return self._decode(key, got.ok.value)

    def _decode(self, key: str, value: bytes) -> Result[Segment, StoreError]:
        decoded = self._codec.decode(data=value, value_type=Segment)
        if decoded.is_error():
            return Error(
                StoreError(
                    StoreErrorKind.UNAVAILABLE,
                    f'{key}: {decoded.error.detail}',
                )
            )
        segment: Segment = decoded.ok
        return Ok(segment)


def _join(left: Segment, right: Segment) -> Segment:
    """One segment with the covers and rows of both."""
    accounts = merge_accounting_rows((*left.accounting, *right.accounting))
    return Segment(
        tuple(sorted({*left.covers, *right.covers})),
        tuple(merge_rows((*left.rows, *right.rows)).values()),
        tuple(accounts.values()),
    )
