"""Permits of this instance for requests to limited servers.

`RatePermits` asks the lenders of a server in the order of their ranks. A
lender that is down or does not answer is replaced by the next rank.
"""

import asyncio
from collections import defaultdict
from typing import Final
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination.ports import InstanceRegistration
from teaselrock.coordination.ports import RelayLink
from teaselrock.coordination.rate_permits.connections import LenderConnection
from teaselrock.coordination.rate_permits.lender import LENDERS_PER_SERVER
from teaselrock.coordination.rate_permits.lender import PermitLender
from teaselrock.coordination.rate_permits.messages import PermitRequest
from teaselrock.coordination.rate_permits.messages import PermitResponse
from teaselrock.coordination.rate_permits.roster import InstanceRoster
from teaselrock.state import BackendServer

# A permit is used right after it was granted, or not at all.
PERMIT_LIFETIME_S: Final = 0.5
# Lenders that are asked for one permit at most, since each one that is down
# takes a timeout.
MAX_ASKED: Final = 4
# Retry time of a denial where no lender answered.
NO_LENDER_RETRY_S: Final = 1.0


class RatePermit(NamedTuple):
    """Permits one request to a server before `expires_at` (loop's clock)."""

    expires_at: float


class PermitDenial(NamedTuple):
    """No lender grants a permit now; one may in `retry_after` seconds.

    `has_lender` is False if no lender of the server can be reached.
    """

    retry_after: float
    has_lender: bool


class PermitCounts(NamedTuple):
    """Numbers of permits since the start of this instance.

    `unanswered` counts requests that a lender did not answer in time.
    """

    granted: int = 0
    denied: int = 0
    unanswered: int = 0


class RatePermits:
    """Requests permits from the lenders of each server."""

    def __init__(
        self, *, roster: InstanceRoster, lender: PermitLender, link: RelayLink
    ) -> None:
        self._roster = roster
        self._lender = lender
        self._link = link
        self._connections: dict[str, LenderConnection] = {}
        # Until when each lender denies permits of a server.
        self._denied_until: defaultdict[str, dict[str, float]] = defaultdict(
            dict
        )
        self._last_number = 0
        self._counts = PermitCounts()

    @property
    def counts(self) -> PermitCounts:
        """Numbers of permits."""
        return self._counts

    async def acquire(
        self, *, server: BackendServer, rate: float
    ) -> Result[RatePermit, PermitDenial]:
        """Request a permit for one request to a server.

        `rate` is what the server takes from all instances, in requests per
        second.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        retry_after = float('inf')
        lenders = 0
        asked = 0
        for entry in self._roster.ranked_lenders(server):
            if lenders == LENDERS_PER_SERVER or asked == MAX_ASKED:
                break
            if not self._is_usable(entry):
                continue
            key = entry.instance_id
            denied_until = self._denied_until[server.server_id].get(key, 0.0)
            if denied_until > loop.time():
                lenders += 1
                retry_after = min(retry_after, denied_until - loop.time())
                continue
            asked += 1
            self._last_number += 1
            response = await self._ask(
                entry,
                PermitRequest(self._last_number, server.server_id, rate),
            )
            if response is None:
                continue
            lenders += 1
            if response.is_granted:
                self._count(granted=1)
                return Ok(RatePermit(started_at + PERMIT_LIFETIME_S))
            retry_after = min(retry_after, response.retry_after)
            self._denied_until[server.server_id][key] = (
                loop.time() + response.retry_after
            )
        self._count(denied=1)
        if lenders == 0:
            return Error(PermitDenial(NO_LENDER_RETRY_S, False))
        return Error(PermitDenial(retry_after, True))

    def known_denial(self, *, server: BackendServer) -> PermitDenial | None:
        """The denial that `acquire` would return without asking a lender.

        None unless all lenders of the server have denied permits until now.
        """
        denied_until = self._denied_until.get(server.server_id)
        if not denied_until:
            return None
        now = asyncio.get_running_loop().time()
        retry_after = float('inf')
        lenders = 0
        for entry in self._roster.ranked_lenders(server):
            if not self._is_usable(entry):
                continue
            until = denied_until.get(entry.instance_id, 0.0)
            if until <= now:
                return None
            retry_after = min(retry_after, until - now)
            lenders += 1
            if lenders == LENDERS_PER_SERVER:
                break
        return PermitDenial(retry_after, True) if lenders else None

    def drop_server(self, server_id: str) -> None:
        """Drop the denials for a server that was removed."""
        self._denied_until.pop(server_id, None)
        self._roster.drop_server(server_id)

    def close(self) -> None:
        """Close the connections to all lenders."""
        for connection in self._connections.values():
            connection.close()

    def _is_usable(self, entry: InstanceRegistration) -> bool:
        return (
            entry.instance_id == self._roster.own_id
            or self._connection(entry).is_usable
        )

    async def _ask(
        self, entry: InstanceRegistration, request: PermitRequest
    ) -> PermitResponse | None:
        """Ask one instance; None unless it lends and answers in time."""
        if entry.instance_id == self._roster.own_id:
            own_response = self._lender.respond(request)
            return own_response if own_response.is_lending else None
        connection = self._connection(entry)
        response = await connection.ask(request)
        if response is None:
            self._count(unanswered=1)
            return None
        if not response.is_lending:
            connection.suspend(response.retry_after)
            return None
        return response

    def _connection(self, entry: InstanceRegistration) -> LenderConnection:
        connection = self._connections.get(entry.instance_id)
        if connection is None or connection.address != entry.address:
            if connection is not None:
                connection.close()
            connection = self._connections[entry.instance_id] = (
                LenderConnection(entry=entry, link=self._link)
            )
        return connection

    def _count(
        self, *, granted: int = 0, denied: int = 0, unanswered: int = 0
    ) -> None:
        counts = self._counts
        self._counts = PermitCounts(
            counts.granted + granted,
            counts.denied + denied,
            counts.unanswered + unanswered,
        )
