"""Route matching by host and longest path prefix, and traffic splitting.

`RouteIndex` is built once for each routing table. `RouteShares` distributes
the requests of a route over its services.
"""

from collections import defaultdict
from collections.abc import Mapping
import random

from teaselrock.state.routes import Route
from teaselrock.state.routes import RoutingTable


class RouteIndex:
    """Routes of one routing table by host and path prefix."""

    def __init__(self, *, table: RoutingTable) -> None:
        self._routes_by_host: defaultdict[str, dict[str, Route]] = defaultdict(
            dict
        )
        self._min_priority_by_service: dict[str, int] = {}
        for route in table.routes:
            self._routes_by_host[route.host.lower()][route.prefix] = route
            for share in route.shares:
                lowest = self._min_priority_by_service.get(
                    share.service, route.priority
                )
                self._min_priority_by_service[share.service] = min(
                    lowest, route.priority
                )

    def has_more_urgent_routes(self, route: Route, *, service: str) -> bool:
        """Whether routes with a lower `priority` number share the service."""
        return route.priority > self._min_priority_by_service.get(
            service, route.priority
        )

    def count_of_host(self, host: str) -> int:
        """Number of routes of a host, whose port is ignored."""
        return len(self._routes_by_host.get(_host_name(host), _NO_ROUTES))

    def match(self, *, host: str, target: str) -> Route | None:
        """Route with the longest prefix of the target's path.

        Prefixes begin and end with a slash. The port of `host` is ignored.
        """
        routes: Mapping[str, Route] = self._routes_by_host.get(
            _host_name(host), _NO_ROUTES
        )
        if not routes:
            return None
        path = target.partition('?')[0]
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end) + 1
            route = routes.get(path[:end])
            if route is not None:
                return route
            end -= 1
        return None


_NO_ROUTES: Mapping[str, Route] = {}


def _host_name(host: str) -> str:
    name, colon, port = host.rpartition(':')
    return (name if colon and port.isdigit() else host).lower()


class RouteShares:
    """Chooses the service of each request by the weights of its route.

    Smooth weighted round-robin: the service furthest below its share is
    chosen next, so that each instance keeps the shares to within one request.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._current_weights: dict[str, tuple[Route, dict[str, float]]] = {}

    def choose(self, route: Route) -> str:
        """Service of the next request; the first if all weights are 0."""
        if len(route.shares) == 1:
            return route.shares[0].service
        state = self._current_weights.get(route.name)
        if state is None or state[0].shares != route.shares:
            # Random initial weights keep instances from choosing the same
            # service at the same time.
            state = (
                route,
                {share.service: self._rng.random() for share in route.shares},
            )
            self._current_weights[route.name] = state
        current_weights = state[1]
        total = sum(share.weight for share in route.shares)
        if total <= 0:
            return route.shares[0].service
        for share in route.shares:
            current_weights[share.service] += share.weight / total
        chosen = max(
            (share.service for share in route.shares if share.weight > 0),
            key=lambda service: current_weights[service],
        )
        current_weights[chosen] -= 1.0
        return chosen
