"""Reads, compacts and expires the stored report.

The command line and the operators' tools use it; `state.report` summarises
the rows for operations and finance.
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
COMPACTED_KEY_PART: Final = 'compacted'


class RowQuery(NamedTuple):
    """Filter of rows; times are Unix seconds, '' matches any value.

    `max_flush_delay_s` is the longest time between the arrival of a request
    and the flush of its row, so segments are read until that long after
    `until`.
    """

    since: float
    until: float
    customer: str = ''
    service: str = ''
    region: str = ''
    zone: str = ''
    max_flush_delay_s: float = DAY_S

    def matches(self, row: Row) -> bool:
        """Whether a row matches the filter."""
        return (
            self.since <= row.arrived < self.until
            and self.customer in ('', row.customer)
            and self.service in ('', row.service)
            and self.region in ('', row.region)
            and self.zone in ('', row.zone)
        )


class ReportReadError(Exception):
    """The store or a segment could not be read; further rows are missing."""


class ReportReader:
    """Reads, compacts and expires the stored segments."""

    def __init__(self, *, store: Store, codec: DocumentCodec) -> None:
        self._store = store
        self._codec = codec

    async def rows(self, query: RowQuery) -> AsyncIterator[Row]:
        """Stream matching rows, each once; rows that have not ended come last.

        Raises `ReportReadError` if a segment cannot be read, rather than
        leave its rows out.
        """
        yielded: set[tuple[str, int, int]] = set()
        not_ended: dict[tuple[str, int, int], Row] = {}
        async for segment in self._read_segments(query):
            for row in segment.rows:
                if not query.matches(row) or row.number in yielded:
                    continue
                earlier = not_ended.pop(row.number, row)
                best = more_complete_row(earlier, row)
                if best.verdict is None:
                    not_ended[row.number] = best
                else:
                    yielded.add(row.number)
                    yield best
        for row in not_ended.values():
            yield row

    async def accounting(
        self, query: RowQuery
    ) -> AsyncIterator[AccountingRow]:
        """Stream accounting rows, each once.

        They have no time and no region, so of the query only the customer,
        the service and the days of the segments apply.
        """
        yielded: set[str] = set()
        not_ended: dict[str, AccountingRow] = {}
        async for segment in self._read_segments(query):
            for row in segment.accounting:
                if (
                    row.number in yielded
                    or query.customer not in ('', row.customer)
                    or query.service not in ('', row.service)
                ):
                    continue
                if row.verdict is None:
                    not_ended[row.number] = row
                    continue
                not_ended.pop(row.number, None)
                yielded.add(row.number)
                yield row
        for row in not_ended.values():
            yield row

    async def segment_coverage(
        self, query: RowQuery
    ) -> AsyncIterator[SegmentCoverage]:
        """Stream the coverage of the stored segments, for completeness."""
        async for segment in self._read_segments(query):
            for cover in segment.coverage:
                yield cover

    async def compact(self, *, day: str) -> Result[int, StoreError]:
        """Merge the segments of a past day.

        Returns the number of segments that were replaced. A merged segment
        is written before the others are deleted, so an interruption leaves
        duplicate rows, which readers merge.
        """
        listed = await self._list_keys(f'{REPORT_KEY_PREFIX}{day}/')
        if listed.is_error():
            return Error(listed.error)
        keys = [
            key
            for key in listed.ok
            if f'/{day}/{COMPACTED_KEY_PART}/' not in key
        ]
        batch: list[str] = []
        batch_segment = Segment(())
        for key in keys:
            read = await self._read_segment(key)
            if read.is_error():
                return Error(read.error)
            merged = _merge_segments(batch_segment, read.ok)
            size = len(self._codec.encode(value=merged))
            if size > MAX_SEGMENT_BYTES and batch:
                replaced = await self._replace_segments(
                    day, batch, batch_segment
                )
                if replaced.is_error():
                    return replaced
                batch = []
                merged = read.ok
            batch_segment = merged
            batch.append(key)
        if batch:
            replaced = await self._replace_segments(day, batch, batch_segment)
            if replaced.is_error():
                return replaced
        return Ok(len(keys))

    async def expire(
        self, *, now: float, keep_days: int
    ) -> Result[int, StoreError]:
        """Delete segments older than `keep_days` and return how many.

        `now` is in Unix seconds.
        """
        oldest = utc_day(now - keep_days * DAY_S)
        deleted = 0
        listed = await self._list_keys(
            REPORT_KEY_PREFIX, before=f'{REPORT_KEY_PREFIX}{oldest}/'
        )
        if listed.is_error():
            return Error(listed.error)
        for key in listed.ok:
            result = await self._store.delete(key=key, expected_version=None)
            if result.is_error():
                return Error(result.error)
            deleted += 1
        return Ok(deleted)

    async def _replace_segments(
        self, day: str, keys: list[str], segment: Segment
    ) -> Result[int, StoreError]:
        """Write a merged segment, then delete what it replaces.

        Its key is derived from its first segment. A second run after an
        interruption therefore overwrites it with at least the same rows.
        """
        name = (
            keys[0]
            .removeprefix(f'{REPORT_KEY_PREFIX}{day}/')
            .replace('/', '.')
        )
        target = f'{REPORT_KEY_PREFIX}{day}/{COMPACTED_KEY_PART}/{name}'
        existing = await self._store.get(key=target)
        if existing.is_error():
            return Error(existing.error)
        expected_version = 0
        if existing.ok is not None:
            read = self._decode_segment(existing.ok.key, existing.ok.value)
            if read.is_error():
                return Error(read.error)
            segment = _merge_segments(read.ok, segment)
            expected_version = existing.ok.version
        put = await self._store.put(
            key=target,
            value=self._codec.encode(value=segment),
            expected_version=expected_version,
        )
        if put.is_error():
            return Error(put.error)
        for key in keys:
            result = await self._store.delete(key=key, expected_version=None)
            if result.is_error():
                return Error(result.error)
        return Ok(len(keys))

    async def _read_segments(self, query: RowQuery) -> AsyncIterator[Segment]:
        day_at = query.since
        last = utc_day(query.until + query.max_flush_delay_s)
        while utc_day(day_at) <= last:
            listed = await self._list_keys(
                f'{REPORT_KEY_PREFIX}{utc_day(day_at)}/'
            )
            if listed.is_error():
                raise ReportReadError(listed.error.detail)
            for key in listed.ok:
                read = await self._read_segment(key)
                if read.is_error():
                    raise ReportReadError(read.error.detail)
                yield read.ok
            day_at += DAY_S

    async def _list_keys(
        self, prefix: str, before: str = ''
    ) -> Result[list[str], StoreError]:
        """List the keys under a prefix, those before `before` if given."""
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

    async def _read_segment(self, key: str) -> Result[Segment, StoreError]:
        stored = await self._store.get(key=key)
        if stored.is_error():
            return Error(stored.error)
        if stored.ok is None:
            return Error(
                StoreError(
                    StoreErrorKind.CONFLICT,
                    f'{key} was deleted during the read',
                )
            )
        return self._decode_segment(key, stored.ok.value)

    def _decode_segment(
        self, key: str, value: bytes
    ) -> Result[Segment, StoreError]:
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


def _merge_segments(left: Segment, right: Segment) -> Segment:
    """Merge two segments."""
    accounts = merge_accounting_rows((*left.accounting, *right.accounting))
    return Segment(
        tuple(sorted({*left.coverage, *right.coverage})),
        tuple(merge_rows((*left.rows, *right.rows)).values()),
        tuple(accounts.values()),
    )
