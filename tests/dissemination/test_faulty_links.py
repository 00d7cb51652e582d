"""Control planes under repeated, reordered and lost messages and faults."""

import asyncio
import random

import pytest

from teaselrock.bench.control_fleet import ControlFleet
from teaselrock.bench.control_fleet import example_document
from teaselrock.protocol.messages import KINDS
from teaselrock.standins.clock import run_paused
from teaselrock.standins.network import MemoryNetwork
from teaselrock.state.configuration import Document

INSTANCE_COUNT = 9
CONVERGENCE_LIMIT_S = 15.0


class RepeatingNetwork(MemoryNetwork):
    """Delivers some messages again, up to 2 s later."""

    def __init__(self, *, seed: int) -> None:
        super().__init__(kinds=KINDS, rng=random.Random(seed), loss=0.02)
        self._repeat_rng = random.Random(seed + 1)

    def _deliver_frame(self, sender: str, to: str, frame: bytes) -> None:
        super()._deliver_frame(sender, to, frame)
        if self._repeat_rng.random() < 0.1:
            asyncio.get_running_loop().call_later(
                self._repeat_rng.uniform(0, 2),
                super()._deliver_frame,
                sender,
                to,
                frame,
            )


class _VersionChecker:
    """Fails when a version reverts or stands for two documents."""

    def __init__(self) -> None:
        self._versions: dict[int, int] = {}
        self._documents: dict[int, Document] = {}

    def check(self, fleet: ControlFleet) -> None:
        for node in fleet.control_planes.values():
            version = node.configuration.version
            assert version >= self._versions.get(id(node), 0)
            self._versions[id(node)] = version
            document = node.configuration.document
            assert self._documents.setdefault(version, document) == document


async def _inject_fault(
    fleet: ControlFleet, rng: random.Random, crashed: set[int]
) -> None:
    names = sorted(fleet.control_planes)
    kind = rng.choice(('cut', 'heal', 'store', 'crash', 'boot', 'pause'))
    if kind == 'cut':
        group = rng.sample(names, rng.randint(1, len(names) // 2))
        fleet.cut_groups(group, [name for name in names if name not in group])
    elif kind == 'heal':
        fleet.network.restore_all_links()
    elif kind == 'store':
        fleet.store.is_down = not fleet.store.is_down
    elif kind == 'crash' and len(names) > 5:
        name = rng.choice(names)
        crashed.add(int(name.removeprefix('gw-')))
        await fleet.kill(name)
    elif kind == 'boot' and crashed:
        fleet.start_instance(crashed.pop())
    elif kind == 'pause':
        name = rng.choice(names)
        fleet.network.pause(name)
        await asyncio.sleep(rng.uniform(0.1, 3))
        fleet.network.resume(name)


@pytest.mark.parametrize('seed', range(6))
def test_random_faults(seed: int) -> None:
    """Guards against reverted versions and views that stay different.

    Links, the store and instances fail at random. Soon after the last fault
    has ended, all instances see each other and have the newest version.
    """

    async def scenario() -> None:
        rng = random.Random(seed)
        fleet = ControlFleet(seed=seed)
        fleet.network = RepeatingNetwork(seed=seed)
        await fleet.start_all(INSTANCE_COUNT)
        checker = _VersionChecker()
        crashed: set[int] = set()
        admin = fleet.admin()
        for number in range(12):
            await _inject_fault(fleet, rng, crashed)
            current = await admin.current()
            if current.is_ok():
                document = example_document()
                document['plans']['basic']['weight'] = number + 2
                await admin.apply_document(base=current.ok, document=document)
            for _ in range(5):
                await asyncio.sleep(rng.uniform(0, 0.3))
                checker.check(fleet)
        fleet.store.is_down = False
        fleet.network.restore_all_links()
        for index in sorted(crashed):
            fleet.start_instance(index)
        newest = (await admin.current()).ok.version
        await fleet.wait_until(
            lambda: all(
                len(node.membership.live) == INSTANCE_COUNT
                and node.configuration.version == newest
                and node.directory.is_ready
                for node in fleet.control_planes.values()
            ),
            limit_s=CONVERGENCE_LIMIT_S,
        )
        checker.check(fleet)

    run_paused(scenario())
