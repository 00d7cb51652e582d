"""The client of the platform's store, against a stand-in."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from platform_world import PlatformStore

from teaselrock.coordination.events import NoEvents
from teaselrock.coordination.ports import InstanceListing
from teaselrock.coordination.ports import InstanceRegistration
from teaselrock.coordination.ports import StoreErrorKind
from teaselrock.coordination.ports import StorePosition
from teaselrock.platform.documents import decode_zone_out
from teaselrock.platform.store import StoredInstanceRegistry
from teaselrock.platform.store import StoredObjectSource
from teaselrock.platform.store_client import StoreClient

Scenario = Callable[[PlatformStore, StoreClient], Awaitable[None]]


def _run(scenario: Scenario) -> None:
    async def main() -> None:
        store = PlatformStore()
        client = StoreClient(address=await store.http.start())
        try:
            async with asyncio.timeout(20):
                await scenario(store, client)
        finally:
            await client.close()
            store.http.stop()

    asyncio.run(main())


def _zone_source(client: StoreClient) -> StoredObjectSource[str]:
    return StoredObjectSource(
        client=client, kind='zones', decode=decode_zone_out, events=NoEvents()
    )


def test_all_pages_are_read() -> None:
    """Guards against a listing that contains only the first page.

    The store returns two objects per page.
    """

    async def scenario(store: PlatformStore, client: StoreClient) -> None:
        for name in 'abcde':
            store.put('zones', name, {})
        listed = await _zone_source(client).list_all()
        assert [entry.name for entry in listed.ok.entries] == list('abcde')
        assert listed.ok.position == StorePosition(1, store.revision)

    _run(scenario)


def test_change_between_two_pages_is_not_missed() -> None:
    """Guards against a watch that begins after a change it has not read.

    An object of the first page is deleted while the second page is read.
    """

    async def scenario(store: PlatformStore, client: StoreClient) -> None:
        for name in 'abc':
            store.put('zones', name, {})

        def delete_listed() -> None:
            store.on_page_sent = lambda: None
            store.delete('zones', 'a')

        store.on_page_sent = delete_listed
        source = _zone_source(client)
        listed = await source.list_all()
        assert [entry.name for entry in listed.ok.entries] == list('abc')
        changes = await source.wait_for_changes(
            after=listed.ok.position, wait=0.01
        )
        assert [entry.name for entry in changes.ok.entries] == ['a']
        assert changes.ok.entries[0].is_deleted

    _run(scenario)


def test_changes_and_lost_history() -> None:
    """Guards against changes that are missed between two long polls.

    A change may come before the call, during its wait, or be gone from the
    store's history.
    """

    async def scenario(store: PlatformStore, client: StoreClient) -> None:
        source = _zone_source(client)
        store.put('zones', 'a', {})
        store.delete('zones', 'a')
        changes = await source.wait_for_changes(
            after=StorePosition(1, 1), wait=1.0
        )
        assert [entry.is_deleted for entry in changes.ok.entries] == [
            False,
            True,
        ]
        waiting = asyncio.create_task(
            source.wait_for_changes(after=StorePosition(1, 3), wait=5.0)
        )
        await asyncio.sleep(0.05)
        store.put('zones', 'b', {})
        assert [entry.name for entry in (await waiting).ok.entries] == ['b']
        empty = await source.wait_for_changes(
            after=StorePosition(1, 4), wait=0.01
        )
        assert empty.ok.entries == ()
        store.first_revision = 4
        lost = await source.wait_for_changes(
            after=StorePosition(1, 2), wait=0.01
        )
        assert lost.error.kind is StoreErrorKind.HISTORY_LOST

    _run(scenario)


def test_errors_have_their_kinds() -> None:
    """Guards against a failed call that is taken for an empty store.

    Calls fail by an error status, an invalid body, or a lost connection.
    """

    async def scenario(store: PlatformStore, client: StoreClient) -> None:
        source = _zone_source(client)
        for status, expected in (
            (503, StoreErrorKind.UNAVAILABLE),
            (429, StoreErrorKind.LIMITED),
            (500, StoreErrorKind.UNKNOWN),
        ):
            store.forced_status = status
            assert (await source.list_all()).error.kind is expected
        store.forced_status = 200
        assert (await source.list_all()).error.kind is StoreErrorKind.UNKNOWN
        store.forced_status = None
        store.drops_connections = True
        assert (await source.list_all()).error.kind is StoreErrorKind.UNKNOWN
        store.http.stop()
        assert (
            await source.list_all()
        ).error.kind is StoreErrorKind.UNAVAILABLE

    _run(scenario)


def test_instance_registers_again_after_a_restart() -> None:
    """Guards against an instance that cannot register a second time.

    Its earlier registration is still stored, with another address.
    """

    async def scenario(store: PlatformStore, client: StoreClient) -> None:
        registry = StoredInstanceRegistry(client=client, events=NoEvents())
        registration = InstanceRegistration(
            'i1', 'east', 'east-a', '10.0.0.1:7660'
        )
        moved = registration._replace(address='10.0.0.2:7660')
        assert (await registry.register(entry=registration)).ok is True
        assert (await registry.register(entry=moved)).ok is False
        assert (await registry.read()).ok == InstanceListing((moved,), 1)

    _run(scenario)
