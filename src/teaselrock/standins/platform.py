"""Stand-in for the platform's list of servers and instances.

Tests and the bench set the actual state; clients see it after a lag, or not
at all while the list is stale or down.
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

DEFAULT_LAG_S: Final = 1.0
CALL_LATENCY_S: Final = 0.003


class _PlatformState(NamedTuple):
    servers: tuple[BackendServer, ...]
    gateways: frozenset[str]


class PlatformModel:
    """`PlatformList` that shows changes after `lag_s` seconds.

    `is_stale` keeps the visible list unchanged, `is_down` makes calls fail.
    """

    def __init__(
        self,
        *,
        servers: Iterable[BackendServer] = (),
        gateways: Iterable[str] = (),
        lag_s: float = DEFAULT_LAG_S,
    ) -> None:
        self._actual = _PlatformState(tuple(servers), frozenset(gateways))
        self._history: list[tuple[float, _PlatformState]] = []
        self._visible = self._actual
        self.lag_s = lag_s
        self.is_stale = False
        self.is_down = False
        self.calls = 0

    def set_servers(self, servers: Iterable[BackendServer]) -> None:
        """Change the actual list of servers."""
        self._set_state(self._actual._replace(servers=tuple(servers)))

    def set_gateways(self, gateways: Iterable[str]) -> None:
        """Change the actual list of live gateway instances."""
        self._set_state(self._actual._replace(gateways=frozenset(gateways)))

    def set_draining(self, server_ids: frozenset[str]) -> None:
        """Mark these servers as draining, and all others as not draining."""
        self.set_servers(
            server._replace(is_draining=server.server_id in server_ids)
            for server in self._actual.servers
        )

    def _set_state(self, state: _PlatformState) -> None:
        self._actual = state
        now = asyncio.get_running_loop().time()
        self._history.append((now, state))

    def _current(self) -> _PlatformState:
        now = asyncio.get_running_loop().time()
        while (
            not self.is_stale
            and self._history
            and self._history[0][0] + self.lag_s <= now
        ):
            self._visible = self._history.pop(0)[1]
        return self._visible

    async def _call(self) -> Result[_PlatformState, StoreError]:
        self.calls += 1
        await asyncio.sleep(CALL_LATENCY_S)
        if self.is_down:
            return Error(
                StoreError(StoreErrorKind.UNAVAILABLE, 'platform list is down')
            )
        return Ok(self._current())

    async def backend_servers(
        self,
    ) -> Result[Sequence[BackendServer], StoreError]:
        """All backend servers in the platform's list."""
        state = await self._call()
        if state.is_error():
            return Error(state.error)
        return Ok(state.ok.servers)

    async def instance_ids(self) -> Result[frozenset[str], StoreError]:
        """Ids of the gateway instances that the platform lists as live."""
        state = await self._call()
        if state.is_error():
            return Error(state.error)
        return Ok(state.ok.gateways)
