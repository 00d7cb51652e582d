"""Failures of exchanges with a server, and of connections to it."""

from teaselrock.state import BackendServer
from teaselrock.state import ExchangeFailure
from teaselrock.state import FailureKind
from teaselrock.state import Verdict


def connect_failure(server: BackendServer, detail: str) -> ExchangeFailure:
    """No connection could be opened."""
    return ExchangeFailure(
        FailureKind.CONNECT,
        Verdict.DID_NOT_RUN,
        f'no usable connection to {server.server_id}: {detail}',
    )


def closed_before_sent(server: BackendServer) -> ExchangeFailure:
    """The connection was closed before the request was sent."""
    return ExchangeFailure(
        FailureKind.NO_RESPONSE,
        Verdict.DID_NOT_RUN,
        f'connection to {server.server_id} was closed '
        'before the request was sent',
    )


def late_before_sent(server: BackendServer) -> ExchangeFailure:
    """The deadline passed before the request was sent."""
    return ExchangeFailure(
        FailureKind.TIMEOUT,
        Verdict.DID_NOT_RUN,
        f'deadline passed before the request to {server.server_id} was sent',
    )


def unsendable_head(server: BackendServer) -> ExchangeFailure:
    """A character of the request would split its head."""
    return ExchangeFailure(
        FailureKind.NO_RESPONSE,
        Verdict.DID_NOT_RUN,
        'line break or NUL in the request line or a header field '
        f'of the request to {server.server_id}',
    )


def late_response(server: BackendServer) -> ExchangeFailure:
    """The response was not complete in time."""
    return ExchangeFailure(
        FailureKind.TIMEOUT,
        Verdict.MAY_HAVE_RUN,
        f'deadline passed before the response of {server.server_id} '
        'was complete',
    )


def lost_exchange(server: BackendServer, error: Exception) -> ExchangeFailure:
    """The connection or the response failed after the request was sent."""
    return ExchangeFailure(
        FailureKind.NO_RESPONSE,
        Verdict.MAY_HAVE_RUN,
        f'connection to {server.server_id} failed during the exchange: '
        f'{error}',
    )


def too_large_response(
    server: BackendServer, limit_bytes: int
) -> ExchangeFailure:
    """The body of the response exceeds its limit."""
    return ExchangeFailure(
        FailureKind.INVALID_RESPONSE,
        Verdict.MAY_HAVE_RUN,
        f'response body of {server.server_id} exceeds {limit_bytes} bytes',
    )


def incomplete_response(status: int) -> ExchangeFailure:
    """The connection ended before the response; `status` is 0 without a head.

    A close-delimited response ends with the connection. A lost connection
    looks the same, so such a response may be incomplete.
    """
    return ExchangeFailure(
        FailureKind.INVALID_RESPONSE if status else FailureKind.NO_RESPONSE,
        Verdict.MAY_HAVE_RUN,
        'connection was closed before the response was complete',
    )
