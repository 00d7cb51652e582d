"""Client of the platform's store, over HTTP.

Calls use `transport.backend` connections, so that cancelling a task also ends
the call that it waits for. `transport.store`, the client of the other
gateway's store, runs blocking calls in threads, which cannot be cancelled.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import Final
from typing import NamedTuple
from urllib.parse import urlencode

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from teaselrock.coordination.connections import ConnectionPool
from teaselrock.coordination.connections import FixedIdleLimit
from teaselrock.coordination.ports import StoreError
from teaselrock.coordination.ports import StoreErrorKind
from teaselrock.protocol import fields
from teaselrock.protocol.decode_errors import DECODE_ERRORS
from teaselrock.protocol.json_parts import SplitError
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendResponse
from teaselrock.state import BackendServer
from teaselrock.state import RequestContent
from teaselrock.state import Verdict
from teaselrock.transport.backend import HttpConnector
from teaselrock.transport.dialect import Headers
from teaselrock.transport.dialect import ResponseInfo
from teaselrock.transport.response_memory import ResponseMemory
from teaselrock.transport.response_parser import ResponseParser
from teaselrock.transport.response_timeout import WhileArriving

# Until a response begins. From then on, its time depends on its size.
CALL_TIMEOUT_S: Final = 1.0
# TCP repeats a lost segment after 0.2 s at the earliest, so with a shorter
# limit a single loss could end a call.
STALL_TIMEOUT_S: Final = 0.4
# The largest object, 1 MiB, takes 4.2 s with a fifth of a link of 10 Mbit/s.
MAX_RESPONSE_S: Final = 5.0
MAX_IDLE_CONNECTIONS: Final = 2
# Number of times that the store was restored from a copy, in all responses.
ERA: Final = 'store-era'
MAX_ERA_DIGITS: Final = 15
_ERROR_KINDS_BY_STATUS: Final = {
    # 404 to a PUT: the object was deleted meanwhile.
    404: StoreErrorKind.CONFLICT,
    409: StoreErrorKind.CONFLICT,
    410: StoreErrorKind.HISTORY_LOST,
    413: StoreErrorKind.TOO_LARGE,
    429: StoreErrorKind.LIMITED,
    503: StoreErrorKind.UNAVAILABLE,
}


class StoreReply(NamedTuple):
    """Decoded body of a 2xx response, and the store's era.

    The era rises each time the store is restored from an older copy; 0 if the
    store states none.
    """

    body: Any
    era: int


class _PlainHttpDialect:
    """`BackendDialect` without fields beyond plain HTTP, for the store."""

    @property
    def accepts_close_delimited(self) -> bool:
        return False

    @property
    def requires_load_on_connect(self) -> bool:
        return False

    def load_check(self, *, server: BackendServer) -> RequestContent:
        raise NotImplementedError('the store has no load report')

    def request_fields(
        self,
        *,
        server: BackendServer,
        content: RequestContent,
        remaining: float,
        number: int,
    ) -> Headers:
        return (('Host', server.address), *content.headers)

    def interpret(
        self,
        *,
        server: BackendServer,
        content: RequestContent,
        response: ResponseParser,
        number: int,
    ) -> ResponseInfo:
        return ResponseInfo()

    def response_fields(self, *, response: ResponseParser) -> Headers:
        return response.forwarded_headers(fields.HOP_BY_HOP)


class StoreClient:
    """Makes calls to the store on a small pool of connections."""

    def __init__(
        self, *, address: str, memory: ResponseMemory | None = None
    ) -> None:
        # The connection pool addresses a server as a `BackendServer`; only
        # id and address are used.
        self._server = BackendServer(
            'store', '', AvailabilityZone('', ''), address, 1
        )
        self._connections = ConnectionPool(
            connector=HttpConnector(
                dialect=_PlainHttpDialect(),
                memory=memory,
                response_timeout=WhileArriving(
                    stall_s=STALL_TIMEOUT_S, total_s=MAX_RESPONSE_S
                ),
            ),
            idle_limit=FixedIdleLimit(count=MAX_IDLE_CONNECTIONS),
        )
        self._calls: Counter[str] = Counter()
        self._era = 0

    @property
    def era(self) -> int:
        """Highest era that the store has stated, 0 before."""
        return self._era

    @property
    def calls(self) -> Mapping[str, int]:
        """Number of calls by outcome: `ok` or the kind of error."""
        return self._calls

    async def call(
        self,
        *,
        method: str,
        path: str,
        query: dict[str, str | int] | None = None,
        body: Any = None,
        timeout: float = CALL_TIMEOUT_S,
        decode: Callable[[bytes], Any] = msgspec.json.decode,
    ) -> Result[StoreReply, StoreError]:
        """Make one call; fails unless the response has a 2xx status.

        `timeout` is in seconds, until the response begins; one that arrives
        may take up to `MAX_RESPONSE_S`. `decode` decodes its body.
        """
        result = await self._call(method, path, query, body, timeout, decode)
        if result.is_ok():
            self._era = max(self._era, result.ok.era)
        self._calls[
            result.error.kind.value if result.is_error() else 'ok'
        ] += 1
        return result

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str | int] | None,
        body: Any,
        timeout: float,
        decode: Callable[[bytes], Any],
    ) -> Result[StoreReply, StoreError]:
        target = path if not query else f'{path}?{urlencode(query)}'
        content = RequestContent(
            method,
            target,
            (('Content-Type', 'application/json'),),
            msgspec.json.encode(body) if body is not None else b'',
        )
        deadline = asyncio.get_running_loop().time() + timeout
        exchanged = await self._exchange(content, deadline)
        if exchanged.is_error():
            return Error(exchanged.error)
        response = exchanged.ok
        if not 200 <= response.status < 300:
            kind = _ERROR_KINDS_BY_STATUS.get(
                response.status, StoreErrorKind.UNKNOWN
            )
            return Error(
                StoreError(
                    kind, f'{method} {path}: HTTP status {response.status}'
                )
            )
        try:
            return Ok(StoreReply(decode(bytes(response.body)), _era(response)))
        except (*DECODE_ERRORS, SplitError) as error:
            return Error(StoreError(StoreErrorKind.UNKNOWN, str(error)))

    async def close(self) -> None:
        """Close idle connections."""
        await self._connections.close()

    async def _exchange(
        self, content: RequestContent, deadline: float
    ) -> Result[BackendResponse, StoreError]:
        opened = await self._connections.take(
            server=self._server, start_id='', deadline=deadline
        )
        if opened.is_error():
            return Error(
                StoreError(StoreErrorKind.UNAVAILABLE, opened.error.detail)
            )
        connection = opened.ok
        try:
            result = await connection.exchange(
                content=content, deadline=deadline
            )
        finally:
            self._connections.put_back(
                server=self._server, connection=connection
            )
        if result.is_error():
            kind = (
                StoreErrorKind.UNAVAILABLE
                if result.error.verdict is Verdict.DID_NOT_RUN
                else StoreErrorKind.UNKNOWN
            )
            return Error(StoreError(kind, result.error.detail))
        return Ok(result.ok)


def _era(response: BackendResponse) -> int:
    """Era that a response states; 0 if it states none."""
    for name, value in response.headers:
        text = value.strip()
        if (
            name.lower() == ERA
            and text.isascii()
            and text.isdigit()
            and len(text) <= MAX_ERA_DIGITS
        ):
            return int(text)
    return 0
