"""Rate limits that backend servers announce for all instances together.

A server that needs protection states in its responses how many requests per
second it takes from all callers. The limit holds until a response of the
server no longer states it.
"""

import asyncio
from collections import Counter
from collections import defaultdict
from collections.abc import Mapping
from typing import Final
from typing import NamedTuple

from teaselrock.coordination.events import Event
from teaselrock.coordination.events import Events
from teaselrock.state import BackendServer
from teaselrock.state import LoadReport

# A server may state its limit only in responses to requests. Load checks
# without it end such a limit only after this time without a request.
RESPONSE_LIMIT_LIFETIME_S: Final = 5.0


class AnnouncedLimit(NamedTuple):
    """A limit in requests per second.

    `since` is when it was first reported and `reported_at` when it was last
    reported, on the loop's clock. `is_in_checks` tells whether load checks
    have reported it.
    """

    server: BackendServer
    rate: float
    since: float
    reported_at: float
    is_in_checks: bool


class AnnouncedLimits:
    """Limits of the servers, from their load reports."""

    def __init__(self, *, events: Events) -> None:
        self._events = events
        self._limits: dict[str, AnnouncedLimit] = {}

    @property
    def server_counts(self) -> Mapping[str, int]:
        """Number of servers with a limit by service."""
        return Counter(limit.server.service for limit in self._limits.values())

    @property
    def total_rates(self) -> Mapping[str, float]:
        """Sum of the limits by service, in requests per second."""
        totals: defaultdict[str, float] = defaultdict(float)
        for limit in self._limits.values():
            totals[limit.server.service] += limit.rate
        return totals

    def limit(self, server_id: str) -> AnnouncedLimit | None:
        """The limit of a server, None if it has none."""
        return self._limits.get(server_id)

    def observe(
        self, *, server: BackendServer, load: LoadReport, is_check: bool
    ) -> None:
        """Update the limit of a server from its latest load report."""
        now = asyncio.get_running_loop().time()
        known = self._limits.get(server.server_id)
        if load.rate_limit is None:
            if known is not None and not _outlives_check(known, is_check, now):
                self._end(known, now)
            return
        if known is None or known.rate != load.rate_limit:
            self._events.emit(
                event=Event.SERVER_RATE_LIMITED,
                server=server.server_id,
                service=server.service,
                rate=load.rate_limit,
                source='check' if is_check else 'response',
            )
        self._limits[server.server_id] = AnnouncedLimit(
            server,
            load.rate_limit,
            known.since if known is not None else now,
            now,
            is_check or (known is not None and known.is_in_checks),
        )

    def drop_server(self, server_id: str) -> None:
        """Drop the limit of a server that was removed."""
        self._limits.pop(server_id, None)

    def _end(self, limit: AnnouncedLimit, now: float) -> None:
        del self._limits[limit.server.server_id]
        self._events.emit(
            event=Event.SERVER_RATE_LIMIT_ENDED,
            server=limit.server.server_id,
            service=limit.server.service,
            rate=limit.rate,
            seconds=round(now - limit.since, 1),
        )


def _outlives_check(limit: AnnouncedLimit, is_check: bool, now: float) -> bool:
    """Whether a report without a limit says nothing about `limit`."""
    return (
        is_check
        and not limit.is_in_checks
        and now - limit.reported_at <= RESPONSE_LIMIT_LIFETIME_S
    )
