"""Parses the requests of one caller's connection, with httptools.

`caller_connection` passes it the bytes that it reads. Heads and bodies have
size limits, and all requests of the process share a limit of their memory; a
request that is rejected here ends the connection.
"""

from collections import deque
from typing import Final
from typing import NamedTuple

import httptools

from teaselrock.state import NoRequestHold
from teaselrock.state import RequestHold
from teaselrock.state.routes import CallerLimits
from teaselrock.transport.caller_limits import CallerLimit
from teaselrock.transport.caller_limits import MAX_FRAMING_BYTES
from teaselrock.transport.request_memory import FIELD_BYTES
from teaselrock.transport.request_memory import RequestMemory

# Parts of bodies that take more time than their content: more than so many in
# a segment, and smaller on average.
_MAX_FEW_PARTS: Final = 16
_SMALL_PART_BYTES: Final = 256
# Bytes of a request line besides its target, at most. The limit of a complete
# head does not include them, so that an incomplete one may exceed it by them.
_REQUEST_LINE_EXTRA_BYTES: Final = 32
_FORBIDDEN_BYTES: Final = (b'\r', b'\n', b'\0')


class CallerRequest(NamedTuple):
    """One complete request."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | bytearray
    keep_alive: bool
    hold: RequestHold = NoRequestHold()

    def field(self, name: str) -> str | None:
        """First value of a header field, None if it is missing.

        `name` is in lower case.
        """
        for header_name, value in self.headers:
            if header_name.lower() == name:
                return value
        return None


class RequestError(Exception):
    """A request that is rejected before it is routed.

    `limit` is set if the request met a limit of the process.
    """

    def __init__(
        self, *, status: int, detail: str, limit: CallerLimit | None = None
    ) -> None:
        super().__init__(detail)
        self._status = status
        self._limit = limit

    @property
    def limit(self) -> CallerLimit | None:
        """Limit of the process that the request met."""
        return self._limit

    @property
    def status(self) -> int:
        """HTTP status of the response."""
        return self._status


class RequestParser:
    """Builds requests from the callbacks of httptools."""

    def __init__(
        self, *, limits: CallerLimits, memory: RequestMemory | None = None
    ) -> None:
        self._limits = limits
        self._memory = memory or RequestMemory()
        self._held = self._memory.open()
        self._requests: deque[CallerRequest] = deque()
        self._target = b''
        # Lines `name:value`. An incomplete request does not keep its fields
        # as objects, since these take many times their size.
        self._field_lines = bytearray()
        self._body = bytearray()
        self._announced_body_bytes = 0
        self._parsed_head_bytes = 0
        # Bytes that are known to belong to the current head.
        self._received_head_bytes = 0
        # Bytes in the current body that follow its last part, if known.
        self._bytes_since_body = 0
        # Parts of bodies in the last segment, and bytes between them in the
        # current body.
        self._body_parts = 0
        self._framing_bytes = 0
        self._has_small_parts = False
        self._is_in_head = False
        self._is_in_body = False
        self._begun = 0
        self._expects_continue = False
        self._error: RequestError | None = None
        self._parser = httptools.HttpRequestParser(self)

    @property
    def is_in_request(self) -> bool:
        """Whether a request has begun and is not complete."""
        return self._is_in_head or self._is_in_body

    @property
    def is_in_body(self) -> bool:
        """Whether a head is complete and its body is not."""
        return self._is_in_body

    @property
    def incomplete_request(self) -> CallerRequest:
        """Request whose body is being received, as far as it has come."""
        return self._make_request()

    @property
    def requests_begun(self) -> int:
        """Number of requests that have begun."""
        return self._begun

    @property
    def has_small_parts(self) -> bool:
        """Whether the last segment held bodies in many small parts."""
        return self._has_small_parts

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
        for request in self.take_complete_requests():
            request.hold.release()
        self._held.release()
        self._error = None
        del self._parser

    def feed(self, data: bytes) -> list[CallerRequest]:
        """Parse the next bytes; returns the requests that became complete.

        Raises `RequestError`; `take_complete_requests` then returns the
        complete requests before the rejected one.
        """
        was_in_body = self._is_in_body
        body_size = len(self._body)
        self._body_parts = 0
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
        self._has_small_parts = self._body_parts > max(
            _MAX_FEW_PARTS, len(data) // _SMALL_PART_BYTES
        )
        self._count_incomplete(len(data), was_in_body=was_in_body)
        if was_in_body and self._is_in_body and not self._requests:
            self._count_framing(len(data) - (len(self._body) - body_size))
        if self._is_in_head:
            self._hold(self._received_head_bytes)
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
            or self._body_parts
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

    def _count_framing(self, size: int) -> None:
        """Limit the number of bodies whose framing exceeds their content.

        Each chunk takes time, even if it holds a single byte.
        """
        self._framing_bytes += size
        if (
            self._framing_bytes > MAX_FRAMING_BYTES + len(self._body)
            and not self._held.allow_fine_chunks()
        ):
            raise RequestError(
                status=503,
                detail='too many bodies in small chunks are being received',
                limit=CallerLimit.CHUNK_FRAMING,
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
        self._field_lines = bytearray()
        self._body = bytearray()
        self._announced_body_bytes = 0
        self._framing_bytes = 0
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
        if any(forbidden in value for forbidden in _FORBIDDEN_BYTES):
            self._reject(
                RequestError(
                    status=400, detail='line break or NUL in a header field'
                )
            )
        self._field_lines += name + b':' + value + b'\n'
        lower = name.lower()
        if lower == b'expect' and value.lower() == b'100-continue':
            self._expects_continue = True
        elif lower == b'content-length' and value.isdigit():
            self._announced_body_bytes = int(value)

    def on_headers_complete(self) -> None:
        """Called by httptools at the end of a head."""
        self._is_in_head = False
        self._is_in_body = True
        if self._announced_body_bytes > self._limits.max_body_bytes:
            self._reject(self._body_error())
        # Where an announced body has no room, it is rejected before it comes.
        self._hold(self._parsed_head_bytes + self._announced_body_bytes)

    def on_body(self, data: bytes) -> None:
        """Called by httptools for each part of the body."""
        self._body_parts += 1
        self._body += data
        if len(self._body) > self._limits.max_body_bytes:
            self._reject(self._body_error())
        if not self._held.grow(self._parsed_head_bytes + len(self._body)):
            self._reject(self._memory_error())

    def on_message_complete(self) -> None:
        """Called by httptools at the end of a request."""
        self._is_in_body = False
        field_count = self._field_lines.count(b'\n')
        self._hold(
            self._parsed_head_bytes
            + field_count * FIELD_BYTES
            + len(self._body)
        )
        self._held.end_fine_chunks()
        self._requests.append(self._make_request())
        self._held = self._memory.open()
        # The request owns its body from here on.
        self._body = bytearray()

    def _make_request(self) -> CallerRequest:
        return CallerRequest(
            self._parser.get_method().decode('ascii'),
            self._target.decode('latin-1'),
            _decode_fields(self._field_lines),
            self._body,
            self._parser.should_keep_alive(),
            self._held,
        )

    def _hold(self, size: int) -> None:
        """Account for the request; rejects it if the memory has no room."""
        if not self._held.resize(size):
            self._reject(self._memory_error())

    def _count_head(self, size: int) -> None:
        self._parsed_head_bytes += size
        if self._parsed_head_bytes > self._limits.max_head_bytes:
            self._reject(self._head_error())

    def _memory_error(self) -> RequestError:
        return RequestError(
            status=503,
            detail='requests of all callers exceed the memory for them, '
            f'{self._memory.limit_bytes} bytes',
            limit=CallerLimit.MEMORY,
        )

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


def _decode_fields(lines: bytearray) -> tuple[tuple[str, str], ...]:
    fields = []
    for line in lines.split(b'\n')[:-1]:
        name, _, value = line.partition(b':')
        fields.append(
            (name.decode('latin-1'), value.decode('utf-8', 'surrogateescape'))
        )
    return tuple(fields)
