"""Parses the requests of one caller's connection, with httptools.

`caller_connection` passes it the bytes that it reads. Heads and bodies have
size limits; a request that is rejected here ends the connection.
"""

from collections import deque
from typing import Final
from typing import NamedTuple

import httptools

from teaselrock.state.routes import CallerLimits

# Bytes of a request line besides its target, at most. The limit of a complete
# head does not include them, so that an incomplete one may exceed it by them.
_REQUEST_LINE_EXTRA_BYTES: Final = 32
_FORBIDDEN_CHARS: Final = ('\r', '\n', '\0')


class CallerRequest(NamedTuple):
    """One complete request."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | bytearray
    keep_alive: bool

    def field(self, name: str) -> str | None:
        """First value of a header field, None if it is missing.

        `name` is in lower case.
        """
        for header_name, value in self.headers:
            if header_name.lower() == name:
                return value
        return None


class RequestError(Exception):
    """A request that is rejected before it is routed."""

    def __init__(self, *, status: int, detail: str) -> None:
        super().__init__(detail)
        self._status = status

    @property
    def status(self) -> int:
        """HTTP status of the response."""
        return self._status


class RequestParser:
    """Builds requests from the callbacks of httptools."""

    def __init__(self, *, limits: CallerLimits) -> None:
        self._limits = limits
        self._requests: deque[CallerRequest] = deque()
        self._target = b''
        self._headers: list[tuple[str, str]] = []
        self._body = bytearray()
        self._parsed_head_bytes = 0
        # Bytes that are known to belong to the current head.
        self._received_head_bytes = 0
        # Bytes in the current body that follow its last part, if known.
        self._bytes_since_body = 0
        self._has_body_part = False
        self._is_in_head = False
        self._is_in_body = False
        self._begun = 0
        self._expects_continue = False
        self._error: RequestError | None = None
        self._parser = httptools.HttpRequestParser(self)

    @property
    def is_in_head(self) -> bool:
        """Whether a request head has begun and is not complete."""
        return self._is_in_head

    @property
    def is_in_request(self) -> bool:
        """Whether a request has begun and is not complete."""
        return self._is_in_head or self._is_in_body

    @property
    def requests_begun(self) -> int:
        """Number of requests that have begun."""
        return self._begun

    def set_limits(self, limits: CallerLimits) -> None:
        """Set the limits of the following requests."""
        self._limits = limits

    def take_expect_continue(self) -> bool:
        """Whether the caller expects 100 Continue; and resets that."""
        expects = self._expects_continue
        self._expects_continue = False
        return expects

    def close(self) -> None:
        """Release the body and what refers to this object.

        The garbage collector would find large bodies only much later.
        """
        self._body = bytearray()
        self._requests.clear()
        self._error = None
        del self._parser

    def feed(self, data: bytes) -> list[CallerRequest]:
        """Parse the next bytes; returns the requests that became complete.

        Raises `RequestError`; `take_complete_requests` then returns the
        complete requests before the rejected one.
        """
        was_in_body = self._is_in_body
        self._has_body_part = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise RequestError(
                status=400, detail='upgrades are not supported'
            ) from error
        except httptools.HttpParserError as error:
            if self._error is not None:
                raise self._error from error
            raise RequestError(
                status=400, detail='malformed HTTP request'
            ) from error
        self._count_incomplete(len(data), was_in_body=was_in_body)
        return self.take_complete_requests()

    def _count_incomplete(self, size: int, *, was_in_body: bool) -> None:
        """Limit heads, chunk extensions and trailers before they are complete.

        httptools keeps them until then and calls nothing, so the received
        bytes are counted. If a request ended in this segment, it is unknown
        where the next one begins, and its bytes are counted from the next
        segment on.
        """
        has_completed = bool(self._requests)
        if has_completed or not self._is_in_head:
            self._received_head_bytes = 0
        else:
            self._received_head_bytes += size
        if (
            self._received_head_bytes
            > self._limits.max_head_bytes + _REQUEST_LINE_EXTRA_BYTES
        ):
            raise self._head_error()
        if (
            has_completed
            or self._has_body_part
            or not (was_in_body and self._is_in_body)
        ):
            self._bytes_since_body = 0
        else:
            self._bytes_since_body += size
        if self._bytes_since_body > self._limits.max_head_bytes:
            raise RequestError(
                status=431,
                detail='chunk extension or trailer exceeds '
                f'{self._limits.max_head_bytes} bytes',
            )

    def take_complete_requests(self) -> list[CallerRequest]:
        """Requests that became complete since the last call."""
        requests = list(self._requests)
        self._requests.clear()
        return requests

    def on_message_begin(self) -> None:
        """Called by httptools before a request line."""
        self._begun += 1
        self._target = b''
        self._headers = []
        self._body = bytearray()
        self._parsed_head_bytes = 0
        self._is_in_head = True
        self._is_in_body = False
        self._expects_continue = False

    def on_url(self, url: bytes) -> None:
        """Called by httptools for each part of the request target."""
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by httptools for each header or trailer field."""
        self._count_head(len(name) + len(value) + 4)
        if self._is_in_body:
            return
        text = value.decode('utf-8', 'surrogateescape')
        if any(char in text for char in _FORBIDDEN_CHARS):
            self._reject(
                RequestError(
                    status=400, detail='line break or NUL in a header field'
                )
            )
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
                and int(value) > self._limits.max_body_bytes
            ):
                self._reject(self._body_error())

    def on_body(self, data: bytes) -> None:
        """Called by httptools for each part of the body."""
        self._has_body_part = True
        self._body += data
        if len(self._body) > self._limits.max_body_bytes:
            self._reject(self._body_error())

    def on_message_complete(self) -> None:
        """Called by httptools at the end of a request."""
        self._is_in_body = False
        self._requests.append(
            CallerRequest(
                self._parser.get_method().decode('ascii'),
                self._target.decode('latin-1'),
                tuple(self._headers),
                self._body,
                self._parser.should_keep_alive(),
            )
        )
        # The request owns its body from here on.
        self._body = bytearray()

    def _count_head(self, size: int) -> None:
        self._parsed_head_bytes += size
        if self._parsed_head_bytes > self._limits.max_head_bytes:
            self._reject(self._head_error())

    def _head_error(self) -> RequestError:
        return RequestError(
            status=431,
            detail=f'request head exceeds {self._limits.max_head_bytes} bytes',
        )

    def _body_error(self) -> RequestError:
        return RequestError(
            status=413,
            detail=f'request body exceeds {self._limits.max_body_bytes} bytes',
        )

    def _reject(self, error: RequestError) -> None:
        """Stop parsing.

        httptools wraps the exceptions of callbacks, so `feed` raises the
        first error again.
        """
        if self._error is None:
            self._error = error
        raise self._error
