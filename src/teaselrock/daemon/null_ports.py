"""Null implementations of ports, for an instance without peers or a store.

Every store call returns `UNAVAILABLE`, as in an outage of the store.
"""

import asyncio
from collections.abc import Sequence
from typing import NamedTuple

from expression import Error
from expression import Result

from teaselrock.coordination.ports import StoredValue
from teaselrock.coordination.ports import StoreError
from teaselrock.coordination.ports import StoreErrorKind
from teaselrock.state import BackendServer
from teaselrock.state import Instance

_NO_STORE_ERROR = StoreError(
    StoreErrorKind.UNAVAILABLE, 'the settings have no store_url'
)


class NoPeerLink:
    """`PeerLink` without peers."""

    def connect(self, *, peer: Instance) -> None:
        """Do nothing."""

    def disconnect(self, *, instance_id: str) -> None:
        """Do nothing."""

    def send(self, *, to: str, message: NamedTuple) -> int:
        """Drop the message."""
        return 0

    async def receive(self) -> tuple[str, NamedTuple]:
        """Wait until cancelled."""
        await asyncio.Event().wait()
        raise AssertionError(
            'the wait for peer messages ended without cancellation'
        )


class NoStore:
    """`Store` that is always unavailable."""

    async def get(self, *, key: str) -> Result[StoredValue | None, StoreError]:
        """Fail."""
        return Error(_NO_STORE_ERROR)

    async def put(
        self, *, key: str, value: bytes, expected_version: int | None
    ) -> Result[int, StoreError]:
        """Fail."""
        return Error(_NO_STORE_ERROR)

    async def delete(
        self, *, key: str, expected_version: int | None
    ) -> Result[None, StoreError]:
        """Fail."""
        return Error(_NO_STORE_ERROR)

    async def list_keys(
        self, *, prefix: str, after: str = '', limit: int = 1000
    ) -> Result[Sequence[str], StoreError]:
        """Fail."""
        return Error(_NO_STORE_ERROR)

    async def watch(
        self, *, key: str, after: int, timeout: float
    ) -> Result[StoredValue | None, StoreError]:
        """Fail after `timeout`, so that no watcher repeats it at once."""
        await asyncio.sleep(timeout)
        return Error(_NO_STORE_ERROR)


class NoPlatformList:
    """`PlatformList` that is always unavailable."""

    async def backend_servers(
        self,
    ) -> Result[Sequence[BackendServer], StoreError]:
        """Fail."""
        return Error(_NO_STORE_ERROR)

    async def instance_ids(self) -> Result[frozenset[str], StoreError]:
        """Fail."""
        return Error(_NO_STORE_ERROR)
