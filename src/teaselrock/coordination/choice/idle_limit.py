"""Limit of idle connections to a server for each instance.

A server limits the connections from all instances together and resets those
above the limit. Each instance takes an equal share, of which its connection
pool keeps only a part idle. The roster provides the number of instances.
"""

from typing import Final

from teaselrock.coordination.rate_permits import InstanceRoster
from teaselrock.coordination.registry import InstallationView
from teaselrock.state import BackendServer

# Load checks and requests of one instance rarely use more connections to one
# server at a time.
MAX_IDLE_PER_INSTANCE: Final = 8
# Share of an instance's connections that may be idle; the rest is left to
# requests in flight.
IDLE_SHARE: Final = 0.5


class SharedIdleLimit:
    """`IdleLimit` that divides a server's connections among instances."""

    def __init__(
        self, *, view: InstallationView, roster: InstanceRoster
    ) -> None:
        self._view = view
        self._roster = roster

    def max_idle(self, *, server: BackendServer) -> int:
        """Maximum of idle connections, 0 for a server that is removed."""
        if self._view.server(server.server_id) is None:
            return 0
        profile = self._view.table.services.get(server.service)
        if profile is None or profile.max_connections <= 0:
            return MAX_IDLE_PER_INSTANCE
        connection_share = (
            profile.max_connections / self._roster.instance_count
        )
        return max(
            1, min(MAX_IDLE_PER_INSTANCE, int(IDLE_SHARE * connection_share))
        )
