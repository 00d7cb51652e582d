"""Experiment `decision`: cost of one acquire and release in real time.

It is measured for several numbers of servers.
"""

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
# Each server lends one slot until its start id is known, so that the smallest
# size of 12 servers allows one request at the start and 11 measured ones.
REQUESTS_PER_ROUND: Final = 11
REQUEST_ROUNDS: Final = 20
SHARED_REQUEST: Final = 'shared-ask'
SHARED_HELD: Final = 'shared-held'


class _SingleMember:
    """`MemberView` and `Peers` of the only instance of a fleet."""

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
        """Do nothing: messages to the instance itself don't use peers."""


def _directory(size: int) -> FixedDirectory:
    servers = tuple(
        BackendServer(f's-{n}', 'compile', ZONES[0], '', 6)
        for n in range(size)
    )
    return FixedDirectory(document=document(LIFFEYLINE), servers=servers)


async def _start_shared_slots(size: int, rng: random.Random) -> SharedSlots:
    single_member = _SingleMember()
    slots = SharedSlots(
        directory=_directory(size),
        members=single_member,
        peers=single_member,
        options=SlotOptions(),
        rng=rng,
    )
    slots.start()
    await _acquire(slots.source)
    return slots


async def _acquire(source: SlotSource) -> Slot:
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


async def _held_slot_us(source: SlotSource) -> float:
    """Microseconds of an acquire and release of a slot that is held."""
    (await _acquire(source)).release(outcome=AttemptOutcome(0.01))
    started = time.perf_counter()
    for _ in range(ROUNDS):
        (await _acquire(source)).release(outcome=AttemptOutcome(0.01))
    return (time.perf_counter() - started) / ROUNDS * 1_000_000


async def _slot_request_us(size: int, rng: random.Random) -> float:
    """Microseconds of a slot request and its grant, without a held slot."""
    elapsed_s = 0.0
    for _ in range(REQUEST_ROUNDS):
        slots = await _start_shared_slots(size, rng)
        started = time.perf_counter()
        for _ in range(REQUESTS_PER_ROUND):
            await _acquire(slots.source)
        elapsed_s += time.perf_counter() - started
        await slots.stop()
    return elapsed_s / REQUEST_ROUNDS / REQUESTS_PER_ROUND * 1_000_000


async def _measure_us(variant: str, size: int, rng: random.Random) -> float:
    if variant == SHARED_REQUEST:
        return await _slot_request_us(size, rng)
    if variant == SHARED_HELD:
        return await _held_slot_us(
            (await _start_shared_slots(size, rng)).source
        )
    make_source = SLOT_SOURCES[variant]
    if make_source is None:
        raise ValueError(f'no slot source is defined for variant {variant}')
    return await _held_slot_us(make_source(_directory(size), rng))


def run(trial: Trial) -> Outcome:
    """Measure each size.

    The loop's clock is paused, so that waiting takes no real time.
    """
    rng = random.Random(trial.seed)
    figures = {
        f'us_at_{size}': run_paused(_measure_us(trial.variant, size, rng))
        for size in SIZES
    }
    return Outcome(trial, figures)


EXPERIMENT: Final = Experiment(
    'decision',
    'real microseconds of an acquire and release, or of a slot request',
    ('two-choices', SHARED_HELD, SHARED_REQUEST),
    3,
    0.0,
    run,
    {f'us_at_{size}': Combine.MEAN for size in SIZES},
)
