"""Estimated time of a request at a server, from the server's load report.

The work of each route and service is learnt from answers; the load report
says how much longer it takes at a server now.
"""

from typing import Final

from teaselrock.state import LoadReport
from teaselrock.state.routes import Route

# Before the first answers, work is taken as this part of the target latency.
INITIAL_WORK_SHARE: Final = 1 / 3
SAMPLE_WEIGHT: Final = 0.05
# Servers slow down when nearly all of their slots are busy.
KNEE: Final = 0.8
KNEE_FACTOR: Final = 1.6
# A server that calls itself unhealthy may be wrong, so it is used last.
UNHEALTHY_FACTOR: Final = 4.0


def slowdown_factor(load: LoadReport, *, in_transit: int = 0) -> float:
    """How many times its usual work a request takes once it has a slot.

    `ahead` counts requests that are on their way to the server.
    """
    busy = load.in_flight + in_transit + 1
    slowdown = load.work_factor
    if busy > KNEE * load.bears:
        slowdown *= KNEE_FACTOR
    return slowdown


def waiting_per_slot(load: LoadReport, *, in_transit: int = 0) -> float:
    """Rounds of work until a slot is free, 0 if one is free now."""
    waiting = load.in_flight + load.waiting + in_transit + 1 - load.bears
    return max(0, waiting) / max(1, load.bears)


class LatencyEstimates:
    """Usual work by route and by service, in seconds."""

    def __init__(self) -> None:
        self._routes: dict[tuple[str, str], float] = {}
        self._services: dict[str, float] = {}

    def processing_time(self, *, route: Route, service: str) -> float:
        """Usual work of a request of the route at the service."""
        known = self._routes.get((route.name, service))
        if known is None:
            return route.target_latency * INITIAL_WORK_SHARE
        return known

    def expected_latency(
        self,
        *,
        route: Route,
        service: str,
        load: LoadReport,
        in_transit: int = 0,
    ) -> float:
        """Time at the server, queueing included, in seconds."""
        own = self.processing_time(route=route, service=service)
        others = self._services.get(service, own)
        slowdown = slowdown_factor(load, in_transit=in_transit)
        queued = waiting_per_slot(load, in_transit=in_transit)
        return slowdown * (own + queued * others)

    def observe(
        self,
        *,
        route: Route,
        service: str,
        latency: float,
        expected_latency: float,
    ) -> None:
        """Learn from an answer that was expected after `expected` s."""
        if expected_latency <= 0:
            return
        own = self.processing_time(route=route, service=service)
        # The ratio is bounded so that one outlier cannot move the estimate.
        sample = own * min(3.0, max(0.3, latency / expected_latency))
        key = (route.name, service)
        self._routes[key] = own + SAMPLE_WEIGHT * (sample - own)
        known = self._services.get(service, sample)
        self._services[service] = known + SAMPLE_WEIGHT * (sample - known)
