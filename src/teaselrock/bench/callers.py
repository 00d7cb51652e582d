"""Simulated callers, which send requests and record the results.

Requests are sent as an open loop: at random times with a set mean rate, and
without waiting for responses. `invariant_checks` reads the records.
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

# Callers that abandon a call disconnect at a random time within this.
MAX_ABANDON_S: Final = 0.1
LOST: Final = 'connection-lost'
RAN: Final = 'ran'


class CallRecord(NamedTuple):
    """One call as its caller saw it; times in loop seconds.

    `verdict` is the one that the gateway stated, or `LOST` if the connection
    broke. `is_own_response` is False if the response belongs to another call.
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
    """Requests to one service: `rate` per second until `until` (loop time).

    `repeat_share` of the non-idempotent requests are sent twice at once with
    the same key; if it is above 0, a lost request is sent again too. Each
    call goes to a random instance. `abandon_share` of the callers disconnect
    before the response.
    """

    service: Service
    rate: float
    until: float
    customers: tuple[str, ...]
    repeat_share: float = 0.0
    abandon_share: float = 0.0


class Callers:
    """Sends the workloads of all callers to a fleet."""

    def __init__(self, *, fleet: Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self._records: list[CallRecord] = []
        self._call_count = 0
        self._running: set[asyncio.Task[None]] = set()

    @property
    def records(self) -> Sequence[CallRecord]:
        """Records of all ended calls."""
        return self._records

    async def run(self, workloads: Sequence[Workload]) -> None:
        """Send all workloads and wait until the last call has ended."""
        await asyncio.gather(
            *(self._send_workload(workload) for workload in workloads)
        )
        while self._running:
            await asyncio.wait(self._running)

    async def _send_workload(self, workload: Workload) -> None:
        loop = asyncio.get_running_loop()
        kinds = workload.service.kinds
        shares = [kind.share for kind in kinds]
        due_at = loop.time()
        while True:
            due_at += self._rng.expovariate(workload.rate)
            if due_at >= workload.until:
                return
            await asyncio.sleep(due_at - loop.time())
            kind = self._rng.choices(kinds, shares)[0]
            customer = self._rng.choice(workload.customers)
            task = asyncio.create_task(
                self._send_request(workload, kind, customer)
            )
            self._running.add(task)
            task.add_done_callback(self._running.discard)

    async def _send_request(
        self, workload: Workload, kind: Kind, customer: str
    ) -> None:
        self._call_count += 1
        token = f'{customer}.{self._call_count}'
        idempotent = kind.method == 'GET'
        is_repeated = (
            not idempotent and self._rng.random() < workload.repeat_share
        )
        first = self._call(workload, kind, customer, token)
        if is_repeated:
            await asyncio.gather(
                first, self._call(workload, kind, customer, token)
            )
            return
        record = await first
        if not idempotent and workload.repeat_share and record.verdict == LOST:
            await self._call(workload, kind, customer, token)

    async def _call(
        self, workload: Workload, kind: Kind, customer: str, token: str
    ) -> CallRecord:
        loop = asyncio.get_running_loop()
        self._call_count += 1
        call = str(self._call_count)
        idempotent = kind.method == 'GET'
        target = (
            f'/{workload.service.name}/{kind.name}?token={token}&call={call}'
        )
        instance_id = self._rng.choice(self._fleet.balancer_targets or [''])
        sent = loop.time()
        await asyncio.sleep(CALLER_LATENCY_S)
        request = Request(
            customer=customer,
            service=workload.service.name,
            content=RequestContent(kind.method, target, (), b''),
            deadline=loop.time() + DEADLINE_MS / 1000,
            key_digest=None if idempotent else _digest(token),
        )
        abandon_after_s = None
        if (
            workload.abandon_share
            and self._rng.random() < workload.abandon_share
        ):
            abandon_after_s = self._rng.uniform(0.0, MAX_ABANDON_S)
        result = None
        try:
            async with asyncio.timeout(abandon_after_s):
                result = await self._fleet.dispatch(
                    instance_id=instance_id, request=request
                )
        except TimeoutError:
            # The caller disconnected, so the call is recorded as lost.
            pass
        await asyncio.sleep(CALLER_LATENCY_S)
        verdict, code, status, is_own = _read_result(result, target)
        record = CallRecord(
            token,
            call,
            instance_id,
            customer,
            workload.service.name,
            kind.name,
            idempotent,
            sent,
            loop.time(),
            verdict,
            code,
            status,
            is_own,
        )
        self._records.append(record)
        return record


def _digest(token: str) -> bytes:
    return hashlib.sha256(token.encode()).digest()[:16]


def _read_result(
    result: Result[BackendResponse, Refusal] | None, target: str
) -> tuple[str, str, int, bool]:
    """Verdict, code, status and whether the response is to this call."""
    if result is None:
        return LOST, '', 0, True
    if result.is_error():
        refusal = result.error
        return refusal.verdict.value, refusal.code.value, 0, True
    response = result.ok
    is_own = response.status >= 500 or response.body.decode().split()[2:] == [
        target
    ]
    return RAN, '', response.status, is_own
