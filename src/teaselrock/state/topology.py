"""Availability zones, instances, backend servers and load reports.

The platform's list and the fleet membership both use these types.
"""

import enum
from typing import NamedTuple


class AvailabilityZone(NamedTuple):
    """An availability zone; zone names are unique within a region."""

    region: str
    name: str

    def __str__(self) -> str:
        return f'{self.region}/{self.name}'


class ServerState(enum.StrEnum):
    """State of a backend server as reported by it or by the platform."""

    WARM = 'warm'
    COLD = 'cold'
    DRAINING = 'draining'


class BackendServer(NamedTuple):
    """A backend server of one service.

    `concurrency` is the number of concurrent requests that it can handle
    when warm; `address` is `host:port`.
    """

    server_id: str
    service: str
    zone: AvailabilityZone
    address: str
    concurrency: int
    is_draining: bool = False


class Instance(NamedTuple):
    """A gateway instance; `address` is the ZeroMQ endpoint for peers."""

    instance_id: str
    zone: AvailabilityZone
    address: str


class LoadReport(NamedTuple):
    """Load as reported by a backend server; it may be stale or misleading.

    `start_id` changes with every start of the server process. `capacity` is
    the number of concurrent requests that the server says it can handle now,
    `queued` the number that wait for a free slot. `work_factor` is the
    current processing time relative to the usual one (1.0).
    `cold_remaining` is how much longer the server stays cold, in seconds.
    """

    start_id: str
    state: ServerState
    in_flight: int
    capacity: int
    queued: int = 0
    work_factor: float = 1.0
    cold_remaining: float = 0.0
    is_healthy: bool = True
