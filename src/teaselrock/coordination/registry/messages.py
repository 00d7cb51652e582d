"""Messages by which a watching instance passes the store's objects on.

`revisions` are those of the sender's copies of routes, servers and zones
that are out; `mirror.UNKNOWN` stands for no copy.
"""

from typing import NamedTuple

from teaselrock.state import BackendServer
from teaselrock.state.routes import RoutingTable


class Revisions(NamedTuple):
    """Revisions of the three copies."""

    tables: int
    servers: int
    zones_out: int


class FollowRequest(NamedTuple):
    """Asks for all that is newer than `revisions`."""

    instance_id: str
    revisions: Revisions


class WatchHeartbeat(NamedTuple):
    """Tells that the sender watches the store.

    `is_connected` is false while the store does not answer the sender.
    """

    instance_id: str
    is_connected: bool
    revisions: Revisions


class TablesChanged(NamedTuple):
    """A step of the routing table's copy; `None` values cannot be used."""

    after: int
    revision: int
    names: tuple[str, ...]
    values: tuple[RoutingTable | None, ...]
    deleted: tuple[str, ...]


class ServersChanged(NamedTuple):
    """A step of the servers' copy."""

    after: int
    revision: int
    names: tuple[str, ...]
    values: tuple[BackendServer | None, ...]
    deleted: tuple[str, ...]


class ZonesChanged(NamedTuple):
    """A step of the copy of zones that are out."""

    after: int
    revision: int
    names: tuple[str, ...]
    values: tuple[str | None, ...]
    deleted: tuple[str, ...]
