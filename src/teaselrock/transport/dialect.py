"""Dialects, the header formats between gateways and backend servers.

The format between callers and gateways is `CallerDialect` in
`routed_front_end`. `backend` frames and parses messages; a `BackendDialect`
defines the header fields that they carry. `DefaultBackendDialect` is
teaselrock's format, which `protocol.fields` defines.
"""

from typing import Final
from typing import NamedTuple
from typing import Protocol

from teaselrock.protocol import fields
from teaselrock.state import BackendServer
from teaselrock.state import ExchangeFailure
from teaselrock.state import FailureKind
from teaselrock.state import LoadReport
from teaselrock.state import RequestContent
from teaselrock.state import Verdict
from teaselrock.transport.response_parser import ResponseParser

Headers = tuple[tuple[str, str], ...]

_LOAD_CHECK: Final = RequestContent('GET', fields.LOAD_TARGET, (), b'')


class ResponseInfo(NamedTuple):
    """Load, failure and connection data of a response.

    `failure` is set if the response is not the server's whole response to
    the request, `is_late` if it belongs to an earlier request.
    `idle_timeout` is the time for which the server keeps an idle connection,
    in seconds, None if it is not stated. `proves_order` is False if nothing
    shows to which request the response belongs; the connection is then not
    used again, since a late copy would pass for the next response.
    """

    load: LoadReport | None = None
    failure: ExchangeFailure | None = None
    is_late: bool = False
    idle_timeout: float | None = None
    proves_order: bool = True


class BackendDialect(Protocol):
    """Header fields of requests to backend servers and of their responses."""

    @property
    def accepts_close_delimited(self) -> bool:
        """Whether an orderly close of the connection may end a response."""
        ...

    @property
    def requires_load_on_connect(self) -> bool:
        """Whether a new connection must first provide a load report."""
        ...

    def load_check(self, *, server: BackendServer) -> RequestContent:
        """Build a request for a load report."""
        ...

    def request_fields(
        self,
        *,
        server: BackendServer,
        content: RequestContent,
        remaining: float,
        number: int,
    ) -> Headers:
        """Header fields of a request, except Content-Length.

        `remaining` is the time until the deadline, in seconds. `number` is
        that of the request on its connection, from 1.
        """
        ...

    def interpret(
        self,
        *,
        server: BackendServer,
        content: RequestContent,
        response: ResponseParser,
        number: int,
    ) -> ResponseInfo:
        """Evaluate a complete response to request `number`, `content`."""
        ...

    def response_fields(self, *, response: ResponseParser) -> Headers:
        """Header fields that are forwarded to the caller."""
        ...


class DefaultBackendDialect:
    """teaselrock's header format."""

    @property
    def accepts_close_delimited(self) -> bool:
        """False: a lost connection looks the same as an orderly close."""
        return False

    @property
    def requires_load_on_connect(self) -> bool:
        """True: a slot is valid only for the start id in the report."""
        return True

    def load_check(self, *, server: BackendServer) -> RequestContent:
        """Build a request for a load report."""
        return _LOAD_CHECK

    def request_fields(
        self,
        *,
        server: BackendServer,
        content: RequestContent,
        remaining: float,
        number: int,
    ) -> Headers:
        """Host, remaining time in ms, number and the caller's fields."""
        return (
            ('Host', server.address),
            (fields.DEADLINE_MS, str(max(1, int(remaining * 1000)))),
            (fields.EXCHANGE_NUMBER, str(number)),
            *content.headers,
        )

    def interpret(
        self,
        *,
        server: BackendServer,
        content: RequestContent,
        response: ResponseParser,
        number: int,
    ) -> ResponseInfo:
        """Read the load report and whether the server ran the request."""
        echoed = response.field(fields.EXCHANGE_NUMBER)
        if echoed is not None and echoed != str(number):
            return ResponseInfo(
                failure=ExchangeFailure(
                    FailureKind.NO_RESPONSE,
                    Verdict.MAY_HAVE_RUN,
                    f'response of {server.server_id} to an earlier request',
                ),
                is_late=True,
            )
        proves_order = echoed is not None or _is_load_check(content)
        report = fields.decode_load(response.field(fields.BACKEND_LOAD) or '')
        if response.field(fields.BACKEND_VERDICT) != Verdict.DID_NOT_RUN:
            return ResponseInfo(report, proves_order=proves_order)
        if not proves_order:
            return ResponseInfo(
                report,
                ExchangeFailure(
                    FailureKind.INVALID_RESPONSE,
                    Verdict.MAY_HAVE_RUN,
                    f'backend server {server.server_id} responded '
                    f'{response.status} without the number of the request',
                ),
                proves_order=False,
            )
        draining = report is not None and report.state == 'draining'
        return ResponseInfo(
            report,
            ExchangeFailure(
                FailureKind.DRAINING if draining else FailureKind.NOT_ACCEPTED,
                Verdict.DID_NOT_RUN,
                f'backend server {server.server_id} responded '
                f'{response.status}: request not run',
                report,
            ),
        )

    def response_fields(self, *, response: ResponseParser) -> Headers:
        """Header fields that are forwarded to the caller."""
        return response.forwarded_headers(fields.DROPPED_RESPONSE_FIELDS)


def _is_load_check(content: RequestContent) -> bool:
    return content.target == _LOAD_CHECK.target
