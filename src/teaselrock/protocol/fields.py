"""HTTP header fields that carry load reports, deadlines and attempts.

`Backend-Load` is a structured field dictionary in the manner of RFC 8941:
`start=ab12, state=warm, in-flight=3, bears=6`.
"""

from collections.abc import Iterable
from typing import Final

from teaselrock.state import LoadReport
from teaselrock.state import ServerState

BACKEND_LOAD: Final = 'Backend-Load'
BACKEND_VERDICT: Final = 'Backend-Verdict'
DEADLINE: Final = 'Request-Deadline-Ms'
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
# Fields that stop at the gateway in each direction.
DROPPED_REQUEST_FIELDS: Final = HOP_BY_HOP | {
    'host',
    'authorization',
    DEADLINE.lower(),
    DEPTH.lower(),
    ATTEMPT.lower(),
}
DROPPED_RESPONSE_FIELDS: Final = HOP_BY_HOP | {
    BACKEND_LOAD.lower(),
    BACKEND_VERDICT.lower(),
}


def encode_load(report: LoadReport) -> str:
    """Format a load report."""
    return (
        f'start={report.start_id}, state={report.state.value}, '
        f'in-flight={report.in_flight}, bears={report.capacity}'
    )


def decode_load(text: str) -> LoadReport | None:
    """Parse a load report; None if it is malformed."""
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
    """Headers without those in `dropped` (lower-case names).

    Fields that `Connection` names belong to that connection alone and are
    dropped as well.
    """
    known = tuple(headers)
    named = {
        option.strip().lower()
        for name, value in known
        if name.lower() == 'connection'
        for option in value.split(',')
    }
    return tuple(
        (name, value)
        for name, value in known
        if name.lower() not in dropped and name.lower() not in named
    )
