"""Share of a server's connections that one instance keeps idle.

A server accepts a number of connections from all instances together and
resets those beyond it. `connections` asks before it keeps one.
"""

from typing import Final

from teaselrock.coordination.choice.cold_limits import ColdLimits
from teaselrock.coordination.registry import InstallationView
from teaselrock.state import BackendServer

# Load checks and requests of one instance rarely need more at a time.
MAX_IDLE: Final = 8
# The rest of an instance's part is for connections that carry a request.
IDLE_PART: Final = 0.5


class SharedIdleLimit:
    """`IdleLimit` of one of the instances that share the servers."""

    def __init__(
        self, *, view: InstallationView, cold_limits: ColdLimits
    ) -> None:
        self._view = view
        self._cold_limits = cold_limits

    def max_idle(self, *, server: BackendServer) -> int:
        """Idle connections to keep, 0 for a server that is gone."""
        if self._view.server(server.server_id) is None:
            return 0
        profile = self._view.table.services.get(server.service)
        if profile is None or profile.max_connections <= 0:
            return MAX_IDLE
        own_part = profile.max_connections / self._cold_limits.instance_count
        return max(1, min(MAX_IDLE, int(IDLE_PART * own_part)))
