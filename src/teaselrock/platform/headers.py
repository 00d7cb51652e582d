"""Header fields of the platform, on both sides of a gateway.

Implements `BackendDialect` and `CallerDialect` of `transport`.
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
# Time until the deadline of a request.
DEADLINE_MS: Final = 'X-Teaselrock-Deadline-Ms'
# Shows that the body comes from the backend server itself.
SIGNATURE: Final = 'X-Teaselrock-Response-Signature'
# The "instance" of this header field and of `SERVER_ID` is a backend server,
# not a gateway instance.
EXPECTED_SERVER_ID: Final = 'X-Teaselrock-Expected-Instance'
NOT_EXECUTED: Final = 'X-Teaselrock-Not-Executed'
SERVER_ID: Final = 'X-Teaselrock-Instance-Id'
# running,waiting,slots[,work factor in percent]
SERVER_LOAD: Final = 'X-Teaselrock-Server-Load'
COLD_LEFT_MS: Final = 'X-Teaselrock-Cold-Ms'
# Requests per second that the server takes from all instances together.
RATE_LIMIT: Final = 'Server-Limit'

# '1' in all responses of a server that ends soon.
LEAVING: Final = 'Server-Leaving'
# In a 503: for how many seconds the server wants no request of this instance.
RETRY_AFTER: Final = 'Retry-After'

DEFAULT_HEALTH_TARGET: Final = '/health'
MISDIRECTED_REQUEST_STATUS: Final = 421
# Callers take these statuses as a promise that the request did not run.
_PROMISING_STATUSES: Final = frozenset(
    {408, MISDIRECTED_REQUEST_STATUS, 429, 503}
)
MAX_DEADLINE_MS: Final = 3_600_000
_DECIMAL: Final = re.compile(r'[0-9]{1,9}')
_DECIMAL_FRACTION: Final = re.compile(r'[0-9]{1,9}(\.[0-9]{1,9})?')
_KEEP_ALIVE_TIMEOUT: Final = re.compile(r'timeout=(\d{1,6})')
_DROPPED_REQUEST_FIELDS: Final = fields.HOP_BY_HOP | {
    DEADLINE_MS.lower(),
    EXPECTED_SERVER_ID.lower(),
}
_DROPPED_RESPONSE_FIELDS: Final = fields.HOP_BY_HOP | {
    SERVER_LOAD.lower(),
    SERVER_ID.lower(),
    NOT_EXECUTED.lower(),
    COLD_LEFT_MS.lower(),
}


class PlatformBackendDialect:
    """Header fields between a gateway and the platform's backend servers."""

    def __init__(self, *, health_target: Callable[[str], str]) -> None:
        self._health_target = health_target

    @property
    def accepts_close_delimited(self) -> bool:
        """True: responses without a length end with an orderly close."""
        return True

    @property
    def requires_load_on_connect(self) -> bool:
        """False: the load is checked at each choice of a server."""
        return False

    def load_check(self, *, server: BackendServer) -> RequestContent:
        """Build a health check, whose response carries the load."""
        return RequestContent(
            'GET', self._health_target(server.service), (), b''
        )

    def request_fields(
        self,
        *,
        server: BackendServer,
        content: RequestContent,
        remaining: float,
        number: int,
    ) -> Headers:
        """The caller's fields, the remaining time and the server's id.

        A load check carries only `Host`.
        """
        if _is_load_check(content):
            return (('Host', server.address),)
        return (
            *content.headers,
            (DEADLINE_MS, str(max(1, int(remaining * 1000)))),
            (EXPECTED_SERVER_ID, server.server_id),
        )

    def interpret(
        self,
        *,
        server: BackendServer,
        content: RequestContent,
        response: ResponseParser,
        number: int,
    ) -> ResponseInfo:
        """Evaluate a complete response."""
        load = _load_report(server, response)
        if _is_load_check(content):
            return _interpret_load_check(server, response, load)
        expected = _field_value(content.headers, REQUEST_ID)
        echoed = response.field(REQUEST_ID)
        if echoed is not None and echoed != expected:
            return ResponseInfo(
                failure=_failure('response to another request'),
                is_late=True,
            )
        if echoed != expected:
            failure: ExchangeFailure | None = _failure(
                f'response {response.status} without the id of the request',
                FailureKind.INVALID_RESPONSE,
            )
        else:
            failure = _refusal_failure(
                response, load, has_id=expected is not None
            ) or _invalid_response_failure(response)
        return ResponseInfo(
            load, failure, idle_timeout=_idle_timeout(response)
        )

    def response_fields(self, *, response: ResponseParser) -> Headers:
        """Header fields that are forwarded to the caller."""
        return response.forwarded_headers(_DROPPED_RESPONSE_FIELDS)


class PlatformCallerDialect:
    """Header fields between callers and a gateway."""

    @property
    def dropped_fields(self) -> frozenset[str]:
        """Fields that are not forwarded or that the gateway sets itself."""
        return _DROPPED_REQUEST_FIELDS

    def read(self, request: CallerRequest) -> CallerFields:
        """Read the id and remaining time of a request."""
        text = request.field(DEADLINE_MS.lower())
        remaining = None
        if text is not None and _DECIMAL.fullmatch(text):
            remaining = min(int(text), MAX_DEADLINE_MS) / 1000
        return CallerFields(request.field(REQUEST_ID.lower()) or '', remaining)

    def refusal_fields(self, *, request_id: str) -> Headers:
        """The id of the refused request."""
        return ((REQUEST_ID, request_id),) if request_id else ()


def _is_load_check(content: RequestContent) -> bool:
    """Whether a request is a load check.

    Every other request has header fields of its caller.
    """
    return not content.headers


def _field_value(headers: Headers, name: str) -> str | None:
    lower = name.lower()
    for header_name, value in headers:
        if header_name.lower() == lower:
            return value
    return None


def _failure(
    detail: str,
    kind: FailureKind = FailureKind.NO_RESPONSE,
    verdict: Verdict = Verdict.MAY_HAVE_RUN,
    load: LoadReport | None = None,
) -> ExchangeFailure:
    return ExchangeFailure(kind, verdict, detail, load)


def _interpret_load_check(
    server: BackendServer, response: ResponseParser, load: LoadReport
) -> ResponseInfo:
    server_id = response.field(SERVER_ID)
    if (
        server_id is None
        or response.field(SIGNATURE) is not None
        or response.field(REQUEST_ID) is not None
    ):
        return ResponseInfo(
            failure=_failure('response does not belong to a load check'),
            is_late=True,
        )
    if server_id != server.server_id:
        return ResponseInfo(
            failure=_failure(
                f'the address belongs to backend server {server_id}',
                FailureKind.SERVER_CHANGED,
            )
        )
    return ResponseInfo(load, idle_timeout=_idle_timeout(response))


def _refusal_failure(
    response: ResponseParser, load: LoadReport, *, has_id: bool
) -> ExchangeFailure | None:
    """Failure if the response is a refusal or would pass for one.

    A faulty server may send an earlier refusal again, so a refusal shows that
    the request did not run only if both have the same id (`has_id`).
    """
    states_refusal = response.status == MISDIRECTED_REQUEST_STATUS or (
        response.field(NOT_EXECUTED) is not None and response.status != 400
    )
    if not states_refusal and response.status not in _PROMISING_STATUSES:
        return None
    if not states_refusal or not has_id:
        return _failure(
            f'response {response.status} does not prove that this request '
            'did not run',
            FailureKind.INVALID_RESPONSE,
        )
    if response.status == MISDIRECTED_REQUEST_STATUS:
        return _failure(
            'the address belongs to another backend server',
            FailureKind.SERVER_CHANGED,
            Verdict.DID_NOT_RUN,
        )
    return _failure(
        f'backend server responded {response.status}: request not run',
        FailureKind.NOT_ACCEPTED,
        Verdict.DID_NOT_RUN,
        load,
    )


def _invalid_response_failure(
    response: ResponseParser,
) -> ExchangeFailure | None:
    """Failure unless the response is the server's own, whole response.

    A success must have a signature, and no response may have a content
    coding.
    """
    if 200 <= response.status < 300 and response.field(SIGNATURE) is None:
        return _failure(
            'successful response without a signature',
            FailureKind.INVALID_RESPONSE,
        )
    if response.field('Content-Encoding') is not None:
        return _failure(
            'response with a content coding', FailureKind.INVALID_RESPONSE
        )
    return None


def _idle_timeout(response: ResponseParser) -> float | None:
    match = _KEEP_ALIVE_TIMEOUT.search(response.field('Keep-Alive') or '')
    return float(match.group(1)) if match is not None else None


def _load_report(
    server: BackendServer, response: ResponseParser
) -> LoadReport:
    """Load report of a response; without the field, of an idle server."""
    parts = (response.field(SERVER_LOAD) or '').split(',')
    try:
        running, queued, capacity = (int(text) for text in parts[:3])
    except ValueError:
        running, queued, capacity = 0, 0, server.concurrency
    work_factor = 1.0
    if len(parts) > 3 and _DECIMAL.fullmatch(parts[3].strip()):
        work_factor = max(1, int(parts[3])) / 100
    cold = response.field(COLD_LEFT_MS) or '0'
    cold_remaining = int(cold) / 1000 if _DECIMAL.fullmatch(cold) else 0.0
    return LoadReport(
        # The platform reports no start id; the server id shows only that
        # another server has the address.
        start_id=server.server_id,
        state=ServerState.COLD if cold_remaining > 0 else ServerState.WARM,
        in_flight=running,
        capacity=max(1, capacity),
        queued=queued,
        work_factor=work_factor,
        cold_remaining=cold_remaining,
        is_healthy=response.status == 200,
        rate_limit=_decimal_field(response, RATE_LIMIT),
        is_leaving=(response.field(LEAVING) or '').strip() == '1',
        retry_after=(
            _decimal_field(response, RETRY_AFTER)
            if response.status == 503
            else None
        ),
    )


def _decimal_field(response: ResponseParser, name: str) -> float | None:
    """A decimal number; None if it is missing or cannot be read."""
    text = (response.field(name) or '').strip()
    return float(text) if _DECIMAL_FRACTION.fullmatch(text) else None
