"""Backend servers with scripted responses behind one `AttemptRunner`."""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination.attempt_results import CombinedVerdict
from teaselrock.coordination.attempts import AttemptRunner
from teaselrock.coordination.connections import ConnectionPool
from teaselrock.coordination.ports import BackendConnection
from teaselrock.coordination.ports import Permission
from teaselrock.coordination.ports import Slot
from teaselrock.state import AttemptOutcome
from teaselrock.state import AttemptReason
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendResponse
from teaselrock.state import BackendServer
from teaselrock.state import ExchangeFailure
from teaselrock.state import FailureKind
from teaselrock.state import LoadReport
from teaselrock.state import Refusal
from teaselrock.state import RefusalCode
from teaselrock.state import Request
from teaselrock.state import RequestContent
from teaselrock.state import ServerState
from teaselrock.state import Verdict
from teaselrock.state.routes import Route
from teaselrock.state.routes import ServiceShare

ZONE = AvailabilityZone('east', 'east-a')
LOAD = LoadReport('s', ServerState.WARM, 0, 6)


def route(
    *, max_attempts: int = 2, is_idempotent: bool = True, timeout: float = 5.0
) -> Route:
    return Route(
        name='r',
        host='a.example',
        prefix='/x/',
        shares=(ServiceShare('desk', 1.0),),
        is_idempotent=is_idempotent,
        timeout=timeout,
        target_latency=0.6,
        priority=1,
        max_attempts=max_attempts,
    )


def request(sent: Route, *, deadline: float) -> Request:
    content = RequestContent('GET', '/x/', (), b'')
    return Request('', 'desk', content, deadline, route=sent)


class Behaviour(NamedTuple):
    """What a server does: it responds `status` after `work_s` seconds.

    A status of 0 means that it does not accept the request. `choice_s` is how
    long the choice of this server takes.
    """

    status: int = 200
    work_s: float = 0.1
    choice_s: float = 0.0


class _Connection:
    def __init__(self, world: 'World', server: BackendServer) -> None:
        self._world = world
        self._server = server
        self.is_open = True
        self.load = LOAD

    async def exchange(
        self, *, content: RequestContent, deadline: float
    ) -> Result[BackendResponse, ExchangeFailure]:
        self._world.sent.append(self._server.server_id)
        behaviour = self._world.behaviours[self._server.server_id]
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.sleep(behaviour.work_s)
        except TimeoutError:
            return Error(
                ExchangeFailure(
                    FailureKind.TIMEOUT, Verdict.MAY_HAVE_RUN, 'timeout'
                )
            )
        if behaviour.status == 0:
            return Error(
                ExchangeFailure(
                    FailureKind.NOT_ACCEPTED, Verdict.DID_NOT_RUN, 'full'
                )
            )
        return Ok(BackendResponse(behaviour.status, (), b''))

    async def check_load(
        self, *, deadline: float
    ) -> Result[LoadReport, ExchangeFailure]:
        return Ok(LOAD)

    def close(self) -> None:
        self.is_open = False


class _Slot:
    def __init__(
        self,
        server: BackendServer,
        connection: _Connection,
        reason: AttemptReason,
    ) -> None:
        self.server = server
        self.connection: BackendConnection | None = connection
        self.reason = reason
        self.start_id = ''
        self.is_valid = True
        self.evidence = ''
        self.releases = 0

    def release(self, *, outcome: AttemptOutcome | None) -> None:
        self.releases += 1


class _Row:
    def __init__(self) -> None:
        self.ends: list[tuple[str, str]] = []

    def add_attempt(
        self,
        *,
        server: BackendServer,
        reason: AttemptReason,
        outcome: AttemptOutcome,
        verdict: Verdict,
        evidence: str,
    ) -> None:
        end = 'ok' if outcome.failure is None else outcome.failure.value
        self.ends.append((server.server_id, end))

    async def finish(
        self, *, verdict: Verdict, units: int, refusal: Refusal | None
    ) -> None:
        raise NotImplementedError


class _Budget:
    def on_first_attempt(self) -> None:
        pass

    def try_spend(self) -> bool:
        return True


class _HedgeAfter:
    def __init__(self, delay_s: float) -> None:
        self._delay_s = delay_s

    def delay(self, *, service: str) -> float | None:
        return self._delay_s

    def observe(self, *, service: str, latency: float) -> None:
        pass


class World:
    """Servers in the order in which they are chosen; also a `SlotSource`."""

    def __init__(
        self,
        behaviours: Mapping[str, Behaviour],
        *,
        hedge_delay_s: float = 0.05,
    ) -> None:
        self.behaviours = behaviours
        self.sent: list[str] = []
        self.slots: list[_Slot] = []
        self.row = _Row()
        self._runner = AttemptRunner(
            slot_source=self,
            connections=ConnectionPool(connector=self),
            budget=_Budget(),
            hedge_policy=_HedgeAfter(hedge_delay_s),
        )

    async def connect(
        self, *, server: BackendServer, deadline: float
    ) -> Result[BackendConnection, ExchangeFailure]:
        raise NotImplementedError

    connect_unchecked = connect

    async def acquire(
        self,
        *,
        request: Request,
        regions: frozenset[str],
        weight: int,
        exclude: frozenset[str],
        reason: AttemptReason | None,
    ) -> Result[Slot, Refusal]:
        # Servers without this request first, as their load is lower.
        used = [slot.server.server_id for slot in self.slots]
        for name in sorted(self.behaviours, key=used.count):
            if name in exclude:
                continue
            await asyncio.sleep(self.behaviours[name].choice_s)
            server = BackendServer(name, 'desk', ZONE, f'{name}:1', 6)
            slot = _Slot(
                server,
                _Connection(self, server),
                reason or AttemptReason.LOCAL,
            )
            self.slots.append(slot)
            return Ok(slot)
        return Error(
            Refusal(
                RefusalCode.NO_BACKEND, Verdict.DID_NOT_RUN, 'no server left'
            )
        )

    async def run(
        self,
        *,
        max_attempts: int,
        is_idempotent: bool = True,
        remaining_s: float = 5.0,
    ) -> Result[BackendResponse, Refusal]:
        now = asyncio.get_running_loop().time()
        sent = route(
            max_attempts=max_attempts,
            is_idempotent=is_idempotent,
            timeout=remaining_s,
        )
        return await self._runner.run(
            request=request(sent, deadline=now + remaining_s),
            permission=Permission(frozenset({'east'}), 1),
            claim=None,
            row=self.row,
            combined=CombinedVerdict(),
        )

    @property
    def servers_sent_to(self) -> Sequence[str]:
        """The servers that received the request, in order, each once."""
        return tuple(dict.fromkeys(self.sent))
