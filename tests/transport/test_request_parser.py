"""Requests in segments of any size, and the limits on heads and bodies."""

from collections.abc import Iterator
import tracemalloc
from typing import NamedTuple

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from teaselrock.state import NoRequestHold
from teaselrock.state.routes import CallerLimits
from teaselrock.transport.caller_limits import CallerLimit
from teaselrock.transport.caller_limits import MAX_FRAMING_BYTES
from teaselrock.transport.request_memory import HeldRequest
from teaselrock.transport.request_memory import MAX_FINELY_CHUNKED
from teaselrock.transport.request_memory import RequestMemory
from teaselrock.transport.request_parser import CallerRequest
from teaselrock.transport.request_parser import RequestError
from teaselrock.transport.request_parser import RequestParser

LIMITS = CallerLimits(
    max_head_bytes=300, max_body_bytes=200, head_timeout=3, idle_timeout=15
)

NO_HOLD = NoRequestHold()


class Outcome(NamedTuple):
    """Requests that were complete, and the status that ended them.

    `held_sizes` are the bytes that were accounted for each request.
    """

    requests: list[CallerRequest]
    held_sizes: list[int]
    error_status: int | None


def _outcome(requests: list[CallerRequest], status: int | None) -> Outcome:
    held_sizes = []
    for request in requests:
        assert isinstance(request.hold, HeldRequest)
        held_sizes.append(request.hold.size)
    return Outcome(
        [request._replace(hold=NO_HOLD) for request in requests],
        held_sizes,
        status,
    )


def _parse(parts: list[bytes]) -> Outcome:
    parser = RequestParser(limits=LIMITS)
    requests: list[CallerRequest] = []
    for part in parts:
        try:
            requests += parser.feed(part)
        except RequestError as error:
            requests += parser.take_complete_requests()
            return _outcome(requests, error.status)
    return _outcome(requests, None)


def _split(data: bytes, sizes: list[int]) -> Iterator[bytes]:
    start = 0
    while start < len(data):
        size = sizes[start % len(sizes)]
        yield data[start : start + size]
        start += size


def _chunked(parts: list[bytes], extension: bytes, trailer: bytes) -> bytes:
    chunks = b''.join(
        b'%x%b\r\n%b\r\n' % (len(part), extension, part) for part in parts
    )
    return chunks + b'0\r\n' + trailer + b'\r\n'


@st.composite
def _requests(draw: st.DrawFn) -> bytes:
    """One request within or slightly above a limit."""
    padding = b'X-Pad: %b\r\n' % (b'p' * draw(st.integers(0, 290)))
    framing = draw(st.sampled_from(['none', 'length', 'chunked']))
    if framing == 'none':
        return b'GET /a HTTP/1.1\r\nHost: h\r\n%b\r\n' % padding
    body = b'b' * draw(st.integers(0, 230))
    if framing == 'length':
        return b'POST /b HTTP/1.1\r\nContent-Length: %d\r\n%b\r\n%b' % (
            len(body),
            padding,
            body,
        )
    split_at = draw(st.integers(0, len(body)))
    parts = [part for part in (body[:split_at], body[split_at:]) if part]
    extension = draw(st.sampled_from([b'', b';name=value']))
    trailer = draw(st.sampled_from([b'', b'X-Sum: %b\r\n' % (b't' * 200)]))
    return b'POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n%b\r\n%b' % (
        padding,
        _chunked(parts, extension, trailer),
    )


@settings(max_examples=400, deadline=None, derandomize=True)
@given(
    requests=st.lists(_requests(), min_size=1, max_size=6),
    sizes=st.lists(st.integers(1, 1000), min_size=1, max_size=7),
)
def test_segments_do_not_change_the_requests(
    requests: list[bytes], sizes: list[int]
) -> None:
    """Guards against limits that count bytes of other requests.

    Requests that were sent ahead arrive in segments that end anywhere. They
    have to be taken or rejected as if each one came in a segment of its own.
    """
    expected = _parse(requests)
    assert _parse(list(_split(b''.join(requests), sizes))) == expected


def test_heads_within_the_limit_are_taken_in_any_segments() -> None:
    """Guards against 431 for requests that are sent ahead.

    Each segment ends inside the head of the next request.
    """
    head = b'GET /a HTTP/1.1\r\nX-Pad: %b\r\n\r\n' % (b'p' * 250)
    outcome = _parse(list(_split(20 * head, [len(head) - 10])))
    assert outcome.error_status is None
    assert len(outcome.requests) == 20


@pytest.mark.parametrize(
    ('start', 'endless', 'status'),
    [
        pytest.param(b'', b'G', 400, id='method'),
        pytest.param(b'GET /', b'a', 431, id='target'),
        pytest.param(b'GET / HTTP/1.1\r\n', b'n', 431, id='field name'),
        pytest.param(b'GET / HTTP/1.1\r\nX: ', b'v', 431, id='field value'),
        pytest.param(b'GET / HTTP/1.1\r\nX:', b' ', 431, id='spaces'),
        pytest.param(b'GET / HTTP/1.1\r\n', b'X: v\r\n', 431, id='fields'),
        pytest.param(
            b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;',
            b'e',
            431,
            id='chunk extension',
        ),
        pytest.param(
            b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ',
            b't',
            431,
            id='trailer value',
        ),
        pytest.param(
            b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n',
            b'X: t\r\n',
            431,
            id='trailers',
        ),
        pytest.param(
            b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n',
            b'1\r\nb\r\n',
            413,
            id='chunks',
        ),
    ],
)
def test_endless_part_is_rejected(
    start: bytes, endless: bytes, status: int
) -> None:
    """Guards against a caller that makes the process keep endless bytes.

    No more than the limit and one segment may be kept before the rejection.
    """
    segment = endless * 100
    parser = RequestParser(limits=LIMITS)
    tracemalloc.start()
    try:
        with pytest.raises(RequestError) as caught:
            parser.feed(start)
            for _ in range(10_000):
                parser.feed(segment)
        kept_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert caught.value.status == status
    assert kept_bytes < 20_000


POST = b'POST / HTTP/1.1\r\n'


def _tiny_chunks(size: int, count: int) -> bytes:
    return b'%x\r\n%b\r\n' % (size, b'x' * size) * count


@pytest.mark.parametrize('segment_chunks', [1, 7, 8192])
def test_many_bodies_in_tiny_chunks_are_rejected(segment_chunks: int) -> None:
    """Guards against callers that take all time by single bytes.

    Some such bodies are received, and the next one is rejected as not run
    before it is complete. When one of them has ended there is room again.
    """
    size = 4 * MAX_FRAMING_BYTES
    limits = LIMITS._replace(max_body_bytes=size)
    memory = RequestMemory()
    parsers = [
        RequestParser(limits=limits, memory=memory)
        for _ in range(MAX_FINELY_CHUNKED + 1)
    ]
    segment = _tiny_chunks(1, segment_chunks)

    def send(parser: RequestParser) -> None:
        parser.feed(POST + b'Transfer-Encoding: chunked\r\n\r\n')
        for _ in range(size // segment_chunks):
            parser.feed(segment)

    for parser in parsers[:-1]:
        send(parser)
    with pytest.raises(RequestError) as caught:
        send(parsers[-1])
    assert caught.value.limit is CallerLimit.CHUNK_FRAMING
    assert caught.value.status == 503
    (request,) = parsers[0].feed(b'0\r\n\r\n')
    assert len(request.body) == size // segment_chunks * segment_chunks
    send(RequestParser(limits=limits, memory=memory))


@pytest.mark.parametrize(
    ('size', 'count'), [(1, 500_000), (6, 300_000), (1024, 3000)]
)
def test_small_chunks_are_accepted(size: int, count: int) -> None:
    """Guards against a limit that callers with small chunks meet."""
    parser = RequestParser(limits=LIMITS._replace(max_body_bytes=4_000_000))
    parser.feed(POST + b'Transfer-Encoding: chunked\r\n\r\n')
    data = _tiny_chunks(size, count) + b'0\r\n\r\n'
    requests = []
    for start in range(0, len(data), 65536):
        requests += parser.feed(data[start : start + 65536])
    assert [request.body for request in requests] == [b'x' * size * count]
