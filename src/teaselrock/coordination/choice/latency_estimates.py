"""Expected latency of a request at a server, from the server's load report.

The processing time of each route and service is a moving average over
responses. The load report provides the current slowdown and the queue.
"""

import asyncio
from typing import Final
from typing import NamedTuple

from teaselrock.state import LoadReport
from teaselrock.state.routes import Route

# Share of the target latency that is assumed before the first response.
INITIAL_LATENCY_SHARE: Final = 1 / 3
# Weight of a new response in the moving averages.
EWMA_WEIGHT: Final = 0.05
# Samples lose half of their weight in this time, as outcomes do in
# `server_history`.
SAMPLE_HALF_LIFE_S: Final = 3.0
# A server slows down by `SATURATION_FACTOR` when more than this share of its
# capacity is busy.
SATURATION_SHARE: Final = 0.8
SATURATION_FACTOR: Final = 1.6
# A server that reports itself unhealthy may be wrong, so it is ranked last
# but not excluded.
UNHEALTHY_FACTOR: Final = 4.0


def slowdown_factor(load: LoadReport, *, in_transit: int = 0) -> float:
    """Factor on the usual processing time of a request that is not queued.

    `in_transit` counts requests that the load report may not include yet.
    """
    busy = load.in_flight + in_transit + 1
    slowdown = load.work_factor
    if busy > SATURATION_SHARE * load.capacity:
        slowdown *= SATURATION_FACTOR
    return slowdown


def queued_per_unit(load: LoadReport, *, in_transit: int = 0) -> float:
    """Queued requests per unit of capacity; 0 if a unit is free.

    The new request is included.

    `in_transit` counts requests that the load report may not include yet.
    """
    queued_requests = (
        load.in_flight + load.queued + in_transit + 1 - load.capacity
    )
    return max(0, queued_requests) / max(1, load.capacity)


class LatencyEstimate(NamedTuple):
    """Estimate for one request at one server; times are in seconds.

    `processing_time` is the route's average when the server was chosen, and
    `latency` what follows from it, the load report and the round trip.
    `aged_latency` is the same with aged averages. `penalty` is the factor of
    the server's history, which is not in these times.
    """

    processing_time: float
    latency: float
    aged_latency: float
    penalty: float = 1.0

    @property
    def expected(self) -> float:
        """Expected latency with the penalty, in seconds."""
        return self.latency * self.penalty

    @property
    def aged_expected(self) -> float:
        """The same with aged averages, in seconds."""
        return self.aged_latency * self.penalty


class _Average:
    """Moving average of samples that arrive at irregular intervals."""

    def __init__(self, value: float) -> None:
        self.value = value
        self._updated_at = asyncio.get_running_loop().time()

    @property
    def _retained(self) -> float:
        """Weight that earlier samples have kept since the last one."""
        age = asyncio.get_running_loop().time() - self._updated_at
        return float(0.5 ** (max(0.0, age) / SAMPLE_HALF_LIFE_S))

    def aged(self, initial: float) -> float:
        """The average with `initial` in place of the weight lost by age."""
        return initial + self._retained * (self.value - initial)

    def add(self, sample: float) -> None:
        weight = max(EWMA_WEIGHT, 1.0 - self._retained)
        self.value += weight * (sample - self.value)
        self._updated_at = asyncio.get_running_loop().time()


class LatencyEstimates:
    """Average processing times by route and by service.

    Averages lose weight by age: an estimate holds only while responses
    confirm it.
    """

    def __init__(self) -> None:
        self._by_route: dict[tuple[str, str], _Average] = {}
        self._by_service: dict[str, _Average] = {}

    def estimate(
        self,
        *,
        route: Route,
        service: str,
        load: LoadReport,
        in_transit: int = 0,
        round_trip: float = 0.0,
        penalty: float = 1.0,
    ) -> LatencyEstimate:
        """Estimate the latency at a server, queueing included.

        `in_transit` counts requests that the load report may not include
        yet, `round_trip` is in seconds.
        """
        initial = _initial_time(route)
        own = self._by_route.get((route.name, service))
        others = self._by_service.get(service)
        own_time = initial if own is None else own.value
        others_time = own_time if others is None else others.value
        aged_own_time = initial if own is None else own.aged(initial)
        aged_others_time = (
            aged_own_time if others is None else others.aged(aged_own_time)
        )
        slowdown = slowdown_factor(load, in_transit=in_transit)
        queued = queued_per_unit(load, in_transit=in_transit)
        return LatencyEstimate(
            own_time,
            slowdown * (own_time + queued * others_time) + round_trip,
            slowdown * (aged_own_time + queued * aged_others_time)
            + round_trip,
            penalty,
        )

    def observe(
        self,
        *,
        route: Route,
        service: str,
        latency: float,
        estimate: LatencyEstimate,
    ) -> None:
        """Update the averages by a response; `latency` is in seconds.

        The sample follows from the estimate at the time of the choice. If it
        followed from the current average, the responses of requests that
        were delayed together would multiply the average by each other.
        """
        if estimate.latency <= 0:
            return
        # The ratio is clamped to 0.3 to 3, so that one outlier has little
        # effect on the average.
        ratio = min(3.0, max(0.3, latency / estimate.latency))
        sample = estimate.processing_time * ratio
        self._by_route.setdefault(
            (route.name, service), _Average(_initial_time(route))
        ).add(sample)
        self._by_service.setdefault(service, _Average(sample)).add(sample)


def _initial_time(route: Route) -> float:
    """Processing time that is assumed before the first response."""
    return route.target_latency * INITIAL_LATENCY_SHARE
