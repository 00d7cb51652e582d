"""In-memory and empty implementations of ports, for use without a store.

`dispatch` and `attempts` use them instead of the implementations that share
state with other instances. Nothing is stored.
"""

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination.ports import Charge
from teaselrock.coordination.ports import Claim
from teaselrock.coordination.ports import ReportRow
from teaselrock.state import AttemptOutcome
from teaselrock.state import AttemptReason
from teaselrock.state import BackendServer
from teaselrock.state import Refusal
from teaselrock.state import RefusalCode
from teaselrock.state import Request
from teaselrock.state import Verdict
from teaselrock.state.configuration import Document


class FixedDirectory:
    """`Directory` whose configuration and servers are its arguments.

    They do not change; no store and no peer is read.
    """

    def __init__(
        self, *, document: Document, servers: tuple[BackendServer, ...]
    ) -> None:
        self._document = document
        self._servers = servers
        self._is_ready = True

    @property
    def version(self) -> int:
        """Always 1: there is one configuration, which never changes."""
        return 1

    @property
    def document(self) -> Document:
        """The configuration given at the start."""
        return self._document

    @property
    def is_ready(self) -> bool:
        """True until `stop`."""
        return self._is_ready

    def stop(self) -> None:
        """Make `is_ready` False, so that new requests are refused."""
        self._is_ready = False

    def backend_servers(self, *, service: str) -> tuple[BackendServer, ...]:
        """Servers of a service."""
        return tuple(
            server for server in self._servers if server.service == service
        )


class NoCharge:
    """A charge of no units."""

    def refund(self) -> None:
        """Do nothing."""


class UnlimitedAllowances:
    """`Allowances` without rates and amounts."""

    async def charge(self, *, request: Request) -> Result[Charge, Refusal]:
        """Allow any request."""
        return Ok(NoCharge())


class _InMemoryClaim:
    def __init__(
        self, *, verdicts: dict[bytes, Verdict], digest: bytes
    ) -> None:
        self._verdicts = verdicts
        self._digest = digest

    @property
    def may_send(self) -> bool:
        return True

    async def finish(self, *, verdict: Verdict) -> None:
        if verdict is Verdict.DID_NOT_RUN:
            del self._verdicts[self._digest]
        else:
            self._verdicts[self._digest] = verdict


class InMemoryRecords:
    """Idempotency records in the memory of one process, never expired."""

    def __init__(self) -> None:
        self._verdicts: dict[bytes, Verdict] = {}

    async def claim(self, *, request: Request) -> Result[Claim, Refusal]:
        """Claim the request's key; a key that was used before is refused."""
        # `dispatch` claims only requests with a key, so it is never b''.
        digest = request.key_digest or b''
        verdict = self._verdicts.get(digest)
        if verdict is None:
            self._verdicts[digest] = Verdict.MAY_HAVE_RUN
            return Ok(_InMemoryClaim(verdicts=self._verdicts, digest=digest))
        code = (
            RefusalCode.KEY_COMPLETED
            if verdict is Verdict.RAN
            else RefusalCode.KEY_IN_USE
        )
        return Error(
            Refusal(code, verdict, 'the idempotency key was already used')
        )


class _NoClaim:
    @property
    def may_send(self) -> bool:
        return True

    async def finish(self, *, verdict: Verdict) -> None:
        pass


class NoRecords:
    """No records, for callers that give each attempt an id of its own.

    Such a request is handled by a single instance, and `attempts` never
    sends a non-idempotent request again that may have run.
    """

    async def claim(self, *, request: Request) -> Result[Claim, Refusal]:
        """Allow any request."""
        return Ok(_NoClaim())


class _NoRow:
    def add_attempt(
        self,
        *,
        server: BackendServer,
        reason: AttemptReason,
        outcome: AttemptOutcome,
        verdict: Verdict,
        evidence: str,
    ) -> None:
        pass

    async def finish(
        self, *, verdict: Verdict, units: int, refusal: Refusal | None
    ) -> None:
        pass


class NoReport:
    """`ReportWriter` that drops all rows."""

    def open_row(self, *, request: Request) -> Result[ReportRow, Refusal]:
        """Open a row that is not kept."""
        return Ok(_NoRow())

    def record_refusal(self, *, request: Request, refusal: Refusal) -> None:
        """Do nothing."""


class NoExtraAttempts:
    """`AttemptBudget` and `HedgePolicy` without retries and hedges."""

    def on_first_attempt(self) -> None:
        """Do nothing."""

    def try_spend(self) -> bool:
        """Never allow an extra attempt."""
        return False

    def delay(self, *, service: str) -> float | None:
        """Never hedge."""
        return None

    def observe(self, *, service: str, latency: float) -> None:
        """Do nothing."""
