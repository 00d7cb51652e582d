"""Operators' endpoint on the event loop, for `daemon.platform_gateway`.

The platform bills processor time. cheroot's server, which
`operators_endpoint` uses, polls for work a hundred times a second; this one
waits for connections without polling.
"""

from typing import Final

from teaselrock.state.routes import CallerLimits
from teaselrock.transport.caller_connection import CallerResponse
from teaselrock.transport.caller_listener import CallerListener
from teaselrock.transport.operators_pages import OperatorsSource
from teaselrock.transport.operators_pages import page
from teaselrock.transport.operators_pages import READY_PATH
from teaselrock.transport.request_parser import CallerRequest
from teaselrock.transport.request_parser import RequestError

# Limits for metric scrapers and the platform's readiness checks.
LIMITS: Final = CallerLimits(max_body_bytes=1024, idle_timeout=10.0)
# Descriptors and memory are for callers; scrapers and checks need few.
MAX_CONNECTIONS: Final = 32


class OperatorsHandler:
    """`RequestHandler` that serves the operators' pages."""

    def __init__(self, *, source: OperatorsSource, ready_path: str) -> None:
        self._source = source
        self._ready_path = ready_path

    @property
    def limits(self) -> CallerLimits:
        """Fixed limits of requests."""
        return LIMITS

    def may_pipeline(self, request: CallerRequest) -> bool:
        """True: reading a page has no effect."""
        return True

    def time_limit(self, request: CallerRequest) -> float:
        """That of a head: a page takes no time."""
        return LIMITS.head_timeout

    async def serve(self, request: CallerRequest) -> CallerResponse:
        """Serve one page."""
        shown_page = page(
            self._source,
            method=request.method,
            path=request.target.partition('?')[0],
            ready_path=self._ready_path,
        )
        headers = (
            ('Content-Type', shown_page.content_type),
            ('Cache-Control', 'no-store'),
        )
        return CallerResponse(
            int(shown_page.status[:3]), headers, shown_page.body
        )

    def error_response(self, error: RequestError) -> CallerResponse:
        """Response to a request that could not be parsed."""
        return CallerResponse(error.status, ())


def make_operators_listener(
    *, source: OperatorsSource, ready_path: str = READY_PATH
) -> CallerListener:
    """Create a listener that serves the operators' pages."""
    handler = OperatorsHandler(source=source, ready_path=ready_path)
    return CallerListener(handler=handler, max_connections=MAX_CONNECTIONS)
