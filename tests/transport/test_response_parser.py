"""Heads of responses, sound and not, in segments of any size."""

import string

import httptools
import pytest

from teaselrock.transport.response_parser import ResponseError
from teaselrock.transport.response_parser import ResponseParser

OK = b'HTTP/1.1 200 OK\r\n'
LENGTH = b'Content-Length: 2\r\n'
EARLY_HINTS = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
TOKEN_BYTES = (
    string.ascii_letters + string.digits + "!#$%&'*+-.^_`|~"
).encode()
# A colon ends a name.
INVALID_NAME_BYTES = sorted(set(range(256)) - set(TOKEN_BYTES) - set(b':'))

whole_or_in_pieces = pytest.mark.parametrize('segment', [10_000, 7, 1])


def _parse(
    sent: bytes, *, segment: int, method: str = 'GET'
) -> ResponseParser:
    parser = ResponseParser(method=method)
    for index in range(0, len(sent), segment):
        parser.feed(sent[index : index + segment])
    return parser


def _assert_rejected(sent: bytes, *, segment: int, method: str) -> str:
    """Returns the reason."""
    with pytest.raises((ResponseError, httptools.HttpParserError)) as raised:
        _parse(sent, segment=segment, method=method)
    return str(raised.value)


@whole_or_in_pieces
@pytest.mark.parametrize('method', ['GET', 'HEAD'])
@pytest.mark.parametrize('status', ['000', '001', '042', '099', '600', '999'])
def test_status_out_of_range(status: str, method: str, segment: int) -> None:
    """Guards against a response that callers get with an invalid status."""
    head = f'HTTP/1.1 {status} X\r\n'.encode()
    for sent in (
        head + LENGTH + b'\r\nok',
        head + b'\r\n' + OK + LENGTH + b'\r\nok',
        EARLY_HINTS + head + LENGTH + b'\r\nok',
    ):
        reason = _assert_rejected(sent, segment=segment, method=method)
        assert reason == f'invalid status code {status}'


@whole_or_in_pieces
@pytest.mark.parametrize(
    'status', ['', '0', '20', '0200', '2000', '-20', '2 0', '2x0', ' 200']
)
def test_status_without_three_digits(status: str, segment: int) -> None:
    """Guards against another status than the one that was sent."""
    sent = f'HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\nok'.encode()
    _assert_rejected(sent, segment=segment, method='GET')


@whole_or_in_pieces
def test_invalid_byte_in_a_field_name(segment: int) -> None:
    """Guards against a field that is passed on, or hides the framing."""
    for number in INVALID_NAME_BYTES:
        byte = bytes([number])
        for name in (b'A' + byte + b'B', byte + b'AB', b'AB' + byte):
            field = name + b': x\r\n'
            sent = OK + field + LENGTH + b'\r\nok'
            _assert_rejected(sent, segment=segment, method='GET')


@whole_or_in_pieces
@pytest.mark.parametrize(
    'field',
    [
        b'Content-Length : 2',
        b'Content-Length\t: 2',
        b'Transfer-Encoding : chunked',
        b': x',
        b'A',
    ],
)
def test_broken_field(field: bytes, segment: int) -> None:
    """Guards against a body whose framing was not understood."""
    for sent in (
        OK + field + b'\r\n\r\nok',
        OK + field + b'\r\n' + LENGTH + b'\r\nok',
    ):
        _assert_rejected(sent, segment=segment, method='GET')


@whole_or_in_pieces
@pytest.mark.parametrize(
    ('sent', 'field'),
    [
        pytest.param(OK + b'A: b\r\n' + LENGTH, 'b', id='plain'),
        pytest.param(b'HTTP/1.1 200\r\n' + LENGTH, None, id='no reason'),
        pytest.param(b'HTTP/1.1 200 \r\n' + LENGTH, None, id='empty reason'),
        pytest.param(b'HTTP/1.0 200 OK\r\n' + LENGTH, None, id='HTTP/1.0'),
        pytest.param(EARLY_HINTS + OK + LENGTH, None, id='interim'),
        pytest.param(OK + b'A:b\r\n' + LENGTH, 'b', id='no blank'),
        pytest.param(OK + b'A:\r\n' + LENGTH, '', id='empty value'),
        pytest.param(OK + b'A: \tb c\t \r\n' + LENGTH, 'b c', id='blanks'),
        pytest.param(OK + b'A: \t \r\n' + LENGTH, '', id='only blanks'),
        pytest.param(OK + b'A: \xc3\xa9\r\n' + LENGTH, 'é', id='UTF-8'),
        pytest.param(OK + b'A: \xe9\r\n' + LENGTH, 'é', id='Latin-1'),
        pytest.param(
            OK + TOKEN_BYTES + b': x\r\n' + LENGTH, None, id='all of a token'
        ),
    ],
)
def test_sound_head(sent: bytes, field: str | None, segment: int) -> None:
    """Guards against a sound response that is taken for a broken one."""
    response = _parse(sent + b'\r\nok', segment=segment)
    assert response.is_complete
    assert (response.status, response.body) == (200, b'ok')
    assert response.field('A') == field


@whole_or_in_pieces
@pytest.mark.parametrize('status', [100, 103, 200, 204, 299, 304, 421, 599])
def test_valid_status(status: int, segment: int) -> None:
    """Guards against valid statuses, known or not, that are rejected."""
    head = f'HTTP/1.1 {status} X\r\n\r\n'.encode()
    response = _parse(head, segment=segment)
    assert response.status == (0 if status < 200 else status)


@whole_or_in_pieces
@pytest.mark.parametrize('coding', [b'chunked', b'Chunked', b'\tchunked '])
def test_sound_chunks(coding: bytes, segment: int) -> None:
    """Guards against extensions and trailers that are taken for faults."""
    sent = (
        OK + b'Transfer-Encoding: ' + coding + b'\r\n\r\n'
        b'1;a=b\r\no\r\n1\r\nk\r\n0\r\nA: b\r\n\r\n'
    )
    response = _parse(sent, segment=segment)
    assert response.is_complete
    assert response.body == b'ok'


@whole_or_in_pieces
@pytest.mark.parametrize('status', [102, 103, 104, 150, 199])
@pytest.mark.parametrize(
    'framed_body',
    [
        b'Content-Length: 2\r\n\r\nno',
        b'Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n',
    ],
)
def test_body_of_an_interim_response(
    framed_body: bytes, status: int, segment: int
) -> None:
    """Guards against its bytes in the body of the final response."""
    sent = f'HTTP/1.1 {status} X\r\n'.encode() + framed_body
    _assert_rejected(
        sent + OK + LENGTH + b'\r\nok', segment=segment, method='GET'
    )


@whole_or_in_pieces
def test_fields_of_an_interim_response(segment: int) -> None:
    """Guards against its fields in the final response."""
    response = _parse(EARLY_HINTS + OK + LENGTH + b'\r\nok', segment=segment)
    assert response.headers == [('Content-Length', '2')]


@whole_or_in_pieces
def test_trailers_of_an_interim_response(segment: int) -> None:
    """Guards against its trailers in the final response."""
    sent = (
        b'HTTP/1.1 199 X\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'0\r\nA: b\r\n\r\n' + OK + LENGTH + b'\r\nok'
    )
    _assert_rejected(sent, segment=segment, method='GET')


@whole_or_in_pieces
@pytest.mark.parametrize('first', [b'', b'\r\n', EARLY_HINTS])
@pytest.mark.parametrize(
    'protocol',
    [
        b'HTTP/0.9',
        b'HTTP/1.2',
        b'HTTP/2.0',
        b'HTTP/1.10',
        b'http/1.1',
        b'RTSP/1.0',
        b'RTSP/2.0',
        b'ICE/1.0',
        b'ICY',
    ],
)
def test_other_protocol(protocol: bytes, first: bytes, segment: int) -> None:
    """Guards against bytes of another protocol as a response."""
    sent = first + protocol + b' 200 OK\r\n' + LENGTH + b'\r\nok'
    _assert_rejected(sent, segment=segment, method='GET')


@whole_or_in_pieces
@pytest.mark.parametrize('first', [b'', b'\r\n\r\n', EARLY_HINTS])
def test_bytes_after_a_response(first: bytes, segment: int) -> None:
    """Guards against a next response that is read from the wrong byte."""
    response = _parse(
        first + OK + LENGTH + b'\r\nok' + OK + b'\r\n', segment=segment
    )
    assert response.has_trailing_data
    assert response.trailing_data == OK + b'\r\n'


@whole_or_in_pieces
@pytest.mark.parametrize(
    'field',
    [
        b'Transfer-Encoding: gzip, chunked',
        b'Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked',
        b'Transfer-Encoding: chunked, chunked',
        b'Transfer-Encoding: chunked, gzip',
        b'Transfer-Encoding: xchunked',
        b'Transfer-Encoding: gzip',
        b'Transfer-Encoding:',
    ],
)
def test_other_transfer_coding(field: bytes, segment: int) -> None:
    """Guards against a coded body that is passed on without its coding."""
    sent = OK + field + b'\r\n\r\n2\r\nok\r\n0\r\n\r\n'
    _assert_rejected(sent, segment=segment, method='GET')
