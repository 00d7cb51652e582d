"""Routes, services and caller limits of a routing table.

A routing table is one version of what operators want served. `coordination`
matches requests against it; whoever decodes it checks it first.
"""

from collections.abc import Mapping
from typing import NamedTuple


class ServiceShare(NamedTuple):
    """Part of a route's requests; `weight` is relative to the others."""

    service: str
    weight: float


class Route(NamedTuple):
    """Requests of one host below one path prefix.

    `timeout` and `target_latency` are in seconds. `priority` 0 is the most
    urgent. `max_attempts` bounds the servers that one request may be sent
    to. Without `home_regions`, any region may serve the route.
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
    """What all servers of a service have in common.

    `cold_rate` is what a cold server bears, in requests per second.
    """

    name: str
    health_target: str
    max_connections: int
    cold_rate: float


class CallerLimits(NamedTuple):
    """Bounds of what callers send: bytes, and seconds."""

    max_head_bytes: int = 16384
    max_body_bytes: int = 1024 * 1024
    head_timeout: float = 3.0
    idle_timeout: float = 15.0


class RoutingTable(NamedTuple):
    """One version of routes, services and limits."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceProfile]
    limits: CallerLimits = CallerLimits()


EMPTY_TABLE = RoutingTable(0, (), {})
