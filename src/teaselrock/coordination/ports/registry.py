"""Ports of an installation: objects in its store, instances, relay links.

`coordination.registry` defines an installation and updates its view through
these types. Implementations decode the store's format.
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
    """One object; `value` is None if it is deleted or unreadable."""

    name: str
    value: T | None
    is_deleted: bool = False


class StorePosition(NamedTuple):
    """Point in the history of the store; positions are ordered.

    A store that is restored from an older copy begins a new `era`, in which
    revisions that were given out before are given out again.
    """

    era: int
    revision: int


class ObjectListing(NamedTuple, Generic[T]):
    """Objects of a kind, all or those changed, up to a store position."""

    entries: tuple[ObjectEntry[T], ...]
    position: StorePosition


class ObjectSource(Protocol[T]):
    """Lists and watches the objects of one kind in the store."""

    async def list_all(self) -> Result[ObjectListing[T], StoreError]:
        """Read all objects."""
        ...

    async def wait_for_changes(
        self, *, after: StorePosition, wait: float
    ) -> Result[ObjectListing[T], StoreError]:
        """Wait up to `wait` seconds for changes after a position.

        After `HISTORY_LOST`, or if the position of the result is in another
        era, the objects have to be listed again.
        """
        ...


class InstanceRegistration(NamedTuple):
    """The data under which an instance registers itself.

    `zone` is the name of its zone without the region. `link_mbps` is the speed
    of its link in Mbit/s, 0 if it is unknown. `relay_protocol` is the version
    of the messages that it understands when others follow it.
    """

    instance_id: str
    region: str
    zone: str
    address: str = ''
    link_mbps: float = 0.0
    relay_protocol: int = 0


class InstanceListing(NamedTuple):
    """Registrations of all instances, as read in one era of the store."""

    registrations: tuple[InstanceRegistration, ...]
    era: int


class InstanceRegistry(Protocol):
    """Registry of instances in the store."""

    async def register(
        self, *, entry: InstanceRegistration
    ) -> Result[bool, StoreError]:
        """Write the registration of this instance.

        The result is True if the instance had no entry before.
        """
        ...

    async def read(self) -> Result[InstanceListing, StoreError]:
        """Read all registrations; the result may be seconds old."""
        ...


class RelayChannel(Protocol):
    """Connection over which one instance of a region follows another."""

    def send(self, message: NamedTuple) -> bool:
        """Queue a message; False if the connection is closed or blocked."""
        ...

    async def receive(self) -> 'NamedTuple | None':
        """Wait for the next message; None once the connection is closed."""
        ...

    def close(self) -> None:
        """Close the connection."""
        ...


class RelayLink(Protocol):
    """Opens and accepts the connections between instances of a region."""

    async def connect(self, *, address: str) -> RelayChannel | None:
        """Connect to an instance; None if it cannot be reached."""
        ...

    async def serve(
        self, *, on_channel: Callable[[RelayChannel], Awaitable[None]]
    ) -> None:
        """Accept connections, each handled in its own task.

        Raises `OSError` if the address cannot be bound.
        """
        ...

    def close(self) -> None:
        """Close the listening socket and all connections."""
        ...
