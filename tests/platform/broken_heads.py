"""Responses with heads that are not HTTP/1.1, and servers that send them."""

import asyncio
import contextlib
from typing import NamedTuple

from platform_world import LoopbackListener
from platform_world import PlatformServer

from teaselrock.platform import headers


class Head(NamedTuple):
    """A head that differs from a sound one.

    `first` comes before the status line, `line` replaces it, and `field`
    comes before the field that states the length.
    """

    first: bytes = b''
    line: bytes = b'HTTP/1.1 200 OK'
    field: bytes = b''

    def response(self, *fields: tuple[str, str]) -> bytes:
        """A response with this head, `fields` and a body."""
        lines = [f'{name}: {value}\r\n' for name, value in fields]
        return (
            self.first
            + self.line
            + b'\r\n'
            + ''.join(lines).encode()
            + (self.field and self.field + b'\r\n')
            + b'Content-Length: 4\r\n\r\ndone'
        )


INVALID_STATUS_HEADS = {
    'status 000': Head(line=b'HTTP/1.1 000 X'),
    'status 042': Head(line=b'HTTP/1.1 042 X'),
    'status 099': Head(line=b'HTTP/1.1 099 X'),
    'status 600': Head(line=b'HTTP/1.1 600 X'),
    'status 999': Head(line=b'HTTP/1.1 999 X'),
    'interim status 000': Head(first=b'HTTP/1.1 000 X\r\n\r\n'),
}
INVALID_FIELD_NAME_HEADS = {
    'blank in a name': Head(field=b'A B: x'),
    'tab in a name': Head(field=b'A\tB: x'),
    'control byte in a name': Head(field=b'A\x01B: x'),
    'NUL in a name': Head(field=b'A\x00B: x'),
    'DEL in a name': Head(field=b'A\x7fB: x'),
    'blank before a name': Head(field=b' A: x'),
    'blank before the colon': Head(field=b'A : x'),
    'blank after a framing name': Head(field=b'Transfer-Encoding : chunked'),
    'blank in an interim name': Head(
        first=b'HTTP/1.1 103 Early Hints\r\nA B: x\r\n\r\n'
    ),
}
BROKEN_HEADS = INVALID_STATUS_HEADS | INVALID_FIELD_NAME_HEADS


class BrokenHeadListener(LoopbackListener):
    """Takes the place of a server's `HttpStandin`; sends broken heads."""

    def __init__(
        self, server_id: str, *, head: Head, breaks_checks: bool
    ) -> None:
        super().__init__()
        self.server_id = server_id
        self.head = head
        self.breaks_checks = breaks_checks
        # Requests other than load checks.
        self.request_count = 0
        # Requests and load checks that follow a broken head on a connection.
        self.reused_count = 0

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        has_sent_broken = False
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                request = await reader.readuntil(b'\r\n\r\n')
                self.reused_count += has_sent_broken
                is_check = b' /health ' in request
                self.request_count += not is_check
                is_broken = self.breaks_checks or not is_check
                has_sent_broken |= is_broken
                head = self.head if is_broken else Head()
                writer.write(head.response(*self._fields(request, is_check)))
        writer.close()

    def _fields(self, request: bytes, is_check: bool) -> list[tuple[str, str]]:
        load = (headers.SERVER_LOAD, '0,0,3,100')
        if is_check:
            return [(headers.SERVER_ID, self.server_id), load]
        _, _, rest = request.decode().partition(f'{headers.REQUEST_ID}: ')
        return [
            (headers.REQUEST_ID, rest.partition('\r\n')[0]),
            (headers.SIGNATURE, f'{self.server_id}.1'),
            load,
        ]


class BrokenHeadServer(PlatformServer):
    """Server whose responses, or also its load checks, have a broken head."""

    def __init__(
        self, server_id: str, *, head: Head, breaks_checks: bool = False
    ) -> None:
        super().__init__(server_id)
        self.http = BrokenHeadListener(
            server_id, head=head, breaks_checks=breaks_checks
        )
