"""The store client over real sockets, with scripted HTTP responses."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import pytest

from teaselrock.coordination.ports import StoreErrorKind
from teaselrock.transport.store import CALL_TIMEOUT_S
from teaselrock.transport.store import HttpPlatformList
from teaselrock.transport.store import HttpStore
from teaselrock.transport.store import StoreHttpClient


class Case(NamedTuple):
    """A call, the response to it, part of its request, and the result."""

    name: str
    call: Callable[[HttpStore], Awaitable[Any]]
    response: bytes
    request: bytes
    expected: object


def _response(status: str, head: str = '', body: str = '') -> bytes:
    return (
        f'HTTP/1.1 {status}\r\n{head}Content-Length: {len(body)}\r\n\r\n{body}'
    ).encode()


def _get(store: HttpStore) -> Awaitable[Any]:
    return store.get(key='a/b c')


def _put(store: HttpStore) -> Awaitable[Any]:
    return store.put(key='k', value=b'v', expected_version=3)


def _create(store: HttpStore) -> Awaitable[Any]:
    return store.put(key='k', value=b'v', expected_version=0)


def _delete(store: HttpStore) -> Awaitable[Any]:
    return store.delete(key='k', expected_version=2)


def _list(store: HttpStore) -> Awaitable[Any]:
    return store.list_keys(prefix='m/', after='m/1', limit=5)


def _watch(store: HttpStore) -> Awaitable[Any]:
    return store.watch(key='k', after=4, timeout=1.0)


KIND = StoreErrorKind
CASES = (
    Case(
        'get',
        _get,
        _response('200 OK', 'ETag: "7"\r\n', 'x'),
        b'GET /objects/a/b%20c ',
        ('a/b c', 7, b'x'),
    ),
    Case(
        'blanks around a length',
        _get,
        b'HTTP/1.1 200\r\nETag:\t"7"\r\nContent-Length: 1 \r\n\r\nx',
        b'GET ',
        ('a/b c', 7, b'x'),
    ),
    Case('missing', _get, _response('404 Not Found'), b'GET ', None),
    Case('no version', _get, _response('200 OK'), b'GET ', KIND.UNAVAILABLE),
    Case('get down', _get, _response('503 Down'), b'GET ', KIND.UNAVAILABLE),
    Case('get lost', _get, b'', b'GET ', KIND.UNAVAILABLE),
    Case(
        'put', _put, _response('200 OK', 'ETag: 4\r\n'), b'If-Match: 3\r\n', 4
    ),
    Case(
        'create',
        _create,
        _response('201 Created', 'ETag: 1\r\n'),
        b'If-None-Match: *\r\n',
        1,
    ),
    Case('conflict', _put, _response('412 No'), b'PUT ', KIND.CONFLICT),
    Case('too large', _put, _response('413 No'), b'PUT ', KIND.TOO_LARGE),
    Case('limited', _put, _response('429 No'), b'PUT ', KIND.LIMITED),
    Case('down', _put, _response('503 No'), b'PUT ', KIND.UNAVAILABLE),
    Case('put fault', _put, _response('500 No'), b'PUT ', KIND.UNKNOWN),
    Case('put lost', _put, b'', b'PUT ', KIND.UNKNOWN),
    Case('put cut', _put, b'HTTP/1.1 200 O', b'PUT ', KIND.UNKNOWN),
    Case('put no version', _put, _response('200 OK'), b'PUT ', KIND.UNKNOWN),
    Case('delete', _delete, _response('204 OK'), b'If-Match: 2\r\n', None),
    Case('delete missing', _delete, _response('404 No'), b'DELETE ', None),
    Case('delete lost', _delete, b'', b'DELETE ', KIND.UNKNOWN),
    Case(
        'list',
        _list,
        _response('200 OK', '', '["m/2"]'),
        b'GET /objects?prefix=m%2F&after=m%2F1&limit=5 ',
        ['m/2'],
    ),
    Case(
        'bad list', _list, _response('200 OK', '', '{'), b'', KIND.UNAVAILABLE
    ),
    Case(
        'watch',
        _watch,
        _response('200 OK', 'ETag: 5\r\n', 'n'),
        b'GET /objects/k?watch=4&timeout=1 ',
        ('k', 5, b'n'),
    ),
    Case(
        'watch missing', _watch, _response('404 No'), b'GET ', KIND.UNAVAILABLE
    ),
    Case('watch end', _watch, _response('304 Same'), b'GET ', None),
)


async def _with_server(
    response: bytes, call: Callable[[StoreHttpClient], Awaitable[Any]]
) -> tuple[Any, bytes]:
    """Run a call against a server that sends `response` and closes.

    Returns the call's result and the bytes of its request.
    """
    received = bytearray()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        received.extend(await reader.readuntil(b'\r\n\r\n'))
        if b'Content-Length: 1\r\n' in received:
            received.extend(await reader.readexactly(1))
        writer.write(response)
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    client = StoreHttpClient(url=f'http://127.0.0.1:{port}')
    try:
        return await call(client), bytes(received)
    finally:
        client.close()
        server.close()


@pytest.mark.parametrize('case', CASES, ids=[case.name for case in CASES])
def test_call(case: Case) -> None:
    """Guards against a write that is reported as not made without proof.

    After a lost, cut or faulty response the write may have taken effect.
    """
    result, request = asyncio.run(
        _with_server(
            case.response,
            lambda client: case.call(HttpStore(client=client)),
        )
    )
    assert case.request in request
    if isinstance(case.expected, StoreErrorKind):
        assert result.is_error()
        assert result.error.kind is case.expected
    else:
        assert result.is_ok()
        assert result.ok == case.expected


BROKEN_LINES = {
    'blank in a name': b'A B: x',
    'tab in a name': b'A\tB: x',
    'control byte in a name': b'A\x01B: x',
    'NUL in a name': b'A\x00B: x',
    'carriage return in a name': b'A\rB: x',
    'carriage return before a name': b'\rA: x',
    'DEL in a name': b'A\x7fB: x',
    'delimiter in a name': b'A(B): x',
    'byte above ASCII in a name': b'A\xe9B: x',
    'blank before a name': b' A: x',
    'blank before the colon': b'A : x',
    'empty name': b': x',
    'no colon': b'A',
}
BROKEN_HEADS = (
    {
        # The connection ends before the body is whole.
        f'{name}, {part}': b'HTTP/1.1 200 OK\r\nETag: "7"\r\n' + rest
        for name, line in BROKEN_LINES.items()
        for part, rest in (
            ('before a length', line + b'\r\nContent-Length: 4\r\n\r\nfu'),
            (
                'before chunks',
                line + b'\r\nTransfer-Encoding: chunked\r\n\r\n'
                b'4\r\nfull\r\n0\r\n\r\n',
            ),
            ('last', b'Content-Length: 4\r\n' + line + b'\r\n\r\nfull'),
        )
    }
    | {
        # A cut body.
        f'length {length.decode()}': b'HTTP/1.1 200 OK\r\nETag: "7"\r\n'
        b'Content-Length: ' + length + b'\r\n\r\nfu'
        for length in (b'', b'x', b'4x', b'-4', b'+2', b'0_2', b'2, 4')
    }
    | {
        'two lengths': b'HTTP/1.1 200 OK\r\nETag: "7"\r\nContent-Length: 2\r\n'
        b'Content-Length: 4\r\n\r\nfu'
    }
    | {
        f'status {status}': _response(f'{status} X', 'ETag: "7"\r\n', 'full')
        for status in ('000', '042', '099', '600', '999')
    }
)


@pytest.mark.parametrize('name', BROKEN_HEADS)
def test_broken_head_is_no_result(name: str) -> None:
    """Guards against a value whose framing was not understood.

    A write may have taken effect.
    """
    for call, kind in ((_get, KIND.UNAVAILABLE), (_put, KIND.UNKNOWN)):
        result, _ = asyncio.run(
            _with_server(
                BROKEN_HEADS[name],
                lambda client, call=call: call(HttpStore(client=client)),
            )
        )
        assert result.is_error()
        assert result.error.kind is kind


def test_refused_connection(free_port: Callable[[], int]) -> None:
    """Guards against an unknown outcome for a write that was never sent."""

    async def put() -> Any:
        client = StoreHttpClient(url=f'http://127.0.0.1:{free_port()}')
        try:
            return await _put(HttpStore(client=client))
        finally:
            client.close()

    assert asyncio.run(put()).error.kind is StoreErrorKind.UNAVAILABLE


def test_platform_list() -> None:
    """Guards against a list entry that loses its zone or concurrency."""
    body = (
        '[{"id":"s1","service":"desk","region":"east","zone":"a",'
        '"address":"127.0.0.1:1","concurrency":4,"leaving":true}]'
    )
    result, _ = asyncio.run(
        _with_server(
            _response('200 OK', '', body),
            lambda client: HttpPlatformList(client=client).backend_servers(),
        )
    )
    assert result.ok == [
        ('s1', 'desk', ('east', 'a'), '127.0.0.1:1', 4, True, 0)
    ]


def test_response_that_keeps_arriving_is_read() -> None:
    """Guards against a large value that no call can read on a slow link.

    It takes longer than `CALL_TIMEOUT_S`, without a long pause.
    """
    part, count = b'x' * 50_000, 20

    async def main() -> Any:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            length = len(part) * count
            writer.write(
                b'HTTP/1.1 200 OK\r\nETag: "7"\r\n'
                b'Content-Length: %d\r\n\r\n' % length
            )
            for _ in range(count):
                await asyncio.sleep(1.5 * CALL_TIMEOUT_S / count)
                writer.write(part)
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        client = StoreHttpClient(url=f'http://127.0.0.1:{port}')
        try:
            return await HttpStore(client=client).get(key='k')
        finally:
            client.close()
            server.close()

    result = asyncio.run(main())
    assert result.is_ok(), result.error
    assert result.ok.value == part * count
