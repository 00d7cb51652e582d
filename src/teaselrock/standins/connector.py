"""In-process connections from an instance to stand-in backend servers.

Implements the ports `BackendConnector` and `BackendConnection`, including
the latencies between zones and regions and the servers' connection faults.
"""

import asyncio
from collections.abc import Mapping
import contextvars
from typing import Final

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination.ports import BackendConnection
from teaselrock.standins.network import Latencies
from teaselrock.standins.network import SAME_ZONE_S
from teaselrock.standins.server import ConnectionFault
from teaselrock.standins.server import ServerModel
from teaselrock.standins.server import Shed
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendResponse
from teaselrock.state import BackendServer
from teaselrock.state import ExchangeFailure
from teaselrock.state import FailureKind
from teaselrock.state import LoadReport
from teaselrock.state import RequestContent
from teaselrock.state import ServerState
from teaselrock.state import Verdict

CONNECT_S: Final = 0.001
RESET_DELAY_S: Final = 0.002


def one_way_latency_s(
    zone: AvailabilityZone, other_zone: AvailabilityZone, latencies: Latencies
) -> float:
    """One-way latency between two zones, in seconds."""
    if zone.region != other_zone.region:
        return latencies.cross_region_s
    return SAME_ZONE_S if zone == other_zone else latencies.cross_zone_s


class MemoryConnection:
    """A connection to a server; a restart of the server cuts it.

    `latency_s` is the one-way latency.
    """

    def __init__(self, *, model: ServerModel, latency_s: float) -> None:
        self._model = model
        self._one_way_latency_s = latency_s
        self._load = model.load
        self._is_open = True
        self._is_busy = False
        self._server_task: asyncio.Task[BackendResponse | Shed] | None = None

    @property
    def load(self) -> LoadReport:
        """Newest load report seen on this connection."""
        return self._load

    @property
    def is_open(self) -> bool:
        """Whether an exchange can start on it."""
        return self._is_open and not self._is_busy

    def close(self) -> None:
        """Close; the server cancels the request one latency later."""
        self._is_open = False
        self._model.detach(self.cut)
        server_task = self._server_task
        if server_task is not None and not server_task.done():
            loop = asyncio.get_running_loop()
            loop.call_later(self._one_way_latency_s, server_task.cancel)

    def cut(self) -> None:
        """Close from the server's side and cancel the request at once."""
        self._is_open = False
        if self._server_task is not None:
            self._server_task.cancel()

    async def check_load(
        self, *, deadline: float
    ) -> Result[LoadReport, ExchangeFailure]:
        """Request the server's load report; `deadline` is ignored."""
        await asyncio.sleep(2 * self._one_way_latency_s)
        if not self._is_open:
            return Error(
                _exchange_failure(FailureKind.NO_RESPONSE)._replace(
                    verdict=Verdict.DID_NOT_RUN
                )
            )
        self._load = self._model.load
        return Ok(self._load)

    async def exchange(
        self, *, content: RequestContent, deadline: float
    ) -> Result[BackendResponse, ExchangeFailure]:
        """Send one request and read its whole response."""
        if not self.is_open:
            return Error(
                ExchangeFailure(
                    FailureKind.NO_RESPONSE,
                    Verdict.DID_NOT_RUN,
                    'connection closed before the request was sent',
                )
            )
        self._is_busy = True
        is_reusable = False
        try:
            async with asyncio.timeout_at(deadline):
                result = await self._transfer(content, deadline)
            is_reusable = result.is_ok() or (
                result.error.verdict is Verdict.DID_NOT_RUN
            )
            return result
        except TimeoutError:
            return Error(
                ExchangeFailure(
                    FailureKind.TIMEOUT,
                    Verdict.MAY_HAVE_RUN,
                    'deadline passed before the response was complete',
                )
            )
        finally:
            self._is_busy = False
            if not is_reusable:
                self.close()

    async def _transfer(
        self, content: RequestContent, deadline: float
    ) -> Result[BackendResponse, ExchangeFailure]:
        await asyncio.sleep(self._one_way_latency_s)
        if not self._is_open:
            return Error(_exchange_failure(FailureKind.NO_RESPONSE))
        # An empty context keeps `Fleet` from counting the server's task as
        # one of the instance's, which it cancels when it kills the instance.
        self._server_task = asyncio.create_task(
            self._model.serve(content=content, deadline=deadline),
            context=contextvars.Context(),
        )
        fault = self._model.draw_connection_fault()
        is_reset = fault is ConnectionFault.RESET
        timeout = RESET_DELAY_S if is_reset else None
        await asyncio.wait({self._server_task}, timeout=timeout)
        if is_reset or self._server_task.cancelled():
            return Error(_exchange_failure(FailureKind.NO_RESPONSE))
        response = self._server_task.result()
        await asyncio.sleep(self._one_way_latency_s)
        if not self._is_open:
            return Error(_exchange_failure(FailureKind.NO_RESPONSE))
        if fault is ConnectionFault.SHORT_BODY:
            return Error(_exchange_failure(FailureKind.INVALID_RESPONSE))
        if isinstance(response, Shed):
            self._load = response.load
            return Error(_rejection_failure(response))
        self._load = response.load or self._load
        return Ok(response)


class MemoryConnector:
    """`BackendConnector` of one instance to servers in this process."""

    def __init__(
        self,
        *,
        zone: AvailabilityZone,
        models: Mapping[str, ServerModel],
        latencies: Latencies = Latencies(),
    ) -> None:
        self._zone = zone
        self._models = models
        self._latencies = latencies

    async def connect(
        self, *, server: BackendServer, deadline: float
    ) -> Result[BackendConnection, ExchangeFailure]:
        """Connect and read the load report."""
        model = self._models.get(server.server_id)
        latency_s = one_way_latency_s(self._zone, server.zone, self._latencies)
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.sleep(CONNECT_S + 2 * latency_s)
        except TimeoutError:
            return Error(_connect_failure(server, 'timeout'))
        if model is None:
            return Error(_connect_failure(server, 'no such server'))
        connection = MemoryConnection(model=model, latency_s=latency_s)
        if not model.attach(connection.cut):
            return Error(_connect_failure(server, 'refused'))
        return Ok(connection)

    async def connect_unchecked(
        self, *, server: BackendServer, deadline: float
    ) -> Result[BackendConnection, ExchangeFailure]:
        """Same as `connect`, which reads the load report too."""
        return await self.connect(server=server, deadline=deadline)


def _connect_failure(server: BackendServer, detail: str) -> ExchangeFailure:
    return ExchangeFailure(
        FailureKind.CONNECT,
        Verdict.DID_NOT_RUN,
        f'cannot connect to {server.server_id}: {detail}',
    )


def _exchange_failure(kind: FailureKind) -> ExchangeFailure:
    return ExchangeFailure(
        kind, Verdict.MAY_HAVE_RUN, 'connection broke during the exchange'
    )


def _rejection_failure(shed: Shed) -> ExchangeFailure:
    is_draining = shed.load.state is ServerState.DRAINING
    return ExchangeFailure(
        FailureKind.DRAINING if is_draining else FailureKind.NOT_ACCEPTED,
        Verdict.DID_NOT_RUN,
        'backend server did not run the request',
        shed.load,
    )
