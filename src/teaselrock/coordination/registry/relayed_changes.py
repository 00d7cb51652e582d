"""Changes of the mirrors as messages between the instances of a region.

`relay` decides which instances exchange them.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TypeVar

from teaselrock.coordination.ports import ObjectEntry
from teaselrock.coordination.ports import ObjectListing
from teaselrock.coordination.ports import StorePosition
from teaselrock.coordination.registry.freshness import STORE_CONFIRMATION_S
from teaselrock.coordination.registry.messages import MirrorPositions
from teaselrock.coordination.registry.messages import ServersChanged
from teaselrock.coordination.registry.messages import TablesChanged
from teaselrock.coordination.registry.messages import TablesConfirmed
from teaselrock.coordination.registry.messages import TablesEdited
from teaselrock.coordination.registry.messages import WatchHeartbeat
from teaselrock.coordination.registry.messages import ZonesChanged
from teaselrock.coordination.registry.mirror import Change
from teaselrock.coordination.registry.mirror import MAX_KEPT_CHANGES
from teaselrock.coordination.registry.mirror import Mirror
from teaselrock.coordination.registry.mirror import NO_POSITION
from teaselrock.coordination.registry.sync import InstallationSync
from teaselrock.coordination.registry.table_edits import apply_edit
from teaselrock.coordination.registry.table_edits import edit_between
from teaselrock.state.routes import RoutingTable

T = TypeVar('T')
MessageT = TypeVar('MessageT', bound=NamedTuple)

TableMessage = TablesChanged | TablesEdited
# A message with so many routes takes one or two packets.
SMALL_CHANGE_ROUTES: Final = 32

ChangeMessage = TableMessage | ServersChanged | ZonesChanged


class RelayedChanges:
    """Sends and receives the changes of one instance's mirrors."""

    def __init__(self, *, sync: InstallationSync) -> None:
        self._sync = sync
        self._edited_by_positions: OrderedDict[
            tuple[StorePosition, StorePosition], TablesEdited
        ] = OrderedDict()

    @property
    def positions(self) -> MirrorPositions:
        """Positions of the mirrors."""
        return MirrorPositions(
            self._sync.tables.position,
            self._sync.servers.position,
            self._sync.zones_out.position,
        )

    def servers_and_zones_since(
        self, positions: MirrorPositions
    ) -> list[NamedTuple]:
        """Changes of servers and zones after `positions`, as messages."""
        messages: list[NamedTuple] = [
            _message(change, ServersChanged)
            for change in _changes(self._sync.servers, positions.servers)
        ]
        messages += [
            _message(change, ZonesChanged)
            for change in _changes(self._sync.zones_out, positions.zones_out)
        ]
        return messages

    def tables_since(
        self, positions: MirrorPositions, *, protocol: int
    ) -> list[TableMessage]:
        """Changes of the routing table after `positions`, as messages.

        `protocol` is the receiver's `FollowerProtocol`, or 0. Receivers at the
        same position get the same message object, so that the link encodes it
        once.
        """
        return [
            self._edited(change)
            if protocol > 0
            else _message(change, TablesChanged)
            for change in _changes(self._sync.tables, positions.tables)
        ]

    def _edited(self, change: Change[RoutingTable]) -> TablesEdited:
        key = (change.after, change.listing.position)
        message = self._edited_by_positions.get(key)
        if message is None:
            message = _edited_message(change)
            self._edited_by_positions[key] = message
            if len(self._edited_by_positions) > MAX_KEPT_CHANGES:
                self._edited_by_positions.popitem(last=False)
        return message

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
        if isinstance(message, TablesEdited):
            change = self._decode_edits(message, source)
            if change is None:
                return self._positions_without(message)
            applied = self._sync.tables.apply(change)
        elif isinstance(message, TablesChanged):
            applied = self._sync.tables.apply(_decode(message, source))
        elif isinstance(message, ServersChanged):
            applied = self._sync.servers.apply(_decode(message, source))
        else:
            applied = self._sync.zones_out.apply(_decode(message, source))
        return None if applied else self.positions

    @property
    def confirmed(self) -> TablesConfirmed:
        """When the routing table of this instance was that in the store."""
        return TablesConfirmed(
            self._sync.tables.position, self._sync.table_freshness.age
        )

    def confirm(self, message: TablesConfirmed) -> None:
        """Note that the table of a watching instance was current.

        That of this instance was too, if it is no older.
        """
        if message.position <= self._sync.tables.position:
            now = asyncio.get_running_loop().time()
            self._sync.table_freshness.confirm(at=now - message.age_s)

    def confirm_by_heartbeat(self, heartbeat: WatchHeartbeat) -> None:
        """Do the same for an instance that sends no `TablesConfirmed`.

        Its last response of the store may be as old as the longest gap.
        """
        if heartbeat.is_connected:
            self.confirm(
                TablesConfirmed(
                    heartbeat.positions.tables, STORE_CONFIRMATION_S
                )
            )

    def _decode_edits(
        self, message: TablesEdited, source: str
    ) -> Change[RoutingTable] | None:
        """The change; None if an edit is based on another table.

        A change that this mirror already has is applied without its values.
        """
        if message.position <= self._sync.tables.position:
            return Change(
                message.after, ObjectListing((), message.position), source
            )
        entries = [
            ObjectEntry[RoutingTable](name, None, True)
            for name in message.deleted
        ]
        for name, edit in zip(message.names, message.edits):
            table: RoutingTable | None = None
            if edit is not None:
                known = self._sync.tables.entry(name)
                table = apply_edit(known.value if known else None, edit)
                if table is None:
                    return None
            entries.append(ObjectEntry(name, table))
        return Change(
            message.after,
            ObjectListing(tuple(entries), message.position),
            source,
        )

    def _positions_without(self, message: ChangeMessage) -> MirrorPositions:
        """The positions, as if the mirror of a message's kind were empty."""
        if isinstance(message, TableMessage):
            return self.positions._replace(tables=NO_POSITION)
        if isinstance(message, ServersChanged):
            return self.positions._replace(servers=NO_POSITION)
        return self.positions._replace(zones_out=NO_POSITION)


def route_count(message: TableMessage) -> int:
    """Number of routes that a message contains."""
    if isinstance(message, TablesChanged):
        return sum(len(table.routes) for table in message.values if table)
    return sum(edit.added_count for edit in message.edits if edit)


def is_large(message: TableMessage) -> bool:
    """Whether receivers acknowledge a message, and few get it at a time."""
    return route_count(message) > SMALL_CHANGE_ROUTES


def _has_order(message: ChangeMessage) -> bool:
    """Whether each object is named once, so that its last state is known."""
    names = (*message.names, *message.deleted)
    return len(set(names)) == len(names)


def _changes(mirror: Mirror[T], position: StorePosition) -> list[Change[T]]:
    return mirror.since(position) if mirror.position > position else []


def _message(
    change: Change[Any], message_type: Callable[..., MessageT]
) -> MessageT:
    entries = change.listing.entries
    kept = [entry for entry in entries if not entry.is_deleted]
    return message_type(
        change.after,
        change.listing.position,
        tuple(entry.name for entry in kept),
        tuple(entry.value for entry in kept),
        tuple(entry.name for entry in entries if entry.is_deleted),
    )


def _edited_message(change: Change[RoutingTable]) -> TablesEdited:
    entries = change.listing.entries
    kept = [entry for entry in entries if not entry.is_deleted]
    return TablesEdited(
        change.after,
        change.listing.position,
        tuple(entry.name for entry in kept),
        tuple(
            edit_between(change.replaced.get(entry.name), entry.value)
            if entry.value is not None
            else None
            for entry in kept
        ),
        tuple(entry.name for entry in entries if entry.is_deleted),
    )


def _decode(
    message: TablesChanged | ServersChanged | ZonesChanged, source: str
) -> Change[Any]:
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
