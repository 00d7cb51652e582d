"""Results of the attempts of one request, and what they mean for it."""

import asyncio
from typing import Final
from typing import NamedTuple

from expression import Result

from teaselrock.coordination.ports import Slot
from teaselrock.state import AttemptOutcome
from teaselrock.state import BackendResponse
from teaselrock.state import ExchangeFailure
from teaselrock.state import FailureKind
from teaselrock.state import Refusal
from teaselrock.state import RefusalCode
from teaselrock.state import Request
from teaselrock.state import Verdict

# Responses with these statuses are retried for idempotent requests.
RETRIED_STATUSES: Final = frozenset({500, 502, 503, 504})


class CombinedVerdict:
    """Combined verdict of the ended attempts of one request."""

    def __init__(self) -> None:
        self._verdict = Verdict.DID_NOT_RUN

    @property
    def verdict(self) -> Verdict:
        """The most severe verdict of the ended attempts.

        The order is `DID_NOT_RUN`, `MAY_HAVE_RUN`, `RAN`.
        """
        return self._verdict

    def add_verdict(self, verdict: Verdict) -> None:
        """Include the verdict of an attempt that has ended."""
        order = (Verdict.DID_NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)
        self._verdict = max(self._verdict, verdict, key=order.index)


class EndedAttempt(NamedTuple):
    """An attempt that has ended, and its result."""

    slot: Slot
    result: Result[BackendResponse, ExchangeFailure]

    def is_final(self, request: Request) -> bool:
        """Whether its response goes to the caller without a retry."""
        return self.result.is_ok() and not is_retried(request, self.result.ok)


def is_retried(request: Request, response: BackendResponse) -> bool:
    """Whether a response is not passed on but the request sent again."""
    return request.is_idempotent and response.status in RETRIED_STATUSES


def cancelled_failure(verdict: Verdict) -> ExchangeFailure:
    """Failure of an attempt that was cancelled."""
    return ExchangeFailure(
        FailureKind.CANCELLED, verdict, 'the attempt was cancelled'
    )


def excess_failure(slot: Slot) -> ExchangeFailure:
    """Failure of an attempt above the largest number of servers."""
    return ExchangeFailure(
        FailureKind.CANCELLED,
        Verdict.DID_NOT_RUN,
        f'server {slot.server.server_id} was not tried: the request has '
        'reached its largest number of servers',
    )


def attempt_outcome(
    result: Result[BackendResponse, ExchangeFailure], latency: float
) -> AttemptOutcome:
    """Outcome for the statistics; `latency` is in seconds."""
    if result.is_error():
        return AttemptOutcome(latency, result.error.kind, result.error.load)
    failure = FailureKind.SERVER_ERROR if result.ok.status >= 500 else None
    return AttemptOutcome(latency, failure, result.ok.load)


def final_refusal(
    request: Request, verdict: Verdict, failure: ExchangeFailure | None
) -> Refusal:
    """Refusal of a request whose attempts have failed."""
    late = asyncio.get_running_loop().time() >= request.deadline
    code = (
        RefusalCode.DEADLINE_EXCEEDED if late else RefusalCode.BACKEND_FAILED
    )
    detail = (
        failure.detail
        if failure is not None
        else f'no attempt at {request.service} completed'
    )
    return Refusal(code, verdict, detail)
