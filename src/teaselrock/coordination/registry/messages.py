"""Messages by which a watching instance relays changes to its followers.

`revisions` are those of the sender's mirrors of the routing table, the
servers and the zones out of service; `mirror.NO_REVISION` means that a mirror
is empty. A change leads from revision `after` to `revision`; `names` and
`values` are the objects written, `deleted` the names of those deleted.
"""

from typing import NamedTuple

from teaselrock.state import BackendServer
from teaselrock.state.routes import RoutingTable


class Revisions(NamedTuple):
    """Revisions of the three mirrors."""

    tables: int
    servers: int
    zones_out: int


class FollowRequest(NamedTuple):
    """Requests all changes after `revisions`, until the connection ends."""

    instance_id: str
    revisions: Revisions


class WatchHeartbeat(NamedTuple):
    """Announces that the sender is running and watches the store.

    `is_connected` is False while the store does not answer the sender.
    """

    instance_id: str
    is_connected: bool
    revisions: Revisions


class TablesChanged(NamedTuple):
    """A change of the routing table; a value of `None` is unreadable."""

    after: int
    revision: int
    names: tuple[str, ...]
    values: tuple[RoutingTable | None, ...]
    deleted: tuple[str, ...]


class ServersChanged(NamedTuple):
    """A change of the backend servers; a value of `None` is unreadable."""

    after: int
    revision: int
    names: tuple[str, ...]
    values: tuple[BackendServer | None, ...]
    deleted: tuple[str, ...]


class ZonesChanged(NamedTuple):
    """A change of the zones out of service; `None` is unreadable."""

    after: int
    revision: int
    names: tuple[str, ...]
    values: tuple[str | None, ...]
    deleted: tuple[str, ...]
