"""Peer messages of the shared slots, type numbers 40 to 59.

A lease is identified by its borrower and the number of the borrower's slot
request, so neither a lost nor a repeated message can create a second lease.
The docstring of `slots` defines unit, lease, slot and start.

Groups, servers and starts are identified by a `NameCode`: a 32-bit hash, or
the name if the hash is not unique or the receiver cannot resolve it. Codes
keep the messages short: most are about a single lease, and at 70% load the
budget of control messages allows 60 bytes for each request served.
"""

from typing import NamedTuple

from teaselrock.coordination.slots.name_codes import NameCode


class SlotRequest(NamedTuple):
    """Requests one lease from the allocator of a group.

    `wait_ms` is how long the slot request may stay queued. `returned` are
    the numbers of leases of the same group that are returned with it.
    `exclude` are ids of servers that must not be chosen. If `full_names`,
    the grant contains the full start id instead of a code.
    """

    number: int
    group: NameCode
    wait_ms: int
    returned: tuple[int, ...] = ()
    exclude: tuple[str, ...] = ()
    full_names: bool = False


class SlotGrant(NamedTuple):
    """Answer to a slot request; if `server` is empty, no unit can be lent.

    `limit` is the limit of the server. `waited_ticks` is the time from the
    arrival of the slot request to the grant on the allocator's clock, in
    ticks of 0.1 ms, rounded down. The lease begins this time after the slot
    request was sent. `max_uses` is the number of requests that may use the
    lease before it is returned; it is returned earlier if no request waits.
    0 means that it may be kept until it is recalled.
    """

    number: int
    server: NameCode
    start_code: NameCode = ''
    limit: int = 0
    max_uses: int = 0
    waited_ticks: int = 0


class SlotReturn(NamedTuple):
    """Numbers of returned leases and withdrawn slot requests of one group."""

    group: NameCode
    returned: tuple[int, ...]


class ServerOutcomes(NamedTuple):
    """Outcomes of requests at one server since the last update.

    `latency_ms` is the sum over the successes. `reported_start_id` is that of
    the newest load report, '' if there was none; the report arrived `age_ms`
    before this message. `overloads` counts responses that were shed, reset,
    cut short or timed out, `errors` responses with a server error and
    `refused` failed connections.
    """

    server_id: str
    start_id: str
    successes: int
    latency_ms: float
    overloads: int
    errors: int
    refused: int
    reported_start_id: str
    state: str
    capacity: int
    in_flight: int
    age_ms: int = 0


class SlotUpdate(NamedTuple):
    """Renewed and returned leases, and outcomes, of one group.

    `number` is 0 if no `SlotConfirm` is needed.
    """

    number: int
    group: NameCode
    renewed: tuple[int, ...]
    returned: tuple[int, ...]
    outcomes: tuple[ServerOutcomes, ...]


class SlotRecall(NamedTuple):
    """Recalls `lease_count` leases of a group, idle ones first.

    A recalled lease is returned after the request that uses it. If
    `server_id` is set, only leases of this server are recalled. `idle_only`
    exempts leases that are in use.
    """

    group: NameCode
    lease_count: int
    server_id: str = ''
    idle_only: bool = False


class LeaseQuery(NamedTuple):
    """Query of a new allocator for the leases that a member holds."""

    group: NameCode


class HeldLease(NamedTuple):
    """A lease that a borrower holds, as part of `HeldLeases`."""

    number: int
    server_id: str
    start_id: str


class ServerLimit(NamedTuple):
    """The newest limit that a member received for a start of a server."""

    server_id: str
    start_id: str
    limit: int


class HeldLeases(NamedTuple):
    """Answer to a `LeaseQuery`: held leases and received limits of a group."""

    group: NameCode
    leases: tuple[HeldLease, ...]
    limits: tuple[ServerLimit, ...]


class SlotConfirm(NamedTuple):
    """Answer to a `SlotUpdate` with a number above 0.

    Leases in `not_reusable` must not be used for another request: they were
    revoked, recalled or have no record at the allocator. `limits` are those
    of the servers whose outcomes were in the update.
    """

    number: int
    not_reusable: tuple[int, ...]
    limits: tuple[ServerLimit, ...]
