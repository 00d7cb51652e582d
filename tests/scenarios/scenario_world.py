"""The state that the steps of a scenario share: a fleet on a paused clock.

The event loop is kept between steps, and its clock advances only while a
step runs. Checks use what callers, servers, the store and the links
observed.
"""

import asyncio
from collections import Counter
from collections.abc import Coroutine
import random
from typing import Any
from typing import NamedTuple

import looptime

from teaselrock.bench.callers import Callers
from teaselrock.bench.callers import Workload
from teaselrock.bench.deployments import Deployment
from teaselrock.bench.deployments import HOME_REGIONS
from teaselrock.bench.deployments import Kind
from teaselrock.bench.deployments import make_fleet_plan
from teaselrock.bench.deployments import Service
from teaselrock.bench.invariant_checks import Observations
from teaselrock.coordination.configuration_admin import ConfigurationAdmin
from teaselrock.protocol.document_codec import JsonDocumentCodec
from teaselrock.standins.fleet import Fleet
from teaselrock.standins.network import Latencies
from teaselrock.standins.store import MemoryStore
from teaselrock.state import AvailabilityZone
from teaselrock.state import Instance
from teaselrock.state.report import REPORT_KEY_PREFIX
from teaselrock.state.report import Row
from teaselrock.state.report import Segment

DEPLOYMENT = Deployment(
    'scenario',
    (
        Service(
            'desk',
            12,
            (
                Kind('status', 'GET', 0.7, 0.020),
                Kind('build', 'POST', 0.3, 0.050),
            ),
        ),
        Service('lookups', 6, (Kind('term', 'GET', 1.0, 0.020),)),
    ),
    3,
    Latencies(),
)
SERVICES = {service.name: service for service in DEPLOYMENT.services}
MAX_SCENARIO_S = 3600.0
# Messages that carry the configuration to all regions by design.
CONFIGURATION_MESSAGES = ('ConfigDelta', 'ConfigDocumentPart')


def _decode_rows(data: bytes) -> tuple[Row, ...]:
    return JsonDocumentCodec().decode(data=data, value_type=Segment).ok.rows


class CrossRegionMessage(NamedTuple):
    """A message that a link carried to an instance of another region."""

    target: Instance
    kind: str
    frame: bytes


class World:
    """A fleet, its callers and operators, and what was observed of them."""

    def __init__(self) -> None:
        self._loop = looptime.new_event_loop(
            start=0, end=MAX_SCENARIO_S, noop_cycles=0
        )
        asyncio.set_event_loop(self._loop)
        self._tasks: dict[str, asyncio.Task[Any]] = {}
        self.event_times: dict[str, float] = {}
        self.results: dict[str, Any] = {}
        self.cross_region_messages: list[CrossRegionMessage] = []
        self.last_wait = (0.0, 0.0)
        self.calls_before_wait = 0
        self.fleet: Fleet
        self.callers: Callers

    @property
    def now(self) -> float:
        return self._loop.time()

    @property
    def models(self):
        return self.fleet.plan.models

    @property
    def runs(self):
        return [run for model in self.models.values() for run in model.runs]

    @property
    def observations(self) -> Observations:
        return Observations(
            self.callers.records, self.runs, self.fleet.plan.document
        )

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        return self._loop.run_until_complete(work)

    def run_in_background(
        self, name: str, work: Coroutine[Any, Any, Any]
    ) -> None:
        """Start work that continues during the next steps."""

        async def start() -> None:
            self._tasks[name] = asyncio.create_task(work)
            await asyncio.sleep(0)

        self.run(start())

    def join(self, name: str) -> Any:
        """Wait for work that was started with `run_in_background`."""

        async def wait() -> Any:
            return await self._tasks.pop(name)

        return self.run(wait())

    def join_all(self) -> None:
        for name in list(self._tasks):
            self.join(name)

    def wait(self, seconds: float) -> None:
        self.calls_before_wait = self.fleet.store.calls.total()
        self.run(asyncio.sleep(seconds))
        self.last_wait = (seconds, self.now)

    def close(self) -> None:
        # A task may start others while it ends.
        while pending := asyncio.all_tasks(self._loop):
            for task in pending:
                task.cancel()
            self.run(asyncio.wait(pending))
        self._loop.close()
        asyncio.set_event_loop(None)

    def start(
        self, *, instances: int, seed: int, stopped_instances: int = 0
    ) -> None:
        """Start a fleet and kill its last `stopped_instances` instances."""
        fleet_plan = make_fleet_plan(
            deployment=DEPLOYMENT, rng=random.Random(f'{seed} plan')
        )
        fleet_plan = fleet_plan._replace(
            instances=fleet_plan.instances[:instances]
        )
        rng = random.Random(f'{seed} fleet')

        async def work() -> None:
            self.fleet = Fleet(plan=fleet_plan, rng=rng)
            self._record_cross_region_messages()
            await self.fleet.start()
            for own in fleet_plan.instances[instances - stopped_instances :]:
                self.fleet.kill(own.instance_id)

        self.run(work())
        self.callers = Callers(
            fleet=self.fleet, rng=random.Random(f'{seed} callers')
        )

    def send(
        self,
        *,
        service: str,
        rate: float,
        seconds: float,
        customers: tuple[str, ...],
        repeat_share: float = 0.0,
    ) -> None:
        """Send open-loop load in the background."""
        load = Workload(
            SERVICES[service],
            rate,
            self.now + seconds,
            customers,
            repeat_share,
        )
        name = f'load {service} {customers} {self.now}'
        self.run_in_background(name, self.callers.run([load]))

    def operator_admin(self, seed: str) -> ConfigurationAdmin:
        return ConfigurationAdmin(
            store=MemoryStore(model=self.fleet.store),
            codec=JsonDocumentCodec(),
            rng=random.Random(seed),
        )

    async def change_zone(self, zone: str, reason: str | None) -> Any:
        """Take a zone out of service, or back in; one attempt."""
        admin = self.operator_admin(f'{zone} {reason}')
        base = await admin.current()
        if base.is_error():
            return base
        return await admin.set_zone(
            base=base.ok,
            zone=AvailabilityZone(*zone.split('/')),
            reason=reason,
        )

    async def wait_until(self, condition, timeout_s: float) -> None:
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.01)

    def versions(self) -> dict[str, int]:
        return {
            name: instance.directory.version
            for name, instance in self.fleet.live.items()
        }

    def control_bytes(
        self, data_kinds: frozenset[str], only_cross_region: bool = False
    ) -> Counter[str]:
        """Bytes of control traffic that the links carried, by sender."""
        sent: Counter[str] = Counter()
        for traffic, size in self.fleet.network.bytes_by_traffic.items():
            if only_cross_region and not traffic.is_cross_region:
                continue
            if traffic.kind not in data_kinds:
                sent[traffic.sender] += size
        return sent

    def duplicate_messages(self, delay_s: float) -> None:
        """Deliver each message again after `delay_s`."""
        network = self.fleet.network
        transmit = network.transmit

        def transmit_twice(own: Instance, to: str, message: NamedTuple) -> int:
            asyncio.get_running_loop().call_later(
                delay_s, transmit, own, to, message
            )
            return transmit(own, to, message)

        network.transmit = transmit_twice

    def lose_next_write_response(
        self, fail_after_s: float | None = None
    ) -> None:
        """Lose the response to the store's next write that takes effect.

        The store fails `fail_after_s` after the write.
        """
        store = self.fleet.store

        def fail() -> None:
            store.is_down = True

        def lose_once() -> bool:
            del store.loses_response
            self.event_times['write'] = self.now
            if fail_after_s is not None:
                self._loop.call_later(fail_after_s, fail)
            return True

        store.loses_response = lose_once

    def leaks(self) -> list[str]:
        """Data of customers with home regions that was found elsewhere.

        Path and content of a request carry a token that begins with the
        customer's name and a dot.
        """
        found = []
        for customer, homes in HOME_REGIONS.items():
            name = customer.encode()
            token = name + b'.'
            found += [
                f'{crossing.kind} to {crossing.target.instance_id}'
                for crossing in self.cross_region_messages
                if crossing.target.zone.region not in homes
                and crossing.kind not in CONFIGURATION_MESSAGES
                and name in crossing.frame
            ]
            if self.fleet.plan.store_zone.region in homes:
                continue
            for key, stored in self.fleet.store.values.items():
                if token in stored.value or token in key.encode():
                    found.append(f'token in {key}')
                if key.startswith(REPORT_KEY_PREFIX) and any(
                    row.customer == customer
                    for row in _decode_rows(stored.value)
                ):
                    found.append(f'row of {customer} in {key}')
        return found

    def _record_cross_region_messages(self) -> None:
        """Record messages between regions with their target instance."""
        network = self.fleet.network
        transmit = network.transmit
        targets = {own.instance_id: own for own in self.fleet.plan.instances}
        codec = JsonDocumentCodec()

        def record_and_transmit(
            own: Instance, to: str, message: NamedTuple
        ) -> int:
            kind = type(message).__name__
            if targets[to].zone.region != own.zone.region:
                frame = codec.encode(value=message)
                self.cross_region_messages.append(
                    CrossRegionMessage(targets[to], kind, frame)
                )
            return transmit(own, to, message)

        network.transmit = record_and_transmit
