"""Batches the messages of a borrower to the allocators.

Returned leases are sent in the next iteration of the event loop, or earlier
with a slot request for the same group. Outcomes that are not urgent are sent
with the next renewal. Each return is sent in two successive messages, since a
lost one blocks its unit until the lease expires. Returns that the control
budget rejects are kept for the next message.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import math
from typing import Final
from typing import NamedTuple

from teaselrock.coordination.slots.loopback import LoopbackPeers
from teaselrock.coordination.slots.messages import ServerOutcomes
from teaselrock.coordination.slots.messages import SlotReturn
from teaselrock.coordination.slots.messages import SlotUpdate
from teaselrock.coordination.slots.name_codes import GroupCodes
from teaselrock.coordination.slots.options import ServerGroup
from teaselrock.coordination.slots.options import SlotOptions
from teaselrock.state import AttemptOutcome
from teaselrock.state import FailureKind
from teaselrock.state import LoadReport

OVERLOAD_FAILURES: Final = frozenset(
    {
        FailureKind.NOT_ACCEPTED,
        FailureKind.NO_RESPONSE,
        FailureKind.INVALID_RESPONSE,
        FailureKind.TIMEOUT,
    }
)


class Destination(NamedTuple):
    """An allocator and the group that a message is about."""

    allocator: str
    group: ServerGroup


class _OutcomeTotals:
    """Totals of the outcomes at one start of a server."""

    def __init__(self) -> None:
        self.successes = 0
        self.latency_s = 0.0
        self.overloads = 0
        self.errors = 0
        self.refused = 0
        self.load: LoadReport | None = None
        self.load_time = 0.0

    def add(self, outcome: AttemptOutcome, now: float) -> None:
        if outcome.failure is None:
            self.successes += 1
            self.latency_s += outcome.latency
        elif outcome.failure in OVERLOAD_FAILURES:
            self.overloads += 1
        elif outcome.failure is FailureKind.SERVER_ERROR:
            self.errors += 1
        elif outcome.failure is FailureKind.CONNECT:
            self.refused += 1
        if outcome.load is not None:
            self.load = outcome.load
            self.load_time = now

    def to_message(
        self, server_id: str, start_id: str, now: float
    ) -> ServerOutcomes:
        load = self.load
        return ServerOutcomes(
            server_id,
            start_id,
            self.successes,
            round(self.latency_s * 1000, 2),
            self.overloads,
            self.errors,
            self.refused,
            load.start_id if load is not None else '',
            load.state.value if load is not None else '',
            load.capacity if load is not None else 0,
            load.in_flight if load is not None else 0,
            math.ceil((now - self.load_time) * 1000) if load else 0,
        )


class _Batch:
    def __init__(self) -> None:
        self.returned: list[int] = []
        self.totals: dict[tuple[str, str], _OutcomeTotals] = {}
        self.is_urgent = False
        self.due: float | None = None
        self.timer: asyncio.TimerHandle | None = None


class Outbox:
    """Batches by destination that wait to be sent."""

    def __init__(
        self,
        *,
        peers: LoopbackPeers,
        group_codes: GroupCodes,
        options: SlotOptions,
    ) -> None:
        self._peers = peers
        self._group_codes = group_codes
        self._options = options
        self._batches: dict[Destination, _Batch] = {}
        self._unrepeated_returns: dict[Destination, tuple[int, ...]] = {}
        self._number = 0

    @property
    def next_update_number(self) -> int:
        """Number of the next update that needs a confirmation."""
        return self._number + 1

    def return_lease(self, *, to: Destination, number: int) -> None:
        """Return a lease, or withdraw a slot request."""
        self._batch(to).returned.append(number)
        self._schedule(to, self._options.return_batch_s)

    def add_outcome(
        self,
        *,
        to: Destination,
        server_id: str,
        start_id: str,
        outcome: AttemptOutcome,
        is_urgent: bool,
    ) -> None:
        """Add an outcome; an urgent one does not wait for the renewal."""
        batch = self._batch(to)
        batch.totals.setdefault((server_id, start_id), _OutcomeTotals()).add(
            outcome, asyncio.get_running_loop().time()
        )
        if is_urgent:
            batch.is_urgent = True
            self._schedule(to, self._options.outcome_batch_s)

    def flush(self, *, to: Destination, renewed: Sequence[int] = ()) -> int:
        """Send the batch with renewals; returns the number of the update.

        The number is 0 if the update needs no confirmation.
        """
        batch = self._batches.pop(to, None) or _Batch()
        if batch.timer is not None:
            batch.timer.cancel()
        number = 0
        if renewed or batch.is_urgent:
            self._number += 1
            number = self._number
        now = asyncio.get_running_loop().time()
        self._send_with_returns(
            to,
            lambda returned: SlotUpdate(
                number,
                self._group_codes.code_of(to.group),
                tuple(renewed),
                returned,
                tuple(
                    total.to_message(server_id, start_id, now)
                    for (server_id, start_id), total in batch.totals.items()
                ),
            ),
            batch,
        )
        return number

    def send_request(
        self,
        *,
        to: Destination,
        build: Callable[[tuple[int, ...]], NamedTuple],
    ) -> None:
        """Send a message that `build` makes with the returned leases."""
        batch = self._batch(to)
        if batch.is_urgent:
            self.flush(to=to)
            batch = self._batch(to)
        self._send_with_returns(to, build, batch)

    def _send_with_returns(
        self,
        to: Destination,
        build: Callable[[tuple[int, ...]], NamedTuple],
        batch: _Batch,
    ) -> None:
        returned = tuple(batch.returned)
        batch.returned.clear()
        repeated = self._unrepeated_returns.pop(to, ())
        sent = self._peers.send(
            to=to.allocator, message=build(returned + repeated)
        )
        if not sent:
            self._batch(to).returned += returned + repeated
            self._schedule(to, self._options.retry_interval_s)
        elif returned and to.allocator != self._peers.own_id:
            self._unrepeated_returns[to] = returned

    def repeat_returns(self) -> None:
        """Repeat the returns that no later message has repeated yet."""
        for to in list(self._unrepeated_returns):
            self._send_returns_alone(to)

    def flush_all(self) -> None:
        """Send all batches, before a stop."""
        for to in list(self._batches):
            self.flush(to=to)

    def _batch(self, to: Destination) -> _Batch:
        return self._batches.setdefault(to, _Batch())

    def _schedule(self, to: Destination, delay: float) -> None:
        loop = asyncio.get_running_loop()
        batch = self._batch(to)
        due = loop.time() + delay
        if batch.due is not None and batch.due <= due:
            return
        if batch.timer is not None:
            batch.timer.cancel()
        batch.due = due
        batch.timer = loop.call_later(delay, self._flush_due, to)

    def _send_returns_alone(self, to: Destination) -> None:
        self._send_with_returns(
            to,
            lambda returned: SlotReturn(
                self._group_codes.code_of(to.group), returned
            ),
            self._batch(to),
        )

    def _flush_due(self, to: Destination) -> None:
        batch = self._batch(to)
        batch.due = None
        if batch.is_urgent:
            self.flush(to=to)
        elif batch.returned:
            self._send_returns_alone(to)
