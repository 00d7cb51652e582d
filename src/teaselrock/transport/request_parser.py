"""Parses callers' requests of one connection, with httptools.

`caller_connection` feeds it what it reads. Heads and bodies are bounded; a
request that is refused here ends the connection.
"""

from collections import deque
from typing import Final
from typing import NamedTuple

import httptools

from teaselrock.state.routes import CallerLimits

_FORBIDDEN: Final = ('\r', '\n', '\0')


class CallerRequest(NamedTuple):
    """One whole request."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    keep_alive: bool

    def field(self, name: str) -> str | None:
        """First value of a header field; `name` is in lower case."""
        for known, value in self.headers:
            if known.lower() == name:
                return value
        return None


class RequestError(Exception):
    """A request that cannot be accepted; `status` is the HTTP status."""

    def __init__(self, *, status: int, detail: str) -> None:
        super().__init__(detail)
        self._status = status

    @property
    def status(self) -> int:
        """HTTP status of the answer."""
        return self._status


class RequestParser:
    """Collects requests from httptools' callbacks."""

    def __init__(self, *, limits: CallerLimits) -> None:
        self._limits = limits
        self._requests: deque[CallerRequest] = deque()
        self._target = b''
        self._headers: list[tuple[str, str]] = []
        self._body = bytearray()
        self._head_bytes = 0
        self._unfinished = 0
        self._is_in_head = False
        self._is_in_body = False
        self._expects_continue = False
        self._problem: RequestError | None = None
        self._parser = httptools.HttpRequestParser(self)

    @property
    def is_in_head(self) -> bool:
        """Whether a head has begun and is not complete."""
        return self._is_in_head

    @property
    def is_in_request(self) -> bool:
        """Whether a request has begun and is not complete."""
        return self._is_in_head or self._is_in_body

    def set_limits(self, limits: CallerLimits) -> None:
        """Change the limits of the next requests."""
        self._limits = limits

    def take_continue(self) -> bool:
        """Whether the caller waits for leave to send its body, once."""
        expects = self._expects_continue
        self._expects_continue = False
        return expects

    def feed(self, data: bytes) -> list[CallerRequest]:
        """Parse more bytes; returns the requests that became complete.

        Raises `RequestError`; complete requests before the bad one are
        then kept in `take_complete`.
        """
        was_in_head = self._is_in_head
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise RequestError(
                status=400, detail='upgrades are not supported'
            ) from error
        except httptools.HttpParserError as error:
            if self._problem is not None:
                raise self._problem from error
            raise RequestError(
                status=400, detail='malformed HTTP request'
            ) from error
        # The parser holds an unfinished field back, so it is counted here.
        if not was_in_head:
            self._unfinished = 0
        self._unfinished += len(data)
        if self._is_in_head:
            if self._unfinished > self._limits.head_bytes:
                raise RequestError(status=431, detail='the head is too large')
        else:
            self._unfinished = 0
        return self.take_complete()

    def take_complete(self) -> list[CallerRequest]:
        """Requests that became complete."""
        found = list(self._requests)
        self._requests.clear()
        return found

    def on_message_begin(self) -> None:
        """Called by httptools before a request line."""
        self._target = b''
        self._headers = []
        self._body = bytearray()
        self._head_bytes = 0
        self._is_in_head = True
        self._is_in_body = False
        self._expects_continue = False

    def on_url(self, url: bytes) -> None:
        """Called by httptools for each piece of the target."""
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by httptools for each field, trailers included."""
        self._count_head(len(name) + len(value) + 4)
        if self._is_in_body:
            return
        text = value.decode('utf-8', 'surrogateescape')
        if any(char in text for char in _FORBIDDEN):
            self._fail(400, 'control character in a header field')
        self._headers.append((name.decode('latin-1'), text))
        if name.lower() == b'expect' and value.lower() == b'100-continue':
            self._expects_continue = True

    def on_headers_complete(self) -> None:
        """Called by httptools at the end of a head."""
        self._is_in_head = False
        self._is_in_body = True
        for name, value in self._headers:
            if (
                name.lower() == 'content-length'
                and value.isdigit()
                and int(value) > self._limits.body_bytes
            ):
                self._fail(413, 'the body is too large')

    def on_body(self, data: bytes) -> None:
        """Called by httptools for each piece of the body."""
        self._body += data
        if len(self._body) > self._limits.body_bytes:
            self._fail(413, 'the body is too large')

    def on_message_complete(self) -> None:
        """Called by httptools at the end of a request."""
        self._is_in_body = False
        self._requests.append(
            CallerRequest(
                self._parser.get_method().decode('ascii'),
                self._target.decode('latin-1'),
                tuple(self._headers),
                bytes(self._body),
                self._parser.should_keep_alive(),
            )
        )

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits.head_bytes:
            self._fail(431, 'the head is too large')

    def _fail(self, status: int, detail: str) -> None:
        """Stop the parser; httptools wraps what callbacks raise."""
        if self._problem is None:
            self._problem = RequestError(status=status, detail=detail)
        raise self._problem
