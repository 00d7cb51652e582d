"""Ports to systems outside the process.

These are peer links, the object store, the platform's list of instances and
the backend servers. `transport` and the stand-ins implement the ports. Time
comes from the event loop, so there is no port for a clock.
"""

from collections.abc import Sequence
import enum
from typing import Any
from typing import NamedTuple
from typing import Protocol

from expression import Result

from teaselrock.state import BackendResponse
from teaselrock.state import BackendServer
from teaselrock.state import ExchangeFailure
from teaselrock.state import Instance
from teaselrock.state import LoadReport
from teaselrock.state import RequestContent

# Links between instances


class PeerLink(Protocol):
    """Unreliable, authenticated datagrams between instances."""

    def connect(self, *, peer: Instance) -> None:
        """Set up the link to `peer`; idempotent."""
        ...

    def disconnect(self, *, instance_id: str) -> None:
        """Remove the link to a peer; unknown ids are ignored."""
        ...

    def send(self, *, to: str, message: NamedTuple) -> int:
        """Queue a message; returns its size in bytes, 0 if it was dropped."""
        ...

    async def receive(self) -> tuple[str, NamedTuple]:
        """Wait for the next message; returns sender id and message."""
        ...


# The platform's object store


class StoreErrorKind(enum.StrEnum):
    """How a store call failed.

    `CONFLICT`: the key was not at the expected version, or was deleted during
    a read. `UNAVAILABLE`: the call had no effect, or the object cannot be
    decoded. `UNKNOWN`: the call may have taken effect. `LIMITED`: the store
    limits the rate of calls. `TOO_LARGE`: the store refuses values of this
    size. `HISTORY_LOST`: the store no longer has the changes since a revision.
    """

    CONFLICT = 'conflict'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'
    LIMITED = 'limited'
    TOO_LARGE = 'too-large'
    HISTORY_LOST = 'history-lost'


class StoreError(NamedTuple):
    """A failed store call."""

    kind: StoreErrorKind
    detail: str


class StoredValue(NamedTuple):
    """A value and its version; the versions of a key increase from 1."""

    key: str
    version: int
    value: bytes


class Store(Protocol):
    """The platform's object store.

    The platform counts calls; a watch counts as one.
    """

    async def get(self, *, key: str) -> Result[StoredValue | None, StoreError]:
        """Read a value; None if the key does not exist."""
        ...

    async def put(
        self, *, key: str, value: bytes, expected_version: int | None
    ) -> Result[int, StoreError]:
        """Write if the key is at `expected_version`; returns the new version.

        0 creates the key, None writes at any version.
        """
        ...

    async def delete(
        self, *, key: str, expected_version: int | None
    ) -> Result[None, StoreError]:
        """Delete if the key is at `expected_version`, or at any if None.

        A missing key is not an error.
        """
        ...

    async def list_keys(
        self, *, prefix: str, after: str = '', limit: int = 1000
    ) -> Result[Sequence[str], StoreError]:
        """List up to `limit` keys with a prefix, sorted, after `after`."""
        ...

    async def watch(
        self, *, key: str, after: int, timeout: float
    ) -> Result[StoredValue | None, StoreError]:
        """Wait until the key's version exceeds `after`.

        Returns None after `timeout` seconds without a newer version.
        """
        ...


class DocumentError(NamedTuple):
    """Stored bytes that cannot be decoded as the expected type."""

    detail: str


class DocumentCodec(Protocol):
    """Encodes typed values for the store; implemented in `protocol`."""

    def encode(self, *, value: Any) -> bytes:
        """Encode a `NamedTuple`, a `TypedDict` or a container of them."""
        ...

    def decode(
        self, *, data: bytes, value_type: Any
    ) -> Result[Any, DocumentError]:
        """Decode bytes and validate the value against a type."""
        ...


class PlatformList(Protocol):
    """The platform's list of instances and servers, which may be stale."""

    async def backend_servers(
        self,
    ) -> Result[Sequence[BackendServer], StoreError]:
        """All backend servers in the platform's list."""
        ...

    async def instance_ids(self) -> Result[frozenset[str], StoreError]:
        """Ids of the instances that the platform lists as live."""
        ...


# Backend servers


class BackendConnection(Protocol):
    """A connection to one process (start id) of a backend server."""

    @property
    def load(self) -> LoadReport:
        """Latest load report received on this connection, or before it."""
        ...

    @property
    def is_open(self) -> bool:
        """Whether an exchange can start on this connection."""
        ...

    async def check_load(
        self, *, deadline: float
    ) -> Result[LoadReport, ExchangeFailure]:
        """Request a load report without running a request.

        `deadline` is on the event loop's clock.
        """
        ...

    async def exchange(
        self, *, content: RequestContent, deadline: float
    ) -> Result[BackendResponse, ExchangeFailure]:
        """Send one request and read its complete response.

        `deadline` is on the event loop's clock. The connection is closed
        unless a complete response was read, also on cancellation.
        """
        ...

    def close(self) -> None:
        """Close; the server cancels the request in flight."""
        ...


class BackendConnector(Protocol):
    """Opens connections to backend servers.

    Deadlines are on the event loop's clock.
    """

    async def connect(
        self, *, server: BackendServer, deadline: float
    ) -> Result[BackendConnection, ExchangeFailure]:
        """Connect and read the load report, which contains the start id.

        If the protocol has no such report, the start id is '' and requests
        name the server that may run them.
        """
        ...

    async def connect_unchecked(
        self, *, server: BackendServer, deadline: float
    ) -> Result[BackendConnection, ExchangeFailure]:
        """Connect without reading a load report."""
        ...
