"""Messages by which a watching instance relays changes to its followers.

`positions` are those of the sender's mirrors of the routing table, the
servers and the zones out of service; `mirror.NO_POSITION` means that a mirror
is empty. A change leads from position `after` to `position`; `names` and
`values` are the objects written, `deleted` the names of those deleted.
"""

from typing import Final
from typing import NamedTuple

from teaselrock.coordination.ports import StorePosition
from teaselrock.coordination.registry.table_edits import TableEdit
from teaselrock.state import BackendServer
from teaselrock.state.routes import RoutingTable

# Version of these messages that an instance states in its registration. Those
# of version 0 know neither `FollowerProtocol` nor the messages that name it.
RELAY_PROTOCOL: Final = 1


class MirrorPositions(NamedTuple):
    """Positions of the three mirrors."""

    tables: StorePosition
    servers: StorePosition
    zones_out: StorePosition


class FollowerProtocol(NamedTuple):
    """States the version of the follower's messages, before `FollowRequest`.

    Only sent to instances whose registration states version 1 or more.
    """

    version: int


class FollowRequest(NamedTuple):
    """Requests all changes after `positions`, until the connection ends."""

    instance_id: str
    positions: MirrorPositions


class WatchHeartbeat(NamedTuple):
    """Announces that the sender is running and watches the store.

    `is_connected` is False while the store does not answer the sender.
    """

    instance_id: str
    is_connected: bool
    positions: MirrorPositions


class TablesChanged(NamedTuple):
    """A change of the routing table; a value of `None` is unreadable."""

    after: StorePosition
    position: StorePosition
    names: tuple[str, ...]
    values: tuple[RoutingTable | None, ...]
    deleted: tuple[str, ...]


class TablesEdited(NamedTuple):
    """A change of the routing table, as a difference from the last one.

    An edit of `None` is an unreadable table. Sent after `FollowerProtocol`;
    other followers get `TablesChanged`.
    """

    after: StorePosition
    position: StorePosition
    names: tuple[str, ...]
    edits: tuple[TableEdit | None, ...]
    deleted: tuple[str, ...]


class TablesReceived(NamedTuple):
    """Acknowledges a `TablesEdited` up to this position."""

    position: StorePosition


class TablesConfirmed(NamedTuple):
    """The routing table of `position` was that in the store `age_s` ago.

    Sent with each heartbeat, after `FollowerProtocol`.
    """

    position: StorePosition
    age_s: float


class ServersChanged(NamedTuple):
    """A change of the backend servers; a value of `None` is unreadable."""

    after: StorePosition
    position: StorePosition
    names: tuple[str, ...]
    values: tuple[BackendServer | None, ...]
    deleted: tuple[str, ...]


class ZonesChanged(NamedTuple):
    """A change of the zones out of service; `None` is unreadable."""

    after: StorePosition
    position: StorePosition
    names: tuple[str, ...]
    values: tuple[str | None, ...]
    deleted: tuple[str, ...]
