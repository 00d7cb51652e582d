"""Connection pool of blocking HTTP clients, on urllib3.

http.client, which urllib3 uses, ends a head at the first line that it cannot
parse and takes the following fields for a part of the body. If the length of
the body is among them, the body is framed wrongly. It also takes an invalid
length for none and then reads until the connection ends. Responses with such
a head are rejected here.
"""

import http.client
import re
from typing import Final

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connection import HTTPSConnection

# RFC 9110, section 5.6.2.
_TOKEN: Final = re.compile(r"[A-Za-z0-9!#$%&'*+\-.^_`|~]+")
_DECIMAL: Final = re.compile(r'[0-9]+')
_LINE_BREAK: Final = re.compile(r'[\r\n]')


class _CheckedResponse(http.client.HTTPResponse):
    """Response whose head was parsed as a whole."""

    def begin(self) -> None:
        """Read the head; raises `HTTPException` if it is malformed."""
        super().begin()
        head = self.msg
        # What follows the parsed fields is the payload of `head`.
        if head.defects or head.get_payload():
            raise http.client.HTTPException('malformed line in a head')
        for name, value in head.items():
            if not _TOKEN.fullmatch(name):
                raise http.client.HTTPException('invalid field name')
            if _LINE_BREAK.search(value):
                raise http.client.HTTPException('line break in a field')
            if name.lower() == 'content-length' and not _DECIMAL.fullmatch(
                value.strip()
            ):
                raise http.client.HTTPException('invalid Content-Length')


class _CheckedConnection(HTTPConnection):
    response_class = _CheckedResponse


class _CheckedTlsConnection(HTTPSConnection):
    response_class = _CheckedResponse


class _CheckedPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _CheckedConnection


class _CheckedTlsPool(urllib3.HTTPSConnectionPool):
    ConnectionCls = _CheckedTlsConnection


def create_pool(*, max_connections: int = 1) -> urllib3.PoolManager:
    """Pool that keeps up to `max_connections` to each host.

    Requests are not retried. They raise `urllib3.exceptions.HTTPError` if
    the head of the response is malformed.
    """
    pool = urllib3.PoolManager(maxsize=max_connections, retries=False)
    pool.pool_classes_by_scheme = {
        'http': _CheckedPool,
        'https': _CheckedTlsPool,
    }
    return pool
