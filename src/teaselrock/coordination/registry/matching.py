"""Finds the route of a request: its host, then the longest path prefix.

The index is built once for each routing table; `RouteShares` spreads the
requests of a route over its services.
"""

from collections import defaultdict
from collections.abc import Mapping
import random

from teaselrock.state.routes import Route
from teaselrock.state.routes import RoutingTable


class RouteIndex:
    """Routes of one table by host and prefix."""

    def __init__(self, *, table: RoutingTable) -> None:
        self._hosts: defaultdict[str, dict[str, Route]] = defaultdict(dict)
        self._most_urgent: dict[str, int] = {}
        for route in table.routes:
            self._hosts[route.host.lower()][route.prefix] = route
            for share in route.shares:
                known = self._most_urgent.get(share.service, route.rank)
                self._most_urgent[share.service] = min(known, route.rank)

    def has_more_urgent_routes(self, route: Route, *, service: str) -> bool:
        """Whether more urgent routes share the service."""
        return route.rank > self._most_urgent.get(service, route.rank)

    def match(self, *, host: str, target: str) -> Route | None:
        """Route with the longest prefix of the target's path.

        Prefixes begin and end with a slash. The port of `host` is ignored.
        """
        routes: Mapping[str, Route] = self._hosts.get(
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

    The service that lags its share the most comes next, so that shares hold
    within one request on each instance.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._credits: dict[str, tuple[Route, dict[str, float]]] = {}

    def choose(self, route: Route) -> str:
        """Service of the next request."""
        if len(route.shares) == 1:
            return route.shares[0].service
        known = self._credits.get(route.name)
        if known is None or known[0].shares != route.shares:
            # Random starts keep instances from choosing in step.
            known = (
                route,
                {one.service: self._rng.random() for one in route.shares},
            )
            self._credits[route.name] = known
        credits = known[1]
        total = sum(one.weight for one in route.shares)
        if total <= 0:
            return route.shares[0].service
        for share in route.shares:
            credits[share.service] += share.weight / total
        chosen = max(
            (one.service for one in route.shares if one.weight > 0),
            key=lambda service: credits[service],
        )
        credits[chosen] -= 1.0
        return chosen
