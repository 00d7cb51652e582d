"""Roster of the registered instances, and the ranks of lenders."""

from collections.abc import Sequence

from teaselrock.coordination import rendezvous
from teaselrock.coordination.ports import InstanceRegistration
from teaselrock.state import BackendServer


class InstanceRoster:
    """Instances of all regions, as last read from the registry."""

    def __init__(self, *, own: InstanceRegistration) -> None:
        self._own = own
        self._entries: tuple[InstanceRegistration, ...] = (own,)
        self._is_known = False
        self._ranked: dict[
            tuple[str, str], tuple[InstanceRegistration, ...]
        ] = {}

    @property
    def own_id(self) -> str:
        """Id of this instance."""
        return self._own.instance_id

    @property
    def is_known(self) -> bool:
        """Whether the registry has been read."""
        return self._is_known

    @property
    def instance_count(self) -> int:
        """Number of instances, this one included."""
        return len(self._entries)

    def set_entries(self, entries: Sequence[InstanceRegistration]) -> None:
        """Replace the entries by those that were read."""
        by_id = {entry.instance_id: entry for entry in entries}
        by_id[self.own_id] = self._own
        if tuple(by_id.values()) != self._entries:
            self._entries = tuple(by_id.values())
            self._ranked.clear()
        self._is_known = True

    def instances_in(self, region: str) -> int:
        """Number of instances in a region."""
        return sum(1 for entry in self._entries if entry.region == region)

    def ranked_lenders(
        self, server: BackendServer
    ) -> tuple[InstanceRegistration, ...]:
        """Instances of the server's region by rank, the first lender first.

        Empty until the registry has been read: an instance that knows only
        itself would lend what others lend too.
        """
        if not self._is_known:
            return ()
        region = server.zone.region
        key = (server.server_id, region)
        ranked = self._ranked.get(key)
        if ranked is None:
            by_id = {
                entry.instance_id: entry
                for entry in self._entries
                if entry.region == region
            }
            ranked = self._ranked[key] = tuple(
                by_id[instance_id]
                for instance_id in rendezvous.ranked(
                    key=server.server_id, members=by_id
                )
            )
        return ranked

    def drop_server(self, server_id: str) -> None:
        """Drop the ranks for a server that was removed."""
        for key in [key for key in self._ranked if key[0] == server_id]:
            del self._ranked[key]
