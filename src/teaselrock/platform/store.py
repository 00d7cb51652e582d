"""Client of the store of objects by kind, for `daemon.platform_gateway`.

Implements `ObjectSource` for each kind of object, and `InstanceRegistry`.
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
from typing import Generic
from typing import NamedTuple
from typing import TypeVar
from urllib.parse import quote
from urllib.parse import urlencode

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from teaselrock.coordination.connections import ConnectionPool
from teaselrock.coordination.connections import FixedIdleLimit
from teaselrock.coordination.events import Event
from teaselrock.coordination.events import Events
from teaselrock.coordination.ports import InstanceListing
from teaselrock.coordination.ports import InstanceRegistration
from teaselrock.coordination.ports import ObjectEntry
from teaselrock.coordination.ports import ObjectListing
from teaselrock.coordination.ports import StoreError
from teaselrock.coordination.ports import StoreErrorKind
from teaselrock.coordination.ports import StorePosition
from teaselrock.platform import documents
from teaselrock.platform.pages import decode_page
from teaselrock.platform.values import MALFORMED_ERRORS
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

T = TypeVar('T')

CALL_TIMEOUT_S: Final = 1.0
# The response to a long poll may come this much after the end of its wait.
WAIT_MARGIN_S: Final = 0.4
MAX_WAIT_MS: Final = 30_000
MAX_IDLE_CONNECTIONS: Final = 2
# Number of times that the store was restored from a copy, in all responses.
ERA: Final = 'store-era'
MAX_ERA_DIGITS: Final = 15
# Kinds of objects. The platform defines all but the last one.
TABLES: Final = 'config'
SERVERS: Final = 'servers'
ZONES_OUT: Final = 'evacuations'
INSTANCES: Final = 'teaselrock-instances'
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
                dialect=_PlainHttpDialect(), memory=memory
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

        `timeout` is in seconds; `decode` decodes the body of the response.
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
            return Ok(StoreReply(decode(response.body), _era(response)))
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


class StoredObjectSource(Generic[T]):
    """`ObjectSource` of one kind of object in the store."""

    def __init__(
        self,
        *,
        client: StoreClient,
        kind: str,
        decode: Callable[[str, Any], T | None],
        events: Events,
    ) -> None:
        self._client = client
        self._path = f'/objects/{kind}'
        self._decode = decode
        self._events = events

    async def list_all(self) -> Result[ObjectListing[T], StoreError]:
        """Read all pages of the list, with current data."""
        return await self.read(allow_stale=False)

    async def read(
        self, *, allow_stale: bool
    ) -> Result[ObjectListing[T], StoreError]:
        """Read all pages of the list.

        The platform bills a read that allows stale data at a tenth of a
        current read.
        """
        entries: list[ObjectEntry[T]] = []
        era: int | None = None
        query: dict[str, str | int] = {}
        if allow_stale:
            query['serializable'] = 1
        while True:
            result = await self._client.call(
                method='GET',
                path=self._path,
                query=query,
                decode=decode_page,
            )
            if result.is_error():
                return Error(result.error)
            page = result.ok.body
            try:
                page_entries = [
                    self._entry(item, False) for item in page['items']
                ]
                position = StorePosition(
                    result.ok.era, int(page['store_revision'])
                )
                has_more = bool(page.get('has_more'))
            except MALFORMED_ERRORS as error:
                return Error(_malformed_response(error))
            if era not in (None, position.era):
                return Error(
                    StoreError(
                        StoreErrorKind.HISTORY_LOST,
                        'the store was restored between two pages',
                    )
                )
            era = position.era
            entries += page_entries
            if not has_more or not page_entries:
                return Ok(ObjectListing(tuple(entries), position))
            query['after'] = page_entries[-1].name

    async def wait_for_changes(
        self, *, after: StorePosition, wait: float
    ) -> Result[ObjectListing[T], StoreError]:
        """Wait up to `wait` seconds for changes after a position."""
        result = await self._client.call(
            method='GET',
            path=self._path,
            query={
                'watch': after.revision,
                'wait_ms': min(MAX_WAIT_MS, int(wait * 1000)),
            },
            timeout=wait + WAIT_MARGIN_S,
            decode=decode_page,
        )
        if result.is_error():
            return Error(result.error)
        page = result.ok.body
        try:
            entries = tuple(
                self._entry(event['object'], bool(event.get('deleted')))
                for event in page['events']
            )
            position = StorePosition(
                result.ok.era, int(page['store_revision'])
            )
            return Ok(ObjectListing(entries, position))
        except MALFORMED_ERRORS as error:
            return Error(_malformed_response(error))

    def _entry(self, item: Any, is_deleted: bool) -> ObjectEntry[T]:
        """Decode an object; a malformed one is an entry without a value."""
        meta = item['metadata']
        name = str(meta['name'])
        if is_deleted or meta.get('deleting'):
            return ObjectEntry(name, None, True)
        value = self._decode(name, item.get('spec'))
        if value is None:
            self._events.emit(
                event=Event.OBJECT_UNREADABLE, object=f'{self._path}/{name}'
            )
        return ObjectEntry(name, value)


class StoredInstanceRegistry:
    """`InstanceRegistry` in the store, as objects of the kind `INSTANCES`."""

    def __init__(self, *, client: StoreClient, events: Events) -> None:
        self._client = client
        self._source = StoredObjectSource(
            client=client,
            kind=INSTANCES,
            decode=documents.decode_instance,
            events=events,
        )

    async def register(
        self, *, entry: InstanceRegistration
    ) -> Result[bool, StoreError]:
        """Create the entry, or replace the one from before a restart."""
        spec = documents.encode_instance(entry)
        path = f'/objects/{INSTANCES}'
        created = await self._client.call(
            method='POST',
            path=path,
            body={'metadata': {'name': entry.instance_id}, 'spec': spec},
        )
        if created.is_ok():
            return Ok(True)
        if created.error.kind is not StoreErrorKind.CONFLICT:
            return Error(created.error)
        replaced = await self._client.call(
            method='PUT',
            path=f'{path}/{quote(entry.instance_id, safe="")}',
            body={'metadata': {'name': entry.instance_id}, 'spec': spec},
        )
        return Error(replaced.error) if replaced.is_error() else Ok(False)

    async def read(self) -> Result[InstanceListing, StoreError]:
        """Read the entries of all instances."""
        listed = await self._source.read(allow_stale=True)
        if listed.is_error():
            return Error(listed.error)
        registrations = tuple(
            entry.value
            for entry in listed.ok.entries
            if entry.value is not None
        )
        return Ok(InstanceListing(registrations, listed.ok.position.era))


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


def _malformed_response(error: Exception) -> StoreError:
    return StoreError(
        StoreErrorKind.UNKNOWN, f'malformed response of the store: {error!r}'
    )
