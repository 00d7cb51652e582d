"""A stand-in backend server: how it bears, slows, sheds and restarts.

`connector` drives it in process and `backend` over HTTP. It records each
request that it ran, for judges that compare this with what gateways say.
"""

import asyncio
from collections.abc import Callable
import random
from typing import Final
from typing import NamedTuple
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from teaselrock.standins.behaviour import Break
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

__all__ = ('Break', 'Overload', 'ServerModel', 'Shed')

MAX_CONNECTIONS: Final = 200
# A cold server bears one more concurrent request for each 5 successes.
SUCCESSES_PER_UNIT: Final = 5
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
        self._starts = 0
        self._in_flight = 0
        self._served = 0
        self._collapsed_until = 0.0
        self._reported: tuple[float, LoadReport] | None = None
        # A dict keeps the order of opening, so that runs are repeatable.
        self._cuts: dict[Callable[[], None], None] = {}
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
        """Requests that ran to their end."""
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
        warmed = 1 + self._successes // SUCCESSES_PER_UNIT
        return min(self._concurrency, warmed)

    @property
    def load(self) -> LoadReport:
        """The load report that the server sends now, stale or false."""
        faults = self.faults
        now = asyncio.get_running_loop().time()
        if self._reported is None or (
            now - self._reported[0] >= faults.report_age
        ):
            self._reported = (now, self._true_load())
        report = self._reported[1]
        if faults.false_in_flight is not None:
            report = report._replace(in_flight=faults.false_in_flight)
        if faults.false_capacity is not None:
            report = report._replace(capacity=faults.false_capacity)
        return report

    def _true_load(self) -> LoadReport:
        state = ServerState.WARM
        if self._is_draining:
            state = ServerState.DRAINING
        elif self._is_cold:
            state = ServerState.COLD
        return LoadReport(
            self._start_id, state, self._in_flight, self.capacity
        )

    def attach(self, cut: Callable[[], None]) -> bool:
        """Open a connection; `cut` is called when it breaks.

        False if the server refuses or holds `MAX_CONNECTIONS`.
        """
        if self.faults.refuses_connections:
            return False
        if len(self._cuts) >= MAX_CONNECTIONS and cut not in self._cuts:
            return False
        self._cuts[cut] = None
        return True

    def detach(self, cut: Callable[[], None]) -> None:
        """Close a connection."""
        self._cuts.pop(cut, None)

    def draw_break(self) -> Break:
        """Decide whether an exchange's connection fails."""
        if self._rng.random() < self.faults.reset_share:
            return Break.RESET
        if self._rng.random() < self.faults.short_body_share:
            return Break.SHORT_BODY
        return Break.NONE

    def restart(self) -> None:
        """Restart cold: a new start id, and every connection is cut."""
        self._starts += 1
        base = self._start_id.partition('+')[0]
        self._start_id = f'{base}+{self._starts}'
        self._is_draining = False
        self._collapsed_until = 0.0
        self.turn_cold()
        self.cut_connections()

    def cut_connections(self) -> None:
        """Cut every connection; requests in flight are cut with them."""
        cuts, self._cuts = self._cuts, {}
        for cut in cuts:
            cut()

    def turn_cold(self) -> None:
        """Become cold without notice; the start id stays."""
        self._is_cold = True
        self._successes = 0
        self._reported = None

    def drain(self) -> None:
        """Finish what runs and refuse new requests."""
        self._is_draining = True
        self._reported = None

    async def serve(
        self, *, content: RequestContent, deadline: float | None = None
    ) -> BackendResponse | Shed:
        """Run one request, or refuse it without running it.

        `deadline` is in loop seconds; work is dropped when it passes.
        Cancelling the call drops the work too.
        """
        if self._is_draining or self._is_over_limit():
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
        complete = False
        try:
            answer = await self._run(content, deadline)
            complete = answer.status < 500
        finally:
            self._in_flight -= 1
            self._runs[index] = self._runs[index]._replace(
                ended=asyncio.get_running_loop().time(), is_complete=complete
            )
        if complete:
            self._on_success(start_id)
        return answer._replace(load=self.load)

    def _is_over_limit(self) -> bool:
        """Count a request above what the server bears; True to shed it."""
        arriving = self._in_flight + 1
        if arriving > self.capacity:
            if self._is_cold:
                self.excess_cold += 1
                now = asyncio.get_running_loop().time()
                self._collapsed_until = now + COLLAPSE_S
            else:
                self.excess_warm += 1
        limit = self._concurrency
        if self._overload is Overload.QUEUE:
            limit *= 2
        return arriving > limit

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
        head = f'{self._server_id} {content.method} {content.target}\n'
        return BackendResponse(
            200,
            (('Content-Type', 'text/plain'),),
            head.encode() + content.body,
        )

    def _service_time(self, content: RequestContent) -> float:
        now = asyncio.get_running_loop().time()
        seconds = self._times.draw(request_kind(content))
        seconds *= self.faults.slow_factor
        if self._noise is not None:
            seconds *= self._noise.factor(now)
        if now < self._collapsed_until:
            seconds *= COLLAPSE_FACTOR
        return seconds * max(1.0, self._in_flight / self._concurrency)


def request_kind(content: RequestContent) -> str:
    """Kind of a request: the last part of its path."""
    return urlsplit(content.target).path.rpartition('/')[2]


def request_field(content: RequestContent, name: str) -> str:
    """A field in the query or else in the body of a request."""
    found = parse_qs(urlsplit(content.target).query).get(name)
    if found is None:
        found = parse_qs(content.body.decode('latin-1')).get(name)
    return found[0] if found else ''
