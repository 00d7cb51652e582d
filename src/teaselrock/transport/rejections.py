"""Rejected requests of callers, for logs and metrics.

A rejection is a 4xx response of the gateway itself, such as 404 for a request
that no route matches. Callers take all but 408 as final.
"""

from typing import Final
from typing import NamedTuple
from typing import Protocol

# Longer hosts and path segments of callers are cut.
MAX_LOGGED_CHARS: Final = 64


class Rejection(NamedTuple):
    """A rejected request and the routing table that decided.

    `host` and `prefix` are '' if the request could not be parsed. `prefix` is
    the first segment of the path: the rest of it is the caller's content.
    `host_routes` is the number of routes of that host in the table of
    `version`, which came from `source` (the store or an instance) and has been
    in force for `table_age` seconds.
    """

    status: int
    detail: str
    request_id: str
    host: str
    prefix: str
    host_routes: int
    version: int
    table_age: float
    source: str


class RejectionObserver(Protocol):
    """Receives the rejected requests."""

    def on_rejection(self, *, rejection: Rejection) -> None:
        """Record a rejected request; must not block."""
        ...


class NoRejections:
    """`RejectionObserver` that drops everything."""

    def on_rejection(self, *, rejection: Rejection) -> None:
        """Drop a rejection."""


def first_segment(target: str) -> str:
    """First segment of a target's path with its slashes, or what fits."""
    segment, slash, _ = target.partition('?')[0][1:].partition('/')
    return f'{target[:1]}{segment}{slash}'[:MAX_LOGGED_CHARS]
