"""The front end over raw sockets, in front of a scripted dispatcher."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import hashlib
import json
import tracemalloc
from typing import Any
from typing import cast
from typing import NamedTuple

from aiohttp import web
from expression import Error
from expression import Ok
from expression import Result
from memory_trace import traced_without_collector
from memory_trace import wait_released
import pytest
from refused_requests import AUTH
from refused_requests import head
from refused_requests import LENGTH
from refused_requests import post
from refused_requests import REFUSED
from refused_requests import Refused

from teaselrock.coordination.dispatch import Dispatcher
from teaselrock.coordination.events import NoEvents
from teaselrock.coordination.events import RequestObserver
from teaselrock.coordination.in_memory import FixedDirectory
from teaselrock.state import BackendResponse
from teaselrock.state import Refusal
from teaselrock.state import RefusalCode
from teaselrock.state import Request
from teaselrock.state import Verdict
from teaselrock.state.configuration import Document
from teaselrock.state.configuration import empty_document
from teaselrock.transport.caller_server import CallerServer
from teaselrock.transport.front_end import FrontEnd
from teaselrock.transport.request_memory import MAX_SMALL_BYTES
from teaselrock.transport.request_memory import RequestMemory

OUTSIDE = Refusal(
    RefusalCode.OUTSIDE_HOME_REGIONS, Verdict.DID_NOT_RUN, 'outside'
)


def _document(max_body_bytes: int) -> Document:
    document = empty_document()
    for key in ('secret', 'outside'):
        document['customers'][key] = {
            'plan': 'p',
            'key_sha256': [hashlib.sha256(key.encode()).hexdigest()],
        }
    for name in ('desk', 'desk-archive'):
        document['services'][name] = {
            'prefix': f'/{name}',
            'concurrency': 2,
            'deadline_ms': 60_000,
            'non_idempotent_methods': ['POST'],
            'max_body_bytes': max_body_bytes,
        }
    return document


class ScriptedDispatcher:
    """Returns `response`, or waits until cancelled if there is none."""

    def __init__(self, response: BackendResponse | None) -> None:
        self._response = response
        self.requests: list[Request] = []
        self.refused: list[RefusalCode] = []
        self.started = asyncio.Event()
        self.cancelled = asyncio.Event()

    def check(self, *, request: Request) -> Result[None, Refusal]:
        """Refuse the customer `outside`."""
        return Error(OUTSIDE) if request.customer == 'outside' else Ok(None)

    def refuse(
        self, *, request: Request, refusal: Refusal
    ) -> Result[BackendResponse, Refusal]:
        """Record the refusal for the report."""
        self.refused.append(refusal.code)
        return Error(refusal)

    async def dispatch(
        self, *, request: Request
    ) -> Result[BackendResponse, Refusal]:
        """Record the request and return the response."""
        if request.customer == 'outside':
            return Error(OUTSIDE)
        self.requests.append(request)
        self.started.set()
        if self._response is not None:
            return Ok(self._response)
        try:
            await asyncio.Event().wait()
        finally:
            self.cancelled.set()
        raise AssertionError('an event that nothing sets was set')


class RecordingObserver:
    """Records customer, service, verdict and code of each request."""

    def __init__(self) -> None:
        self.requests: list[tuple[str, str, str, str]] = []

    def on_request(
        self,
        *,
        customer: str,
        service: str,
        seconds: float,
        verdict: str,
        code: str,
    ) -> None:
        """Record one request."""
        self.requests.append((customer, service, verdict, code))


@contextlib.asynccontextmanager
async def _served(
    dispatcher: ScriptedDispatcher,
    observer: RequestObserver = NoEvents(),
    memory: RequestMemory | None = None,
    max_body_bytes: int = 10,
    is_ready: bool = True,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    directory = FixedDirectory(document=_document(max_body_bytes), servers=())
    if not is_ready:
        directory.stop()
    front = FrontEnd(
        dispatcher=cast(Dispatcher, dispatcher),
        directory=directory,
        digest_key=b'test key',
        observer=observer,
        memory=memory,
    )
    server = CallerServer(front.handle)
    runner = web.ServerRunner(server, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', runner.addresses[0][1]
    )
    try:
        yield reader, writer
    finally:
        writer.close()
        await runner.cleanup()


class Response(NamedTuple):
    """An HTTP response as the caller reads it."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes

    def field(self, name: str) -> list[str]:
        """Values of a header field."""
        return [value for field, value in self.headers if field == name]


async def _read(
    reader: asyncio.StreamReader, *, body: bool = True
) -> Response:
    head = (await reader.readuntil(b'\r\n\r\n')).decode().split('\r\n')
    headers = [tuple(line.split(': ', 1)) for line in head[1:] if line]
    response = Response(int(head[0].split()[1]), cast(Any, headers), b'')
    length = int((response.field('Content-Length') or ['0'])[0])
    if not body:
        return response
    return response._replace(body=await reader.readexactly(length))


async def _refuse(case: Refused) -> None:
    dispatcher = ScriptedDispatcher(BackendResponse(200, (), b'ok'))
    async with asyncio.timeout(60), _served(dispatcher) as (reader, writer):
        writer.write(case.sent.encode())
        response = await _read(reader)
        problem = json.loads(response.body)
        assert (response.status, problem['code']) == (case.status, case.code)
        assert problem['verdict'] == 'did-not-run'
        assert response.field('Request-Verdict') == ['did-not-run']
        assert response.field('Content-Type') == ['application/problem+json']
        assert dispatcher.requests == []
        expected = [case.code] if case.is_reported else []
        assert dispatcher.refused == expected
        if case.closes:
            assert response.field('Connection') == ['close']
            writer.write_eof()
            assert await reader.read() == b''
        else:
            writer.write(head('GET /desk/a', AUTH).encode())
            assert (await _read(reader)).status == 200


@pytest.mark.parametrize('case', REFUSED, ids=[case.name for case in REFUSED])
def test_refused(case: Refused) -> None:
    """Guards against smuggled requests and refusals without a verdict.

    After a refusal the connection is closed or in step with the caller.
    """
    asyncio.run(_refuse(case))


@pytest.mark.parametrize(
    'sent',
    [
        head('GET /desk/a', 'Authorization: Bearer added\r\n'),
        head('GET /added/a', AUTH),
        head('POST /desk/a', AUTH),
    ],
    ids=['customer', 'service', 'method'],
)
def test_denial_waits_until_the_instance_is_ready(sent: str) -> None:
    """Guards against 401, 404 or 400 by a missing or old configuration.

    An instance that starts, or is isolated, may not know what was added.
    """

    async def main() -> None:
        dispatcher = ScriptedDispatcher(BackendResponse(200, (), b'ok'))
        async with (
            asyncio.timeout(60),
            _served(dispatcher, is_ready=False) as (reader, writer),
        ):
            writer.write(sent.encode())
            response = await _read(reader)
            code = json.loads(response.body)['code']
            assert (response.status, code) == (503, 'instance-not-ready')
            assert response.field('Request-Verdict') == ['did-not-run']
            assert float(response.field('Retry-After')[0]) > 0
            assert dispatcher.requests == []

    asyncio.run(main())


async def _relay(
    sent: str, backend_response: BackendResponse
) -> tuple[Response, Request]:
    dispatcher = ScriptedDispatcher(backend_response)
    async with asyncio.timeout(60), _served(dispatcher) as (reader, writer):
        writer.write(sent.encode('latin-1'))
        has_body = (
            not sent.startswith('HEAD') and backend_response.status != 304
        )
        response = await _read(reader, body=has_body)
        # The next response can be read only if the first ended correctly.
        writer.write(head('GET /desk/next', AUTH).encode())
        await _read(reader, body=backend_response.status != 304)
        return response, dispatcher.requests[0]


@pytest.mark.parametrize(
    ('sent', 'backend_response', 'body', 'length'),
    [
        (
            head('GET /desk/a', AUTH),
            BackendResponse(200, (), b'ok'),
            b'ok',
            ['2'],
        ),
        (
            head('HEAD /desk/a', AUTH),
            BackendResponse(200, (('Content-Length', '9'),), b''),
            b'',
            ['9'],
        ),
        (head('GET /desk/a', AUTH), BackendResponse(204, (), b''), b'', []),
        (head('GET /desk/a', AUTH), BackendResponse(304, (), b''), b'', []),
        (head('GET /desk/a', AUTH), BackendResponse(200, (), b''), b'', ['0']),
    ],
)
def test_response_relayed(
    sent: str,
    backend_response: BackendResponse,
    body: bytes,
    length: list[str],
) -> None:
    """Guards against responses whose end the caller misplaces.

    HEAD, 204 and 304 have no body, whatever their Content-Length says.
    """
    response, _ = asyncio.run(_relay(sent, backend_response))
    assert response.status == backend_response.status
    assert response.body == body
    assert response.field('Content-Length') == length
    assert response.field('Request-Verdict') == ['ran']


def test_fields_relayed() -> None:
    """Guards against lost duplicate fields and relayed hop-by-hop fields."""
    sent = head(
        'GET /desk/a%20b?q=%2e%2e',
        AUTH,
        'Accept: a\r\nAccept: b\r\nConnection: X-Hop\r\nX-Hop: 1\r\n',
        'X-Name: \xe9\r\n',
    )
    backend_response = BackendResponse(
        200,
        (
            ('Set-Cookie', 'a=1'),
            ('Set-Cookie', 'b=2'),
            ('Date', 'then'),
            ('Request-Verdict', 'did-not-run'),
        ),
        b'',
    )
    response, request = asyncio.run(_relay(sent, backend_response))
    assert response.field('Set-Cookie') == ['a=1', 'b=2']
    assert response.field('Date') == ['then']
    assert response.field('Request-Verdict') == ['ran']
    assert request.content.target == '/desk/a%20b?q=%2e%2e'
    assert request.content.headers == (
        ('Accept', 'a'),
        ('Accept', 'b'),
        ('X-Name', b'\xe9'.decode(errors='surrogateescape')),
        ('Request-Depth', '1'),
        ('Request-Attempt', '1'),
    )


def test_compressed_body_relayed() -> None:
    """Guards against a decoded body that is still labelled as encoded."""
    sent = post('Content-Encoding: gzip\r\n', LENGTH) + '12345'
    _, request = asyncio.run(_relay(sent, BackendResponse(200, (), b'')))
    assert request.content.body == b'12345'
    assert ('Content-Encoding', 'gzip') in request.content.headers


async def _disconnect() -> None:
    dispatcher = ScriptedDispatcher(None)
    async with asyncio.timeout(60), _served(dispatcher) as (_, writer):
        writer.write(head('GET /desk/a', AUTH).encode())
        await dispatcher.started.wait()
        writer.close()
        await dispatcher.cancelled.wait()


def test_disconnect_cancels() -> None:
    """Guards against work for callers that have disconnected."""
    asyncio.run(_disconnect())


async def _observe() -> list[tuple[str, str, str, str]]:
    observer = RecordingObserver()
    responding = ScriptedDispatcher(BackendResponse(200, (), b'ok'))
    async with (
        asyncio.timeout(60),
        _served(responding, observer) as (reader, writer),
    ):
        for fields in ((AUTH,), (), (AUTH.replace('secret', 'outside'),)):
            writer.write(head('GET /desk/a', *fields).encode())
            await _read(reader)
    waiting = ScriptedDispatcher(None)
    async with asyncio.timeout(60), _served(waiting, observer) as (_, writer):
        writer.write(head('GET /desk/a', AUTH).encode())
        await waiting.started.wait()
        writer.close()
        await waiting.cancelled.wait()
    return observer.requests


def test_requests_are_observed() -> None:
    """Guards against requests that are missing from the metrics."""
    assert asyncio.run(_observe()) == [
        ('secret', 'desk', 'ran', ''),
        ('', '', 'did-not-run', 'unknown-customer'),
        ('outside', 'desk', 'did-not-run', 'outside-home-regions'),
        ('secret', 'desk', 'may-have-run', 'caller-gone'),
    ]


async def _continue() -> tuple[bytes, Response]:
    dispatcher = ScriptedDispatcher(BackendResponse(200, (), b'ok'))
    async with asyncio.timeout(60), _served(dispatcher) as (reader, writer):
        writer.write(post('Expect: 100-continue\r\n', LENGTH).encode())
        interim = await reader.readuntil(b'\r\n\r\n')
        writer.write(b'12345')
        return interim, await _read(reader)


def test_expected_body() -> None:
    """Guards against callers that never get the 100 Continue they expect."""
    interim, response = asyncio.run(_continue())
    assert interim == b'HTTP/1.1 100 Continue\r\n\r\n'
    assert response.status == 200


@pytest.mark.parametrize('framing', ['length', 'chunks'])
def test_request_without_room_is_refused(framing: str) -> None:
    """Guards against requests that are kept beyond the process's memory.

    The refusal tells that the request has not run and when to come back.
    """
    sent = {
        'length': post('Content-Length: 5\r\n') + 'hello',
        'chunks': post('Transfer-Encoding: chunked\r\n')
        + '5\r\nhello\r\n0\r\n\r\n',
    }[framing]

    async def main() -> None:
        memory = RequestMemory()
        others = memory.open()
        others.resize(memory.limit_bytes // 2)
        while memory.open().resize(MAX_SMALL_BYTES):
            pass
        memory.open().resize(memory.limit_bytes - memory.total_bytes)
        dispatcher = ScriptedDispatcher(BackendResponse(200, (), b'ok'))
        async with (
            asyncio.timeout(60),
            _served(dispatcher, memory=memory) as (reader, writer),
        ):
            writer.write(sent.encode())
            response = await _read(reader)
            assert response.status == 503
            assert response.field('Request-Verdict') == ['did-not-run']
            assert response.field('Retry-After') == ['1']
            assert dispatcher.requests == []
            others.release()
            total_bytes = memory.total_bytes
        async with (
            asyncio.timeout(60),
            _served(dispatcher, memory=memory) as (reader, writer),
        ):
            writer.write(sent.encode())
            assert (await _read(reader)).status == 200
            assert memory.total_bytes == total_bytes

    asyncio.run(main())


def test_unfinished_body_is_released_with_its_connection() -> None:
    """Guards against bodies that wait for the garbage collector."""
    size = 2_000_000

    async def main() -> None:
        memory = RequestMemory()
        dispatcher = ScriptedDispatcher(BackendResponse(200, (), b'ok'))
        with traced_without_collector():
            async with (
                asyncio.timeout(60),
                _served(dispatcher, memory=memory, max_body_bytes=size) as (
                    _,
                    writer,
                ),
            ):
                writer.write(post(f'Content-Length: {size}\r\n').encode())
                writer.write(b'x' * (size - 1))
                while memory.total_bytes < size:
                    await asyncio.sleep(0.005)
                writer.close()
                await writer.wait_closed()
                while memory.total_bytes:
                    await asyncio.sleep(0.005)
                await asyncio.sleep(0.01)
                left_bytes, _ = tracemalloc.get_traced_memory()
        assert left_bytes < size / 4
        assert dispatcher.requests == []

    asyncio.run(main())


def test_served_body_is_released_while_the_connection_is_idle() -> None:
    """Guards against bodies that stay until a connection's next request."""
    size = 2_000_000

    async def main() -> None:
        dispatcher = ScriptedDispatcher(BackendResponse(200, (), b'ok'))
        async with _served(dispatcher, max_body_bytes=size) as (
            reader,
            writer,
        ):
            with traced_without_collector():
                writer.write(post(f'Content-Length: {size}\r\n').encode())
                writer.write(b'x' * size)
                assert (await _read(reader)).status == 200
                dispatcher.requests.clear()
                await wait_released(size // 4)
            assert not reader.at_eof()

    asyncio.run(main())
