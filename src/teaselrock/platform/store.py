"""Objects by kind in the platform's store, for `daemon.platform_gateway`.

Implements `ObjectSource` for each kind of object, and `InstanceRegistry`.
"""

from collections.abc import Callable
from typing import Any
from typing import Final
from typing import Generic
from typing import TypeVar
from urllib.parse import quote

from expression import Error
from expression import Ok
from expression import Result

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
from teaselrock.platform.store_client import StoreClient
from teaselrock.platform.values import MALFORMED_ERRORS

T = TypeVar('T')

# The response to a long poll may begin this much after the end of its wait.
WAIT_MARGIN_S: Final = 0.4
MAX_WAIT_MS: Final = 30_000
# Kinds of objects. The platform defines all but the last one.
TABLES: Final = 'config'
SERVERS: Final = 'servers'
ZONES_OUT: Final = 'evacuations'
INSTANCES: Final = 'teaselrock-instances'


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
        """Read all pages of the list, as of the position of the first one.

        Objects of further pages may be newer; a watch from this position
        returns their changes again, and those of objects that were listed
        before they changed. The platform bills a read that allows stale data
        at a tenth of a current read.
        """
        entries: list[ObjectEntry[T]] = []
        listed_from: StorePosition | None = None
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
            if listed_from is None:
                listed_from = position
            if position.era != listed_from.era:
                return Error(
                    StoreError(
                        StoreErrorKind.HISTORY_LOST,
                        'the store was restored between two pages',
                    )
                )
            entries += page_entries
            if not has_more or not page_entries:
                return Ok(ObjectListing(tuple(entries), listed_from))
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


def _malformed_response(error: Exception) -> StoreError:
    return StoreError(
        StoreErrorKind.UNKNOWN, f'malformed response of the store: {error!r}'
    )
