"""Header fields of the platform, on both sides of a gateway.

Implements `transport`'s `BackendDialect` and `CallerDialect`.
"""

from collections.abc import Callable
import re
from typing import Final

from teaselrock.protocol import fields
from teaselrock.state import BackendServer
from teaselrock.state import ExchangeFailure
from teaselrock.state import FailureKind
from teaselrock.state import LoadReport
from teaselrock.state import RequestContent
from teaselrock.state import ServerState
from teaselrock.state import Verdict
from teaselrock.transport.dialect import Headers
from teaselrock.transport.dialect import ResponseInfo
from teaselrock.transport.request_parser import CallerRequest
from teaselrock.transport.response_parser import ResponseParser
from teaselrock.transport.routed_front_end import CallerFields

REQUEST_ID: Final = 'X-Teaselrock-Request-Id'
# Milliseconds that the sender of a request will still wait.
DEADLINE: Final = 'X-Teaselrock-Deadline-Ms'
# Proof that the body is a server's own.
SIGNATURE: Final = 'X-Teaselrock-Response-Signature'
EXPECTED_INSTANCE: Final = 'X-Teaselrock-Expected-Instance'
NOT_EXECUTED: Final = 'X-Teaselrock-Not-Executed'
# Id of a backend server, not of one of our instances.
SERVER_ID: Final = 'X-Teaselrock-Instance-Id'
# running,waiting,slots[,work factor in percent]
SERVER_LOAD: Final = 'X-Teaselrock-Server-Load'
COLD_LEFT_MS: Final = 'X-Teaselrock-Cold-Ms'

DEFAULT_HEALTH_TARGET: Final = '/health'
MISDIRECTED: Final = 421
MAX_DEADLINE_MS: Final = 3_600_000
_NUMBER: Final = re.compile(r'[0-9]{1,9}')
_KEEP_ALIVE_TIMEOUT: Final = re.compile(r'timeout=(\d{1,6})')
_FROM_CALLER: Final = fields.HOP_BY_HOP | {
    DEADLINE.lower(),
    EXPECTED_INSTANCE.lower(),
}
_TO_CALLER: Final = fields.HOP_BY_HOP | {
    SERVER_LOAD.lower(),
    SERVER_ID.lower(),
    NOT_EXECUTED.lower(),
    COLD_LEFT_MS.lower(),
}


class PlatformBackendDialect:
    """Fields between a gateway and the platform's servers."""

    def __init__(self, *, health_target: Callable[[str], str]) -> None:
        self._health_target = health_target

    @property
    def accepts_close_delimited(self) -> bool:
        """True: answers without a length end with a clean close."""
        return True

    @property
    def requires_load_on_connect(self) -> bool:
        """False: each choice checks the load itself."""
        return False

    def load_check(self, *, server: BackendServer) -> RequestContent:
        """A health check, which the servers answer at once."""
        return RequestContent(
            'GET', self._health_target(server.service), (), b''
        )

    def request_fields(
        self,
        *,
        server: BackendServer,
        content: RequestContent,
        remaining: float,
    ) -> Headers:
        """The caller's fields, the remaining time and the server's id."""
        if _is_check(content):
            return (('Host', server.address),)
        return (
            *content.headers,
            (DEADLINE, str(max(1, int(remaining * 1000)))),
            (EXPECTED_INSTANCE, server.server_id),
        )

    def interpret(
        self,
        *,
        server: BackendServer,
        content: RequestContent,
        response: ResponseParser,
    ) -> ResponseInfo:
        """Judge a complete answer."""
        load = _load(server, response)
        if _is_check(content):
            return _read_check(server, response, load)
        expected = _field(content.headers, REQUEST_ID)
        echoed = response.field(REQUEST_ID)
        if echoed is not None and expected is not None and echoed != expected:
            return ResponseInfo(
                failure=_failure('answer to another request'),
                is_mismatched=True,
            )
        failure = _refusal_of(response, load) or _spoiled(response)
        return ResponseInfo(load, failure, idle_limit=_idle_limit(response))

    def response_fields(self, *, response: ResponseParser) -> Headers:
        """Fields for the caller."""
        return response.forwarded_headers(_TO_CALLER)


class PlatformCallerDialect:
    """Fields between callers and a gateway."""

    @property
    def dropped_fields(self) -> frozenset[str]:
        """Fields that stop at the gateway or are set anew."""
        return _FROM_CALLER

    def read(self, request: CallerRequest) -> CallerFields:
        """Id and remaining time of a request."""
        text = request.field(DEADLINE.lower())
        remaining = None
        if text is not None and _NUMBER.fullmatch(text):
            remaining = min(int(text), MAX_DEADLINE_MS) / 1000
        return CallerFields(request.field(REQUEST_ID.lower()) or '', remaining)

    def refusal_fields(self, *, request_id: str) -> Headers:
        """The id of the refused request."""
        return ((REQUEST_ID, request_id),) if request_id else ()


def _is_check(content: RequestContent) -> bool:
    """Only load checks are sent without any field of a caller."""
    return not content.headers


def _field(headers: Headers, name: str) -> str | None:
    lower = name.lower()
    for known, value in headers:
        if known.lower() == lower:
            return value
    return None


def _failure(
    detail: str,
    kind: FailureKind = FailureKind.RESET,
    verdict: Verdict = Verdict.MAY_HAVE_RUN,
    load: LoadReport | None = None,
) -> ExchangeFailure:
    return ExchangeFailure(kind, verdict, detail, load)


def _read_check(
    server: BackendServer, response: ResponseParser, load: LoadReport
) -> ResponseInfo:
    server_id = response.field(SERVER_ID)
    if server_id is None or response.field(SIGNATURE) is not None:
        return ResponseInfo(
            failure=_failure('no answer to a load check'), is_mismatched=True
        )
    if server_id != server.server_id:
        return ResponseInfo(
            failure=_failure(
                f'the address belongs to {server_id}', FailureKind.START_ID
            )
        )
    return ResponseInfo(load, idle_limit=_idle_limit(response))


def _refusal_of(
    response: ResponseParser, load: LoadReport
) -> ExchangeFailure | None:
    """Failure of an answer that says that the request did not run."""
    if response.status == MISDIRECTED:
        return _failure(
            'another server has the address',
            FailureKind.START_ID,
            Verdict.DID_NOT_RUN,
        )
    if response.field(NOT_EXECUTED) is not None and response.status != 400:
        return _failure(
            f'backend server answered {response.status}: not run',
            FailureKind.SHED,
            Verdict.DID_NOT_RUN,
            load,
        )
    return None


def _spoiled(response: ResponseParser) -> ExchangeFailure | None:
    """Failure of an answer that is not the server's own whole answer."""
    if 200 <= response.status < 300 and response.field(SIGNATURE) is None:
        return _failure('success without a signature', FailureKind.SHORT_BODY)
    if response.field('Content-Encoding') is not None:
        return _failure('answer with a coding', FailureKind.SHORT_BODY)
    return None


def _idle_limit(response: ResponseParser) -> float | None:
    found = _KEEP_ALIVE_TIMEOUT.search(response.field('Keep-Alive') or '')
    return float(found.group(1)) if found is not None else None


def _load(server: BackendServer, response: ResponseParser) -> LoadReport:
    """Load report of an answer; without the field, an idle server."""
    figures = (response.field(SERVER_LOAD) or '').split(',')
    try:
        running, waiting, slots = (int(text) for text in figures[:3])
    except ValueError:
        running, waiting, slots = 0, 0, server.concurrency
    factor = 1.0
    if len(figures) > 3 and _NUMBER.fullmatch(figures[3].strip()):
        factor = max(1, int(figures[3])) / 100
    cold = response.field(COLD_LEFT_MS) or '0'
    cold_for = int(cold) / 1000 if _NUMBER.fullmatch(cold) else 0.0
    return LoadReport(
        start_id=server.server_id,
        state=ServerState.COLD if cold_for > 0 else ServerState.WARM,
        in_flight=running,
        capacity=max(1, slots),
        queued=waiting,
        work_factor=factor,
        cold_remaining=cold_for,
        is_healthy=response.status == 200,
    )
