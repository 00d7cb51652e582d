"""Manages a borrower's leases: renewal, return and recall.

`SlotBorrower` uses the leases; the manager exchanges the messages about them
with the allocators.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Final
from typing import NamedTuple

from teaselrock.coordination.slots.lease_table import Lease
from teaselrock.coordination.slots.lease_table import LeaseTable
from teaselrock.coordination.slots.loopback import LoopbackPeers
from teaselrock.coordination.slots.messages import HeldLease
from teaselrock.coordination.slots.messages import HeldLeases
from teaselrock.coordination.slots.messages import LeaseQuery
from teaselrock.coordination.slots.messages import ServerLimit
from teaselrock.coordination.slots.messages import SlotConfirm
from teaselrock.coordination.slots.messages import SlotRecall
from teaselrock.coordination.slots.name_codes import GroupCodes
from teaselrock.coordination.slots.name_codes import matches_code
from teaselrock.coordination.slots.name_codes import NameCode
from teaselrock.coordination.slots.options import ServerGroup
from teaselrock.coordination.slots.options import SlotOptions
from teaselrock.coordination.slots.outbox import Destination
from teaselrock.coordination.slots.outbox import Outbox
from teaselrock.coordination.slots.views import GroupAllocators
from teaselrock.coordination.slots.views import ServerCatalogue
from teaselrock.state import AttemptOutcome
from teaselrock.state import BackendServer
from teaselrock.state import FailureKind
from teaselrock.state import ServerState

# Failures after which the server's start is assumed to have ended.
BROKEN_START_FAILURES: Final = frozenset(
    {FailureKind.CONNECT, FailureKind.SERVER_CHANGED, FailureKind.NO_RESPONSE}
)


class _SentRenewals(NamedTuple):
    """Renewals of one update that await its confirmation.

    `sent_at` is a loop time.
    """

    sent_at: float
    numbers: tuple[int, ...]


class _FailedStart(NamedTuple):
    """A start of a server that has failed, so its leases are not used.

    New leases of it are declined until the update numbered `update` or a
    later one is confirmed, at most until the loop time `until`.
    """

    start_id: str
    update: int
    until: float


class LeaseManager:
    """Manages the leases of one instance as a borrower."""

    def __init__(
        self,
        *,
        catalogue: ServerCatalogue,
        allocators: GroupAllocators,
        lease_table: LeaseTable,
        group_codes: GroupCodes,
        outbox: Outbox,
        peers: LoopbackPeers,
        options: SlotOptions,
        release_group: Callable[[ServerGroup], tuple[ServerLimit, ...]],
    ) -> None:
        self._catalogue = catalogue
        self._allocators = allocators
        self._lease_table = lease_table
        self._group_codes = group_codes
        self._outbox = outbox
        self._peers = peers
        self._options = options
        self._release_group = release_group
        self._server_limits: dict[str, ServerLimit] = {}
        self._start_ids: dict[str, str] = {}
        self._group_by_server: dict[str, ServerGroup] = {}
        self._failed_starts: dict[str, _FailedStart] = {}
        self._unconfirmed_renewals: dict[int, _SentRenewals] = {}
        self._use_counts: Counter[str] = Counter()
        self._task: asyncio.Task[None] | None = None
        self.on_takeover: Callable[[ServerGroup, str], None] | None = None
        peers.register_handler(
            message_type=SlotConfirm, handler=self._on_confirm
        )
        peers.register_handler(
            message_type=SlotRecall, handler=self._on_recall
        )
        peers.register_handler(message_type=LeaseQuery, handler=self._on_query)

    def start(self) -> None:
        """Start the renewal task."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Return all leases."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for lease in self._lease_table.all():
            self.return_lease(lease)
        self._outbox.flush_all()
        self._outbox.repeat_returns()

    def slots_in_use(self, service: str) -> int:
        """Number of slots of a service that are in use now."""
        return self._use_counts[service]

    def begin_use(self, lease: Lease) -> None:
        """Count a slot of a lease as in use."""
        self._use_counts[lease.group.service] += 1

    def end_use(self, lease: Lease) -> None:
        """Count a slot of a lease as no longer in use."""
        self._use_counts[lease.group.service] -= 1

    def has_listed_server(self, lease: Lease) -> bool:
        """Whether the server of a lease may get new requests."""
        view = self._catalogue.view(lease.group.service)
        return lease.server.server_id in view.servers

    def is_start_failed(self, server: BackendServer, start_id: str) -> bool:
        """Whether grants for a start are declined because it has failed."""
        failed_start = self._failed_starts.get(server.server_id)
        if failed_start is None:
            return False
        if failed_start.until <= asyncio.get_running_loop().time():
            del self._failed_starts[server.server_id]
            return False
        return start_id in ('', failed_start.start_id)

    def record_limit(self, lease: Lease, limit: int) -> None:
        """Keep a server's limit for the answer to a later `LeaseQuery`."""
        server_id = lease.server.server_id
        self._group_by_server[server_id] = lease.group
        if lease.start_id:
            self._server_limits[server_id] = ServerLimit(
                server_id, lease.start_id, limit
            )

    def resolve_start_code(self, server_id: str, code: NameCode) -> str | None:
        """The start id that a code stands for, None if it is not resolved."""
        if isinstance(code, str):
            return code
        start_id = self._start_ids.get(server_id)
        if start_id is not None and matches_code(name=start_id, code=code):
            return start_id
        return None

    def return_lease(self, lease: Lease) -> None:
        """Return a lease to its allocator."""
        self._lease_table.drop(lease)
        self._outbox.return_lease(
            to=Destination(lease.allocator, lease.group), number=lease.number
        )

    def record_outcome(self, lease: Lease, outcome: AttemptOutcome) -> None:
        """Report an outcome; stop using the leases of a failed start."""
        server_id = lease.server.server_id
        self._start_ids[server_id] = lease.start_id
        limit = self._server_limits.get(server_id)
        load = outcome.load
        is_ramping = (
            limit is None
            or limit.limit < lease.server.concurrency
            or lease.start_id == ''
            or (load is not None and load.start_id != lease.start_id)
            or (load is not None and load.state is not ServerState.WARM)
        )
        is_bad = outcome.failure not in (None, FailureKind.CANCELLED)
        self._outbox.add_outcome(
            to=Destination(lease.allocator, lease.group),
            server_id=server_id,
            start_id=lease.start_id,
            outcome=outcome,
            is_urgent=is_ramping or is_bad,
        )
        if outcome.failure in BROKEN_START_FAILURES:
            self._mark_start_failed(lease)
        elif is_bad:
            lease.uses_left = 0
        elif lease.start_id == '' and outcome.load is not None:
            lease.start_id = outcome.load.start_id

    def _mark_start_failed(self, failed: Lease) -> None:
        """Stop using a start's leases until an update is confirmed."""
        server_id = failed.server.server_id
        self._failed_starts[server_id] = _FailedStart(
            failed.start_id,
            self._outbox.next_update_number,
            asyncio.get_running_loop().time() + self._options.renew_interval_s,
        )
        self._server_limits.pop(server_id, None)
        for lease in self._lease_table.in_group(failed.group):
            if lease.server.server_id == server_id and (
                lease.start_id in ('', failed.start_id)
            ):
                lease.is_start_failed = True
                if not lease.in_use:
                    self.return_lease(lease)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._options.renew_interval_s)
            self._renew()

    def _renew(self) -> None:
        now = asyncio.get_running_loop().time()
        renewed_numbers: dict[Destination, list[int]] = {}
        for lease in self._lease_table.all():
            should_return = not lease.in_use and (
                now - lease.idle_since > self._options.idle_timeout_s
                or not lease.is_usable(now)
                or not self.has_listed_server(lease)
            )
            if should_return:
                self.return_lease(lease)
                continue
            # The first renewal makes a new allocator set up the group and
            # send lease queries.
            allocator = (
                self._allocators.allocator_of(lease.group) or lease.allocator
            )
            renewed_numbers.setdefault(
                Destination(allocator, lease.group), []
            ).append(lease.number)
        sent_after = now - self._options.lease_s
        self._unconfirmed_renewals = {
            number: renewals
            for number, renewals in self._unconfirmed_renewals.items()
            if renewals.sent_at > sent_after
        }
        for to, numbers in renewed_numbers.items():
            number = self._outbox.flush(to=to, renewed=numbers)
            self._unconfirmed_renewals[number] = _SentRenewals(
                now, tuple(numbers)
            )
        self._outbox.repeat_returns()

    def _on_confirm(self, *, sender: str, message: SlotConfirm) -> None:
        for server_id, failed_start in list(self._failed_starts.items()):
            if failed_start.update <= message.number:
                del self._failed_starts[server_id]
        for limit in message.limits:
            self._server_limits[limit.server_id] = limit
        renewals = self._unconfirmed_renewals.pop(message.number, None)
        if renewals is None:
            return
        for number in renewals.numbers:
            lease = self._lease_table.get(number)
            if lease is None:
                continue
            if number in message.not_reusable:
                self._stop_reuse(lease)
            else:
                lease.expires = max(
                    lease.expires, renewals.sent_at + self._options.lease_s
                )

    def _stop_reuse(self, lease: Lease) -> None:
        """Permit no further request on a lease; return it if idle.

        A request that uses the lease keeps its slot.
        """
        lease.uses_left = 0
        if not lease.in_use:
            self.return_lease(lease)

    def _on_recall(self, *, sender: str, message: SlotRecall) -> None:
        group = self._group_codes.group_of(message.group)
        if group is None:
            return
        candidates = [
            lease
            for lease in self._lease_table.in_group(group)
            if message.server_id in ('', lease.server.server_id)
            and lease.uses_left != 0
            and not (message.idle_only and lease.in_use)
        ]
        for lease in candidates[: message.lease_count]:
            self._stop_reuse(lease)

    def _on_query(self, *, sender: str, message: LeaseQuery) -> None:
        """Report the held leases of a group to its new allocator.

        Pending slot requests move to the new allocator. Later grants of
        former allocators are declined, since the new one has no record of
        them.
        """
        group = self._group_codes.group_of(message.group)
        if group is None or self._allocators.allocator_of(group) != sender:
            return
        leases = []
        for lease in self._lease_table.in_group(group):
            lease.allocator = sender
            leases.append(
                HeldLease(lease.number, lease.server.server_id, lease.start_id)
            )
        limits = {
            server_id: limit
            for server_id, limit in self._server_limits.items()
            if self._group_by_server.get(server_id) == group
        }
        if sender != self._peers.own_id:
            for limit in self._release_group(group):
                limits[limit.server_id] = limit
        self._peers.send(
            to=sender,
            message=HeldLeases(
                message.group,
                tuple(leases),
                tuple(limits.values()),
            ),
        )
        if self.on_takeover is not None:
            self.on_takeover(group, sender)
