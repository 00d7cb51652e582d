"""Verdicts on whether a request ran, and refusals, which contain one.

`docs/operators/refusals.md` explains each refusal code.
"""

import enum
from typing import NamedTuple


class Verdict(enum.StrEnum):
    """What is known about the execution of a request."""

    DID_NOT_RUN = 'did-not-run'
    MAY_HAVE_RUN = 'may-have-run'
    RAN = 'ran'


class RefusalCode(enum.StrEnum):
    """Stable reason codes for callers; `protocol` maps them to a status."""

    BAD_REQUEST = 'bad-request'
    UNKNOWN_CUSTOMER = 'unknown-customer'
    UNKNOWN_SERVICE = 'unknown-service'
    NOT_IN_PLAN = 'not-in-plan'
    OUTSIDE_HOME_REGIONS = 'outside-home-regions'
    BODY_TOO_LARGE = 'body-too-large'
    KEY_REQUIRED = 'idempotency-key-required'
    KEY_IN_USE = 'idempotency-key-in-use'
    KEY_COMPLETED = 'idempotency-key-completed'
    RECORD_UNAVAILABLE = 'idempotency-record-unavailable'
    RATE_EXCEEDED = 'rate-exceeded'
    AMOUNT_EXCEEDED = 'amount-exceeded'
    ALLOWANCE_UNAVAILABLE = 'allowance-unavailable'
    REPORT_UNAVAILABLE = 'report-unavailable'
    OVERLOADED = 'overloaded'
    NO_BACKEND = 'no-backend-server'
    DEADLINE_EXCEEDED = 'deadline-exceeded'
    BACKEND_FAILED = 'backend-failed'
    INSTANCE_NOT_READY = 'instance-not-ready'


class Refusal(NamedTuple):
    """Why the caller gets no backend server's response.

    The request may have run, as the verdict says.

    `retry_after` is in seconds, or None if none is stated.
    """

    code: RefusalCode
    verdict: Verdict
    detail: str
    retry_after: float | None = None
