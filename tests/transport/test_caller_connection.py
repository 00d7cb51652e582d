"""Callers' connections: order, limits, disconnects and planned stops."""

import asyncio
from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
import socket
from typing import NamedTuple

import pytest

from teaselrock.state.routes import CallerLimits
from teaselrock.transport import caller_connection
from teaselrock.transport import lingering_close
from teaselrock.transport.caller_connection import CallerResponse
from teaselrock.transport.caller_connection import MAX_PIPELINED_REQUESTS
from teaselrock.transport.caller_limits import SMALL_CHUNKS_READ_BYTES
from teaselrock.transport.caller_listener import CallerListener
from teaselrock.transport.request_parser import CallerRequest
from teaselrock.transport.request_parser import RequestError
from teaselrock.transport.request_parser import RequestParser

LIMITS = CallerLimits(
    max_head_bytes=2000, max_body_bytes=100, head_timeout=0.3, idle_timeout=0.6
)
# Of the handler's requests, from their heads on.
TIME_LIMIT_S = 0.4
QUEUED_CONNECTIONS = 5


class Handler:
    """Responds with the target; `/wait/N` waits until it is released."""

    def __init__(self) -> None:
        self.limits = LIMITS
        self.started: list[str] = []
        self.cancelled: list[str] = []
        self.bodies: list[bytes] = []
        self.padding = b''
        self.release = asyncio.Event()

    def may_pipeline(self, request: CallerRequest) -> bool:
        return request.method == 'GET'

    def time_limit(self, request: CallerRequest) -> float:
        return TIME_LIMIT_S

    async def serve(self, request: CallerRequest) -> CallerResponse:
        self.started.append(request.target)
        self.bodies.append(request.body)
        try:
            if request.target.startswith('/wait'):
                await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.target)
            raise
        return CallerResponse(200, (), request.target.encode() + self.padding)

    def error_response(self, error: RequestError) -> CallerResponse:
        return CallerResponse(error.status, ())


class Client(NamedTuple):
    """A caller's side of a connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, *targets: str, method: str = 'GET') -> None:
        for target in targets:
            self.writer.write(
                f'{method} {target} HTTP/1.1\r\nHost: h\r\n\r\n'.encode()
            )

    async def read_response(self) -> tuple[int, bytes, bool]:
        """Status, body, and whether the connection closes."""
        head = (await self.reader.readuntil(b'\r\n\r\n')).decode()
        length = 0
        for line in head.split('\r\n'):
            if line.lower().startswith('content-length:'):
                length = int(line.partition(':')[2])
        body = await self.reader.readexactly(length)
        closes = 'connection: close' in head.lower()
        return int(head.split()[1]), body, closes


Scenario = Callable[[Handler, CallerListener, Client], Awaitable[None]]


def _run(scenario: Scenario) -> None:
    async def main() -> None:
        handler = Handler()
        listener = CallerListener(handler=handler)
        await listener.start(host='127.0.0.1', port=0)
        assert listener.address is not None
        reader, writer = await asyncio.open_connection(*listener.address)
        try:
            async with asyncio.timeout(20):
                await scenario(handler, listener, Client(reader, writer))
        finally:
            writer.close()
            listener.stop_accepting()
            await listener.wait_closed(limit=0.0)

    asyncio.run(main())


async def _until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.005)


def test_pipelined_requests_are_served_together_in_order() -> None:
    """Guards against swapped responses and pipelined requests never served.

    All three are started at once, though the first is the last to end.
    """

    async def scenario(
        handler: Handler, listener: CallerListener, client: Client
    ) -> None:
        client.send('/wait/1', '/2', '/3')
        await _until(lambda: len(handler.started) == 3)
        handler.release.set()
        bodies = [(await client.read_response())[1] for _ in range(3)]
        assert bodies == [b'/wait/1', b'/2', b'/3']

    _run(scenario)


def test_non_idempotent_request_waits_for_its_turn() -> None:
    """Guards against a build that runs twice after a closing response.

    Callers repeat requests that they had sent before a response closed the
    connection, so a non-idempotent one must not start early.
    """

    async def scenario(
        handler: Handler, listener: CallerListener, client: Client
    ) -> None:
        client.send('/wait/1')
        client.send('/build', method='POST')
        await _until(lambda: handler.started == ['/wait/1'])
        await asyncio.sleep(0.05)
        assert handler.started == ['/wait/1']
        handler.release.set()
        assert (await client.read_response())[1] == b'/wait/1'
        assert (await client.read_response())[1] == b'/build'

    _run(scenario)


def test_caller_that_does_not_read_is_cut_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a connection that blocks for ever on a write.

    The build waits behind a response that the caller does not read.
    """
    monkeypatch.setattr(caller_connection, 'WRITE_TIMEOUT_S', 0.05)

    async def scenario(
        handler: Handler, listener: CallerListener, client: Client
    ) -> None:
        handler.padding = b'x' * 20_000_000
        client.send('/large')
        client.send('/build', method='POST')
        await _until(lambda: handler.started == ['/large'])
        await _until(lambda: listener.connections == 0)
        assert handler.started == ['/large']

    _run(scenario)


def test_disconnect_cancels_the_requests() -> None:
    """Guards against work for callers that have disconnected."""

    async def scenario(
        handler: Handler, listener: CallerListener, client: Client
    ) -> None:
        client.send('/wait/1', '/wait/2')
        await _until(lambda: len(handler.started) == 2)
        client.writer.close()
        await _until(lambda: len(handler.cancelled) == 2)
        await _until(lambda: listener.connections == 0)

    _run(scenario)


def test_stop_completes_requests_in_progress() -> None:
    """Guards against a planned stop that interrupts a request."""

    async def scenario(
        handler: Handler, listener: CallerListener, client: Client
    ) -> None:
        client.send('/wait/1', '/wait/2')
        await _until(lambda: len(handler.started) == 2)
        listener.begin_close()
        listener.stop_accepting()
        closing = asyncio.create_task(listener.wait_closed(limit=5.0))
        await asyncio.sleep(0.1)
        handler.release.set()
        assert await client.read_response() == (200, b'/wait/1', False)
        assert await client.read_response() == (200, b'/wait/2', True)
        assert await client.reader.read() == b''
        await closing
        assert handler.cancelled == []

    _run(scenario)


def test_stop_ends_a_connection_that_always_has_requests_pending() -> None:
    """Guards against stops that end such connections only by aborting them.

    Requests that come after the stop has begun are left to be sent again.
    """

    async def scenario(
        handler: Handler, listener: CallerListener, client: Client
    ) -> None:
        client.send('/wait/1', '/wait/2')
        await _until(lambda: len(handler.started) == 2)
        listener.begin_close()
        client.send('/3', '/4')
        await asyncio.sleep(0.1)
        client.send('/5', method='POST')
        handler.release.set()
        assert await client.read_response() == (200, b'/wait/1', False)
        assert await client.read_response() == (200, b'/wait/2', True)
        assert await client.reader.read() == b''
        assert handler.started == ['/wait/1', '/wait/2']

    _run(scenario)


def test_stop_answers_what_follows_a_response_that_did_not_end() -> None:
    """Guards against requests that a stop leaves without any response.

    The stop begins while a response is written that keeps the connection.
    """

    async def scenario(
        handler: Handler, listener: CallerListener, client: Client
    ) -> None:
        handler.padding = b'x' * 20_000_000
        client.send('/large')
        await _until(lambda: handler.started == ['/large'])
        await asyncio.sleep(0.1)
        listener.begin_close()
        handler.padding = b''
        client.send('/next')
        await _until(lambda: len(handler.started) == 2)
        status, _, closes = await client.read_response()
        assert (status, closes) == (200, False)
        assert await client.read_response() == (200, b'/next', True)

    _run(scenario)


def test_stop_closes_idle_connections() -> None:
    """Guards against a stop that waits for callers that send nothing."""

    async def scenario(
        handler: Handler, listener: CallerListener, client: Client
    ) -> None:
        client.send('/1')
        await client.read_response()
        listener.begin_close()
        listener.stop_accepting()
        assert await client.reader.read() == b''

    _run(scenario)


def test_stop_serves_connections_that_wait_to_be_accepted() -> None:
    """Guards against a stop that resets requests in the listening queue."""

    async def scenario(
        handler: Handler, listener: CallerListener, client: Client
    ) -> None:
        assert listener.address is not None
        # The event loop does not run between connecting and the stop, so only
        # the kernel has accepted these connections.
        queued = [
            socket.create_connection(listener.address)
            for _ in range(QUEUED_CONNECTIONS)
        ]
        for connection in queued:
            connection.sendall(b'GET /queued HTTP/1.1\r\nHost: h\r\n\r\n')
        listener.begin_close()
        listener.stop_accepting()
        await listener.wait_closed(limit=5.0)
        for connection in queued:
            with connection:
                assert connection.recv(1000).startswith(b'HTTP/1.1 200')
        assert handler.started == ['/queued'] * QUEUED_CONNECTIONS

    _run(scenario)


def test_stop_waits_for_the_first_request_of_a_new_connection() -> None:
    """Guards against a stop that cuts off callers that just connected."""

    async def scenario(
        handler: Handler, listener: CallerListener, client: Client
    ) -> None:
        await _until(lambda: listener.connections == 1)
        listener.begin_close()
        listener.stop_accepting()
        closing = asyncio.create_task(listener.wait_closed(limit=5.0))
        await asyncio.sleep(0.1)
        client.send('/first')
        assert await client.read_response() == (200, b'/first', True)
        await closing

    _run(scenario)


def test_stop_closes_new_connections_without_a_request() -> None:
    """Guards against a stop that waits for callers that only connect."""

    async def scenario(
        handler: Handler, listener: CallerListener, client: Client
    ) -> None:
        await _until(lambda: listener.connections == 1)
        listener.begin_close()
        listener.stop_accepting()
        await listener.wait_closed(limit=15.0)
        assert await client.reader.read() == b''

    _run(scenario)


class Case(NamedTuple):
    """Bytes of a caller and the status of the only response."""

    name: str
    sent: bytes
    status: int


HEAD = b'POST / HTTP/1.1\r\nHost: h\r\n'
CASES = (
    Case('large head', b'GET / HTTP/1.1\r\nX: ' + b'x' * 3000, 431),
    Case('large target', b'GET /' + b'x' * 3000, 431),
    Case('large body', HEAD + b'Content-Length: 101\r\n\r\n', 413),
    Case(
        'large chunk',
        HEAD
        + b'Transfer-Encoding: chunked\r\n\r\n80\r\n'
        + b'x' * 128
        + b'\r\n',
        413,
    ),
    Case('slow head', b'GET / HTTP/1.1\r\nHo', 408),
    Case('no request', b'\x00\x01\x02\r\n\r\n', 400),
    Case(
        'two lengths',
        HEAD + b'Content-Length: 1\r\nContent-Length: 2\r\n\r\nab',
        400,
    ),
    Case(
        'length and chunks',
        HEAD
        + b'Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n'
        + b'0\r\n\r\n',
        400,
    ),
)


@pytest.mark.parametrize('case', CASES, ids=[case.name for case in CASES])
def test_limits(case: Case) -> None:
    """Guards against requests of unlimited size or time, and smuggled ones.

    Two framings of one body let a second request hide in it.
    """

    async def scenario(
        handler: Handler, listener: CallerListener, client: Client
    ) -> None:
        client.writer.write(case.sent)
        assert await client.read_response() == (case.status, b'', True)
        assert await client.reader.read() == b''
        assert handler.started == []

    _run(scenario)


def test_head_that_arrives_in_small_parts_is_timed() -> None:
    """Guards against callers that hold a connection by single bytes.

    Each part comes within the time limit of a whole head.
    """

    async def scenario(
        handler: Handler, listener: CallerListener, client: Client
    ) -> None:
        async def send_parts() -> None:
            client.writer.write(b'GET / HTTP/1.1\r\nX: ')
            while True:
                client.writer.write(b'x')
                await asyncio.sleep(LIMITS.head_timeout / 5)

        sending = asyncio.create_task(send_parts())
        try:
            assert await client.read_response() == (408, b'', True)
        finally:
            sending.cancel()

    _run(scenario)


@pytest.mark.parametrize('is_silent', [True, False])
def test_unfinished_body_ends_at_its_time_limit(is_silent: bool) -> None:
    """Guards against callers that hold a body by silence or single bytes.

    Its request has not run, which the status tells.
    """

    async def scenario(
        handler: Handler, listener: CallerListener, client: Client
    ) -> None:
        async def send_parts() -> None:
            client.writer.write(HEAD + b'Content-Length: 100\r\n\r\n')
            for _ in range(99):
                await asyncio.sleep(TIME_LIMIT_S / 5)
                if not is_silent:
                    client.writer.write(b'x')

        sending = asyncio.create_task(send_parts())
        try:
            assert await client.read_response() == (408, b'', True)
        finally:
            sending.cancel()
        assert handler.started == []

    _run(scenario)


def test_body_that_waits_for_earlier_responses_is_not_timed() -> None:
    """Guards against 408 for a body that the gateway did not read."""

    async def scenario(
        handler: Handler, listener: CallerListener, client: Client
    ) -> None:
        client.send(*(f'/wait/{n}' for n in range(MAX_PIPELINED_REQUESTS)))
        await _until(lambda: len(handler.started) == MAX_PIPELINED_REQUESTS)
        client.writer.write(
            b'GET /next HTTP/1.1\r\n\r\n'
            b'POST /last HTTP/1.1\r\nContent-Length: 4\r\n\r\nbo'
        )
        await asyncio.sleep(TIME_LIMIT_S * 1.5)
        client.writer.write(b'dy')
        handler.release.set()
        for _ in range(MAX_PIPELINED_REQUESTS + 1):
            assert (await client.read_response())[0] == 200
        assert await client.read_response() == (200, b'/last', False)
        assert handler.bodies[-1] == b'body'

    _run(scenario)


def test_each_head_has_its_own_time_limit() -> None:
    """Guards against 408 for a head because of those before it.

    Together they take longer than the limit, and the connection is not read
    while the response to a POST is waited for.
    """

    async def scenario(
        handler: Handler, listener: CallerListener, client: Client
    ) -> None:
        for part in range(20):
            if part == 10:
                client.send('/wait', method='POST')
                client.send('/a', method='POST')
            client.writer.write(b'GET /a HTTP/1.1\r\nHost: ')
            await asyncio.sleep(LIMITS.head_timeout / 10)
            client.writer.write(b'h\r\n\r\n')
        await asyncio.sleep(LIMITS.head_timeout)
        handler.release.set()
        for _ in range(22):
            status, _, _ = await client.read_response()
            assert status == 200

    _run(scenario)


def test_both_framings_and_100_continue() -> None:
    """Guards against bodies that arrive changed or never arrive."""

    async def scenario(
        handler: Handler, listener: CallerListener, client: Client
    ) -> None:
        client.writer.write(HEAD + b'Content-Length: 3\r\n\r\nabc')
        client.writer.write(
            HEAD + b'Transfer-Encoding: chunked\r\n\r\n2\r\nde\r\n'
            b'1\r\nf\r\n0\r\n\r\n'
        )
        await client.read_response()
        await client.read_response()
        client.writer.write(
            HEAD + b'Expect: 100-continue\r\nContent-Length: 1\r\n\r\n'
        )
        interim = await client.reader.readuntil(b'\r\n\r\n')
        assert interim == b'HTTP/1.1 100 Continue\r\n\r\n'
        client.writer.write(b'g')
        await client.read_response()
        assert handler.bodies == [b'abc', b'def', b'g']

    _run(scenario)


def test_idle_connection_is_closed() -> None:
    """Guards against file descriptors that idle callers hold for ever."""

    async def scenario(
        handler: Handler, listener: CallerListener, client: Client
    ) -> None:
        client.send('/1')
        await client.read_response()
        assert await client.reader.read() == b''
        assert listener.connections == 0

    _run(scenario)


def test_small_chunks_leave_turns_to_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a body in tiny chunks that blocks other connections.

    Once the first segment has shown the chunks, little of the body is parsed
    in one turn of the loop.
    """
    turn = 0
    parsed: Counter[int] = Counter()
    feed = RequestParser.feed

    def count_feed(parser: RequestParser, data: bytes) -> list[CallerRequest]:
        parsed[turn] += len(data)
        return feed(parser, data)

    monkeypatch.setattr(RequestParser, 'feed', count_feed)

    async def scenario(
        handler: Handler, listener: CallerListener, client: Client
    ) -> None:
        nonlocal turn
        handler.limits = LIMITS._replace(max_body_bytes=100_000)
        # The limits of the next request are known after this one.
        client.send('/first')
        await client.read_response()
        client.writer.write(HEAD + b'Transfer-Encoding: chunked\r\n\r\n')
        client.writer.write(b'1\r\nx\r\n' * 40_000 + b'0\r\n\r\n')
        response = asyncio.create_task(client.read_response())
        while not response.done():
            await asyncio.sleep(0)
            turn += 1
        assert response.result()[0] == 200

    _run(scenario)
    sizes = [size for _, size in sorted(parsed.items())]
    first = next(n for n, size in enumerate(sizes) if size > 1000)
    assert max(sizes) <= caller_connection.READ_BYTES
    assert max(sizes[first + 1 :]) <= SMALL_CHUNKS_READ_BYTES


def test_input_after_a_rejection_is_limited(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against rejected callers that keep the gateway reading.

    The time limit does not end the connection here.
    """
    monkeypatch.setattr(lingering_close, 'LINGER_S', 60.0)
    monkeypatch.setattr(lingering_close, 'MAX_SILENCE_S', 60.0)
    block = b'x' * caller_connection.MIN_LINGER_BYTES

    async def scenario(
        handler: Handler, listener: CallerListener, client: Client
    ) -> None:
        client.writer.write(HEAD + b'Content-Length: 101\r\n\r\n')
        assert (await client.read_response())[0] == 413
        with pytest.raises(ConnectionError):
            # More than the kernel keeps for both sides.
            for _ in range(100):
                client.writer.write(block)
                await client.writer.drain()

    _run(scenario)


def test_head_may_take_longer_than_the_idle_timeout() -> None:
    """Guards against 408 for a head that is within its own time limit."""

    async def scenario(
        handler: Handler, listener: CallerListener, client: Client
    ) -> None:
        handler.limits = LIMITS._replace(head_timeout=20.0, idle_timeout=0.05)
        client.writer.write(b'GET /slow HTTP/1.1\r\nHo')
        await asyncio.sleep(0.2)
        client.writer.write(b'st: h\r\n\r\n')
        assert await client.read_response() == (200, b'/slow', False)

    _run(scenario)
