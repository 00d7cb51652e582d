"""`ReportWriter`: rows copied to a keeper and flushed as segments.

The keeper is a live peer in another zone. The rows of customers whose home
regions exclude the store go to it as accounting rows only. Uses `keeper`,
`segments` and `row` of this package.
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
from teaselrock.coordination.reporting.ends import EndOutbox
from teaselrock.coordination.reporting.keeper import choose_keepers
from teaselrock.coordination.reporting.keeper import Keeper
from teaselrock.coordination.reporting.messages import EndedRows
from teaselrock.coordination.reporting.messages import EndedRowsAck
from teaselrock.coordination.reporting.messages import HeldRowsQuery
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

ACK_WAIT_S: Final = 0.05
MEMORY_BYTES: Final = 8_000_000
# Memory of a row with one attempt, with its container.
ROW_BYTES: Final = 1_000
MIN_FLUSH_S: Final = 1.0
FLEET_FLUSHES_PER_SECOND: Final = 20.0
# An empty segment shows readers that an idle writer has nothing to flush.
IDLE_FLUSHES: Final = 60
RETRY_AFTER_S: Final = 1.0


class ReportOptions(NamedTuple):
    """Options of the report: the region of the store."""

    store_region: str


class SegmentReportWriter:
    """The report of one instance, as writer and as keeper."""

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
        self._keeper = Keeper()

        def log(writer: str, incarnation: int) -> SegmentLog:
            return SegmentLog(
                writer=writer,
                incarnation=incarnation,
                store=store,
                codec=codec,
                wall_clock=wall_clock,
            )

        self._log = log(view.own.instance_id, incarnation)
        # Name and incarnation of this writer do not tell the instance.
        self._accounts = log(f'accounting-{rng.getrandbits(64):016x}', 0)
        self._sequence = 0
        self._open: dict[int, OpenRow] = {}
        self._waiting: dict[int, OpenRow] = {}
        self._ended: list[Row] = []
        self._unstored: set[int] = set()
        self._ends = EndOutbox(peers=peers)
        self._chosen: dict[frozenset[str] | None, tuple[str, ...]] = {}
        self._chosen_epoch = -1
        self._keepers_used: set[str] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self._is_stopped = False
        self._idle = 0
        self._unconfirmed = 0
        self._dropped = 0
        peers.register_handler(message_type=RowCopy, handler=self._on_copy)
        peers.register_handler(message_type=RowAck, handler=self._on_ack)
        peers.register_handler(message_type=EndedRows, handler=self._on_end)
        peers.register_handler(
            message_type=EndedRowsAck, handler=self._on_end_ack
        )
        peers.register_handler(
            message_type=HeldRowsQuery, handler=self._on_held
        )
        peers.register_handler(
            message_type=RowsStored, handler=self._on_stored
        )

    @property
    def unconfirmed_rows(self) -> int:
        """Rows whose answer was sent without a keeper's acknowledgement."""
        return self._unconfirmed

    @property
    def dropped_refusals(self) -> int:
        """Rows of refused requests that found no memory."""
        return self._dropped

    @property
    def held_rows(self) -> int:
        """Rows in memory, own and kept ones."""
        return (
            len(self._open)
            + len(self._ended)
            + self._log.pending_rows
            + self._accounts.pending_rows
            + self._keeper.count
        )

    @property
    def _is_full(self) -> bool:
        return self.held_rows * ROW_BYTES >= MEMORY_BYTES

    @property
    def _may_keep(self) -> bool:
        return not (self._is_stopped or self._is_full)

    def start(self) -> None:
        """Start to flush and to send ends to keepers."""
        self._tasks = [
            asyncio.create_task(self._flush_regularly()),
            asyncio.create_task(self._ends.repeat_regularly()),
        ]

    async def stop(self, *, timeout: float) -> None:
        """Flush what is there, trying for up to `timeout` seconds."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        # Writers may die before they learn that this keeper has gone.
        self._is_stopped = True
        self._ended += self._keeper.take_all()
        self._cut(is_final=True)
        try:
            async with asyncio.timeout(timeout):
                while not await self._write():
                    await asyncio.sleep(MIN_FLUSH_S)
        except TimeoutError:
            pass

    def open_row(self, *, request: Request) -> Result[ReportRow, Refusal]:
        """Open a row and start its copy to the keeper."""
        if self._is_full:
            self._events.emit(event=Event.REPORT_FULL)
            return Error(
                Refusal(
                    RefusalCode.REPORT_UNAVAILABLE,
                    Verdict.DID_NOT_RUN,
                    'the report cannot take more rows now',
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
                    'unknown customer',
                )
            )
        row = OpenRow(
            # A request whose end is unknown has consumed what was charged.
            row=self._new_row(request, customer)._replace(units=request.units),
            customer=customer,
            keeping=self,
            wall_clock=self._wall_clock,
            keepers=self._choose_keepers(customer),
            sent_at=asyncio.get_running_loop().time(),
        )
        self._open[row.row.sequence] = row
        self._keepers_used.update(row.keepers)
        if row.keepers:
            self._copy(row.keepers[0], row.row)
        return Ok(row)

    def record_refusal(self, *, request: Request, refusal: Refusal) -> None:
        """Record a request that was refused before admission."""
        if self._is_full:
            self._dropped += 1
            return
        entry = self._directory.document['customers'].get(request.customer)
        # The name of an unknown customer is the caller's, not ours.
        known = request if entry else request._replace(customer='')
        row = self._new_row(known, entry)
        row = row._replace(
            verdict=refusal.verdict,
            code=refusal.code.value,
            ended=row.arrived,
        )
        self._ended.append(row)
        if entry:
            keepers = self._choose_keepers(entry)
            self._keepers_used.update(keepers)
            self._ends.add(keepers=keepers, row=row)

    async def end(self, *, row: OpenRow) -> None:
        """Queue the ended row and wait for a keeper's acknowledgement."""
        ended = row.row
        self._ended.append(ended)
        del self._open[ended.sequence]
        self._ends.add(keepers=row.keepers, row=ended)
        loop = asyncio.get_running_loop()
        first = max(loop.time(), row.sent_at + ACK_WAIT_S)
        if row.keepers and await self._is_kept(row, first):
            return
        for second in row.keepers[1:2]:
            self._copy(second, ended)
            if await self._is_kept(row, loop.time() + ACK_WAIT_S):
                return
        self._unconfirmed += 1
        self._events.emit(event=Event.KEEPER_UNCONFIRMED)

    async def _is_kept(self, row: OpenRow, until: float) -> bool:
        self._waiting[row.row.sequence] = row
        try:
            async with asyncio.timeout_at(until):
                await row.acknowledged.wait()
        except TimeoutError:
            return False
        finally:
            self._waiting.pop(row.row.sequence, None)
        return True

    def _new_row(
        self, request: Request, customer: CustomerEntry | None
    ) -> Row:
        self._sequence += 1
        self._unstored.add(self._sequence)
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
        """Two peers in other zones, of this region if there are any."""
        regions = customer.get('home_regions')
        homes = None if regions is None else frozenset(regions)
        if self._chosen_epoch != self._view.epoch:
            self._chosen_epoch = self._view.epoch
            self._chosen.clear()
        if homes not in self._chosen:
            self._chosen[homes] = choose_keepers(
                customer=customer, own=self._view.own, live=self._view.live
            )
        return self._chosen[homes]

    def _copy(self, keeper: str, row: Row) -> None:
        self._peers.send(to=keeper, message=RowCopy(row))

    async def _flush_regularly(self) -> None:
        while True:
            await asyncio.sleep(
                max(
                    MIN_FLUSH_S,
                    len(self._view.live) / FLEET_FLUSHES_PER_SECOND,
                )
            )
            live = frozenset(m.instance_id for m in self._view.live)
            taken = self._keeper.take_failed(live)
            if taken:
                self._events.emit(event=Event.FAILED_WRITER_FLUSHED)
            self._ended += taken
            for writer, incarnation in self._keeper.long_held():
                self._peers.send(to=writer, message=HeldRowsQuery(incarnation))
            self._idle += 1
            has_pending = self._log.has_pending or self._accounts.has_pending
            if not has_pending and (self._ended or self._idle >= IDLE_FLUSHES):
                self._cut(is_final=False)
            await self._write()

    def _cut(self, *, is_final: bool) -> None:
        """Make segments of the ended rows."""
        rows, self._ended = self._ended, []
        self._idle = 0
        outside = [row for row in rows if row.accounting_number]
        inside = [row for row in rows if not row.accounting_number]
        self._log.cut(rows=inside, is_final=is_final)
        if outside or (is_final and self._accounts.is_used):
            self._accounts.cut(
                rows=outside, accounting=True, is_final=is_final
            )

    def _accounting_number(self, customer: CustomerEntry | None) -> str:
        if customer is None or home_regions.is_region_allowed(
            customer=customer, region=self._options.store_region
        ):
            return ''
        return f'{self._rng.getrandbits(64):016x}'

    async def _write(self) -> bool:
        """Write the segments, tell the keepers; whether all is stored."""
        stored = await self._log.write() + await self._accounts.write()
        own = self._view.own.instance_id
        sequences = [
            row.sequence
            for row in stored
            if (row.writer, row.incarnation) == (own, self._incarnation)
        ]
        self._unstored.difference_update(sequences)
        self._ends.drop(sequences)
        if sequences:
            message = self._stored_message(sequences)
            for keeper in self._keepers_used:
                self._peers.send(to=keeper, message=message)
        is_failed = self._log.has_pending or self._accounts.has_pending
        if is_failed:
            self._events.emit(event=Event.SEGMENT_FLUSH_FAILED)
        return not is_failed

    def _stored_message(self, sequences: Sequence[int]) -> RowsStored:
        below = min(self._unstored, default=self._sequence + 1)
        return RowsStored(
            self._incarnation,
            below,
            tuple(x for x in sequences if x >= below),
        )

    def _on_held(self, *, sender: str, message: HeldRowsQuery) -> None:
        """Tell the keeper what is stored, and this incarnation."""
        self._peers.send(to=sender, message=self._stored_message(()))

    def _on_copy(self, *, sender: str, message: RowCopy) -> None:
        row = message.row
        if row.writer != sender or not self._may_keep:
            return
        self._keeper.keep(row)
        self._peers.send(
            to=sender, message=RowAck(row.incarnation, row.sequence)
        )

    def _on_ack(self, *, sender: str, message: RowAck) -> None:
        row = self._open.get(message.sequence) or self._waiting.get(
            message.sequence
        )
        if row is not None and message.incarnation == self._incarnation:
            row.acknowledged.set()

    def _on_end(self, *, sender: str, message: EndedRows) -> None:
        rows = [row for row in message.rows if row.writer == sender]
        if not rows or not self._may_keep:
            return
        for row in rows:
            self._keeper.keep(row)
        sequences = tuple(row.sequence for row in rows)
        self._peers.send(
            to=sender, message=EndedRowsAck(rows[0].incarnation, sequences)
        )

    def _on_end_ack(self, *, sender: str, message: EndedRowsAck) -> None:
        if message.incarnation == self._incarnation:
            self._ends.drop(message.sequences)

    def _on_stored(self, *, sender: str, message: RowsStored) -> None:
        self._keeper.drop(sender, message)
