"""Requests, responses and attempts as the coordination layer uses them.

The content is opaque here: only `transport` and the stand-ins interpret it.
"""

import enum
from typing import NamedTuple

from teaselrock.state.routes import Route
from teaselrock.state.topology import LoadReport
from teaselrock.state.verdict import Verdict


class RequestContent(NamedTuple):
    """Content of a request, passed through without interpretation."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Request(NamedTuple):
    """One authenticated request.

    `deadline` is on the event loop's clock, in seconds. `key_digest` is
    the keyed digest of the idempotency key, or None for an idempotent
    request. `units` is what the request costs of the plan. `depth` is the
    depth in a chain of calls and `attempt` the number of the caller's
    attempt, both as received. `route` is set for a request that was matched
    against a routing table; such a request has no customer and no key.
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
    body: bytes
    load: LoadReport | None = None


class AttemptReason(enum.StrEnum):
    """Why an attempt went to its server; written to the report."""

    LOCAL = 'local'
    REGION = 'region'
    SPILL_LOAD = 'spill-load'
    SPILL_NO_SERVER = 'spill-no-server'
    RETRY = 'retry'
    HEDGE = 'hedge'


class FailureKind(enum.StrEnum):
    """How an attempt failed."""

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
