"""`ReportWriter` that copies rows to keepers and writes segments.

A keeper is a live peer in another zone that keeps copies of the rows until
they are stored, and writes them if the writing instance fails. For customers
whose home regions exclude the store, only accounting rows are written to the
store.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import Final
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination import home_regions
from teaselrock.coordination.events import Event
from teaselrock.coordination.events import Events
from teaselrock.coordination.events import NoEvents
from teaselrock.coordination.ports import Directory
from teaselrock.coordination.ports import DocumentCodec
from teaselrock.coordination.ports import MemberView
from teaselrock.coordination.ports import Peers
from teaselrock.coordination.ports import ReportRow
from teaselrock.coordination.ports import Store
from teaselrock.coordination.reporting.ended_row_outbox import EndedRowOutbox
from teaselrock.coordination.reporting.keeper import choose_keepers
from teaselrock.coordination.reporting.keeper import KeptRows
from teaselrock.coordination.reporting.messages import EndedRows
from teaselrock.coordination.reporting.messages import EndedRowsAck
from teaselrock.coordination.reporting.messages import KeptRowsQuery
from teaselrock.coordination.reporting.messages import RowAck
from teaselrock.coordination.reporting.messages import RowCopy
from teaselrock.coordination.reporting.messages import RowsStored
from teaselrock.coordination.reporting.row import OpenRow
from teaselrock.coordination.reporting.segments import SegmentLog
from teaselrock.state import Refusal
from teaselrock.state import RefusalCode
from teaselrock.state import Request
from teaselrock.state import Verdict
from teaselrock.state.configuration import CustomerEntry
from teaselrock.state.report import Row

# How long a response waits for each of up to two keepers to acknowledge a row.
ACK_TIMEOUT_S: Final = 0.05
MAX_MEMORY_BYTES: Final = 8_000_000
# A row with one attempt, including its share of the container.
BYTES_PER_ROW: Final = 1_000
MIN_FLUSH_INTERVAL_S: Final = 1.0
# Of all instances together; limits the calls to the store.
FLEET_FLUSHES_PER_SECOND: Final = 20.0
# After this many flushes without rows, 60 s at the shortest interval, an empty
# segment is written, which shows readers that an idle writer has nothing to
# flush.
MAX_IDLE_FLUSHES: Final = 60
RETRY_AFTER_S: Final = 1.0


class ReportOptions(NamedTuple):
    """Options of the report; `store_region` is the region of the store."""

    store_region: str


class SegmentReportWriter:
    """Report of one instance, both as writer and as keeper for peers."""

    def __init__(
        self,
        *,
        view: MemberView,
        peers: Peers,
        store: Store,
        codec: DocumentCodec,
        directory: Directory,
        wall_clock: Callable[[], float],
        rng: random.Random,
        incarnation: int,
        options: ReportOptions,
        events: Events = NoEvents(),
    ) -> None:
        self._events = events
        self._view = view
        self._peers = peers
        self._directory = directory
        self._wall_clock = wall_clock
        self._rng = rng
        self._incarnation = incarnation
        self._options = options
        self._kept_rows = KeptRows()

        def make_log(writer: str, incarnation: int) -> SegmentLog:
            return SegmentLog(
                writer=writer,
                incarnation=incarnation,
                store=store,
                codec=codec,
                wall_clock=wall_clock,
            )

        self._segment_log = make_log(view.own.instance_id, incarnation)
        # The store is outside the home regions of customers with accounting
        # rows, so their segments must not identify the instance: they have a
        # random writer name and incarnation 0.
        self._accounting_log = make_log(
            f'accounting-{rng.getrandbits(64):016x}', 0
        )
        self._sequence = 0
        self._open_rows: dict[int, OpenRow] = {}
        self._awaiting_ack: dict[int, OpenRow] = {}
        self._ended_rows: list[Row] = []
        self._unstored_sequences: set[int] = set()
        self._ended_outbox = EndedRowOutbox(peers=peers)
        self._keepers_by_homes: dict[
            frozenset[str] | None, tuple[str, ...]
        ] = {}
        self._keepers_epoch = -1
        self._keepers_used: set[str] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self._is_stopped = False
        self._idle_flushes = 0
        self._unconfirmed_rows = 0
        self._dropped_refusals = 0
        peers.register_handler(message_type=RowCopy, handler=self._on_copy)
        peers.register_handler(message_type=RowAck, handler=self._on_ack)
        peers.register_handler(
            message_type=EndedRows, handler=self._on_ended_rows
        )
        peers.register_handler(
            message_type=EndedRowsAck, handler=self._on_ended_rows_ack
        )
        peers.register_handler(
            message_type=KeptRowsQuery, handler=self._on_kept_rows_query
        )
        peers.register_handler(
            message_type=RowsStored, handler=self._on_stored
        )

    @property
    def unconfirmed_rows(self) -> int:
        """Rows whose response was sent without a keeper's acknowledgement."""
        return self._unconfirmed_rows

    @property
    def dropped_refusals(self) -> int:
        """Rows of refused requests dropped at the memory limit."""
        return self._dropped_refusals

    @property
    def rows_in_memory(self) -> int:
        """Number of rows in memory, including those kept for peers."""
        return (
            len(self._open_rows)
            + len(self._ended_rows)
            + self._segment_log.pending_rows
            + self._accounting_log.pending_rows
            + self._kept_rows.count
        )

    @property
    def _is_full(self) -> bool:
        return self.rows_in_memory * BYTES_PER_ROW >= MAX_MEMORY_BYTES

    @property
    def _accepts_copies(self) -> bool:
        return not (self._is_stopped or self._is_full)

    def start(self) -> None:
        """Start the tasks that flush rows and resend ended rows."""
        self._tasks = [
            asyncio.create_task(self._flush_periodically()),
            asyncio.create_task(self._ended_outbox.resend_periodically()),
        ]

    async def stop(self, *, timeout: float) -> None:
        """Flush all ended and kept rows, for up to `timeout` seconds."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        # The writers of the kept rows may fail before they detect that this
        # instance stopped, so it stores their rows.
        self._is_stopped = True
        self._ended_rows += self._kept_rows.take_all()
        self._make_segments(is_final=True)
        try:
            async with asyncio.timeout(timeout):
                while not await self._write_segments():
                    await asyncio.sleep(MIN_FLUSH_INTERVAL_S)
        except TimeoutError:
            pass

    def open_row(self, *, request: Request) -> Result[ReportRow, Refusal]:
        """Open a row and send a copy to the first keeper."""
        if self._is_full:
            self._events.emit(event=Event.REPORT_FULL)
            return Error(
                Refusal(
                    RefusalCode.REPORT_UNAVAILABLE,
                    Verdict.DID_NOT_RUN,
                    f'{self.rows_in_memory} report rows in memory, counted as'
                    f' {BYTES_PER_ROW} bytes each, reach the limit of'
                    f' {MAX_MEMORY_BYTES} bytes',
                    retry_after=RETRY_AFTER_S,
                )
            )
        customer = self._directory.document['customers'].get(request.customer)
        if customer is None:
            # The configuration has changed since the request was admitted.
            return Error(
                Refusal(
                    RefusalCode.UNKNOWN_CUSTOMER,
                    Verdict.DID_NOT_RUN,
                    f'unknown customer {request.customer}',
                )
            )
        row = OpenRow(
            # If the end of the request is never recorded, the row counts the
            # charged units.
            row=self._new_row(request, customer)._replace(units=request.units),
            customer=customer,
            end_handler=self,
            wall_clock=self._wall_clock,
            keepers=self._choose_keepers(customer),
            sent_at=asyncio.get_running_loop().time(),
        )
        self._open_rows[row.row.sequence] = row
        self._keepers_used.update(row.keepers)
        if row.keepers:
            self._send_copy(row.keepers[0], row.row)
        return Ok(row)

    def record_refusal(self, *, request: Request, refusal: Refusal) -> None:
        """Record a request that was refused before its row was opened."""
        if self._is_full:
            self._dropped_refusals += 1
            return
        entry = self._directory.document['customers'].get(request.customer)
        # An unknown customer's name is caller input and is not recorded.
        recorded_request = request if entry else request._replace(customer='')
        row = self._new_row(recorded_request, entry)
        row = row._replace(
            verdict=refusal.verdict,
            code=refusal.code.value,
            ended=row.arrived,
        )
        self._ended_rows.append(row)
        if entry:
            keepers = self._choose_keepers(entry)
            self._keepers_used.update(keepers)
            self._ended_outbox.add(keepers=keepers, row=row)

    async def end_row(self, *, row: OpenRow) -> None:
        """Queue the ended row and wait for a keeper's acknowledgement.

        Tries a second keeper; without any acknowledgement the row counts as
        unconfirmed.
        """
        ended = row.row
        self._ended_rows.append(ended)
        del self._open_rows[ended.sequence]
        self._ended_outbox.add(keepers=row.keepers, row=ended)
        loop = asyncio.get_running_loop()
        first_deadline = max(loop.time(), row.sent_at + ACK_TIMEOUT_S)
        if row.keepers and await self._wait_for_ack(row, first_deadline):
            return
        for second_keeper in row.keepers[1:2]:
            self._send_copy(second_keeper, ended)
            if await self._wait_for_ack(row, loop.time() + ACK_TIMEOUT_S):
                return
        self._unconfirmed_rows += 1
        self._events.emit(event=Event.KEEPER_UNCONFIRMED)

    async def _wait_for_ack(self, row: OpenRow, deadline: float) -> bool:
        self._awaiting_ack[row.row.sequence] = row
        try:
            async with asyncio.timeout_at(deadline):
                await row.acknowledged.wait()
        except TimeoutError:
            return False
        finally:
            self._awaiting_ack.pop(row.row.sequence, None)
        return True

    def _new_row(
        self, request: Request, customer: CustomerEntry | None
    ) -> Row:
        self._sequence += 1
        self._unstored_sequences.add(self._sequence)
        own = self._view.own
        return Row(
            own.instance_id,
            self._incarnation,
            self._sequence,
            request.customer,
            customer['plan'] if customer else '',
            request.service,
            own.zone.region,
            own.zone.name,
            round(self._wall_clock(), 3),
            accounting_number=self._accounting_number(customer),
        )

    def _choose_keepers(self, customer: CustomerEntry) -> tuple[str, ...]:
        """Return the customer's keepers, cached per membership epoch."""
        regions = customer.get('home_regions')
        homes = None if regions is None else frozenset(regions)
        if self._keepers_epoch != self._view.epoch:
            self._keepers_epoch = self._view.epoch
            self._keepers_by_homes.clear()
        if homes not in self._keepers_by_homes:
            self._keepers_by_homes[homes] = choose_keepers(
                customer=customer, own=self._view.own, live=self._view.live
            )
        return self._keepers_by_homes[homes]

    def _send_copy(self, keeper: str, row: Row) -> None:
        self._peers.send(to=keeper, message=RowCopy(row))

    async def _flush_periodically(self) -> None:
        while True:
            await asyncio.sleep(
                max(
                    MIN_FLUSH_INTERVAL_S,
                    len(self._view.live) / FLEET_FLUSHES_PER_SECOND,
                )
            )
            live = frozenset(member.instance_id for member in self._view.live)
            failed_rows = self._kept_rows.take_failed_writers(live)
            if failed_rows:
                # The rows are queued; a later write stores them.
                self._events.emit(event=Event.FAILED_WRITER_FLUSHED)
            self._ended_rows += failed_rows
            for writer, incarnation in self._kept_rows.writers_to_query():
                self._peers.send(to=writer, message=KeptRowsQuery(incarnation))
            self._idle_flushes += 1
            has_pending = (
                self._segment_log.has_pending
                or self._accounting_log.has_pending
            )
            if not has_pending and (
                self._ended_rows or self._idle_flushes >= MAX_IDLE_FLUSHES
            ):
                self._make_segments(is_final=False)
            await self._write_segments()

    def _make_segments(self, *, is_final: bool) -> None:
        """Turn the ended rows into segments."""
        rows, self._ended_rows = self._ended_rows, []
        self._idle_flushes = 0
        rows_outside_store_region = [
            row for row in rows if row.accounting_number
        ]
        rows_in_store_region = [
            row for row in rows if not row.accounting_number
        ]
        self._segment_log.add_segments(
            rows=rows_in_store_region, is_final=is_final
        )
        if rows_outside_store_region or (
            is_final and self._accounting_log.has_segments
        ):
            self._accounting_log.add_segments(
                rows=rows_outside_store_region,
                as_accounting=True,
                is_final=is_final,
            )

    def _accounting_number(self, customer: CustomerEntry | None) -> str:
        if customer is None or home_regions.is_region_allowed(
            customer=customer, region=self._options.store_region
        ):
            return ''
        return f'{self._rng.getrandbits(64):016x}'

    async def _write_segments(self) -> bool:
        """Write segments, notify keepers; returns whether all are stored."""
        stored = (
            await self._segment_log.write()
            + await self._accounting_log.write()
        )
        own = self._view.own.instance_id
        sequences = [
            row.sequence
            for row in stored
            if (row.writer, row.incarnation) == (own, self._incarnation)
        ]
        self._unstored_sequences.difference_update(sequences)
        self._ended_outbox.drop(sequences)
        if sequences:
            message = self._stored_message(sequences)
            for keeper in self._keepers_used:
                self._peers.send(to=keeper, message=message)
        is_failed = (
            self._segment_log.has_pending or self._accounting_log.has_pending
        )
        if is_failed:
            self._events.emit(event=Event.SEGMENT_FLUSH_FAILED)
        return not is_failed

    def _stored_message(self, sequences: Sequence[int]) -> RowsStored:
        below = min(self._unstored_sequences, default=self._sequence + 1)
        return RowsStored(
            self._incarnation,
            below,
            tuple(sequence for sequence in sequences if sequence >= below),
        )

    def _on_kept_rows_query(
        self, *, sender: str, message: KeptRowsQuery
    ) -> None:
        """Send the sequence number below which all rows are stored."""
        self._peers.send(to=sender, message=self._stored_message(()))

    def _on_copy(self, *, sender: str, message: RowCopy) -> None:
        row = message.row
        if row.writer != sender or not self._accepts_copies:
            return
        self._kept_rows.keep(row)
        self._peers.send(
            to=sender, message=RowAck(row.incarnation, row.sequence)
        )

    def _on_ack(self, *, sender: str, message: RowAck) -> None:
        row = self._open_rows.get(message.sequence) or self._awaiting_ack.get(
            message.sequence
        )
        if row is not None and message.incarnation == self._incarnation:
            row.acknowledged.set()

    def _on_ended_rows(self, *, sender: str, message: EndedRows) -> None:
        rows = [row for row in message.rows if row.writer == sender]
        if not rows or not self._accepts_copies:
            return
        for row in rows:
            self._kept_rows.keep(row)
        sequences = tuple(row.sequence for row in rows)
        self._peers.send(
            to=sender, message=EndedRowsAck(rows[0].incarnation, sequences)
        )

    def _on_ended_rows_ack(
        self, *, sender: str, message: EndedRowsAck
    ) -> None:
        if message.incarnation == self._incarnation:
            self._ended_outbox.drop(message.sequences)

    def _on_stored(self, *, sender: str, message: RowsStored) -> None:
        self._kept_rows.drop(sender, message)
