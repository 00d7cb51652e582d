"""Cost of one acquire and release by number of servers, in real time."""

import asyncio
from collections.abc import Sequence
import random
import time
from typing import Final
from typing import NamedTuple

from teaselrock.bench.deployments import CUSTOMERS
from teaselrock.bench.deployments import document
from teaselrock.bench.deployments import LIFFEYLINE
from teaselrock.bench.deployments import REGIONS
from teaselrock.bench.deployments import ZONES
from teaselrock.bench.trial import Combine
from teaselrock.bench.trial import Experiment
from teaselrock.bench.trial import Outcome
from teaselrock.bench.trial import SLOT_SOURCES
from teaselrock.bench.trial import Trial
from teaselrock.coordination.in_memory import FixedDirectory
from teaselrock.coordination.ports import MessageHandler
from teaselrock.coordination.ports import Slot
from teaselrock.coordination.ports import SlotSource
from teaselrock.coordination.slots import SharedSlots
from teaselrock.coordination.slots import SlotOptions
from teaselrock.standins.clock import run_paused
from teaselrock.state import AttemptOutcome
from teaselrock.state import BackendServer
from teaselrock.state import Instance
from teaselrock.state import Request
from teaselrock.state import RequestContent

ROUNDS: Final = 2000
SIZES: Final = (12, 100, 1000)
# Each server lends one unit until its start id is known, so at least 12.
ASKS: Final = 11
ASK_ROUNDS: Final = 20
SHARED_ASK: Final = 'shared-ask'
SHARED_HELD: Final = 'shared-held'


class _Alone:
    """`MemberView` and `Peers` of an instance without others."""

    def __init__(self) -> None:
        self._own = Instance('gw-0', ZONES[0], '')

    @property
    def own(self) -> Instance:
        return self._own

    @property
    def live(self) -> Sequence[Instance]:
        return (self._own,)

    @property
    def roster(self) -> Sequence[Instance]:
        return (self._own,)

    @property
    def epoch(self) -> int:
        return 1

    def send(self, *, to: str, message: NamedTuple) -> bool:
        return False

    def register_handler(
        self, *, message_type: type, handler: MessageHandler
    ) -> None:
        """What it sends to itself does not pass here."""


def _directory(size: int) -> FixedDirectory:
    servers = tuple(
        BackendServer(f's-{n}', 'compile', ZONES[0], '', 6)
        for n in range(size)
    )
    return FixedDirectory(document=document(LIFFEYLINE), servers=servers)


async def _shared(size: int, rng: random.Random) -> SharedSlots:
    alone = _Alone()
    slots = SharedSlots(
        directory=_directory(size),
        members=alone,
        peers=alone,
        options=SlotOptions(),
        rng=rng,
    )
    slots.start()
    await _take(slots.source)
    return slots


async def _take(source: SlotSource) -> Slot:
    request = Request(
        customer=CUSTOMERS[0],
        service='compile',
        content=RequestContent('GET', '/compile/status', (), b''),
        deadline=asyncio.get_running_loop().time() + 3600,
    )
    acquired = await source.acquire(
        request=request,
        regions=frozenset(REGIONS),
        weight=1,
        exclude=frozenset(),
        reason=None,
    )
    return acquired.ok


async def _repeat_us(source: SlotSource) -> float:
    """Acquire and release again and again; a held slot serves again."""
    (await _take(source)).release(outcome=AttemptOutcome(0.01))
    started = time.perf_counter()
    for _ in range(ROUNDS):
        (await _take(source)).release(outcome=AttemptOutcome(0.01))
    return (time.perf_counter() - started) / ROUNDS * 1_000_000


async def _ask_us(size: int, rng: random.Random) -> float:
    """Ask and lend in one process: no slot is held beforehand."""
    spent = 0.0
    for _ in range(ASK_ROUNDS):
        slots = await _shared(size, rng)
        started = time.perf_counter()
        for _ in range(ASKS):
            await _take(slots.source)
        spent += time.perf_counter() - started
        await slots.stop()
    return spent / ASK_ROUNDS / ASKS * 1_000_000


async def _measure_us(variant: str, size: int, rng: random.Random) -> float:
    if variant == SHARED_ASK:
        return await _ask_us(size, rng)
    if variant == SHARED_HELD:
        return await _repeat_us((await _shared(size, rng)).source)
    make = SLOT_SOURCES[variant]
    if make is None:
        raise ValueError(f'{variant} has no source of its own')
    return await _repeat_us(make(_directory(size), rng))


def run(trial: Trial) -> Outcome:
    """Measure each size; the clock is paused, so only work takes time."""
    rng = random.Random(trial.seed)
    figures = {
        f'us_at_{size}': run_paused(_measure_us(trial.variant, size, rng))
        for size in SIZES
    }
    return Outcome(trial, figures)


EXPERIMENT: Final = Experiment(
    'decision',
    'microseconds of an acquire and release, or of an ask, real time',
    ('two-choices', SHARED_HELD, SHARED_ASK),
    3,
    0.0,
    run,
    {f'us_at_{size}': Combine.MEAN for size in SIZES},
)
