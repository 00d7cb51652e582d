"""Builds one instance of a `Fleet` on gates and stand-ins.

`_make_instance` is the only place of the stand-ins that calls the
constructor of `GatewayInstance`.
"""

import asyncio
from collections.abc import Mapping
import contextvars
import random
from typing import Any
from typing import Final
from typing import NamedTuple
import weakref

from teaselrock.coordination.events import NoEvents
from teaselrock.coordination.instance import GatewayInstance
from teaselrock.coordination.instance import InstanceOptions
from teaselrock.coordination.instance import InstancePorts
from teaselrock.coordination.instance import SlotSourceFactory
from teaselrock.protocol.document_codec import JsonDocumentCodec
from teaselrock.standins.connector import MemoryConnector
from teaselrock.standins.connector import one_way_latency_s
from teaselrock.standins.gates import Gate
from teaselrock.standins.gates import GatedConnector
from teaselrock.standins.gates import GatedLink
from teaselrock.standins.gates import GatedPlatform
from teaselrock.standins.gates import GatedStore
from teaselrock.standins.network import Latencies
from teaselrock.standins.network import MemoryNetwork
from teaselrock.standins.platform import PlatformModel
from teaselrock.standins.server import ServerModel
from teaselrock.standins.store import MemoryStore
from teaselrock.standins.store import StoreModel
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer
from teaselrock.state import Instance
from teaselrock.state.configuration import Document

# 2026-01-01 00:00 UTC: the wall clock when the loop's clock is 0.
WALL_CLOCK_START_S: Final = 1_767_225_600.0


def loop_wall_clock() -> float:
    """Seconds since 1970 that follow the clock of the event loop."""
    return WALL_CLOCK_START_S + asyncio.get_running_loop().time()


class FleetPlan(NamedTuple):
    """What a fleet is built from; the store is in `store_zone`.

    `slot_source_factory` replaces the instances' own source of slots; with
    `is_unshared` instances share no idempotency records and allowances.
    """

    instances: tuple[Instance, ...]
    servers: tuple[BackendServer, ...]
    models: Mapping[str, ServerModel]
    document: Document
    store_zone: AvailabilityZone
    latencies: Latencies = Latencies()
    slot_source_factory: SlotSourceFactory | None = None
    is_unshared: bool = False


# Keeps the order of creation, so that tasks are cancelled in a repeatable
# order.
OwnedTasks = weakref.WeakKeyDictionary[asyncio.Task[Any], None]


class SharedStandins(NamedTuple):
    """Stand-ins for outside systems that all instances share."""

    network: MemoryNetwork
    store: StoreModel
    platform: PlatformModel


class FleetInstance(NamedTuple):
    """One incarnation of an instance; `tasks` are those that it created."""

    identity: Instance
    gate: Gate
    link: GatedLink
    store: MemoryStore
    connector: GatedConnector
    instance: GatewayInstance
    context: contextvars.Context
    tasks: OwnedTasks


def build_instance(
    *,
    own: Instance,
    incarnation: int,
    plan: FleetPlan,
    standins: SharedStandins,
    rng: random.Random,
    tasks: OwnedTasks,
) -> FleetInstance:
    """Build an instance in the current context, which owns its tasks."""
    gate = Gate()
    store = MemoryStore(
        model=standins.store,
        one_way_latency_s=one_way_latency_s(
            own.zone, plan.store_zone, plan.latencies
        ),
    )
    link = GatedLink(link=standins.network.link(own=own), gate=gate)
    connector = GatedConnector(
        connector=MemoryConnector(
            zone=own.zone, models=plan.models, latencies=plan.latencies
        ),
        gate=gate,
    )
    ports = InstancePorts(
        link=link,
        store=GatedStore(store=store, gate=gate),
        platform=GatedPlatform(platform=standins.platform, gate=gate),
        connector=connector,
        codec=JsonDocumentCodec(),
        events=NoEvents(),
        observer=NoEvents(),
        wall_clock=loop_wall_clock,
    )
    instance = _make_instance(
        own=own,
        incarnation=incarnation,
        ports=ports,
        plan=plan,
        rng=rng,
    )
    return FleetInstance(
        own,
        gate,
        link,
        store,
        connector,
        instance,
        contextvars.copy_context(),
        tasks,
    )


def _make_instance(
    *,
    own: Instance,
    incarnation: int,
    ports: InstancePorts,
    plan: FleetPlan,
    rng: random.Random,
) -> GatewayInstance:
    return GatewayInstance(
        own=own,
        incarnation=incarnation,
        ports=ports,
        options=InstanceOptions(
            store_region=plan.store_zone.region,
            seeds=plan.instances,
            slot_source_factory=plan.slot_source_factory,
            is_unshared=plan.is_unshared,
        ),
        rng=rng,
    )
