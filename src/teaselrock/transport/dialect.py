"""Header formats between gateways and backend servers.

`backend` frames and parses messages; a `BackendDialect` defines the header
fields that they carry. `DefaultBackendDialect` is teaselrock's format, which
`protocol.fields` defines.
"""

from typing import Final
from typing import NamedTuple
from typing import Protocol

from teaselrock.protocol import fields
from teaselrock.state import BackendServer
from teaselrock.state import Content
from teaselrock.state import ExchangeFailure
from teaselrock.state import FailureKind
from teaselrock.state import LoadReport
from teaselrock.state import Verdict
from teaselrock.transport.response_parser import ResponseParser

Headers = tuple[tuple[str, str], ...]

_LOAD_CHECK: Final = Content('GET', fields.LOAD_TARGET, (), b'')


class ResponseInfo(NamedTuple):
    """What an answer says beyond its content.

    `failure` is set if the answer is not the server's whole answer to the
    request. `idle_limit` is how long the server keeps an idle connection,
    in seconds, None if it does not say.
    """

    load: LoadReport | None = None
    failure: ExchangeFailure | None = None
    is_mismatched: bool = False
    idle_limit: float | None = None


class BackendDialect(Protocol):
    """Fields of requests to backend servers and of their answers."""

    @property
    def accepts_close_delimited(self) -> bool:
        """Whether the clean end of a connection can end an answer."""
        ...

    @property
    def requires_load_on_connect(self) -> bool:
        """Whether a connection has to begin with a load report."""
        ...

    def load_check(self, *, server: BackendServer) -> Content:
        """Request for a load report."""
        ...

    def request_fields(
        self, *, server: BackendServer, content: Content, remaining: float
    ) -> Headers:
        """All fields but the length; `remaining` is in seconds."""
        ...

    def interpret(
        self,
        *,
        server: BackendServer,
        content: Content,
        response: ResponseParser,
    ) -> ResponseInfo:
        """Judge a complete answer to `content`."""
        ...

    def response_fields(self, *, response: ResponseParser) -> Headers:
        """Fields for the caller."""
        ...


class DefaultBackendDialect:
    """teaselrock's own format."""

    @property
    def accepts_close_delimited(self) -> bool:
        """False: a lost connection looks the same as a clean end."""
        return False

    @property
    def requires_load_on_connect(self) -> bool:
        """True: slots are bound to the start id of the connection."""
        return True

    def load_check(self, *, server: BackendServer) -> Content:
        """Request for a load report."""
        return _LOAD_CHECK

    def request_fields(
        self, *, server: BackendServer, content: Content, remaining: float
    ) -> Headers:
        """Host, the remaining time and the forwarded fields."""
        return (
            ('Host', server.address),
            (fields.DEADLINE, str(max(1, int(remaining * 1000)))),
            *content.headers,
        )

    def interpret(
        self,
        *,
        server: BackendServer,
        content: Content,
        response: ResponseParser,
    ) -> ResponseInfo:
        """Load report and whether the server did not run the request."""
        report = fields.decode_load(response.field(fields.BACKEND_LOAD) or '')
        if response.field(fields.BACKEND_VERDICT) != Verdict.DID_NOT_RUN:
            return ResponseInfo(report)
        draining = report is not None and report.state == 'draining'
        return ResponseInfo(
            report,
            ExchangeFailure(
                FailureKind.DRAINING if draining else FailureKind.SHED,
                Verdict.DID_NOT_RUN,
                f'backend server answered {response.status}: not run',
                report,
            ),
        )

    def response_fields(self, *, response: ResponseParser) -> Headers:
        """Fields for the caller."""
        return response.forwarded(fields.DROPPED_RESPONSE_FIELDS)
