"""Ports between the components of the coordination layer.

`dispatch` uses the components through these types; `instance`,
`routed_instance` and `standalone` assemble them.
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
    """Readiness of an instance."""

    @property
    def is_ready(self) -> bool:
        """Whether this instance may accept new requests."""
        ...


class Directory(Readiness, Protocol):
    """Configuration in force and the servers that may get new requests.

    `LiveDirectory` is updated from the disseminated configuration, the facts
    and the platform list; `FixedDirectory` keeps the configuration and servers
    that it is given. An installation's instance uses `InstallationView`
    instead, which is updated from its store.
    """

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 if there is none."""
        ...

    @property
    def document(self) -> Document:
        """The configuration in force."""
        ...

    def backend_servers(self, *, service: str) -> Sequence[BackendServer]:
        """Servers of a service that are neither out of service nor leaving."""
        ...


class Slot(Protocol):
    """Permission for one request in flight at one backend server."""

    @property
    def server(self) -> BackendServer:
        """The server that the slot is for."""
        ...

    @property
    def start_id(self) -> str:
        """Start id of the server that the slot is bound to, '' if unknown."""
        ...

    @property
    def reason(self) -> AttemptReason:
        """Why this server was chosen."""
        ...

    @property
    def is_valid(self) -> bool:
        """Whether a request may still be sent on the slot."""
        ...

    @property
    def evidence(self) -> str:
        """Measurements that the choice used, for the log; '' if none."""
        ...

    @property
    def connection(self) -> BackendConnection | None:
        """Connection to use; None to take one from the pool."""
        ...

    def release(self, *, outcome: AttemptOutcome | None) -> None:
        """Release the slot; `outcome` is None if no attempt began."""
        ...


class SlotSource(Protocol):
    """Chooses a backend server and acquires a slot at it."""

    async def acquire(
        self,
        *,
        request: Request,
        regions: frozenset[str],
        weight: int,
        exclude: frozenset[str],
        reason: AttemptReason | None,
    ) -> Result[Slot, Refusal]:
        """Acquire a slot of a server within `regions`, or refuse the request.

        A source may queue the request until a slot is free; it is refused
        at the latest at its deadline. Server ids in `exclude` are not chosen.
        `weight` is the customer's share in a fair queue. `reason` overrides
        the reason of the attempt (retry, hedge).
        """
        ...


class AttemptBudget(Protocol):
    """Budget for attempts beyond the first: retries and hedges."""

    def on_first_attempt(self) -> None:
        """Count a first attempt, which adds a fraction to the budget."""
        ...

    def try_spend(self) -> bool:
        """Spend one extra attempt; False if the budget is exhausted."""
        ...


class HedgePolicy(Protocol):
    """Decides when an idempotent request gets a second attempt."""

    def delay(self, *, service: str) -> float | None:
        """Seconds to wait before a hedge; None for no hedge."""
        ...

    def observe(self, *, service: str, latency: float) -> None:
        """Record the latency of a complete response, in seconds."""
        ...


class Permission(NamedTuple):
    """Regions that may serve a request, and its weight in fair queues."""

    regions: frozenset[str]
    weight: int


class Admission(Protocol):
    """Checks a request against the configuration in force."""

    def check(self, *, request: Request) -> Result[Permission, Refusal]:
        """Return where the request may be served, or why it is refused."""
        ...


class Claim(Protocol):
    """Claim of one request on its idempotency key, for all attempts."""

    @property
    def may_send(self) -> bool:
        """Whether the request may still be sent.

        False for a process that was paused until its claim expired.
        """
        ...

    async def finish(self, *, verdict: Verdict) -> None:
        """Record the verdict; `DID_NOT_RUN` releases the key."""
        ...


class IdempotencyRecords(Protocol):
    """At-most-once records of non-idempotent requests."""

    async def claim(self, *, request: Request) -> Result[Claim, Refusal]:
        """Claim the request's key, or return why it must not run."""
        ...


class Charge(Protocol):
    """Units charged to a plan for one request."""

    def refund(self) -> None:
        """Return the units of a request that did not run."""
        ...


class Allowances(Protocol):
    """Rate and amount limits of the customers' plans."""

    async def charge(self, *, request: Request) -> Result[Charge, Refusal]:
        """Charge the request's units against rate and amount."""
        ...


class ReportRow(Protocol):
    """Report row of one request in progress."""

    def add_attempt(
        self,
        *,
        server: BackendServer,
        reason: AttemptReason,
        outcome: AttemptOutcome,
        verdict: Verdict,
        evidence: str,
    ) -> None:
        """Add an attempt that ended; `evidence` comes from its slot."""
        ...

    async def finish(
        self, *, verdict: Verdict, units: int, refusal: Refusal | None
    ) -> None:
        """End the row; returns when the response may go to the caller.

        `units` is what the request consumed of the plan, 0 if it did not run.
        """
        ...


class ReportWriter(Protocol):
    """Writes a report row for each admitted or refused request."""

    def open_row(self, *, request: Request) -> Result[ReportRow, Refusal]:
        """Open a row for an admitted request; may copy it to peers."""
        ...

    def record_refusal(self, *, request: Request, refusal: Refusal) -> None:
        """Record a request that was refused before its row was opened."""
        ...


class MessageHandler(Protocol):
    """Handles messages of one type, in the task of the sending peer."""

    def __call__(self, *, sender: str, message: Any) -> None:
        """Handle a message; must not block."""
        ...


class MemberView(Protocol):
    """The members of the fleet, as recorded by this instance."""

    @property
    def own(self) -> Instance:
        """This instance."""
        ...

    @property
    def live(self) -> Sequence[Instance]:
        """Members that are alive, leaving or suspect, including this one."""
        ...

    @property
    def roster(self) -> Sequence[Instance]:
        """Members that have neither left nor been removed."""
        ...

    @property
    def epoch(self) -> int:
        """Counter that increases with each change of `live` or `roster`."""
        ...


class Peers(Protocol):
    """Sends messages within the control budget, dispatches received ones."""

    def send(self, *, to: str, message: NamedTuple) -> bool:
        """Send to a peer.

        Returns False if the peer is not connected, the budget is used up or
        the link dropped the message.
        """
        ...

    def register_handler(
        self, *, message_type: type, handler: MessageHandler
    ) -> None:
        """Register the handler of a message type."""
        ...
