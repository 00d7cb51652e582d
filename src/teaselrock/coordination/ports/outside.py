"""Ports to the outside: links, store, platform list, backend servers.

Transport and the stand-ins implement them. The clock is the event loop's,
so it has no port.
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
        """Make `peer` reachable; repeated calls are harmless."""
        ...

    def disconnect(self, *, instance_id: str) -> None:
        """Drop the link to a peer; unknown peers are ignored."""
        ...

    def send(self, *, to: str, message: NamedTuple) -> int:
        """Queue a message; returns its size in bytes, 0 if dropped."""
        ...

    async def receive(self) -> tuple[str, NamedTuple]:
        """Wait for the next message; returns sender id and message."""
        ...


# The platform's object store


class StoreErrorKind(enum.StrEnum):
    """How a store call failed.

    `UNKNOWN` means that the call may have taken effect. `HISTORY_LOST`
    means that the changes since a revision are no longer known.
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
    """A value and its version; versions of a key only grow, from 1."""

    key: str
    version: int
    value: bytes


class Store(Protocol):
    """The platform's object store. Each call counts, a watch as one."""

    async def get(self, *, key: str) -> Result[StoredValue | None, StoreError]:
        """Read a value, None if there is none."""
        ...

    async def put(
        self, *, key: str, value: bytes, expected_version: int | None
    ) -> Result[int, StoreError]:
        """Write if the key is at `expected_version` (0: create, None: any).

        Returns the new version.
        """
        ...

    async def delete(
        self, *, key: str, expected_version: int | None
    ) -> Result[None, StoreError]:
        """Delete if the version matches; a missing key is not an error."""
        ...

    async def list_keys(
        self, *, prefix: str, after: str = '', limit: int = 1000
    ) -> Result[Sequence[str], StoreError]:
        """List keys under a prefix in order, after the key `after`."""
        ...

    async def watch(
        self, *, key: str, after: int, timeout: float
    ) -> Result[StoredValue | None, StoreError]:
        """Wait until the version exceeds `after`; None on timeout.

        `timeout` is in seconds.
        """
        ...


class DocumentError(NamedTuple):
    """Stored bytes that are not a document of the expected type."""

    detail: str


class DocumentCodec(Protocol):
    """Encodes typed values for the store; protocol implements it."""

    def encode(self, *, value: Any) -> bytes:
        """Encode a `NamedTuple`, `TypedDict` or a container of them."""
        ...

    def decode(
        self, *, data: bytes, value_type: Any
    ) -> Result[Any, DocumentError]:
        """Decode and check bytes against a type."""
        ...


class PlatformList(Protocol):
    """The platform's lagging list of live and leaving instances."""

    async def backend_servers(
        self,
    ) -> Result[Sequence[BackendServer], StoreError]:
        """All backend servers that the platform knows."""
        ...

    async def gateway_ids(self) -> Result[frozenset[str], StoreError]:
        """Ids of the gateway instances that the platform says are live."""
        ...


# Backend servers


class BackendConnection(Protocol):
    """One connection to one start of a backend server."""

    @property
    def load(self) -> LoadReport:
        """Newest load report seen on this connection."""
        ...

    @property
    def is_open(self) -> bool:
        """Whether an exchange can start on it."""
        ...

    async def check_load(
        self, *, deadline: float
    ) -> Result[LoadReport, ExchangeFailure]:
        """Ask the server for its load; the request itself never runs."""
        ...

    async def exchange(
        self, *, content: RequestContent, deadline: float
    ) -> Result[BackendResponse, ExchangeFailure]:
        """Send one request and read its whole answer.

        `deadline` is on the loop's clock. The connection is closed if the
        exchange does not end with a whole answer, also on cancellation.
        """
        ...

    def close(self) -> None:
        """Close; the server cancels what was in flight."""
        ...


class BackendConnector(Protocol):
    """Opens connections; each begins with the server's load report."""

    async def connect(
        self, *, server: BackendServer, deadline: float
    ) -> Result[BackendConnection, ExchangeFailure]:
        """Connect and read the load report, which names the start id."""
        ...

    async def connect_unchecked(
        self, *, server: BackendServer, deadline: float
    ) -> Result[BackendConnection, ExchangeFailure]:
        """Connect without a load report."""
        ...
