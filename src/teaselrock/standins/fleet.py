"""A fleet of gateway instances in one process, on stand-ins.

`Fleet` starts, kills, pauses and restarts instances and passes callers'
requests to them. `fleet_instance` builds each instance.
"""

import asyncio
from collections.abc import Coroutine
from collections.abc import Mapping
import contextvars
import random
from typing import Any
from typing import Final

from expression import Result

from teaselrock.coordination.instance import GatewayInstance
from teaselrock.protocol.messages import KINDS
from teaselrock.standins.fleet_instance import build_instance
from teaselrock.standins.fleet_instance import FleetInstance
from teaselrock.standins.fleet_instance import FleetPlan
from teaselrock.standins.fleet_instance import OwnedTasks
from teaselrock.standins.fleet_instance import SharedStandins
from teaselrock.standins.network import MemoryNetwork
from teaselrock.standins.operators import Announcer
from teaselrock.standins.operators import Operator
from teaselrock.standins.operators import OPERATOR_ID
from teaselrock.standins.platform import PlatformModel
from teaselrock.standins.store import StoreModel
from teaselrock.state import BackendResponse
from teaselrock.state import Instance
from teaselrock.state import Refusal
from teaselrock.state import Request
from teaselrock.state.configuration import Document

__all__ = ('Fleet', 'FleetPlan')

# Delay until the platform's load balancer detects that an instance has
# ended or started.
BALANCER_LAG_S: Final = 1.0
RESPONSE_DELIVERY_S: Final = 0.001
READY_POLL_S: Final = 0.05

_task_owner: contextvars.ContextVar[str] = contextvars.ContextVar(
    'owner', default=''
)


class Fleet:
    """All instances and the stand-ins that they share."""

    def __init__(self, *, plan: FleetPlan, rng: random.Random) -> None:
        self._plan = plan
        self._rng = rng
        self._instances: dict[str, FleetInstance] = {}
        self._balancer_targets: set[str] = set()
        self._incarnations: dict[str, int] = {}
        self._tasks: dict[str, OwnedTasks] = {}
        self.network = MemoryNetwork(
            kinds=KINDS, rng=rng, latencies=plan.latencies
        )
        self.store = StoreModel(rng=rng)
        self.platform = PlatformModel(
            servers=plan.servers,
            gateways=[instance.instance_id for instance in plan.instances],
        )
        self._operator = Operator(
            store=self.store,
            announcer=Announcer(
                network=self.network,
                zone=plan.store_zone,
                instances=lambda: plan.instances,
                rng=random.Random(rng.getrandbits(64)),
            ),
            rng=random.Random(rng.getrandbits(64)),
        )

    @property
    def plan(self) -> FleetPlan:
        """What the fleet was built from."""
        return self._plan

    @property
    def balancer_targets(self) -> list[str]:
        """Instances that the platform's load balancer sends callers to."""
        return sorted(
            name
            for name in self._balancer_targets
            if name not in self._instances
            or self._instances[name].instance.directory.is_ready
        )

    @property
    def live(self) -> Mapping[str, GatewayInstance]:
        """Running instances by id."""
        return {
            name: fleet_instance.instance
            for name, fleet_instance in self._instances.items()
        }

    async def start(self) -> None:
        """Start all instances and wait until they are ready."""
        asyncio.get_running_loop().set_task_factory(self._make_task)
        await self._operator.apply_document(self._plan.document)
        for instance in self._plan.instances:
            await self.start_instance(instance.instance_id)
            self._balancer_targets.add(instance.instance_id)
        while len(self.balancer_targets) < len(self._plan.instances):
            await asyncio.sleep(READY_POLL_S)

    async def stop(self) -> None:
        """Stop all instances gracefully."""
        for name in list(self._instances):
            await self.stop_instance(name)

    async def start_instance(self, instance_id: str) -> None:
        """Start an instance, or start it again as a new incarnation."""
        identity = next(
            instance
            for instance in self._plan.instances
            if instance.instance_id == instance_id
        )
        incarnation = self._incarnations.get(instance_id, 0) + 1
        self._incarnations[instance_id] = incarnation
        fleet_instance = self._build(identity, incarnation)
        self._instances[instance_id] = fleet_instance
        await self._run_in_context(
            fleet_instance, fleet_instance.instance.start()
        )
        asyncio.get_running_loop().call_later(
            BALANCER_LAG_S, self._add_to_balancer, instance_id
        )
        self._update_gateway_list()

    async def stop_instance(self, instance_id: str) -> None:
        """Stop an instance gracefully; it leaves the load balancer."""
        fleet_instance = self._instances[instance_id]
        stopping = asyncio.create_task(
            fleet_instance.instance.stop(),
            context=fleet_instance.context.copy(),
        )
        await asyncio.wait({stopping})
        if self._instances.get(instance_id) is fleet_instance:
            # Complete responses must reach their callers before the end.
            await asyncio.sleep(RESPONSE_DELIVERY_S)
            # The load balancer has taken it out when it became unready.
            self._balancer_targets.discard(instance_id)
            self._terminate(fleet_instance)
            stopping.result()

    def kill(self, instance_id: str) -> None:
        """End an instance as if its process had been killed."""
        self._terminate(self._instances[instance_id])

    def _terminate(self, fleet_instance: FleetInstance) -> None:
        fleet_instance.gate.kill()
        if (
            self._instances.get(fleet_instance.identity.instance_id)
            is fleet_instance
        ):
            self._remove_instance(fleet_instance.identity.instance_id)
        fleet_instance.connector.close_all()
        for task in list(fleet_instance.tasks):
            task.cancel()

    def pause(self, instance_id: str) -> None:
        """Hold everything that enters or leaves an instance."""
        self._instances[instance_id].gate.pause()

    def resume(self, instance_id: str) -> None:
        """Undo `pause`."""
        fleet_instance = self._instances.get(instance_id)
        if fleet_instance is not None:
            fleet_instance.gate.resume()
            fleet_instance.link.flush()

    def cut_store(self, instance_id: str, is_cut: bool) -> None:
        """Cut an instance's link to the store, or restore it."""
        fleet_instance = self._instances.get(instance_id)
        if fleet_instance is not None:
            fleet_instance.store.is_cut = is_cut

    def cut_region(self, region: str) -> None:
        """Cut the links between a region's instances and all others.

        The operator is in the region of the store.
        """
        for instance in self._plan.instances:
            if (instance.zone.region == region) != (
                self._plan.store_zone.region == region
            ):
                self.network.cut(instance.instance_id, OPERATOR_ID)
            for other in self._plan.instances:
                if (instance.zone.region == region) != (
                    other.zone.region == region
                ):
                    self.network.cut(instance.instance_id, other.instance_id)

    async def apply_document(self, document: Document) -> int:
        """Apply a configuration, as the operators' command does.

        Returns the number of the accepted version.
        """
        return await self._operator.apply_document(document)

    async def dispatch(
        self, *, instance_id: str, request: Request
    ) -> Result[BackendResponse, Refusal] | None:
        """Pass a request to an instance; None if its connection broke."""
        fleet_instance = self._instances.get(instance_id)
        if fleet_instance is None:
            return None
        try:
            await fleet_instance.gate.wait()
            task = asyncio.create_task(
                fleet_instance.instance.dispatcher.dispatch(request=request),
                context=fleet_instance.context.copy(),
            )
        except asyncio.CancelledError:
            if fleet_instance.gate.is_dead:
                return None
            raise
        try:
            await asyncio.wait({task})
        except asyncio.CancelledError:
            task.cancel()
            raise
        if fleet_instance.gate.is_dead or task.cancelled():
            return None
        return task.result()

    def _build(self, own: Instance, incarnation: int) -> FleetInstance:
        owner = f'{own.instance_id}#{incarnation}'
        context = contextvars.copy_context()
        context.run(_task_owner.set, owner)
        self._tasks[owner] = OwnedTasks()
        return context.run(
            build_instance,
            own=own,
            incarnation=incarnation,
            plan=self._plan,
            standins=SharedStandins(self.network, self.store, self.platform),
            rng=random.Random(self._rng.random()),
            tasks=self._tasks[owner],
        )

    async def _run_in_context(
        self,
        fleet_instance: FleetInstance,
        coroutine: Coroutine[Any, Any, None],
    ) -> None:
        """Run in an instance's context, so that it owns the created tasks."""
        await asyncio.create_task(
            coroutine, context=fleet_instance.context.copy()
        )

    def _make_task(
        self,
        loop: asyncio.AbstractEventLoop,
        coroutine: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Task[Any]:
        task = asyncio.Task(coroutine, loop=loop, context=context)
        owner = (
            _task_owner.get()
            if context is None
            else context.get(_task_owner, '')
        )
        if owner:
            self._tasks[owner][task] = None
        return task

    def _remove_instance(self, instance_id: str) -> None:
        del self._instances[instance_id]
        self.network.remove(instance_id=instance_id)
        self._update_gateway_list()
        asyncio.get_running_loop().call_later(
            BALANCER_LAG_S, self._remove_from_balancer, instance_id
        )

    def _add_to_balancer(self, instance_id: str) -> None:
        if instance_id in self._instances:
            self._balancer_targets.add(instance_id)

    def _remove_from_balancer(self, instance_id: str) -> None:
        if instance_id not in self._instances:
            self._balancer_targets.discard(instance_id)

    def _update_gateway_list(self) -> None:
        self.platform.set_gateways(self._instances)
