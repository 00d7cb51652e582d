"""Peer messages of the shared slots; kinds 40 to 59.

A lease is one unit and is named by its borrower and the number of the
borrower's request, so a lost or repeated message cannot create a second one.

Groups, servers and starts are named by `names.Code`: a 32-bit hash, or the
name where the hash would not do. Most messages are about one slot, and at
70% load there are 60 bytes of control traffic for each request.
"""

from typing import NamedTuple

from teaselrock.coordination.slots.codes import NameCode


class SlotRequest(NamedTuple):
    """Ask the allocator of a group for one slot.

    `wait_ms` is how long the request may stay queued. `returned` are leases
    of the same group that come back with the request. `full_names` asks for
    names instead of codes in the grant.
    """

    number: int
    group: NameCode
    wait_ms: int
    returned: tuple[int, ...] = ()
    exclude: tuple[str, ...] = ()
    full_names: bool = False


class SlotGrant(NamedTuple):
    """Answer to a request; an empty `server` means none can be lent.

    `waited` is the time from the request's arrival to the grant on the
    allocator's clock, in units of 0.1 ms, rounded down. The lease runs from
    the borrower's request plus this. `uses` is how many requests the slot
    may serve before it is returned, or earlier when none is waiting; 0 means
    that it may be kept until it is recalled.
    """

    number: int
    server: NameCode
    start: NameCode = ''
    limit: int = 0
    max_uses: int = 0
    waited_ticks: int = 0


class SlotReturn(NamedTuple):
    """Returned leases and withdrawn requests of one group."""

    group: NameCode
    returned: tuple[int, ...]


class ServerOutcomes(NamedTuple):
    """Outcomes of requests at one server since the last update.

    `latency_ms` is the sum over the successes. `seen_start` is the start id
    of the newest load report, '' if there was none; the report came `age_ms`
    before the message. `overloads` are shed,
    reset and late answers, `errors` are answers with a server error.
    """

    server_id: str
    start_id: str
    successes: int
    latency_ms: float
    overloads: int
    errors: int
    refused: int
    seen_start: str
    state: str
    bears: int
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
    """Ask a borrower for `units` slots of a group, idle ones first.

    If `server_id` is set, slots of this server are asked for. `idle_only`
    leaves slots that are in use.
    """

    group: NameCode
    units: int
    server_id: str = ''
    idle_only: bool = False


class LeaseQuery(NamedTuple):
    """A new allocator asks what a member holds of a group."""

    group: NameCode


class HeldLease(NamedTuple):
    """A lease that a borrower holds."""

    number: int
    server_id: str
    start_id: str


class KnownLimit(NamedTuple):
    """The last limit that a member knows of a start of a server."""

    server_id: str
    start_id: str
    limit: int


class LeaseClaim(NamedTuple):
    """Answer to a `LeaseQuery`."""

    group: NameCode
    leases: tuple[HeldLease, ...]
    limits: tuple[KnownLimit, ...]


class SlotConfirm(NamedTuple):
    """Answer to an update with a number above 0.

    Leases in `void` must not be used for another request. `limits` are
    those of the servers whose outcomes the update carried.
    """

    number: int
    void: tuple[int, ...]
    limits: tuple[KnownLimit, ...]
