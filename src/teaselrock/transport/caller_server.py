"""aiohttp server for callers' connections.

Answers malformed HTTP with the same problem details as any other refusal.
`front_end` handles the requests that are well formed.
"""

from typing import Final

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from teaselrock.protocol import problem
from teaselrock.state import Refusal
from teaselrock.state import RefusalCode
from teaselrock.state import Verdict

# After a refused body, input is read this long, so that the caller gets the
# refusal and not a reset.
LINGERING_TIME_S: Final = 1.0

_MALFORMED: Final = Refusal(
    RefusalCode.BAD_REQUEST, Verdict.DID_NOT_RUN, 'malformed HTTP request'
)
# The handler failed at an unknown point of the request.
_FAILED: Final = Refusal(
    RefusalCode.BACKEND_FAILED,
    Verdict.MAY_HAVE_RUN,
    'the gateway failed to serve the request',
)


def refusal_response(refusal: Refusal) -> web.Response:
    """HTTP response of a refusal."""
    return web.Response(
        status=problem.HTTP_STATUS[refusal.code],
        headers=problem.headers(refusal),
        body=problem.body(refusal),
    )


class _Connection(RequestHandler):
    """A caller's connection."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that could not be parsed, and close."""
        if request.writer is not None and request.writer.output_size > 0:
            raise ConnectionError('the answer has already begun')
        if status >= 500:
            self.log_exception('Error handling request', exc_info=exc)
        response = refusal_response(_FAILED if status >= 500 else _MALFORMED)
        # aiohttp leaves the field out where it could not read the version.
        response.headers['Connection'] = 'close'
        response.force_close()
        return response


class CallerServer(web.Server):
    """Makes the connections; bodies are passed through undecoded."""

    _shutdown_limit: float | None = None

    def limit_shutdown(self, *, seconds: float) -> None:
        """Set the longest wait for answers in progress at the shutdown."""
        self._shutdown_limit = seconds

    async def shutdown(self, timeout: float | None = None) -> None:
        """Wait for the requests in progress."""
        await super().shutdown(self._shutdown_limit or timeout)

    def __call__(self) -> RequestHandler:
        """Make the protocol of a new connection."""
        return _Connection(
            self,
            loop=self._loop,
            auto_decompress=False,
            lingering_time=LINGERING_TIME_S,
        )
