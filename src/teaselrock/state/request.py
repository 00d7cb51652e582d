"""Requests, responses and attempts as the coordination layer uses them.

The content is opaque here: only `transport`, `platform` and the test servers
of `standins` interpret it.
"""

import enum
from typing import NamedTuple
from typing import Protocol

from teaselrock.state.routes import Route
from teaselrock.state.topology import LoadReport
from teaselrock.state.verdict import Verdict


class RequestHold(Protocol):
    """What keeps a request's memory accounted for.

    A front end holds it first. Whoever needs the request for longer retains
    it; the last release ends the accounting.
    """

    def retain(self) -> None:
        """Add a user."""
        ...

    def release(self) -> None:
        """Remove a user."""
        ...


class NoRequestHold:
    """`RequestHold` of a request that is not accounted for."""

    def retain(self) -> None:
        """Do nothing."""

    def release(self) -> None:
        """Do nothing."""


class RequestContent(NamedTuple):
    """Content of a request, passed through without interpretation.

    The body is not changed any more; a large one is kept as it was received,
    since a copy would need its size in memory again.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | bytearray


class Request(NamedTuple):
    """One request, authenticated unless it has a route.

    `deadline` is on the event loop's clock, in seconds. `key_digest` is the
    keyed digest of the idempotency key, or None for an idempotent request.
    `units` is the number of the plan's units that it uses. `depth` is the
    depth in a chain of calls and `caller_attempt` the number of the caller's
    attempt, both as received. `route` is set for a request that was matched
    against a routing table; such a request has no customer and no key.
    `request_id` is the caller's, '' if there is none. `hold` accounts for
    its memory.
    """

    customer: str
    service: str
    content: RequestContent
    deadline: float
    key_digest: bytes | None = None
    units: int = 1
    depth: int = 0
    caller_attempt: int = 1
    request_id: str = ''
    route: Route | None = None
    hold: RequestHold = NoRequestHold()

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        if self.route is not None:
            return self.route.is_idempotent
        return self.key_digest is None


class BackendResponse(NamedTuple):
    """Complete response of a backend server, with its load report if any."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | bytearray
    load: LoadReport | None = None


class AttemptReason(enum.StrEnum):
    """Why an attempt went to its server; written to the report.

    `LOCAL` is the own zone, `REGION` another zone of the own region. Both
    `SPILL_*` are another region: `SPILL_NO_SERVER` if the own region has no
    server of the service, `SPILL_LOAD` otherwise.
    """

    LOCAL = 'local'
    REGION = 'region'
    SPILL_LOAD = 'spill-load'
    SPILL_NO_SERVER = 'spill-no-server'
    RETRY = 'retry'
    HEDGE = 'hedge'


class FailureKind(enum.StrEnum):
    """How an attempt failed.

    `SERVER_CHANGED` means another start of the server, or another server at
    the address. `NOT_ACCEPTED` means that the server did not run the request.
    `NO_RESPONSE` means that the connection failed, that only a late response
    came, or that the request could not be encoded.
    `INVALID_RESPONSE` is an incomplete response, one that is too long, or one
    that is not the server's own.
    """

    CONNECT = 'connect'
    SERVER_CHANGED = 'start-id-changed'
    NOT_ACCEPTED = 'shed'
    DRAINING = 'draining'
    NO_RESPONSE = 'reset'
    INVALID_RESPONSE = 'short-body'
    TIMEOUT = 'timeout'
    CANCELLED = 'cancelled'
    SERVER_ERROR = 'server-error'


class ExchangeFailure(NamedTuple):
    """A failed attempt; `load` is set if the server sent a load report."""

    kind: FailureKind
    verdict: Verdict
    detail: str
    load: LoadReport | None = None


class AttemptOutcome(NamedTuple):
    """Result of one attempt as used by limits and outlier detection.

    `latency` is in seconds; `failure` is None for a complete response.
    """

    latency: float
    failure: FailureKind | None = None
    load: LoadReport | None = None
