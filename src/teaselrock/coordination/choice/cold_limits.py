"""Rate limit of requests to a cold server, over all instances together.

Only a few instances of the server's region send to a cold server. They are
chosen by rendezvous hashing over the registered instances, and each of them
gets a fixed share of the server's rate, so that instances need not exchange
messages.
"""

import asyncio
from collections import deque
from collections.abc import Sequence
from typing import Final

from teaselrock.coordination import rendezvous
from teaselrock.coordination.ports import InstanceRegistration
from teaselrock.state import BackendServer

SENDERS_PER_SERVER: Final = 3
# Two instances may read different rosters for some seconds. The unused quarter
# is the share of one more instance whose roster ranks it among the first
# `SENDERS_PER_SERVER`.
SENDERS_SHARE: Final = 0.75
# Sliding window in which the requests to a server are counted.
WINDOW_S: Final = 1.0


class ColdLimits:
    """Limits this instance's requests to cold servers in each second.

    It also holds the roster, the instances that share the servers.
    """

    def __init__(
        self,
        *,
        own: InstanceRegistration,
        rate_factor: float,
        extra_requests: float,
    ) -> None:
        self._own = own
        self._rate_factor = rate_factor
        self._extra_requests = extra_requests
        self._roster: tuple[InstanceRegistration, ...] = (own,)
        self._has_roster = False
        self._send_times: dict[str, deque[float]] = {}

    def set_limits(self, *, rate_factor: float, extra_requests: float) -> None:
        """Set the limit of requests of all instances in one second.

        It is the server's cold rate x `rate_factor` + `extra_requests`; the
        settings call them `cold_overshoot` and `cold_slack`.
        """
        self._rate_factor = rate_factor
        self._extra_requests = extra_requests

    def set_roster(self, roster: Sequence[InstanceRegistration]) -> None:
        """Set the instances that share the servers."""
        by_id = {entry.instance_id: entry for entry in roster}
        by_id[self._own.instance_id] = self._own
        self._roster = tuple(by_id.values())
        self._has_roster = True

    @property
    def instance_count(self) -> int:
        """Number of instances in the roster, this one included."""
        return len(self._roster)

    @property
    def counted_servers(self) -> frozenset[str]:
        """Ids of the servers whose requests are counted."""
        return frozenset(self._send_times)

    def drop_server(self, server_id: str) -> None:
        """Drop the counts of a server that was removed.

        Counts of the last second are kept, since the server may register
        again under its id at once.
        """
        now = asyncio.get_running_loop().time()
        send_times = self._send_times.get(server_id)
        if send_times is not None and (
            not send_times or send_times[-1] <= now - WINDOW_S
        ):
            del self._send_times[server_id]

    def allows(self, *, server: BackendServer, cold_rate: float) -> bool:
        """Whether a request to a cold server is within the limit now.

        `cold_rate` is what the server can handle, in requests per second.
        """
        now = asyncio.get_running_loop().time()
        send_times = self._send_times.setdefault(server.server_id, deque())
        while send_times and send_times[0] <= now - WINDOW_S:
            send_times.popleft()
        return len(send_times) < self._own_limit(server, cold_rate)

    def record_send(self, *, server: BackendServer) -> None:
        """Count a request to a cold server."""
        now = asyncio.get_running_loop().time()
        self._send_times.setdefault(server.server_id, deque()).append(now)

    def _own_limit(self, server: BackendServer, cold_rate: float) -> int:
        if not self._has_roster:
            return 0
        same_region = [
            entry.instance_id
            for entry in self._roster
            if entry.region == server.zone.region
        ]
        senders = rendezvous.ranked(key=server.server_id, members=same_region)[
            :SENDERS_PER_SERVER
        ]
        if self._own.instance_id not in senders:
            return 0
        limit = cold_rate * self._rate_factor + self._extra_requests
        return int(limit * SENDERS_SHARE / len(senders))
