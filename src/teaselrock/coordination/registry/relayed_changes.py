"""Changes of the mirrors as messages between the instances of a region.

`relay` decides which instances exchange them.
"""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from teaselrock.coordination.ports import ObjectEntry
from teaselrock.coordination.ports import ObjectListing
from teaselrock.coordination.ports import RelayChannel
from teaselrock.coordination.ports import StorePosition
from teaselrock.coordination.registry.messages import MirrorPositions
from teaselrock.coordination.registry.messages import ServersChanged
from teaselrock.coordination.registry.messages import TablesChanged
from teaselrock.coordination.registry.messages import WatchHeartbeat
from teaselrock.coordination.registry.messages import ZonesChanged
from teaselrock.coordination.registry.mirror import Change
from teaselrock.coordination.registry.mirror import Mirror
from teaselrock.coordination.registry.mirror import NO_POSITION
from teaselrock.coordination.registry.sync import InstallationSync

ChangeMessage = TablesChanged | ServersChanged | ZonesChanged


class RelayedChanges:
    """Sends and receives the changes of one instance's mirrors."""

    def __init__(self, *, sync: InstallationSync) -> None:
        self._sync = sync

    @property
    def positions(self) -> MirrorPositions:
        """Positions of the mirrors."""
        return MirrorPositions(
            self._sync.tables.position,
            self._sync.servers.position,
            self._sync.zones_out.position,
        )

    def send_since(
        self, *, channel: RelayChannel, positions: MirrorPositions
    ) -> None:
        """Send all changes after `positions`."""
        sync = self._sync
        _send(channel, sync.tables, positions.tables, TablesChanged)
        _send(channel, sync.servers, positions.servers, ServersChanged)
        _send(channel, sync.zones_out, positions.zones_out, ZonesChanged)

    def receive(
        self, message: ChangeMessage, *, source: str
    ) -> MirrorPositions | None:
        """Apply a change that the instance `source` sent.

        If that is not possible, the result is the positions after which
        changes have to be requested: those of the mirrors if an earlier
        change is missing. Instances of earlier builds may name an object
        both as written and as deleted; which came last is unknown, so a
        snapshot of this kind is requested.
        """
        if not _has_order(message):
            return self._positions_without(message)
        if isinstance(message, TablesChanged):
            applied = self._sync.tables.apply(_decode(message, source))
        elif isinstance(message, ServersChanged):
            applied = self._sync.servers.apply(_decode(message, source))
        else:
            applied = self._sync.zones_out.apply(_decode(message, source))
        return None if applied else self.positions

    def confirm(self, heartbeat: WatchHeartbeat) -> None:
        """Note that a watching instance has no newer routing table."""
        if (
            heartbeat.is_connected
            and heartbeat.positions.tables <= self._sync.tables.position
        ):
            self._sync.table_freshness.confirm_by_heartbeat()

    def _positions_without(self, message: ChangeMessage) -> MirrorPositions:
        """The positions, as if the mirror of a message's kind were empty."""
        if isinstance(message, TablesChanged):
            return self.positions._replace(tables=NO_POSITION)
        if isinstance(message, ServersChanged):
            return self.positions._replace(servers=NO_POSITION)
        return self.positions._replace(zones_out=NO_POSITION)


def _has_order(message: ChangeMessage) -> bool:
    """Whether each object is named once, so that its last state is known."""
    names = (*message.names, *message.deleted)
    return len(set(names)) == len(names)


def _send(
    channel: RelayChannel,
    mirror: Mirror[Any],
    position: StorePosition,
    message_type: Callable[..., NamedTuple],
) -> None:
    if mirror.position <= position:
        return
    for change in mirror.since(position):
        entries = change.listing.entries
        kept = [entry for entry in entries if not entry.is_deleted]
        channel.send(
            message_type(
                change.after,
                change.listing.position,
                tuple(entry.name for entry in kept),
                tuple(entry.value for entry in kept),
                tuple(entry.name for entry in entries if entry.is_deleted),
            )
        )


def _decode(message: ChangeMessage, source: str) -> Change[Any]:
    kept: list[ObjectEntry[Any]] = [
        ObjectEntry(name, value)
        for name, value in zip(message.names, message.values)
    ]
    deleted: list[ObjectEntry[Any]] = [
        ObjectEntry(name, None, True) for name in message.deleted
    ]
    return Change(
        message.after,
        ObjectListing((*kept, *deleted), message.position),
        source,
    )
