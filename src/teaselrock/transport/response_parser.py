"""Parses one response of a backend server, with httptools.

`backend` passes it the bytes that it reads. Head, body and what surrounds the
parts of a body (chunk extensions, trailers) have size limits.
Bytes after the end of the response are detected, so that they never become
part of the next response.
"""

import re
from typing import Final
from typing import NamedTuple
from typing import NoReturn

import httptools

from teaselrock.protocol import fields


class ResponseLimits(NamedTuple):
    """Size limits of one response, in bytes.

    `head` is also the most that may follow without a byte of the body:
    interim heads, chunk extensions, trailers. `total` covers everything,
    since the framing of small chunks may be as large as their content.
    """

    head: int
    body: int
    total: int


# Limits of the response to a caller's request.
RESPONSE_LIMITS: Final = ResponseLimits(
    head=64 * 1024, body=16 * 1024 * 1024, total=32 * 1024 * 1024
)
# A load report is in the head; servers may add a short text.
LOAD_CHECK_LIMITS: Final = ResponseLimits(
    head=16 * 1024, body=16 * 1024, total=32 * 1024
)
# RFC 9110, section 15; httptools takes any three digits.
VALID_STATUSES: Final = range(100, 600)
# httptools skips empty lines before a status line, and also takes HTTP/0.9,
# HTTP/2.0, RTSP and ICE.
_STATUS_LINE_START: Final = re.compile(rb'[\r\n]*HTTP/1\.[01] ')
_FORBIDDEN_CHARS: Final = ('\r', '\n', '\0')
# httptools removes those before a value, not those after it.
_BLANKS: Final = b' \t'


class ResponseError(Exception):
    """A response that cannot be forwarded to the caller."""


class ResponseParser:
    """Builds one response from the callbacks of httptools."""

    def __init__(
        self, *, method: str, limits: ResponseLimits = RESPONSE_LIMITS
    ) -> None:
        self._limits = limits
        self._is_head = method == 'HEAD'
        self._status = 0
        self._headers: list[tuple[str, str]] = []
        self._body = bytearray()
        self._total_bytes = 0
        self._bytes_since_body = 0
        self._has_head = False
        self._is_complete = False
        self._has_trailing_data = False
        self._keep_alive = False
        # First bytes of the response as received, for `trailing_data`.
        self._raw = b''
        # Where the last complete head, interim or final, ends in `_raw`.
        self._head_end = 0
        self._error: ResponseError | None = None
        self._parser = httptools.HttpResponseParser(self)

    @property
    def limits(self) -> ResponseLimits:
        """Size limits of the response."""
        return self._limits

    @property
    def status(self) -> int:
        """HTTP status, 0 until the head of the final response is complete."""
        return self._status

    @property
    def headers(self) -> list[tuple[str, str]]:
        """Header fields in order."""
        return self._headers

    @property
    def body(self) -> bytearray:
        """Body without its transfer coding, no copy of it."""
        return self._body

    @property
    def is_complete(self) -> bool:
        """Whether the whole response has been read."""
        return self._is_complete

    @property
    def is_close_delimited(self) -> bool:
        """Whether only the end of the connection ends the response."""
        return (
            self._has_head
            and self.field('Content-Length') is None
            and self.field('Transfer-Encoding') is None
        )

    @property
    def is_too_large(self) -> bool:
        """Whether the body exceeds its limit."""
        return len(self._body) > self._limits.body

    @property
    def is_reusable(self) -> bool:
        """Whether another exchange may follow on the connection."""
        return (
            self._is_complete
            and self._keep_alive
            and not self.has_trailing_data
        )

    @property
    def has_trailing_data(self) -> bool:
        """Whether bytes followed the response."""
        return self._has_trailing_data

    @property
    def trailing_data(self) -> bytes | None:
        """Bytes after a response, None if its end cannot be determined."""
        if not self._has_trailing_data:
            return b''
        length = self.field('Content-Length')
        if length is None or not length.isdigit():
            return None
        return self._raw[self._head_end + int(length) :] or None

    @property
    def _transfer_codings(self) -> list[str]:
        return [
            coding.strip().lower()
            for name, value in self._headers
            if name.lower() == 'transfer-encoding'
            for coding in value.split(',')
        ]

    def close(self) -> None:
        """Release body and what refers to this object.

        The garbage collector would find large bodies only much later.
        """
        self._body = bytearray()
        self._raw = b''
        self._error = None
        del self._parser

    def feed(self, data: bytes) -> None:
        """Parse the next bytes.

        Raises `ResponseError` or `httptools.HttpParserError`.
        """
        if len(self._raw) <= self._limits.head:
            self._raw += data
        body_bytes = len(self._body)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise ResponseError('response switches protocols') from error
        except httptools.HttpParserError as error:
            # Bytes after a complete response do not make it invalid.
            if not self._is_complete:
                if self._error is not None:
                    raise self._error from error
                raise
            self._has_trailing_data = True
        self._total_bytes += len(data)
        self._bytes_since_body += len(data)
        if len(self._body) > body_bytes:
            self._bytes_since_body = 0
        if not self._is_complete:
            self._check_size()

    def _check_size(self) -> None:
        if self._bytes_since_body > self._limits.head:
            part = 'trailer or chunk head' if self._has_head else 'head'
            raise ResponseError(
                f'response {part} exceeds {self._limits.head} bytes'
            )
        if self._total_bytes > self._limits.total:
            raise ResponseError(f'response exceeds {self._limits.total} bytes')

    def field(self, name: str) -> str | None:
        """First value of a header field, None if it is missing."""
        for header_name, value in self._headers:
            if header_name.lower() == name.lower():
                return value
        return None

    def forwarded_headers(
        self, dropped: frozenset[str]
    ) -> tuple[tuple[str, str], ...]:
        """Header fields for the caller, without those in `dropped`.

        Content-Length is kept only for HEAD, where it is the length of the
        body that GET would return.
        """
        length = self.field('Content-Length')
        kept = fields.filter_headers(self._headers, dropped)
        if self._is_head and length is not None:
            return (*kept, ('Content-Length', length))
        return kept

    def on_message_begin(self) -> None:
        """Called by httptools before a status line."""
        if self._is_complete:
            self._has_trailing_data = True
        else:
            # Fields and trailers of an interim response.
            self._headers.clear()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by httptools for each header or trailer field."""
        if self._has_head:
            return
        text = _decode(value.strip(_BLANKS))
        if any(char in text for char in _FORBIDDEN_CHARS):
            self._reject('line break or NUL in a header field')
        self._headers.append((name.decode('ascii'), text))

    def on_headers_complete(self) -> None:
        """Called by httptools at the end of a head."""
        if self._is_complete:
            return
        self._end_head()
        status = self._parser.get_status_code()
        if status not in VALID_STATUSES:
            self._reject(f'invalid status code {status:03}')
        if status < 200:
            # Interim responses, such as 103 Early Hints, are not forwarded.
            return
        self._status = status
        self._has_head = True
        if self._is_head:
            # httptools is not given the request method and would expect a
            # body of Content-Length bytes.
            self._keep_alive = self._parser.should_keep_alive()
            self._is_complete = True
        elif self._transfer_codings not in ([], ['chunked']):
            # httptools removes only the chunks.
            self._reject('transfer coding other than chunked')

    def _end_head(self) -> None:
        """Check the protocol of a complete head, and find its end.

        Interim responses have no body, so that the next head follows them.
        """
        start = _STATUS_LINE_START.match(self._raw, self._head_end)
        if start is None:
            self._reject('head is not HTTP/1.0 or HTTP/1.1')
        self._head_end = self._raw.index(b'\r\n\r\n', start.end()) + 4

    def on_body(self, data: bytes) -> None:
        """Called by httptools for each part of the body."""
        if not self._has_head:
            # httptools reads the framing fields of most interim responses.
            self._reject('interim response with a body')
        if self._is_complete:
            self._has_trailing_data = True
        else:
            self._body += data

    def on_message_complete(self) -> None:
        """Called by httptools at the end of an interim or final response."""
        if self._has_head and not self._is_complete:
            self._keep_alive = self._parser.should_keep_alive()
            self._is_complete = True

    def _reject(self, detail: str) -> NoReturn:
        """Stop parsing.

        httptools wraps the exceptions of callbacks, so `feed` raises the
        error again.
        """
        self._error = ResponseError(detail)
        raise self._error


def _decode(value: bytes) -> str:
    """Decode a field value as UTF-8, as aiohttp encodes it, or Latin-1."""
    try:
        return value.decode('utf-8')
    except UnicodeDecodeError:
        return value.decode('latin-1')
