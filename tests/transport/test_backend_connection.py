"""Exchanges with a backend server that responds with scripted bytes."""

import asyncio
from typing import NamedTuple

from expression import Result
import pytest

from teaselrock.coordination.connections import ConnectionPool
from teaselrock.protocol import fields
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendResponse
from teaselrock.state import BackendServer
from teaselrock.state import ExchangeFailure
from teaselrock.state import FailureKind
from teaselrock.state import RequestContent
from teaselrock.state import Verdict
from teaselrock.transport import response_parser
from teaselrock.transport.backend import HttpConnector

LOAD = (
    f'{fields.BACKEND_LOAD}: start=s, state=warm, in-flight=0, bears=2\r\n'
).encode()
LOADED = b'HTTP/1.1 204 No Content\r\n' + LOAD + b'\r\n'
# The load check is the first exchange of a connection.
NUMBER = f'{fields.EXCHANGE_NUMBER}: 2'
OK = (f'HTTP/1.1 200 OK\r\n{NUMBER}\r\nContent-Length: 2\r\n\r\nok').encode()
NUMBERED_FIRST = f'{fields.EXCHANGE_NUMBER}: 1'.encode()
UNNUMBERED = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
NUMBERED_CHECK = (
    f'HTTP/1.1 200 OK\r\n{fields.EXCHANGE_NUMBER}: 1\r\n'
    'Content-Length: 0\r\n\r\n'
).encode()
GET = RequestContent('GET', '/a', (), b'')
HEAD = RequestContent('HEAD', '/a', (), b'')
MAY = Verdict.MAY_HAVE_RUN
NOT = Verdict.DID_NOT_RUN


class Case(NamedTuple):
    """What the server sends, and the result of the exchange.

    `expected` is status and body, or failure kind and verdict; `is_open`
    states whether the connection can be used again.
    """

    name: str
    sent: bytes
    expected: tuple[int, bytes] | tuple[FailureKind, Verdict]
    is_open: bool
    content: RequestContent = GET
    closes: bool = False


def _response(head: str, body: str = '') -> bytes:
    return f'HTTP/1.1 {head}\r\n{NUMBER}\r\n\r\n{body}'.encode()


RESET = (FailureKind.NO_RESPONSE, MAY)
SHORT = (FailureKind.INVALID_RESPONSE, MAY)
# Result of a broken head; the connection cannot be used again.
BAD = (RESET, False)
BROKEN = RequestContent('GET', '/a', (('X', 'a\r\nY: b'),), b'')
CASES = (
    Case('whole', OK, (200, b'ok'), True),
    Case(
        'chunked',
        _response(
            '200 OK\r\nTransfer-Encoding: chunked', '2\r\nok\r\n0\r\n\r\n'
        ),
        (200, b'ok'),
        True,
    ),
    Case(
        'connection close',
        _response('200 OK\r\nConnection: close\r\nContent-Length: 2', 'ok'),
        (200, b'ok'),
        False,
    ),
    Case('no content', _response('204 No Content'), (204, b''), True),
    Case(
        'not modified',
        _response('304 Not Modified\r\nContent-Length: 9'),
        (304, b''),
        True,
    ),
    Case(
        'head',
        _response('200 OK\r\nContent-Length: 9'),
        (200, b''),
        True,
        HEAD,
    ),
    Case(
        'head with a body',
        _response('200 OK\r\nContent-Length: 2', 'ok'),
        (200, b''),
        False,
        HEAD,
    ),
    Case(
        'interim responses',
        _response('100 Continue')
        + _response('103 Early Hints\r\nLink: </a>')
        + OK,
        (200, b'ok'),
        True,
    ),
    Case('without its number', UNNUMBERED, (200, b'ok'), False),
    Case(
        'refusal without its number',
        b'HTTP/1.1 503 Busy\r\nBackend-Verdict: did-not-run\r\n'
        b'Content-Length: 0\r\n\r\n',
        (FailureKind.INVALID_RESPONSE, MAY),
        False,
    ),
    Case('copy of the load check', NUMBERED_CHECK + OK, (200, b'ok'), True),
    Case(
        'refusal of an earlier request',
        b'HTTP/1.1 503 Busy\r\nBackend-Verdict: did-not-run\r\n'
        b'Exchange-Number: 1\r\nContent-Length: 0\r\n\r\n' + OK,
        (200, b'ok'),
        True,
    ),
    Case('second response', OK + OK, (200, b'ok'), False),
    Case('garbage after', OK + b'garbage\r\n', (200, b'ok'), False),
    Case(
        'short body',
        _response('200 OK\r\nContent-Length: 9', 'ok'),
        SHORT,
        False,
        closes=True,
    ),
    Case(
        'short chunks',
        _response('200 OK\r\nTransfer-Encoding: chunked', '5\r\nok'),
        SHORT,
        False,
        closes=True,
    ),
    Case('no length', _response('200 OK', 'ok'), SHORT, False, closes=True),
    Case('cut head', b'HTTP/1.1 200 O', RESET, False, closes=True),
    Case('nothing', b'', RESET, False, closes=True),
    Case('only interim', _response('100 Go'), RESET, False, closes=True),
    Case('status 000', _response('000 X\r\nContent-Length: 2', 'ok'), *BAD),
    Case('status 600', _response('600 X\r\nContent-Length: 2', 'ok'), *BAD),
    Case('interim status 000', _response('000 X') + OK, *BAD),
    Case(
        'late status 000',
        b'HTTP/1.1 000 X\r\nExchange-Number: 1\r\nContent-Length: 0\r\n\r\n'
        + OK,
        *BAD,
    ),
    Case(
        'blank in a field name',
        _response('200 OK\r\nA B: x\r\nContent-Length: 2', 'ok'),
        *BAD,
    ),
    Case(
        'control byte in a field name',
        _response('200 OK\r\nA\x01B: x\r\nContent-Length: 2', 'ok'),
        *BAD,
    ),
    Case(
        'blank before a colon',
        _response('200 OK\r\nContent-Length : 2', 'ok'),
        *BAD,
        closes=True,
    ),
    Case('not http', b'SSH-2.0-x\r\n\r\n', RESET, False),
    Case(
        'two lengths',
        _response('200 OK\r\nContent-Length: 2\r\nContent-Length: 3', 'ok'),
        RESET,
        False,
    ),
    Case(
        'upgrade',
        _response('101 Up\r\nConnection: upgrade\r\nUpgrade: x'),
        RESET,
        False,
    ),
    Case(
        'large head',
        b'HTTP/1.1 200 OK\r\n'
        + b'X: yyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n'
        * response_parser.RESPONSE_LIMITS.head,
        RESET,
        False,
    ),
    Case(
        'large body',
        _response(
            '200 OK\r\nContent-Length: '
            f'{response_parser.RESPONSE_LIMITS.body + 1}',
            'x' * (response_parser.RESPONSE_LIMITS.body + 1),
        ),
        SHORT,
        False,
    ),
    Case(
        'shed',
        _response(
            '503 Busy\r\nBackend-Verdict: did-not-run\r\nContent-Length: 0'
        ),
        (FailureKind.NOT_ACCEPTED, NOT),
        True,
    ),
    Case('injected field', b'', (FailureKind.NO_RESPONSE, NOT), True, BROKEN),
)


async def _exchange(
    case: Case,
) -> tuple[Result[BackendResponse, ExchangeFailure], bool]:
    """Answer the load request, then the exchange, with the case's bytes."""
    done = asyncio.Event()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(LOADED)
        try:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(case.sent)
            if not case.closes:
                await done.wait()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    listener = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    zone = AvailabilityZone('east', 'a')
    server = BackendServer('s1', 'desk', zone, f'127.0.0.1:{port}', 2)
    deadline = asyncio.get_running_loop().time() + 60
    try:
        opened = await HttpConnector().connect(
            server=server, deadline=deadline
        )
        connection = opened.ok
        result = await connection.exchange(
            content=case.content, deadline=deadline
        )
        is_open = connection.is_open
        connection.close()
        return result, is_open
    finally:
        done.set()
        listener.close()


@pytest.mark.parametrize('case', CASES, ids=[case.name for case in CASES])
def test_exchange(case: Case) -> None:
    """Guards against mixed-up responses and verdicts without proof.

    Excess bytes must not be taken for the next response, and only a server's
    own verdict, or a request never sent, shows that nothing ran.
    """
    result, is_open = asyncio.run(_exchange(case))
    if result.is_ok():
        assert (result.ok.status, result.ok.body) == case.expected
    else:
        assert (result.error.kind, result.error.verdict) == case.expected
    assert is_open is case.is_open


def test_server_that_closes_after_its_load_report_gets_the_request() -> None:
    """Guards against requests refused since the report ended a connection.

    Each response of the server has `Connection: close`.
    """

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        if fields.LOAD_TARGET.encode() in head:
            response = LOADED
        else:
            response = OK.replace(NUMBER.encode(), NUMBERED_FIRST)
        writer.write(
            response.replace(b'\r\n', b'\r\nConnection: close\r\n', 1)
        )
        writer.close()

    async def main() -> None:
        listener = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = listener.sockets[0].getsockname()[1]
        zone = AvailabilityZone('east', 'a')
        server = BackendServer('s1', 'desk', zone, f'127.0.0.1:{port}', 2)
        pool = ConnectionPool(connector=HttpConnector())
        deadline = asyncio.get_running_loop().time() + 60
        try:
            for _ in range(2):
                taken = await pool.take(
                    server=server, start_id='s', deadline=deadline
                )
                result = await taken.ok.exchange(
                    content=GET, deadline=deadline
                )
                assert result.ok.body == b'ok'
                pool.put_back(server=server, connection=taken.ok)
            changed = await pool.take(
                server=server, start_id='other', deadline=deadline
            )
            assert changed.error.kind is FailureKind.SERVER_CHANGED
        finally:
            await pool.close()
            listener.close()

    asyncio.run(main())
