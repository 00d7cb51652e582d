"""HTTP front end of instances with routes, which have no customers.

`front_end` is that of instances with customers.

Matches the route, sets the deadline and passes the request to the
`Dispatcher`. A `CallerDialect` defines the header fields;
`caller_connection` reads and writes the messages.
"""

import asyncio
from typing import Final
from typing import NamedTuple
from typing import Protocol

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination.dispatch import Dispatcher
from teaselrock.coordination.events import NoEvents
from teaselrock.coordination.events import RequestObserver
from teaselrock.coordination.registry import InstallationView
from teaselrock.coordination.registry import RouteShares
from teaselrock.protocol import fields
from teaselrock.protocol import problem
from teaselrock.state import BackendResponse
from teaselrock.state import Refusal
from teaselrock.state import RefusalCode
from teaselrock.state import Request
from teaselrock.state import RequestContent
from teaselrock.state import Verdict
from teaselrock.state.routes import CallerLimits
from teaselrock.state.routes import Route
from teaselrock.transport.caller_connection import CallerResponse
from teaselrock.transport.rejections import first_segment
from teaselrock.transport.rejections import MAX_LOGGED_CHARS
from teaselrock.transport.rejections import NoRejections
from teaselrock.transport.rejections import Rejection
from teaselrock.transport.rejections import RejectionObserver
from teaselrock.transport.request_parser import CallerRequest
from teaselrock.transport.request_parser import RequestError

# A request is ended this long before its deadline, so that the response can
# reach the caller in time.
RESPONSE_MARGIN_S: Final = 0.01
UNKNOWN_DEADLINE_S: Final = 60.0
# Retry-After of a refusal that states none.
RETRY_AFTER_S: Final = 0.3
# Retry-After of a request that may match a route of a newer version. Callers
# repeat it on a new connection, and another instance may have that version.
OUTDATED_ROUTES_RETRY_AFTER_S: Final = 0.2
# Reported as the refusal code of a request whose caller disconnected before
# the response.
CALLER_DISCONNECTED: Final = 'caller-gone'
# 503 means that the request did not run. The other statuses of refusals mean
# that it may have run.
_DID_NOT_RUN_STATUS: Final = 503
_MAY_HAVE_RUN_STATUS: Final = {RefusalCode.DEADLINE_EXCEEDED: 504}
# A body or head exceeds a limit of the routing table.
_LIMIT_STATUSES: Final = frozenset({413, 431})
# Stands for a request that could not be parsed, in the report of its refusal.
_UNPARSED_REQUEST: Final = Request(
    customer='',
    service='',
    content=RequestContent('', '', (), b''),
    deadline=0.0,
)


class CallerFields(NamedTuple):
    """Id of a request and the time that its caller still waits.

    `remaining` is in seconds, None if the caller does not state it.
    """

    request_id: str
    remaining: float | None


class CallerDialect(Protocol):
    """Header fields between callers and gateways."""

    @property
    def dropped_fields(self) -> frozenset[str]:
        """Lower-case names of request fields that are not forwarded."""
        ...

    def read(self, request: CallerRequest) -> CallerFields:
        """Read the id and remaining time of a request."""
        ...

    def refusal_fields(
        self, *, request_id: str
    ) -> tuple[tuple[str, str], ...]:
        """Header fields of a refusal."""
        ...


class RoutedFrontEnd:
    """`RequestHandler` that routes the requests of one instance."""

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        view: InstallationView,
        shares: RouteShares,
        dialect: CallerDialect,
        observer: RequestObserver = NoEvents(),
        rejection_observer: RejectionObserver = NoRejections(),
    ) -> None:
        self._dispatcher = dispatcher
        self._view = view
        self._shares = shares
        self._dialect = dialect
        self._observer = observer
        self._rejection_observer = rejection_observer

    @property
    def limits(self) -> CallerLimits:
        """Limits of the routing table in force."""
        return self._view.table.limits

    def may_pipeline(self, request: CallerRequest) -> bool:
        """Whether the request is idempotent or will not run."""
        route = self._view.index.match(
            host=request.field('host') or '', target=request.target
        )
        return route is None or route.is_idempotent

    def time_limit(self, request: CallerRequest) -> float:
        """Time until the deadline; that of a head if there is no route."""
        route = self._view.index.match(
            host=request.field('host') or '', target=request.target
        )
        if route is None:
            return self.limits.head_timeout
        return _time_left(route, self._dialect.read(request))

    async def serve(self, request: CallerRequest) -> CallerResponse:
        """Serve one request and report its outcome to the observer."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        caller_fields = self._dialect.read(request)
        parsed = self._parse(request, caller_fields)
        service = parsed.ok.service if parsed.is_ok() else ''
        verdict, code = Verdict.MAY_HAVE_RUN.value, CALLER_DISCONNECTED
        try:
            if parsed.is_ok():
                result = await self._dispatcher.dispatch(request=parsed.ok)
            else:
                result = self._refuse(request, caller_fields, parsed.error)
            verdict, code = _outcome(result)
        finally:
            self._observer.on_request(
                customer='',
                service=service,
                seconds=loop.time() - started,
                verdict=verdict,
                code=code,
            )
        if result.is_ok():
            response = result.ok
            return CallerResponse(
                response.status, response.headers, response.body
            )
        return self._refusal_response(result.error, caller_fields.request_id)

    def error_response(self, error: RequestError) -> CallerResponse:
        """Response to a request that could not be parsed.

        A newer version of the routes may have higher limits, so exceeding
        them is final only while the routes are known to be current.
        """
        if (
            error.status in _LIMIT_STATUSES
            and not self._view.table_freshness.is_current
        ):
            refusal = self._outdated_refusal(str(error))
            self._dispatcher.refuse(request=_UNPARSED_REQUEST, refusal=refusal)
            return self._refusal_response(refusal, request_id='')
        if error.status != _DID_NOT_RUN_STATUS:
            self._report_rejection(error.status, str(error))
        headers = [('Content-Type', 'text/plain; charset=utf-8')]
        if error.status == _DID_NOT_RUN_STATUS:
            headers.append(('Retry-After', f'{RETRY_AFTER_S:.2f}'))
        return CallerResponse(
            error.status, tuple(headers), f'{error}\n'.encode()
        )

    def _parse(
        self, http_request: CallerRequest, caller_fields: CallerFields
    ) -> Result[Request, Refusal]:
        if not self._view.is_complete:
            return Error(
                _refusal(
                    RefusalCode.INSTANCE_NOT_READY,
                    'the configuration is not loaded yet',
                )
            )
        route = self._view.index.match(
            host=http_request.field('host') or '', target=http_request.target
        )
        if route is None:
            return Error(self._unmatched_refusal())
        now = asyncio.get_running_loop().time()
        remaining = _time_left(route, caller_fields)
        return Ok(
            Request(
                customer='',
                service=self._shares.choose(route),
                content=RequestContent(
                    http_request.method,
                    http_request.target,
                    fields.filter_headers(
                        http_request.headers, self._dialect.dropped_fields
                    ),
                    http_request.body,
                ),
                deadline=now + remaining - RESPONSE_MARGIN_S,
                request_id=caller_fields.request_id,
                route=route,
                hold=http_request.hold,
            )
        )

    def _unmatched_refusal(self) -> Refusal:
        """Refusal of a request without a route; final if routes are current.

        A newer version may have the route while they are not.
        """
        detail = 'no route matches this host and path'
        if self._view.table_freshness.is_current:
            return _refusal(RefusalCode.UNKNOWN_SERVICE, detail)
        return self._outdated_refusal(detail)

    def _outdated_refusal(self, detail: str) -> Refusal:
        """Refusal for a reason that a newer version of the routes may end."""
        return Refusal(
            RefusalCode.INSTANCE_NOT_READY,
            Verdict.DID_NOT_RUN,
            f'{detail} in version {self._view.table.version} of the routes, '
            'which was last known to be current '
            f'{self._view.table_freshness.age:.1f} s ago',
            OUTDATED_ROUTES_RETRY_AFTER_S,
        )

    def _refuse(
        self,
        http_request: CallerRequest,
        caller_fields: CallerFields,
        refusal: Refusal,
    ) -> Result[BackendResponse, Refusal]:
        """Report a request that is refused before it has a route."""
        status = _http_status(refusal)
        if status != _DID_NOT_RUN_STATUS:
            self._report_rejection(
                status,
                refusal.detail,
                request=http_request,
                request_id=caller_fields.request_id,
            )
        return self._dispatcher.refuse(
            request=_unrouted_request(http_request, caller_fields),
            refusal=refusal,
        )

    def _report_rejection(
        self,
        status: int,
        detail: str,
        *,
        request: CallerRequest | None = None,
        request_id: str = '',
    ) -> None:
        host = target = ''
        if request is not None:
            host, target = request.field('host') or '', request.target
        origin = self._view.table_origin
        now = asyncio.get_running_loop().time()
        self._rejection_observer.on_rejection(
            rejection=Rejection(
                status=status,
                detail=detail,
                request_id=request_id,
                host=host[:MAX_LOGGED_CHARS],
                prefix=first_segment(target),
                host_routes=self._view.index.count_of_host(host),
                version=self._view.table.version,
                table_age=now - origin.in_force_since,
                source=origin.source,
            )
        )

    def _refusal_response(
        self, refusal: Refusal, request_id: str
    ) -> CallerResponse:
        status = _http_status(refusal)
        headers = [
            ('Content-Type', problem.CONTENT_TYPE),
            *self._dialect.refusal_fields(request_id=request_id),
        ]
        if status == _DID_NOT_RUN_STATUS:
            delay = refusal.retry_after or RETRY_AFTER_S
            headers.append(('Retry-After', f'{delay:.2f}'))
        return CallerResponse(status, tuple(headers), problem.body(refusal))


def _time_left(route: Route, caller_fields: CallerFields) -> float:
    """Seconds in which the caller and the route's operator want a response."""
    if caller_fields.remaining is None:
        return route.timeout
    return min(route.timeout, caller_fields.remaining)


def _unrouted_request(
    http_request: CallerRequest, caller_fields: CallerFields
) -> Request:
    """Build a request without a route, for the report of its refusal."""
    return Request(
        customer='',
        service='',
        content=RequestContent(
            http_request.method, http_request.target, (), b''
        ),
        deadline=asyncio.get_running_loop().time(),
        request_id=caller_fields.request_id,
    )


def _http_status(refusal: Refusal) -> int:
    """HTTP status of a refusal; 503 only if the request did not run."""
    if refusal.code in (RefusalCode.UNKNOWN_SERVICE, RefusalCode.BAD_REQUEST):
        return problem.HTTP_STATUS[refusal.code]
    if refusal.verdict is Verdict.DID_NOT_RUN:
        return _DID_NOT_RUN_STATUS
    return _MAY_HAVE_RUN_STATUS.get(refusal.code, 502)


def _refusal(code: RefusalCode, detail: str) -> Refusal:
    return Refusal(code, Verdict.DID_NOT_RUN, detail, RETRY_AFTER_S)


def _outcome(result: Result[BackendResponse, Refusal]) -> tuple[str, str]:
    """Verdict and refusal code for the observer; '' without a refusal."""
    if result.is_ok():
        return Verdict.RAN.value, ''
    return result.error.verdict.value, result.error.code.value
