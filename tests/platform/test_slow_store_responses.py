"""Responses of the platform's store that arrive slowly or in part."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from expression import Result
from platform_world import Pace
from platform_world import PlatformStore
import pytest

from teaselrock.coordination.events import NoEvents
from teaselrock.coordination.ports import ObjectListing
from teaselrock.coordination.ports import StoreError
from teaselrock.coordination.ports import StoreErrorKind
from teaselrock.coordination.ports import StorePosition
from teaselrock.platform import store_client
from teaselrock.platform.store import StoredObjectSource
from teaselrock.platform.store_client import StoreClient
from teaselrock.transport.response_memory import response_limit
from teaselrock.transport.response_memory import ResponseMemory

Source = StoredObjectSource[str]
Read = Callable[[Source], Awaitable[Result[ObjectListing[str], StoreError]]]
# With its metadata about as large as the store accepts, 1 MiB.
DOCUMENT = 'd' * (1024 * 1024 - 100)
MEMORY_BYTES = 200_000_000


async def _list(source: Source) -> Result[ObjectListing[str], StoreError]:
    return await source.list_all()


async def _watch(source: Source) -> Result[ObjectListing[str], StoreError]:
    return await source.wait_for_changes(after=StorePosition(1, 1), wait=0.01)


READS = pytest.mark.parametrize(
    'read', [pytest.param(_list, id='list'), pytest.param(_watch, id='watch')]
)


def _decode(name: str, spec: Any) -> str:
    return str(spec)


def _read(read: Read, pace: Pace) -> Result[ObjectListing[str], StoreError]:
    """Result of reading one large object from a store with this pace."""

    async def main() -> Result[ObjectListing[str], StoreError]:
        store = PlatformStore()
        store.put('tables', 'main', DOCUMENT)
        store.http.pace = pace
        client = StoreClient(
            address=await store.http.start(),
            memory=ResponseMemory(limit_bytes=response_limit(MEMORY_BYTES)),
        )
        source = StoredObjectSource(
            client=client, kind='tables', decode=_decode, events=NoEvents()
        )
        try:
            async with asyncio.timeout(20):
                return await read(source)
        finally:
            await client.close()
            store.http.stop()

    return asyncio.run(main())


@READS
def test_slow_response_is_given_up_while_it_arrives(read: Read) -> None:
    """Guards against a large object that a slow link can never deliver.

    The response takes longer than the call may take until it begins.
    """
    result = _read(read, Pace(parts=30, pause_s=0.04))
    assert result.is_ok(), result.error
    assert [entry.value for entry in result.ok.entries] == [DOCUMENT]


@READS
def test_response_that_stops_half_way_is_waited_for(read: Read) -> None:
    """Guards against a call without an end after a part of its response."""
    result = _read(read, Pace(parts=4, sent_parts=2))
    assert result.is_error()
    assert result.error.kind is StoreErrorKind.UNKNOWN


@READS
def test_call_without_a_response_is_waited_for(read: Read) -> None:
    """Guards against a lost call that is not noticed."""
    result = _read(read, Pace(sent_parts=0))
    assert result.is_error()
    assert result.error.kind is StoreErrorKind.UNKNOWN


@READS
def test_trickle_holds_a_call(
    read: Read, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a response that arrives without end."""
    monkeypatch.setattr(store_client, 'MAX_RESPONSE_S', 0.6)
    result = _read(read, Pace(parts=2000, pause_s=0.02))
    assert result.is_error()
    assert result.error.kind is StoreErrorKind.UNKNOWN
