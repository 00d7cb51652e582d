"""Requests, as the bytes of a caller, that the front end must refuse."""

from typing import NamedTuple

AUTH = 'Authorization: Bearer secret\r\n'
KEY = 'Idempotency-Key: k\r\n'


class Refused(NamedTuple):
    """Bytes of a request, and status and code of its refusal.

    `closes`: the connection is closed after the refusal. `is_reported`: the
    request reaches the dispatcher, which reports the refusal.
    """

    name: str
    sent: str
    status: int
    code: str
    closes: bool = True
    is_reported: bool = False


def head(line: str, *fields: str) -> str:
    """Head of a request with the given header fields."""
    return f'{line} HTTP/1.1\r\nHost: g\r\n' + ''.join(fields) + '\r\n'


def post(*fields: str) -> str:
    """Head of a non-idempotent request with an idempotency key."""
    return head('POST /desk/b', AUTH, KEY, *fields)


BAD = 'bad-request'
LENGTH = 'Content-Length: 5\r\n'
CHUNKED = 'Transfer-Encoding: chunked\r\n'
REFUSED = (
    Refused(
        'two content lengths', post(LENGTH, 'Content-Length: 6\r\n'), 400, BAD
    ),
    Refused('length and chunked', post(LENGTH, CHUNKED), 400, BAD),
    Refused('bad length', post('Content-Length: -5\r\n'), 400, BAD),
    Refused('bad chunk', post(CHUNKED) + 'zz\r\n', 400, BAD),
    Refused('bad method', head('G@T /desk/a', AUTH), 400, BAD),
    Refused('not http', 'hello\r\n\r\n', 400, BAD),
    Refused(
        'large field', head('GET /desk/a', f'X: {"y" * 20_000}\r\n'), 400, BAD
    ),
    Refused('large target', head(f'GET /{"y" * 20_000}'), 400, BAD),
    Refused('space in a name', head('GET /desk/a', 'X : y\r\n'), 400, BAD),
    Refused(
        'two idempotency keys',
        post('Idempotency-Key: l\r\n', LENGTH),
        400,
        BAD,
    ),
    Refused(
        'two authorizations', head('GET /desk/a', AUTH, AUTH), 400, BAD, False
    ),
    Refused(
        'absolute target', head('GET http://g/desk/a', AUTH), 400, BAD, False
    ),
    Refused('asterisk target', head('OPTIONS *', AUTH), 400, BAD, False),
    Refused('dot segments', head('GET /desk/../x', AUTH), 400, BAD, False),
    Refused('encoded dots', head('GET /desk/%2e%2E/x', AUTH), 400, BAD, False),
    Refused(
        'encoded slash', head('GET /desk/a%2f..%2fx', AUTH), 400, BAD, False
    ),
    Refused(
        'doubly encoded dots',
        head('GET /desk/%252e%252e/x', AUTH),
        400,
        BAD,
        False,
    ),
    Refused(
        'encoded backslash', head('GET /desk/..%5cx', AUTH), 400, BAD, False
    ),
    Refused(
        'encoded prefix',
        head('GET /%64esk/a', AUTH),
        404,
        'unknown-service',
        False,
    ),
    Refused(
        'double slash',
        head('GET //desk/a', AUTH),
        404,
        'unknown-service',
        False,
    ),
    Refused(
        'malformed number',
        head('GET /desk/a', AUTH, 'Request-Depth: 1_0\r\n'),
        400,
        BAD,
        False,
    ),
    Refused(
        'large body',
        post('Content-Length: 11\r\n'),
        413,
        'body-too-large',
        is_reported=True,
    ),
    Refused(
        'large chunks',
        post(CHUNKED) + 'b\r\nxxxxxxxxxxx\r\n',
        413,
        'body-too-large',
        is_reported=True,
    ),
    Refused(
        'late body',
        post(LENGTH, 'Request-Deadline-Ms: 0\r\n') + 'x',
        504,
        'deadline-exceeded',
        is_reported=True,
    ),
    Refused(
        'outside home regions before the body',
        head('POST /desk/b', AUTH.replace('secret', 'outside'), KEY, LENGTH),
        421,
        'outside-home-regions',
        is_reported=True,
    ),
    Refused(
        'no idempotency key',
        head('POST /desk/b', AUTH, 'Expect: 100-continue\r\n', LENGTH),
        400,
        'idempotency-key-required',
    ),
)
