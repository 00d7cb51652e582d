"""HTTP server of stand-in backend servers.

`serve_http` serves a `ServerModel` over HTTP with its load reports,
deadlines, shed requests and connection faults.
"""

import asyncio

from aiohttp import web

from teaselrock.protocol import fields
from teaselrock.standins.server import ConnectionFault
from teaselrock.standins.server import Overload
from teaselrock.standins.server import ServerModel
from teaselrock.standins.server import Shed
from teaselrock.state import RequestContent
from teaselrock.state import Verdict

__all__ = ('Overload', 'ServerModel', 'Shed', 'serve_http')


class _ConnectionHandler:
    """Handles the HTTP connections of one server."""

    def __init__(self, *, model: ServerModel) -> None:
        self._model = model
        self._transports: set[asyncio.Transport] = set()

    def _attach(self, transport: asyncio.Transport) -> bool:
        """Attach the connection to the model; False if it is refused.

        Closed connections are detached first.
        """
        for closed in [t for t in self._transports if t.is_closing()]:
            self._transports.discard(closed)
            self._model.detach(closed.abort)
        self._transports.add(transport)
        return self._model.attach(transport.abort)

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        transport = http.transport
        if transport is None:
            raise ConnectionResetError
        if not self._attach(transport):
            transport.abort()
            raise ConnectionResetError
        if http.path == fields.LOAD_TARGET:
            return web.Response(headers=self._response_headers(http))
        content = RequestContent(
            http.method,
            http.raw_path,
            tuple(http.headers.items()),
            await http.read(),
        )
        fault = self._model.draw_connection_fault()
        result = await self._model.serve(
            content=content, deadline=_deadline(http)
        )
        if isinstance(result, Shed):
            headers = self._response_headers(http)
            headers[fields.BACKEND_VERDICT] = Verdict.DID_NOT_RUN.value
            return web.Response(status=503, headers=headers)
        headers = dict(result.headers) | self._response_headers(http)
        if fault is ConnectionFault.RESET:
            transport.abort()
            raise ConnectionResetError
        if fault is ConnectionFault.SHORT_BODY:
            headers['Content-Length'] = str(len(result.body))
            return await _send_half_body(http, headers, result.body)
        return web.Response(
            status=result.status, headers=headers, body=result.body
        )

    def _response_headers(self, http: web.BaseRequest) -> dict[str, str]:
        headers = {fields.BACKEND_LOAD: fields.encode_load(self._model.load)}
        number = http.headers.get(fields.EXCHANGE_NUMBER)
        if number is not None:
            headers[fields.EXCHANGE_NUMBER] = number
        return headers


async def _send_half_body(
    http: web.BaseRequest, headers: dict[str, str], body: bytes | bytearray
) -> web.StreamResponse:
    """Send the first half of a body, then close the connection."""
    response = web.StreamResponse(headers=headers)
    await response.prepare(http)
    await response.write(body[: len(body) // 2])
    if http.transport is not None:
        http.transport.close()
    return response


def _deadline(http: web.BaseRequest) -> float | None:
    text = http.headers.get(fields.DEADLINE_MS, '')
    if not text.isdecimal():
        return None
    return asyncio.get_running_loop().time() + int(text) / 1000


async def serve_http(
    *, model: ServerModel, host: str, port: int
) -> web.ServerRunner:
    """Serve a model over HTTP; the caller cleans up the runner."""
    handler = _ConnectionHandler(model=model)
    server = web.Server(handler.handle, handler_cancellation=True)
    runner = web.ServerRunner(server, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner
