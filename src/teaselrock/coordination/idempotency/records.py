"""`IdempotencyRecords` on the store: claims through the shard's owner.

A claim goes to the shard's owner among the live members, which writes the
claims of all instances in one batch; without an answer in time, this
instance writes the shard itself. Only a confirmed claim lets a request run.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import random
from typing import Any
from typing import Final
from typing import Literal
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination import home_regions
from teaselrock.coordination import rendezvous
from teaselrock.coordination.events import Event
from teaselrock.coordination.events import Events
from teaselrock.coordination.events import NoEvents
from teaselrock.coordination.idempotency.messages import ClaimReply
from teaselrock.coordination.idempotency.messages import ClaimRequest
from teaselrock.coordination.idempotency.messages import RecordUpdate
from teaselrock.coordination.idempotency.writer import ShardWriter
from teaselrock.coordination.idempotency.writer import WriteBucket
from teaselrock.coordination.ports import Claim
from teaselrock.coordination.ports import Directory
from teaselrock.coordination.ports import DocumentCodec
from teaselrock.coordination.ports import MemberView
from teaselrock.coordination.ports import Peers
from teaselrock.coordination.ports import Store
from teaselrock.state import Refusal
from teaselrock.state import RefusalCode
from teaselrock.state import Request
from teaselrock.state import Verdict
from teaselrock.state.configuration import CustomerEntry
from teaselrock.state.records import RETENTION_S
from teaselrock.state.records import SHARD_COUNT
from teaselrock.state.records import ShardUpdate
from teaselrock.state.records import UpdateKind
from teaselrock.state.records import UpdateOutcome

# Longer than an owner that is short of store writes makes a claim wait:
# instances that then write the shard themselves would add to the load.
OWNER_TIMEOUT_S: Final = 1.0
# The owner answers ends of claims after its linger and its commit.
END_TIMEOUT_S: Final = 10.0
END_RETRY_S: Final = 5.0
MAX_ENDS: Final = 10_000
RETRY_AFTER_S: Final = 1.0
# Writes per second of all instances together; the store bears several
# hundred, and configuration and report need some of them.
FLEET_WRITES_PER_SECOND: Final = 200.0
CLAIM_LIMIT_S: Final = 4.0
# A process that was paused for longer must not send: its entry may have
# been pruned after the retention.
FENCE_S: Final = RETENTION_S / 4


class RecordOptions(NamedTuple):
    """Options of the records.

    `store_region` is the region of the store. `home_region_records` says
    whether a keyed digest may be stored for a customer whose home regions
    exclude it. `fence` is in seconds.
    """

    store_region: str
    home_region_records: Literal['digest', 'refuse'] = 'digest'
    fence: float = FENCE_S


class StoreClaim:
    """A confirmed claim."""

    def __init__(
        self,
        *,
        fence: float,
        end: Callable[[UpdateKind], None],
    ) -> None:
        self._fence = fence
        self._end = end

    @property
    def may_send(self) -> bool:
        """Whether the fence, on the loop's clock, is still ahead."""
        return asyncio.get_running_loop().time() < self._fence

    async def finish(self, *, verdict: Verdict) -> None:
        """Write the end in the background; `MAY_HAVE_RUN` stays claimed."""
        if verdict is Verdict.RAN:
            self._end(UpdateKind.COMPLETE)
        elif verdict is Verdict.DID_NOT_RUN:
            self._end(UpdateKind.RELEASE)


def _unavailable(detail: str) -> Refusal:
    return Refusal(
        RefusalCode.RECORD_UNAVAILABLE,
        Verdict.DID_NOT_RUN,
        detail,
        retry_after=RETRY_AFTER_S,
    )


# The configuration may change between admission and claim.
UNKNOWN_CUSTOMER: Final = Refusal(
    RefusalCode.UNKNOWN_CUSTOMER, Verdict.DID_NOT_RUN, 'unknown customer'
)
REFUSALS: Final = {
    UpdateOutcome.IN_USE: Refusal(
        RefusalCode.KEY_IN_USE,
        Verdict.MAY_HAVE_RUN,
        'a request with this idempotency key was started',
    ),
    UpdateOutcome.COMPLETED: Refusal(
        RefusalCode.KEY_COMPLETED,
        Verdict.RAN,
        'a request with this idempotency key has run',
    ),
    UpdateOutcome.FULL: _unavailable('the idempotency records are full'),
    UpdateOutcome.UNAVAILABLE: _unavailable('the record could not be written'),
    UpdateOutcome.UNCERTAIN: _unavailable('the record could not be confirmed'),
}


class StoreIdempotencyRecords:
    """Idempotency records of one instance."""

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
        options: RecordOptions,
        events: Events = NoEvents(),
    ) -> None:
        self._events = events
        self._view = view
        self._peers = peers
        self._store = store
        self._codec = codec
        self._directory = directory
        self._wall_clock = wall_clock
        self._rng = rng
        self._options = options
        self._bucket = WriteBucket(
            rate=lambda: FLEET_WRITES_PER_SECOND / max(1, len(view.live))
        )
        self._writers: dict[int, ShardWriter] = {}
        self._replies: dict[int, asyncio.Future[UpdateOutcome]] = {}
        self._number = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._ends = 0
        self._dropped_ends = 0
        peers.register_handler(
            message_type=ClaimRequest, handler=self._on_request
        )
        peers.register_handler(
            message_type=RecordUpdate, handler=self._on_request
        )
        peers.register_handler(message_type=ClaimReply, handler=self._on_reply)

    @property
    def pending_claim_ends(self) -> int:
        """Ends of claims that are not written yet."""
        return self._ends

    @property
    def dropped_claim_ends(self) -> int:
        """Ends that were not kept; their keys stay claimed."""
        return self._dropped_ends

    async def stop(self, *, timeout: float) -> None:
        """Wait up to `timeout` seconds for the ends, then stop writing."""
        for writer in self._writers.values():
            writer.flush()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout)
        for task in self._tasks:
            task.cancel()
        for writer in self._writers.values():
            writer.cancel()

    async def claim(self, *, request: Request) -> Result[Claim, Refusal]:
        """Claim the request's key, or say why it must not run."""
        customer = self._directory.document['customers'].get(request.customer)
        if customer is None:
            return Error(UNKNOWN_CUSTOMER)
        if (
            self._options.home_region_records == 'refuse'
            and not home_regions.is_region_allowed(
                customer=customer, region=self._options.store_region
            )
        ):
            return Error(_unavailable('records are outside the home regions'))
        loop = asyncio.get_running_loop()
        started = loop.time()
        digest = request.key_digest or b'\0'
        shard = digest[0] % SHARD_COUNT
        attempt = f'{self._rng.getrandbits(64):016x}'
        update = ShardUpdate(UpdateKind.CLAIM, digest[:16].hex(), attempt)

        def end(kind: UpdateKind) -> None:
            self._start_end(shard, update._replace(kind=kind), customer)

        outcome = UpdateOutcome.UNCERTAIN
        try:
            async with asyncio.timeout_at(
                min(request.deadline, started + CLAIM_LIMIT_S)
            ):
                outcome = await self._write(shard, update, customer)
        except TimeoutError:
            outcome = UpdateOutcome.UNCERTAIN
        finally:
            # Also after a cancellation: the claim may have been written.
            if outcome is UpdateOutcome.UNCERTAIN:
                end(UpdateKind.RELEASE)
        if outcome is not UpdateOutcome.DONE:
            self._report(outcome, shard)
            return Error(REFUSALS[outcome])
        return Ok(StoreClaim(fence=started + self._options.fence, end=end))

    def _report(self, outcome: UpdateOutcome, shard: int) -> None:
        if outcome is UpdateOutcome.FULL:
            self._events.emit(event=Event.SHARD_FULL, shard=shard)
        elif outcome in (UpdateOutcome.UNAVAILABLE, UpdateOutcome.UNCERTAIN):
            self._events.emit(
                event=Event.RECORD_UNAVAILABLE, detail=outcome.name.lower()
            )

    async def _write(
        self, shard: int, update: ShardUpdate, customer: CustomerEntry
    ) -> UpdateOutcome:
        """Write through the owner, else by this instance."""
        was_sent = False
        owner = self._owner(shard, customer)
        if owner != self._view.own.instance_id:
            was_sent, reply = await self._ask(owner, shard, update)
            if reply not in (
                UpdateOutcome.UNAVAILABLE,
                UpdateOutcome.UNCERTAIN,
            ):
                return reply
        outcome = await self._writer(shard).submit(update=update)
        if was_sent and outcome is UpdateOutcome.UNAVAILABLE:
            return UpdateOutcome.UNCERTAIN
        return outcome

    def _owner(self, shard: int, customer: CustomerEntry) -> str:
        """The shard's owner, or this instance if it is not a home."""
        own = self._view.own
        members = {
            member.instance_id: member.zone.region
            for member in self._view.live
        }
        owner = rendezvous.owner(members=members, key=f'idempotency/{shard}')
        if owner is None or not home_regions.is_region_allowed(
            customer=customer, region=members[owner]
        ):
            return own.instance_id
        return owner

    async def _ask(
        self, owner: str, shard: int, update: ShardUpdate
    ) -> tuple[bool, UpdateOutcome]:
        """Whether the request was sent, and what the owner answered."""
        self._number += 1
        number = self._number
        is_claim = update.kind is UpdateKind.CLAIM
        message_type = ClaimRequest if is_claim else RecordUpdate
        if not self._peers.send(
            to=owner, message=message_type(number, shard, update)
        ):
            return False, UpdateOutcome.UNAVAILABLE
        reply: asyncio.Future[UpdateOutcome] = (
            asyncio.get_running_loop().create_future()
        )
        self._replies[number] = reply
        try:
            async with asyncio.timeout(
                OWNER_TIMEOUT_S if is_claim else END_TIMEOUT_S
            ):
                return True, await reply
        except TimeoutError:
            return True, UpdateOutcome.UNCERTAIN
        finally:
            del self._replies[number]

    def _writer(self, shard: int) -> ShardWriter:
        writer = self._writers.get(shard)
        if writer is None:
            writer = ShardWriter(
                shard=shard,
                store=self._store,
                codec=self._codec,
                bucket=self._bucket,
                wall_clock=self._wall_clock,
            )
            self._writers[shard] = writer
        return writer

    def _start_end(
        self, shard: int, update: ShardUpdate, customer: CustomerEntry
    ) -> None:
        if self._ends >= MAX_ENDS:
            self._dropped_ends += 1
            return
        self._ends += 1
        self._spawn(self._finish_end(shard, update, customer))

    async def _finish_end(
        self, shard: int, update: ShardUpdate, customer: CustomerEntry
    ) -> None:
        """Write the end of a claim, however long the store is away."""
        try:
            while (
                await self._write(shard, update, customer)
                is not UpdateOutcome.DONE
            ):
                await asyncio.sleep(END_RETRY_S)
        finally:
            self._ends -= 1

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _on_request(
        self, *, sender: str, message: ClaimRequest | RecordUpdate
    ) -> None:
        if 0 <= message.shard < SHARD_COUNT:
            self._spawn(self._serve(sender, message))

    async def _serve(
        self, sender: str, message: ClaimRequest | RecordUpdate
    ) -> None:
        outcome = await self._writer(message.shard).submit(
            update=message.update
        )
        self._peers.send(
            to=sender, message=ClaimReply(message.number, outcome)
        )

    def _on_reply(self, *, sender: str, message: ClaimReply) -> None:
        reply = self._replies.get(message.number)
        if reply is not None and not reply.done():
            reply.set_result(message.outcome)
