"""Expected latency of a request at a server, from the server's load report.

The processing time of each route and service is a moving average over
responses. The load report provides the current slowdown and the queue.
"""

from typing import Final

from teaselrock.state import LoadReport
from teaselrock.state.routes import Route

# Share of the target latency that is assumed before the first response.
INITIAL_LATENCY_SHARE: Final = 1 / 3
# Weight of a new response in the moving averages.
EWMA_WEIGHT: Final = 0.05
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


class LatencyEstimates:
    """Average processing times by route and by service, in seconds."""

    def __init__(self) -> None:
        self._by_route: dict[tuple[str, str], float] = {}
        self._by_service: dict[str, float] = {}

    def processing_time(self, *, route: Route, service: str) -> float:
        """Usual time of a request without queueing, in seconds."""
        average = self._by_route.get((route.name, service))
        if average is None:
            return route.target_latency * INITIAL_LATENCY_SHARE
        return average

    def expected_latency(
        self,
        *,
        route: Route,
        service: str,
        load: LoadReport,
        in_transit: int = 0,
    ) -> float:
        """Expected time at the server, queueing included, in seconds."""
        own_time = self.processing_time(route=route, service=service)
        others_time = self._by_service.get(service, own_time)
        slowdown = slowdown_factor(load, in_transit=in_transit)
        queued = queued_per_unit(load, in_transit=in_transit)
        return slowdown * (own_time + queued * others_time)

    def observe(
        self,
        *,
        route: Route,
        service: str,
        latency: float,
        expected_latency: float,
    ) -> None:
        """Update the averages by a response; both times are in seconds."""
        if expected_latency <= 0:
            return
        own_time = self.processing_time(route=route, service=service)
        # The ratio is clamped to 0.3 to 3, so that one outlier has little
        # effect on the average.
        sample = own_time * min(3.0, max(0.3, latency / expected_latency))
        key = (route.name, service)
        self._by_route[key] = own_time + EWMA_WEIGHT * (sample - own_time)
        average = self._by_service.get(service, sample)
        self._by_service[service] = average + EWMA_WEIGHT * (sample - average)
