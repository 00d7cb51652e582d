"""The world of the scenarios: whole instances on the paused clock.

Steps run one after the other, so the loop is kept between them; it moves
only while a step runs. Verdicts come from what callers, servers, the store
and the links saw.
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
from teaselrock.bench.deployments import plan
from teaselrock.bench.deployments import Service
from teaselrock.bench.invariant_checks import Observations
from teaselrock.coordination.configuration_admin import ConfigurationAdmin
from teaselrock.protocol.documents import JsonDocumentCodec
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
LIMIT_S = 3600.0
# Messages that spread the configuration to all regions by design.
CONFIGURATION = ('ConfigDelta', 'ConfigDocumentPart')


def _rows(data: bytes) -> tuple[Row, ...]:
    return JsonDocumentCodec().decode(data=data, value_type=Segment).ok.rows


class Crossing(NamedTuple):
    """A message that a link carried to another instance."""

    target: Instance
    kind: str
    frame: bytes


class World:
    """A fleet, its callers and operators, and what was noted of them."""

    def __init__(self) -> None:
        self._loop = looptime.new_event_loop(
            start=0, end=LIMIT_S, noop_cycles=0
        )
        asyncio.set_event_loop(self._loop)
        self._tasks: dict[str, asyncio.Task[Any]] = {}
        self.marks: dict[str, float] = {}
        self.results: dict[str, Any] = {}
        self.crossings: list[Crossing] = []
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
    def seen(self) -> Observations:
        return Observations(
            self.callers.records, self.runs, self.fleet.plan.document
        )

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        return self._loop.run_until_complete(work)

    def behind(self, name: str, work: Coroutine[Any, Any, Any]) -> None:
        """Start work that goes on during the next steps."""

        async def start() -> None:
            self._tasks[name] = asyncio.create_task(work)
            await asyncio.sleep(0)

        self.run(start())

    def join(self, name: str) -> Any:
        """Wait for work that was started with `behind`."""

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

    def start(self, *, instances: int, seed: int, lack: int = 0) -> None:
        """Start a fleet; the last `lack` instances are not running."""
        built = plan(deployment=DEPLOYMENT, rng=random.Random(f'{seed} plan'))
        built = built._replace(instances=built.instances[:instances])
        rng = random.Random(f'{seed} fleet')

        async def work() -> None:
            self.fleet = Fleet(plan=built, rng=rng)
            self._listen()
            await self.fleet.start()
            for own in built.instances[instances - lack :]:
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
        self.behind(name, self.callers.run([load]))

    def operator(self, seed: str) -> ConfigurationAdmin:
        return ConfigurationAdmin(
            store=MemoryStore(model=self.fleet.store),
            codec=JsonDocumentCodec(),
            rng=random.Random(seed),
        )

    async def change_zone(self, zone: str, reason: str | None) -> Any:
        """One operator's change of a zone, tried once."""
        admin = self.operator(f'{zone} {reason}')
        base = await admin.current()
        if base.is_error():
            return base
        return await admin.set_zone(
            base=base.ok,
            zone=AvailabilityZone(*zone.split('/')),
            reason=reason,
        )

    async def until(self, condition, limit: float) -> None:
        async with asyncio.timeout(limit):
            while not condition():
                await asyncio.sleep(0.01)

    def versions(self) -> dict[str, int]:
        return {
            name: instance.directory.version
            for name, instance in self.fleet.live.items()
        }

    def control_bytes(
        self, data_kinds: frozenset[str], only_cross: bool = False
    ) -> Counter[str]:
        """Bytes of control traffic by sender, from the links."""
        sent: Counter[str] = Counter()
        for traffic, size in self.fleet.network.bytes_by_traffic.items():
            if only_cross and not traffic.is_cross_region:
                continue
            if traffic.kind not in data_kinds:
                sent[traffic.sender] += size
        return sent

    def repeat_messages(self, delay: float) -> None:
        """Deliver each message again after `delay` seconds."""
        network = self.fleet.network
        transmit = network.transmit

        def twice(own: Instance, to: str, message: NamedTuple) -> int:
            asyncio.get_running_loop().call_later(
                delay, transmit, own, to, message
            )
            return transmit(own, to, message)

        network.transmit = twice

    def lose_next_answer(self, fail_after: float | None = None) -> None:
        """Lose the answer of the store's next write that takes effect.

        The store fails `fail_after` seconds after the write.
        """
        store = self.fleet.store

        def fail() -> None:
            store.is_down = True

        def once() -> bool:
            del store.loses_response
            self.marks['write'] = self.now
            if fail_after is not None:
                self._loop.call_later(fail_after, fail)
            return True

        store.loses_response = once

    def leaks(self) -> list[str]:
        """Traces of customers with home regions outside these.

        Tokens stand for path and content: they contain `customer.`.
        """
        found = []
        for customer, homes in HOME_REGIONS.items():
            name = customer.encode()
            token = name + b'.'
            found += [
                f'{crossing.kind} to {crossing.target.instance_id}'
                for crossing in self.crossings
                if crossing.target.zone.region not in homes
                and crossing.kind not in CONFIGURATION
                and name in crossing.frame
            ]
            if self.fleet.plan.store_zone.region in homes:
                continue
            for key, stored in self.fleet.store.values.items():
                if token in stored.value or token in key.encode():
                    found.append(f'token in {key}')
                if key.startswith(REPORT_KEY_PREFIX) and any(
                    row.customer == customer for row in _rows(stored.value)
                ):
                    found.append(f'row of {customer} in {key}')
        return found

    def _listen(self) -> None:
        """Note every message with the instance that it goes to."""
        network = self.fleet.network
        transmit = network.transmit
        targets = {own.instance_id: own for own in self.fleet.plan.instances}
        codec = JsonDocumentCodec()

        def noted(own: Instance, to: str, message: NamedTuple) -> int:
            kind = type(message).__name__
            if targets[to].zone.region != own.zone.region:
                frame = codec.encode(value=message)
                self.crossings.append(Crossing(targets[to], kind, frame))
            return transmit(own, to, message)

        network.transmit = noted
