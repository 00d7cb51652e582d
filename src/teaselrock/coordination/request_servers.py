"""The servers that one request was sent to.

`attempts` adds a server before each attempt, whatever its reason, so that an
attempt that is cancelled later still counts.
"""


class RequestServers:
    """Ids of the servers of one request, at most `limit`."""

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._ids: set[str] = set()

    @property
    def ids(self) -> frozenset[str]:
        """Servers that got an attempt."""
        return frozenset(self._ids)

    @property
    def has_room(self) -> bool:
        """Whether another server may get the request."""
        return len(self._ids) < self._limit

    def try_add(self, server_id: str) -> bool:
        """Add a server; False if it was added before or there is no room."""
        if server_id in self._ids or not self.has_room:
            return False
        self._ids.add(server_id)
        return True
