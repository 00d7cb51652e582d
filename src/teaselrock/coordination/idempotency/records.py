"""`IdempotencyRecords` in the store, written through the shard's owner.

A claim is sent to the shard's owner among the live members, which writes the
claims of all instances in one batch. If the owner does not reply in time,
this instance writes the shard itself. A request runs only after its claim is
confirmed. A claim ends when its key is completed or released.
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
from teaselrock.coordination.idempotency.messages import ClaimRequest
from teaselrock.coordination.idempotency.messages import RecordUpdate
from teaselrock.coordination.idempotency.messages import UpdateReply
from teaselrock.coordination.idempotency.writer import ShardWriter
from teaselrock.coordination.idempotency.writer import WriteRateLimiter
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

# Longer than a shard owner at its write rate limit delays a claim, since
# instances that write the shard themselves would add to the load of the store.
OWNER_REPLY_TIMEOUT_S: Final = 1.0
# The shard owner replies to ends of claims after its batch delay and commit.
END_REPLY_TIMEOUT_S: Final = 10.0
END_RETRY_INTERVAL_S: Final = 5.0
MAX_PENDING_END_WRITES: Final = 10_000
RETRY_AFTER_S: Final = 1.0
# Of all instances together. The store can handle several hundred writes per
# second, and configuration and report need some of them.
FLEET_WRITES_PER_SECOND: Final = 200.0
CLAIM_TIMEOUT_S: Final = 4.0
# A claim permits sending for this time. A process that was paused for longer
# must not send, because its entry may have been pruned after `RETENTION_S`.
SEND_WITHIN_S: Final = RETENTION_S / 4


class RecordOptions(NamedTuple):
    """Options of the idempotency records.

    `store_region` is the region of the store. For a customer whose home
    regions exclude it, `home_region_records` selects whether a keyed digest
    is stored or the request refused. A request may be sent for at most
    `send_within_s` after its claim was started.
    """

    store_region: str
    home_region_records: Literal['digest', 'refuse'] = 'digest'
    send_within_s: float = SEND_WITHIN_S


class StoreClaim:
    """A confirmed claim.

    The request may be sent until `send_until`, on the event loop's clock.
    """

    def __init__(
        self,
        *,
        send_until: float,
        queue_end_write: Callable[[UpdateKind], None],
    ) -> None:
        self._send_until = send_until
        self._queue_end_write = queue_end_write

    @property
    def may_send(self) -> bool:
        """Whether `send_until` has not been reached."""
        return asyncio.get_running_loop().time() < self._send_until

    async def finish(self, *, verdict: Verdict) -> None:
        """End the claim in the background; `MAY_HAVE_RUN` keeps it."""
        if verdict is Verdict.RAN:
            self._queue_end_write(UpdateKind.COMPLETE)
        elif verdict is Verdict.DID_NOT_RUN:
            self._queue_end_write(UpdateKind.RELEASE)


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
REFUSAL_BY_OUTCOME: Final = {
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
    UpdateOutcome.FULL: _unavailable(
        'the shard of this idempotency key is full'
    ),
    UpdateOutcome.UNAVAILABLE: _unavailable(
        'the idempotency record could not be written'
    ),
    UpdateOutcome.UNCERTAIN: _unavailable(
        'the idempotency record could not be confirmed'
    ),
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
        self._write_limiter = WriteRateLimiter(
            rate=lambda: FLEET_WRITES_PER_SECOND / max(1, len(view.live))
        )
        self._writers: dict[int, ShardWriter] = {}
        self._replies: dict[int, asyncio.Future[UpdateOutcome]] = {}
        self._request_number = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._pending_end_writes = 0
        self._dropped_end_writes = 0
        peers.register_handler(
            message_type=ClaimRequest, handler=self._on_request
        )
        peers.register_handler(
            message_type=RecordUpdate, handler=self._on_request
        )
        peers.register_handler(
            message_type=UpdateReply, handler=self._on_reply
        )

    @property
    def pending_end_writes(self) -> int:
        """Number of ends of claims that are not written yet."""
        return self._pending_end_writes

    @property
    def dropped_end_writes(self) -> int:
        """Number of ends of claims dropped because too many were pending.

        Their keys stay claimed.
        """
        return self._dropped_end_writes

    async def stop(self, *, timeout: float) -> None:
        """Wait up to `timeout` seconds for pending writes, then stop."""
        for writer in self._writers.values():
            writer.flush()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout)
        for task in self._tasks:
            task.cancel()
        for writer in self._writers.values():
            writer.cancel()

    async def claim(self, *, request: Request) -> Result[Claim, Refusal]:
        """Claim the request's key, or return why it must not run."""
        customer = self._directory.document['customers'].get(request.customer)
        if customer is None:
            return Error(UNKNOWN_CUSTOMER)
        if (
            self._options.home_region_records == 'refuse'
            and not home_regions.is_region_allowed(
                customer=customer, region=self._options.store_region
            )
        ):
            return Error(
                _unavailable(
                    'idempotency records are stored in region'
                    f' {self._options.store_region}, outside the home regions'
                )
            )
        loop = asyncio.get_running_loop()
        started = loop.time()
        # A request that needs a claim has a key digest.
        digest = request.key_digest or b'\0'
        shard = digest[0] % SHARD_COUNT
        claim_id = f'{self._rng.getrandbits(64):016x}'
        update = ShardUpdate(UpdateKind.CLAIM, digest[:16].hex(), claim_id)

        def queue_end_write(kind: UpdateKind) -> None:
            self._queue_end_write(shard, update._replace(kind=kind), customer)

        outcome = UpdateOutcome.UNCERTAIN
        try:
            async with asyncio.timeout_at(
                min(request.deadline, started + CLAIM_TIMEOUT_S)
            ):
                outcome = await self._write(shard, update, customer)
        except TimeoutError:
            outcome = UpdateOutcome.UNCERTAIN
        finally:
            # The claim may have been written, also after a cancellation, so
            # it is released.
            if outcome is UpdateOutcome.UNCERTAIN:
                queue_end_write(UpdateKind.RELEASE)
        if outcome is not UpdateOutcome.DONE:
            self._emit_failure(outcome, shard)
            return Error(REFUSAL_BY_OUTCOME[outcome])
        return Ok(
            StoreClaim(
                send_until=started + self._options.send_within_s,
                queue_end_write=queue_end_write,
            )
        )

    def _emit_failure(self, outcome: UpdateOutcome, shard: int) -> None:
        if outcome is UpdateOutcome.FULL:
            self._events.emit(event=Event.SHARD_FULL, shard=shard)
        elif outcome in (UpdateOutcome.UNAVAILABLE, UpdateOutcome.UNCERTAIN):
            self._events.emit(
                event=Event.RECORD_UNAVAILABLE, detail=outcome.name.lower()
            )

    async def _write(
        self, shard: int, update: ShardUpdate, customer: CustomerEntry
    ) -> UpdateOutcome:
        """Write through the shard owner, or directly if it does not confirm.

        If the write may have taken effect, the outcome is `UNCERTAIN`.
        """
        was_sent = False
        owner = self._owner_id(shard, customer)
        if owner != self._view.own.instance_id:
            was_sent, reply = await self._request_owner(owner, shard, update)
            if reply not in (
                UpdateOutcome.UNAVAILABLE,
                UpdateOutcome.UNCERTAIN,
            ):
                return reply
        outcome = await self._writer(shard).submit(update=update)
        if was_sent and outcome is UpdateOutcome.UNAVAILABLE:
            return UpdateOutcome.UNCERTAIN
        return outcome

    def _owner_id(self, shard: int, customer: CustomerEntry) -> str:
        """Return the id of the shard's owner.

        Returns this instance if the owner is outside the home regions.
        """
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

    async def _request_owner(
        self, owner: str, shard: int, update: ShardUpdate
    ) -> tuple[bool, UpdateOutcome]:
        """Return whether the message was sent, and the owner's outcome."""
        self._request_number += 1
        number = self._request_number
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
                OWNER_REPLY_TIMEOUT_S if is_claim else END_REPLY_TIMEOUT_S
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
                write_limiter=self._write_limiter,
                wall_clock=self._wall_clock,
            )
            self._writers[shard] = writer
        return writer

    def _queue_end_write(
        self, shard: int, update: ShardUpdate, customer: CustomerEntry
    ) -> None:
        if self._pending_end_writes >= MAX_PENDING_END_WRITES:
            self._dropped_end_writes += 1
            return
        self._pending_end_writes += 1
        self._start_task(self._write_claim_end(shard, update, customer))

    async def _write_claim_end(
        self, shard: int, update: ShardUpdate, customer: CustomerEntry
    ) -> None:
        """Retry until the end of a claim is written."""
        try:
            while (
                await self._write(shard, update, customer)
                is not UpdateOutcome.DONE
            ):
                await asyncio.sleep(END_RETRY_INTERVAL_S)
        finally:
            self._pending_end_writes -= 1

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _on_request(
        self, *, sender: str, message: ClaimRequest | RecordUpdate
    ) -> None:
        if 0 <= message.shard < SHARD_COUNT:
            self._start_task(self._write_and_reply(sender, message))

    async def _write_and_reply(
        self, sender: str, message: ClaimRequest | RecordUpdate
    ) -> None:
        outcome = await self._writer(message.shard).submit(
            update=message.update
        )
        self._peers.send(
            to=sender, message=UpdateReply(message.number, outcome)
        )

    def _on_reply(self, *, sender: str, message: UpdateReply) -> None:
        reply = self._replies.get(message.number)
        if reply is not None and not reply.done():
            reply.set_result(message.outcome)
