"""What servers ask of this instance: no more requests, or none for a while.

A server that leaves says so in its responses, and one that refuses a request
may state for how long it wants no other from this instance. `checked_slots`
consults `ServerNotices` for every attempt, whatever its reason.
"""

import asyncio
from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from teaselrock.coordination.events import Event
from teaselrock.coordination.events import Events
from teaselrock.state import BackendServer
from teaselrock.state import LoadReport


class Pause(NamedTuple):
    """Time during which a server wants no request from this instance.

    `until` is on the loop's clock, in seconds.
    """

    server: BackendServer
    until: float


class ServerNotices:
    """Leaving servers and pauses, from the servers' own responses.

    A notice ends when the server is removed or has restarted; a pause also
    ends with its time. A later response without a notice does not end it.
    """

    def __init__(self, *, events: Events) -> None:
        self._events = events
        self._leaving: dict[str, BackendServer] = {}
        self._pauses: dict[str, Pause] = {}

    @property
    def leaving_counts(self) -> Mapping[str, int]:
        """Number of leaving servers by service."""
        return Counter(server.service for server in self._leaving.values())

    @property
    def paused_counts(self) -> Mapping[str, int]:
        """Number of servers by service that want no request now."""
        now = asyncio.get_running_loop().time()
        return Counter(
            pause.server.service
            for pause in self._pauses.values()
            if pause.until > now
        )

    def may_send(self, server_id: str) -> bool:
        """Whether the server takes requests of this instance."""
        return server_id not in self._leaving and self.pause(server_id) is None

    def pause(self, server_id: str) -> Pause | None:
        """The pause that a server is in, None if it is in none."""
        pause = self._pauses.get(server_id)
        if pause is None or pause.until <= asyncio.get_running_loop().time():
            return None
        return pause

    def observe(self, *, server: BackendServer, load: LoadReport) -> None:
        """Record the notices of a response to a request or a load check."""
        name = server.server_id
        if load.is_leaving and name not in self._leaving:
            self._leaving[name] = server
            self._events.emit(
                event=Event.SERVER_LEAVES, server=name, service=server.service
            )
        if load.retry_after is None:
            return
        until = asyncio.get_running_loop().time() + load.retry_after
        known = self._pauses.get(name)
        if known is not None and known.until >= until:
            return
        self._pauses[name] = Pause(server, until)
        self._events.emit(
            event=Event.SERVER_PAUSES,
            server=name,
            service=server.service,
            seconds=round(load.retry_after, 3),
        )

    def drop_server(self, server_id: str) -> None:
        """Drop the notices of a server that was removed or has restarted."""
        self._leaving.pop(server_id, None)
        self._pauses.pop(server_id, None)
