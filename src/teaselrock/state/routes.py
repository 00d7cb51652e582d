"""Routes, services and caller limits of a routing table.

`coordination` matches requests against a routing table. The decoder of a
table checks types, not ranges.
"""

from collections.abc import Mapping
from typing import NamedTuple


class ServiceShare(NamedTuple):
    """A service and its relative weight in a route's traffic split."""

    service: str
    weight: float


class Route(NamedTuple):
    """A route for requests to one host with one path prefix.

    `timeout` and `target_latency` are in seconds. `priority` 0 is the most
    urgent. `max_attempts` bounds the number of servers that one request may
    be sent to. If `home_regions` is empty, any region may serve the route.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[ServiceShare, ...]
    is_idempotent: bool
    timeout: float
    target_latency: float
    priority: int
    max_attempts: int
    home_regions: frozenset[str] = frozenset()


class ServiceProfile(NamedTuple):
    """Settings shared by all servers of a service.

    `cold_rate` is what a cold server can handle, in requests per second.
    `health_target` is the request target of health checks.
    """

    name: str
    health_target: str
    max_connections: int
    cold_rate: float


class CallerLimits(NamedTuple):
    """Limits on callers' requests, in bytes, and time-outs, in seconds."""

    max_head_bytes: int = 16384
    max_body_bytes: int = 1024 * 1024
    head_timeout: float = 3.0
    idle_timeout: float = 15.0


class RoutingTable(NamedTuple):
    """One version of the routes, services and limits."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceProfile]
    limits: CallerLimits = CallerLimits()


EMPTY_TABLE = RoutingTable(0, (), {})
