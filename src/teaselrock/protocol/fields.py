"""HTTP header fields between callers, gateways and backend servers.

The platform has other fields, in `platform.headers`.

`Backend-Load` is a dictionary in the style of RFC 8941 structured fields:
`start=ab12, state=warm, in-flight=3, bears=6`.
"""

from collections.abc import Iterable
from typing import Final

from teaselrock.state import LoadReport
from teaselrock.state import ServerState

BACKEND_LOAD: Final = 'Backend-Load'
BACKEND_VERDICT: Final = 'Backend-Verdict'
DEADLINE_MS: Final = 'Request-Deadline-Ms'
# Number of a request on its connection to a backend server, from 1. Responses
# repeat it, so that a late response is not taken for that to the next request.
EXCHANGE_NUMBER: Final = 'Exchange-Number'
DEPTH: Final = 'Request-Depth'
ATTEMPT: Final = 'Request-Attempt'
IDEMPOTENCY_KEY: Final = 'Idempotency-Key'
LOAD_TARGET: Final = '/.well-known/backend-load'

HOP_BY_HOP: Final = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    }
)
# Lower-case names of fields that a gateway does not forward, for each
# direction.
DROPPED_REQUEST_FIELDS: Final = HOP_BY_HOP | {
    'host',
    'authorization',
    DEADLINE_MS.lower(),
    EXCHANGE_NUMBER.lower(),
    DEPTH.lower(),
    ATTEMPT.lower(),
}
DROPPED_RESPONSE_FIELDS: Final = HOP_BY_HOP | {
    BACKEND_LOAD.lower(),
    BACKEND_VERDICT.lower(),
    EXCHANGE_NUMBER.lower(),
}


def encode_load(report: LoadReport) -> str:
    """Encode a load report as a `Backend-Load` value."""
    return (
        f'start={report.start_id}, state={report.state.value}, '
        f'in-flight={report.in_flight}, bears={report.capacity}'
    )


def decode_load(text: str) -> LoadReport | None:
    """Decode a `Backend-Load` value; None if it is malformed."""
    members = dict(
        part.strip().split('=', 1) for part in text.split(',') if '=' in part
    )
    try:
        return LoadReport(
            members['start'],
            ServerState(members['state']),
            int(members['in-flight']),
            int(members['bears']),
        )
    except (KeyError, ValueError):
        return None


def filter_headers(
    headers: Iterable[tuple[str, str]], dropped: frozenset[str]
) -> tuple[tuple[str, str], ...]:
    """Remove the fields in `dropped` (lower-case names).

    Fields that `Connection` lists apply to one connection only and are
    removed as well.
    """
    header_list = tuple(headers)
    connection_options = {
        option.strip().lower()
        for name, value in header_list
        if name.lower() == 'connection'
        for option in value.split(',')
    }
    return tuple(
        (name, value)
        for name, value in header_list
        if name.lower() not in dropped
        and name.lower() not in connection_options
    )
