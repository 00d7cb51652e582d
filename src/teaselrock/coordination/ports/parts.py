"""Ports between the parts of the coordination layer.

`dispatch` uses the parts through them; `instance` puts them together.
"""

from collections.abc import Sequence
from typing import Any
from typing import NamedTuple
from typing import Protocol

from expression import Result

from teaselrock.coordination.ports.outside import BackendConnection
from teaselrock.state import AttemptOutcome
from teaselrock.state import AttemptReason
from teaselrock.state import BackendServer
from teaselrock.state import Instance
from teaselrock.state import Refusal
from teaselrock.state import Request
from teaselrock.state import Verdict
from teaselrock.state.configuration import Document


class Readiness(Protocol):
    """Whether an instance takes work."""

    @property
    def is_ready(self) -> bool:
        """Whether this instance may accept new work."""
        ...


class Directory(Readiness, Protocol):
    """Configuration in force and the servers that may get new work."""

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 if there is none."""
        ...

    @property
    def document(self) -> Document:
        """The configuration in force."""
        ...

    def backend_servers(self, *, service: str) -> Sequence[BackendServer]:
        """Servers of a service that are neither out nor leaving."""
        ...


class Slot(Protocol):
    """Permission for one request in flight at one backend server."""

    @property
    def server(self) -> BackendServer:
        """The server that the slot is for."""
        ...

    @property
    def start_id(self) -> str:
        """Start of the server that the slot is bound to, '' if unknown."""
        ...

    @property
    def reason(self) -> AttemptReason:
        """Why this server was chosen."""
        ...

    @property
    def is_valid(self) -> bool:
        """Whether a request may still start on the slot."""
        ...

    @property
    def evidence(self) -> str:
        """What the choice was based on, for the log; '' if nothing new."""
        ...

    @property
    def connection(self) -> BackendConnection | None:
        """Connection to use, None to take one from the pool."""
        ...

    def release(self, *, outcome: AttemptOutcome | None) -> None:
        """Give the slot back; `outcome` is None if nothing was sent."""
        ...


class SlotSource(Protocol):
    """Chooses a backend server and lends a slot at it."""

    async def acquire(
        self,
        *,
        request: Request,
        regions: frozenset[str],
        weight: int,
        exclude: frozenset[str],
        reason: AttemptReason | None,
    ) -> Result[Slot, Refusal]:
        """Wait in the customer's queue for a slot within `regions`.

        Servers in `exclude` are not chosen. `reason` overrides the reason
        of the attempt (retry, hedge).
        """
        ...


class AttemptBudget(Protocol):
    """Budget for attempts beyond the first: retries and hedges."""

    def on_first_attempt(self) -> None:
        """Count a first attempt, which earns a share of a retry."""
        ...

    def try_spend(self) -> bool:
        """Take one extra attempt if the budget allows."""
        ...


class HedgePolicy(Protocol):
    """Decides when a second attempt of an idempotent request may start."""

    def delay(self, *, service: str) -> float | None:
        """Seconds to wait before a hedge, None for no hedge."""
        ...

    def observe(self, *, service: str, latency: float) -> None:
        """Record the latency of a whole answer, in seconds."""
        ...


class Permission(NamedTuple):
    """Where a request may be served, and its share in fair queues."""

    regions: frozenset[str]
    weight: int


class Admission(Protocol):
    """Checks a request against the configuration in force."""

    def check(self, *, request: Request) -> Result[Permission, Refusal]:
        """Say where the request may be served, or why it may not."""
        ...


class Claim(Protocol):
    """This attempt's hold on an idempotency key."""

    @property
    def may_send(self) -> bool:
        """Fence: whether the request may still be sent under the claim."""
        ...

    async def finish(self, *, verdict: Verdict) -> None:
        """Record the verdict; `DID_NOT_RUN` releases the key."""
        ...


class IdempotencyRecords(Protocol):
    """At-most-once records of non-idempotent requests."""

    async def claim(self, *, request: Request) -> Result[Claim, Refusal]:
        """Claim the request's key, or say why it must not run."""
        ...


class Charge(Protocol):
    """Units of a plan that a request holds."""

    def refund(self) -> None:
        """Give the units back, since the request did not run."""
        ...


class Allowances(Protocol):
    """Rates and amounts of the customers' plans."""

    async def charge(self, *, request: Request) -> Result[Charge, Refusal]:
        """Take the request's units from rate and amount."""
        ...


class ReportRow(Protocol):
    """The row of one request in progress."""

    def add_attempt(
        self,
        *,
        server: BackendServer,
        reason: AttemptReason,
        outcome: AttemptOutcome,
        verdict: Verdict,
        evidence: str,
    ) -> None:
        """Add an attempt that ended; `evidence` is that of its slot."""
        ...

    async def finish(
        self, *, verdict: Verdict, units: int, refusal: Refusal | None
    ) -> None:
        """End the row; returns when the answer may go to the caller.

        `units` is what the plan consumed, 0 if the request did not run.
        """
        ...


class ReportWriter(Protocol):
    """Opens a row for each admitted request and keeps refused ones."""

    def open_row(self, *, request: Request) -> Result[ReportRow, Refusal]:
        """Open a row and start its copy to the keeper."""
        ...

    def record_refusal(self, *, request: Request, refusal: Refusal) -> None:
        """Record a request that was refused before admission."""
        ...


class MessageHandler(Protocol):
    """Handles one kind of peer message in the peer's task."""

    def __call__(self, *, sender: str, message: Any) -> None:
        """Handle a message; must not block."""
        ...


class MemberView(Protocol):
    """The fleet as this instance sees it."""

    @property
    def own(self) -> Instance:
        """This instance."""
        ...

    @property
    def live(self) -> Sequence[Instance]:
        """Members that are alive or suspect, this instance included."""
        ...

    @property
    def roster(self) -> Sequence[Instance]:
        """Members not known to have left or to be confirmed gone."""
        ...

    @property
    def epoch(self) -> int:
        """Grows with every change of `live` or `roster`."""
        ...


class Peers(Protocol):
    """Sends messages within the control budget; routes received ones."""

    def send(self, *, to: str, message: NamedTuple) -> bool:
        """Send to a peer; False if the budget or the queue is full."""
        ...

    def register_handler(
        self, *, message_type: type, handler: MessageHandler
    ) -> None:
        """Register the handler of a message type."""
        ...
