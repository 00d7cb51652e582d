"""Routes by host and path prefix, and the shares of a route's services."""

from collections import Counter
import random
from typing import NamedTuple

import pytest

from teaselrock.coordination.registry import RouteIndex
from teaselrock.coordination.registry import RouteShares
from teaselrock.state.routes import Route
from teaselrock.state.routes import RoutingTable
from teaselrock.state.routes import ServiceShare


def _route(name: str, host: str, prefix: str, *shares: ServiceShare) -> Route:
    return Route(
        name=name,
        host=host,
        prefix=prefix,
        shares=shares or (ServiceShare('s', 1.0),),
        is_idempotent=True,
        timeout=1.0,
        target_latency=0.5,
        priority=1,
        max_attempts=2,
    )


INDEX = RouteIndex(
    table=RoutingTable(
        1,
        (
            _route('short', 'a.example', '/x/'),
            _route('long', 'a.example', '/x/y/'),
            _route('other', 'b.example', '/x/'),
        ),
        {},
    )
)


class Case(NamedTuple):
    """A request and the name of the route that it must match."""

    host: str
    target: str
    expected: str | None


@pytest.mark.parametrize(
    'case',
    [
        Case('a.example', '/x/1', 'short'),
        Case('a.example', '/x/y/1', 'long'),
        Case('a.example', '/x/y/', 'long'),
        Case('a.example', '/x/yy', 'short'),
        Case('a.example', '/x/y', 'short'),
        Case('A.Example:80', '/x/1?q=/x/y/', 'short'),
        Case('b.example', '/x/y/1', 'other'),
        Case('b.example', '/y/x/', None),
        Case('c.example', '/x/', None),
        Case('a.example', '/x', None),
        Case('a.example', '*', None),
    ],
)
def test_longest_prefix_of_the_host(case: Case) -> None:
    """Guards against requests that match the wrong route.

    Hosts have common prefixes, and queries may contain another prefix.
    """
    route = INDEX.match(host=case.host, target=case.target)
    assert (route.name if route else None) == case.expected


def test_shares_follow_the_weights() -> None:
    """Guards against shares of requests that drift from the weights."""
    route = _route(
        'r', 'h', '/', ServiceShare('a', 90.0), ServiceShare('b', 10.0)
    )
    shares = RouteShares(rng=random.Random(1))
    counts = Counter(shares.choose(route) for _ in range(200))
    assert counts == {'a': 180, 'b': 20}


def test_changed_weights_and_zero_weight() -> None:
    """Guards against requests to a service whose weight became zero.

    The route had used the service before its weights changed.
    """
    shares = RouteShares(rng=random.Random(1))
    even = _route('r', 'h', '/', ServiceShare('a', 1), ServiceShare('b', 1))
    shares.choose(even)
    with_zero = even._replace(
        shares=(ServiceShare('a', 0), ServiceShare('b', 5))
    )
    assert {shares.choose(with_zero) for _ in range(20)} == {'b'}
