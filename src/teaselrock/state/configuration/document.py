"""The operators' document: customers, plans, services, out-of-service lists.

`protocol` checks documents against the schema; `edits` changes them.
"""

from typing import NotRequired
from typing import TypedDict


class CustomerEntry(TypedDict):
    """A customer; `key_sha256` lists hex digests of its API keys."""

    plan: str
    key_sha256: list[str]
    home_regions: NotRequired[list[str]]


class AllowanceEntry(TypedDict):
    """Regions, rate and units that a plan may use of one service.

    `window` is the calendar window that `units_per_window` refers to.
    """

    service: str
    regions: list[str]
    rate_per_second: NotRequired[float]
    units_per_window: NotRequired[int]
    window: NotRequired[str]


class PlanEntry(TypedDict):
    """A plan; `weight` is its relative share in fair queues."""

    weight: int
    allow: list[AllowanceEntry]


class ServiceEntry(TypedDict):
    """A service; requests are matched by `prefix` of the target path.

    `concurrency` is the number of concurrent requests that a warm backend
    server can handle. Requests with a method in `non_idempotent_methods`
    need an idempotency key.
    """

    prefix: str
    concurrency: int
    deadline_ms: int
    non_idempotent_methods: list[str]
    max_body_bytes: NotRequired[int]


class OutOfServiceEntry(TypedDict):
    """Why something is out of service."""

    reason: str


class Document(TypedDict):
    """The whole configuration; `out_*` list what is out of service."""

    customers: dict[str, CustomerEntry]
    plans: dict[str, PlanEntry]
    services: dict[str, ServiceEntry]
    out_zones: dict[str, OutOfServiceEntry]
    out_instances: dict[str, OutOfServiceEntry]
    out_servers: dict[str, OutOfServiceEntry]
