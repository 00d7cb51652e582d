"""A stand-in for the platform's lagging list of servers and instances.

Tests and the bench set what is true; clients see it later, or not at all.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Final
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination.ports import StoreError
from teaselrock.coordination.ports import StoreErrorKind
from teaselrock.state import BackendServer

LAG_S: Final = 1.0
CALL_S: Final = 0.003


class _Listing(NamedTuple):
    servers: tuple[BackendServer, ...]
    gateways: frozenset[str]


class PlatformModel:
    """`PlatformList` that shows changes after a lag.

    `is_stale` keeps the list as it is, `is_down` makes calls fail; `lag` is
    in seconds.
    """

    def __init__(
        self,
        *,
        servers: Iterable[BackendServer] = (),
        gateways: Iterable[str] = (),
        lag_s: float = LAG_S,
    ) -> None:
        self._true = _Listing(tuple(servers), frozenset(gateways))
        self._history: list[tuple[float, _Listing]] = []
        self._shown = self._true
        self.lag_s = lag_s
        self.is_stale = False
        self.is_down = False
        self.calls = 0

    def set_servers(self, servers: Iterable[BackendServer]) -> None:
        """Change the true list of servers."""
        self._change(self._true._replace(servers=tuple(servers)))

    def set_gateways(self, gateways: Iterable[str]) -> None:
        """Change the true list of live gateway instances."""
        self._change(self._true._replace(gateways=frozenset(gateways)))

    def mark_leaving(self, server_ids: frozenset[str]) -> None:
        """Mark servers as leaving and all others as staying."""
        self.set_servers(
            server._replace(leaving=server.server_id in server_ids)
            for server in self._true.servers
        )

    def _change(self, listing: _Listing) -> None:
        self._true = listing
        now = asyncio.get_running_loop().time()
        self._history.append((now, listing))

    def _current(self) -> _Listing:
        now = asyncio.get_running_loop().time()
        while (
            not self.is_stale
            and self._history
            and self._history[0][0] + self.lag_s <= now
        ):
            self._shown = self._history.pop(0)[1]
        return self._shown

    async def _call(self) -> Result[_Listing, StoreError]:
        self.calls += 1
        await asyncio.sleep(CALL_S)
        if self.is_down:
            return Error(
                StoreError(StoreErrorKind.UNAVAILABLE, 'list is down')
            )
        return Ok(self._current())

    async def backend_servers(
        self,
    ) -> Result[Sequence[BackendServer], StoreError]:
        """All backend servers that the platform knows."""
        listing = await self._call()
        if listing.is_error():
            return Error(listing.error)
        return Ok(listing.ok.servers)

    async def gateway_ids(self) -> Result[frozenset[str], StoreError]:
        """Ids of the gateway instances that the platform says are live."""
        listing = await self._call()
        if listing.is_error():
            return Error(listing.error)
        return Ok(listing.ok.gateways)
