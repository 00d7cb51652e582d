"""Callers of the bench: they send requests and record what came back.

Requests arrive at random times at a set rate, whatever the answers
(an open loop). The records are the callers' own; `judge` reads them.
"""

import asyncio
from collections.abc import Sequence
import hashlib
import random
from typing import Final
from typing import NamedTuple

from expression import Result

from teaselrock.bench.deployments import CALLER_LATENCY_S
from teaselrock.bench.deployments import DEADLINE_MS
from teaselrock.bench.deployments import Kind
from teaselrock.bench.deployments import Service
from teaselrock.standins.fleet import Fleet
from teaselrock.state import BackendResponse
from teaselrock.state import Refusal
from teaselrock.state import Request
from teaselrock.state import RequestContent

MAX_PATIENCE_S: Final = 0.1
LOST: Final = 'connection-lost'
RAN: Final = 'ran'


class CallRecord(NamedTuple):
    """One call as its caller saw it; times in loop seconds.

    `verdict` is the stated one, or `LOST` if the connection broke.
    """

    token: str
    call: str
    instance_id: str
    customer: str
    service: str
    kind: str
    idempotent: bool
    sent: float
    ended: float
    verdict: str
    code: str
    status: int
    is_own_response: bool


class Workload(NamedTuple):
    """Calls per second of one service, until `until` (loop seconds).

    `repeat_share` of the non-idempotent requests is sent again with the
    same key through another instance, as is each that was lost.
    `abandon_share` of the callers disconnect before the answer.
    """

    service: Service
    rate: float
    until: float
    customers: tuple[str, ...]
    repeat_share: float = 0.0
    abandon_share: float = 0.0


class Callers:
    """All callers of a fleet."""

    def __init__(self, *, fleet: Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self._records: list[CallRecord] = []
        self._calls = 0
        self._running: set[asyncio.Task[None]] = set()

    @property
    def records(self) -> Sequence[CallRecord]:
        """Calls that ended."""
        return self._records

    async def run(self, workloads: Sequence[Workload]) -> None:
        """Send all loads and wait for the last answer."""
        await asyncio.gather(*(self._send(load) for load in workloads))
        while self._running:
            await asyncio.wait(self._running)

    async def _send(self, load: Workload) -> None:
        loop = asyncio.get_running_loop()
        kinds = load.service.kinds
        shares = [kind.share for kind in kinds]
        due = loop.time()
        while True:
            due += self._rng.expovariate(load.rate)
            if due >= load.until:
                return
            await asyncio.sleep(due - loop.time())
            kind = self._rng.choices(kinds, shares)[0]
            customer = self._rng.choice(load.customers)
            task = asyncio.create_task(self._request(load, kind, customer))
            self._running.add(task)
            task.add_done_callback(self._running.discard)

    async def _request(
        self, load: Workload, kind: Kind, customer: str
    ) -> None:
        self._calls += 1
        token = f'{customer}.{self._calls}'
        idempotent = kind.method == 'GET'
        repeated = not idempotent and self._rng.random() < load.repeat_share
        first = self._call(load, kind, customer, token)
        if repeated:
            await asyncio.gather(
                first, self._call(load, kind, customer, token)
            )
            return
        record = await first
        if not idempotent and load.repeat_share and record.verdict == LOST:
            await self._call(load, kind, customer, token)

    async def _call(
        self, load: Workload, kind: Kind, customer: str, token: str
    ) -> CallRecord:
        loop = asyncio.get_running_loop()
        self._calls += 1
        call = str(self._calls)
        idempotent = kind.method == 'GET'
        target = f'/{load.service.name}/{kind.name}?token={token}&call={call}'
        instance_id = self._rng.choice(self._fleet.balancer_targets or [''])
        sent = loop.time()
        await asyncio.sleep(CALLER_LATENCY_S)
        request = Request(
            customer=customer,
            service=load.service.name,
            content=RequestContent(kind.method, target, (), b''),
            deadline=loop.time() + DEADLINE_MS / 1000,
            key_digest=None if idempotent else _digest(token),
        )
        patience = None
        if load.abandon_share and self._rng.random() < load.abandon_share:
            patience = self._rng.uniform(0.0, MAX_PATIENCE_S)
        result = None
        try:
            async with asyncio.timeout(patience):
                result = await self._fleet.dispatch(
                    instance_id=instance_id, request=request
                )
        except TimeoutError:
            # The caller has disconnected and knows nothing.
            pass
        await asyncio.sleep(CALLER_LATENCY_S)
        verdict, code, status, own = _read(result, target)
        record = CallRecord(
            token,
            call,
            instance_id,
            customer,
            load.service.name,
            kind.name,
            idempotent,
            sent,
            loop.time(),
            verdict,
            code,
            status,
            own,
        )
        self._records.append(record)
        return record


def _digest(token: str) -> bytes:
    return hashlib.sha256(token.encode()).digest()[:16]


def _read(
    result: Result[BackendResponse, Refusal] | None, target: str
) -> tuple[str, str, int, bool]:
    """Verdict, code, status and whether the answer is to this call."""
    if result is None:
        return LOST, '', 0, True
    if result.is_error():
        refusal = result.error
        return refusal.verdict.value, refusal.code.value, 0, True
    answer = result.ok
    own = answer.status >= 500 or answer.body.decode().split()[2:] == [target]
    return RAN, '', answer.status, own
