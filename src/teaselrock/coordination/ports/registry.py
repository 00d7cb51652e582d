"""Ports to the store of an installation: its objects as typed entries.

`coordination.registry` keeps its view in step through them; whoever
implements them decodes the store's format.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Generic
from typing import NamedTuple
from typing import Protocol
from typing import TypeVar

from expression import Result

from teaselrock.coordination.ports.outside import StoreError

T = TypeVar('T')


class ObjectEntry(NamedTuple, Generic[T]):
    """One object; `value` is None if it is deleted or cannot be used."""

    name: str
    value: T | None
    is_deleted: bool = False


class ObjectListing(NamedTuple, Generic[T]):
    """All objects of a kind at one revision of the store."""

    entries: tuple[ObjectEntry[T], ...]
    revision: int


class ObjectSource(Protocol[T]):
    """Objects of one kind in the store."""

    async def list_all(self) -> Result[ObjectListing[T], StoreError]:
        """Read all objects."""
        ...

    async def wait_for_changes(
        self, *, after: int, wait: float
    ) -> Result[ObjectListing[T], StoreError]:
        """Wait up to `wait` seconds for changes after a revision.

        `HISTORY_LOST` means that the objects have to be listed again.
        """
        ...


class InstanceRegistration(NamedTuple):
    """An instance as it registered itself."""

    instance_id: str
    region: str
    zone: str
    address: str = ''


class InstanceRegistry(Protocol):
    """Instances that have registered in the store."""

    async def register(
        self, *, entry: InstanceRegistration
    ) -> Result[None, StoreError]:
        """Write the own entry."""
        ...

    async def read(
        self,
    ) -> Result[tuple[InstanceRegistration, ...], StoreError]:
        """Read all entries; they may be seconds old."""
        ...


class RelayChannel(Protocol):
    """Connection between two instances of a region."""

    def send(self, message: NamedTuple) -> bool:
        """Queue a message; False if the connection is closed or stuck."""
        ...

    async def receive(self) -> 'NamedTuple | None':
        """Wait for the next message, None at the end."""
        ...

    def close(self) -> None:
        """Close the connection."""
        ...


class RelayLink(Protocol):
    """Opens and accepts connections between instances."""

    async def connect(self, *, address: str) -> RelayChannel | None:
        """Connect to an instance, None if it cannot be reached."""
        ...

    async def serve(
        self, *, on_channel: Callable[[RelayChannel], Awaitable[None]]
    ) -> None:
        """Accept connections; each runs in a task of its own.

        Raises `OSError` if the address cannot be bound.
        """
        ...

    def close(self) -> None:
        """Close the port and all connections."""
        ...
