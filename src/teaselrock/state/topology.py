"""Availability zones, instances, backend servers and load reports.

The platform's list and the membership of instances both use these types.
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
    when warm; `address` is `host:port`. A server that `is_draining` gets no
    new requests. `started_at` is when its process started, in Unix
    milliseconds, 0 if that is unknown; a server may start again under its id.
    """

    server_id: str
    service: str
    zone: AvailabilityZone
    address: str
    concurrency: int
    is_draining: bool = False
    started_at: int = 0


class Instance(NamedTuple):
    """A gateway instance; `address` is the ZeroMQ endpoint for peers."""

    instance_id: str
    zone: AvailabilityZone
    address: str


class LoadReport(NamedTuple):
    """Load as reported by a backend server; it may be stale or misleading.

    `start_id` identifies one start of the server process; on the platform it
    is the server id. `in_flight` is the number of requests that the server
    runs, `capacity` the number that it reports it can run concurrently now,
    `queued` the number that wait. `is_healthy` is false if the response with
    the report had another status than 200; only the platform's reports use it.
    `work_factor` is the current processing time relative to the usual one
    (1.0). `cold_remaining` is how much longer the server stays cold, in
    seconds. `rate_limit` is how many requests per second the server takes from
    all instances together, None without such a limit. `is_leaving` means that
    the server ends soon and wants no new requests; `retry_after` is for how
    many seconds it wants none from this instance, None without such a wish.
    """

    start_id: str
    state: ServerState
    in_flight: int
    capacity: int
    queued: int = 0
    work_factor: float = 1.0
    cold_remaining: float = 0.0
    is_healthy: bool = True
    rate_limit: float | None = None
    is_leaving: bool = False
    retry_after: float | None = None
