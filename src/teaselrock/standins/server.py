"""Stand-in backend server: capacity, service times, shedding and restarts.

`connector` uses it in process and `backend` over HTTP. It records each
request that it ran, for checks that compare this with the gateways'
responses and report.
"""

import asyncio
from collections.abc import Callable
import random
from typing import Final
from typing import NamedTuple
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from teaselrock.standins.behaviour import ConnectionFault
from teaselrock.standins.behaviour import NoisyNeighbour
from teaselrock.standins.behaviour import Overload
from teaselrock.standins.behaviour import Run
from teaselrock.standins.behaviour import ServerFaults
from teaselrock.standins.behaviour import ServiceTimes
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendResponse
from teaselrock.state import LoadReport
from teaselrock.state import RequestContent
from teaselrock.state import ServerState

__all__ = ('ConnectionFault', 'Overload', 'ServerModel', 'Shed')

MAX_CONNECTIONS: Final = 200
# The capacity of a cold server grows by one for each 5 successes.
SUCCESSES_PER_CAPACITY_UNIT: Final = 5
# For COLLAPSE_S after a request above the capacity of a cold server its
# service times are COLLAPSE_FACTOR times as long.
COLLAPSE_S: Final = 1.0
COLLAPSE_FACTOR: Final = 10.0
IDEMPOTENT_METHODS: Final = frozenset({'GET', 'HEAD', 'OPTIONS'})
NO_ZONE: Final = AvailabilityZone('', '')


class Shed(NamedTuple):
    """The server refused a request without running it."""

    load: LoadReport


class ServerModel:
    """Behaviour of one backend server."""

    def __init__(
        self,
        *,
        server_id: str,
        start_id: str,
        concurrency: int,
        zone: AvailabilityZone = NO_ZONE,
        overload: Overload = Overload.SHED,
        rng: random.Random | None = None,
        times: ServiceTimes | None = None,
        noise: NoisyNeighbour | None = None,
        is_cold: bool = False,
    ) -> None:
        self._server_id = server_id
        self._start_id = start_id
        self._concurrency = concurrency
        self._zone = zone
        self._overload = overload
        self._rng = rng or random.Random(0)
        self._times = times or ServiceTimes(rng=self._rng)
        self._noise = noise
        self._is_cold = is_cold
        self._is_draining = False
        self._successes = 0
        self._restart_count = 0
        self._in_flight = 0
        self._served = 0
        self._collapsed_until = 0.0
        self._last_report: tuple[float, LoadReport] | None = None
        # Callbacks that cut the open connections. A dict keeps the order of
        # opening, so that runs are repeatable.
        self._connections: dict[Callable[[], None], None] = {}
        self._runs: list[Run] = []
        self.faults = ServerFaults()
        self.shed = 0
        self.excess_warm = 0
        self.excess_cold = 0

    @property
    def server_id(self) -> str:
        """The server's id."""
        return self._server_id

    @property
    def zone(self) -> AvailabilityZone:
        """The server's availability zone."""
        return self._zone

    @property
    def start_id(self) -> str:
        """Id of the current start of the server process."""
        return self._start_id

    @property
    def served(self) -> int:
        """Requests that ran to their end with a status below 500."""
        return self._served

    @property
    def runs(self) -> tuple[Run, ...]:
        """Every request that started to run, in order."""
        return tuple(self._runs)

    @property
    def capacity(self) -> int:
        """Concurrent requests that the server can handle now."""
        if not self._is_cold:
            return self._concurrency
        cold_capacity = 1 + self._successes // SUCCESSES_PER_CAPACITY_UNIT
        return min(self._concurrency, cold_capacity)

    @property
    def load(self) -> LoadReport:
        """The load report that the server sends now.

        With faults it is stale or its figures are false.
        """
        faults = self.faults
        now = asyncio.get_running_loop().time()
        if self._last_report is None or (
            now - self._last_report[0] >= faults.report_age_s
        ):
            self._last_report = (now, self._actual_load())
        report = self._last_report[1]
        if faults.false_in_flight is not None:
            report = report._replace(in_flight=faults.false_in_flight)
        if faults.false_capacity is not None:
            report = report._replace(capacity=faults.false_capacity)
        return report

    def _actual_load(self) -> LoadReport:
        state = ServerState.WARM
        if self._is_draining:
            state = ServerState.DRAINING
        elif self._is_cold:
            state = ServerState.COLD
        return LoadReport(
            self._start_id, state, self._in_flight, self.capacity
        )

    def attach(self, cut: Callable[[], None]) -> bool:
        """Open a connection; `cut` is called when the server cuts it.

        False if the server refuses or has `MAX_CONNECTIONS` already.
        """
        if self.faults.refuses_connections:
            return False
        if (
            len(self._connections) >= MAX_CONNECTIONS
            and cut not in self._connections
        ):
            return False
        self._connections[cut] = None
        return True

    def detach(self, cut: Callable[[], None]) -> None:
        """Close a connection."""
        self._connections.pop(cut, None)

    def draw_connection_fault(self) -> ConnectionFault:
        """Draw whether, and how, an exchange's connection fails."""
        if self._rng.random() < self.faults.reset_share:
            return ConnectionFault.RESET
        if self._rng.random() < self.faults.short_body_share:
            return ConnectionFault.SHORT_BODY
        return ConnectionFault.NONE

    def restart(self) -> None:
        """Restart cold with a new start id; every connection is cut."""
        self._restart_count += 1
        base = self._start_id.partition('+')[0]
        self._start_id = f'{base}+{self._restart_count}'
        self._is_draining = False
        self._collapsed_until = 0.0
        self.turn_cold()
        self.cut_connections()

    def cut_connections(self) -> None:
        """Cut every connection; requests in flight are cut with them."""
        connections, self._connections = self._connections, {}
        for cut in connections:
            cut()

    def turn_cold(self) -> None:
        """Become cold without a restart; the start id stays the same."""
        self._is_cold = True
        self._successes = 0
        self._last_report = None

    def drain(self) -> None:
        """Finish running requests and refuse new ones."""
        self._is_draining = True
        self._last_report = None

    async def serve(
        self, *, content: RequestContent, deadline: float | None = None
    ) -> BackendResponse | Shed:
        """Run one request, or refuse it without running it.

        `deadline` is in loop seconds; the request is dropped when it passes
        or when the call is cancelled.
        """
        if self._is_draining or self._count_excess_and_check_limit():
            self.shed += 1
            return Shed(self.load)
        index = len(self._runs)
        now = asyncio.get_running_loop().time()
        self._runs.append(
            Run(
                request_field(content, 'token'),
                request_field(content, 'call'),
                self._server_id,
                self._zone.region,
                self._zone.name,
                content.method in IDEMPOTENT_METHODS,
                now,
            )
        )
        start_id = self._start_id
        self._in_flight += 1
        is_complete = False
        try:
            response = await self._run(content, deadline)
            is_complete = response.status < 500
        finally:
            self._in_flight -= 1
            self._runs[index] = self._runs[index]._replace(
                ended=asyncio.get_running_loop().time(),
                is_complete=is_complete,
            )
        if is_complete:
            self._on_success(start_id)
        return response._replace(load=self.load)

    def _count_excess_and_check_limit(self) -> bool:
        """Whether to shed an arriving request; counts those over capacity.

        A request above the capacity of a cold server slows it for
        `COLLAPSE_S`.
        """
        concurrent = self._in_flight + 1
        if concurrent > self.capacity:
            if self._is_cold:
                self.excess_cold += 1
                now = asyncio.get_running_loop().time()
                self._collapsed_until = now + COLLAPSE_S
            else:
                self.excess_warm += 1
        limit = self._concurrency
        if self._overload is Overload.QUEUE:
            limit *= 2
        return concurrent > limit

    def _on_success(self, start_id: str) -> None:
        self._served += 1
        if self._is_cold and start_id == self._start_id:
            self._successes += 1
            self._is_cold = self.capacity < self._concurrency

    async def _run(
        self, content: RequestContent, deadline: float | None
    ) -> BackendResponse:
        if self.faults.is_failing:
            return BackendResponse(500, (), b'failed\n')
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.sleep(self._service_time(content))
        except TimeoutError:
            return BackendResponse(504, (), b'deadline passed\n')
        first_line = f'{self._server_id} {content.method} {content.target}\n'
        return BackendResponse(
            200,
            (('Content-Type', 'text/plain'),),
            first_line.encode() + content.body,
        )

    def _service_time(self, content: RequestContent) -> float:
        now = asyncio.get_running_loop().time()
        service_time_s = self._times.draw(request_kind(content))
        service_time_s *= self.faults.slow_factor
        if self._noise is not None:
            service_time_s *= self._noise.factor(now)
        if now < self._collapsed_until:
            service_time_s *= COLLAPSE_FACTOR
        return service_time_s * max(1.0, self._in_flight / self._concurrency)


def request_kind(content: RequestContent) -> str:
    """Kind of a request: the last segment of its path."""
    return urlsplit(content.target).path.rpartition('/')[2]


def request_field(content: RequestContent, name: str) -> str:
    """A field of the query or else of the form body; '' if absent."""
    values = parse_qs(urlsplit(content.target).query).get(name)
    if values is None:
        values = parse_qs(content.body.decode('latin-1')).get(name)
    return values[0] if values else ''
