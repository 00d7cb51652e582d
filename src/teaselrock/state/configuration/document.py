"""The operators' document: customers, plans, services and what is out.

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
    """What a plan may use of one service."""

    service: str
    regions: list[str]
    rate_per_second: NotRequired[float]
    units_per_window: NotRequired[int]
    window: NotRequired[str]


class PlanEntry(TypedDict):
    """A plan; `weight` is its share in fair queues."""

    weight: int
    allow: list[AllowanceEntry]


class ServiceEntry(TypedDict):
    """A service; requests are matched by `prefix` of the target path.

    `concurrency` is what each warm backend server bears. Requests with a
    method in `non_idempotent_methods` need an idempotency key.
    """

    prefix: str
    concurrency: int
    deadline_ms: int
    non_idempotent_methods: list[str]
    max_body_bytes: NotRequired[int]


class OutOfServiceEntry(TypedDict):
    """Why and since when something is out of service."""

    reason: str


class Document(TypedDict):
    """The whole configuration; `out_*` map names to their entries."""

    customers: dict[str, CustomerEntry]
    plans: dict[str, PlanEntry]
    services: dict[str, ServiceEntry]
    out_zones: dict[str, OutOfServiceEntry]
    out_instances: dict[str, OutOfServiceEntry]
    out_servers: dict[str, OutOfServiceEntry]
