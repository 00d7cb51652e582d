"""Admission of requests by the expected latency of the best server.

A refusal that rests on an average of responses also prevents the responses
that would correct the average. Once the average has lost weight by age, single
requests are therefore sent although it advises against them. Penalties for
failures are treated alike for requests that may be repeated.
"""

import asyncio
import math
from typing import Final

from teaselrock.coordination.choice import refusals
from teaselrock.coordination.choice.latency_estimates import LatencyEstimate
from teaselrock.coordination.registry import InstallationView
from teaselrock.state import Refusal
from teaselrock.state import Request
from teaselrock.state.routes import Route

# Least interval between the probes of a route and service. Servers that really
# are slow get no more than these from each instance.
PROBE_INTERVAL_S: Final = 1.0


class LatencyAdmission:
    """Refuses requests that would take too long, except for probes."""

    def __init__(self, *, view: InstallationView) -> None:
        self._view = view
        self._probed_at: dict[tuple[str, str], float] = {}

    def refusal(
        self, *, request: Request, route: Route, estimate: LatencyEstimate
    ) -> Refusal | None:
        """Refusal of a request that is expected to take too long, or None."""
        return self._refusal(request, route, estimate.expected)

    def try_probe(
        self, *, request: Request, route: Route, estimate: LatencyEstimate
    ) -> bool:
        """Whether a refused request is sent, since averages may be outdated.

        It must be admitted by the aged averages, and no other one may have
        been sent for `PROBE_INTERVAL_S`. A request that may be repeated need
        not be admitted by the penalty of the server: only outcomes show that
        a server no longer fails, and a refused request has none. Another
        request would be lost if the server still fails.
        """
        expected = (
            estimate.aged_latency
            if route.is_idempotent
            else estimate.aged_expected
        )
        if self._refusal(request, route, expected) is not None:
            return False
        key = (route.name, request.service)
        now = asyncio.get_running_loop().time()
        if now - self._probed_at.get(key, -math.inf) < PROBE_INTERVAL_S:
            return False
        self._probed_at[key] = now
        return True

    def _refusal(
        self, request: Request, route: Route, expected_latency: float
    ) -> Refusal | None:
        return refusals.overload_refusal(
            route=route,
            expected_latency=expected_latency,
            remaining=request.deadline - asyncio.get_running_loop().time(),
            has_more_urgent_routes=self._view.index.has_more_urgent_routes(
                route, service=request.service
            ),
        )
