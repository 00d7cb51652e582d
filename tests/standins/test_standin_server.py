"""The stand-in backend server and its in-process connections."""

import asyncio
from collections.abc import Callable
import random
from typing import NamedTuple

import pytest

from teaselrock.coordination.ports import BackendConnection
from teaselrock.standins.behaviour import NOISE_FACTOR
from teaselrock.standins.behaviour import NOISE_MEAN_S
from teaselrock.standins.behaviour import NoisyNeighbour
from teaselrock.standins.behaviour import QUIET_MEAN_S
from teaselrock.standins.behaviour import ServerFaults
from teaselrock.standins.behaviour import ServiceTimes
from teaselrock.standins.clock import run_paused
from teaselrock.standins.connector import MemoryConnector
from teaselrock.standins.server import MAX_CONNECTIONS
from teaselrock.standins.server import Overload
from teaselrock.standins.server import ServerModel
from teaselrock.standins.server import Shed
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer
from teaselrock.state import FailureKind
from teaselrock.state import RequestContent
from teaselrock.state import Verdict

SEED = 7
ZONE = AvailabilityZone('east', 'a')
SERVER = BackendServer('s', 'desk', ZONE, 's:1', 2)
BUILD = RequestContent('POST', '/desk/build?token=t1', (), b'')


def _model(
    overload: Overload = Overload.SHED, is_cold: bool = False
) -> ServerModel:
    return ServerModel(
        server_id='s',
        start_id='start',
        concurrency=2,
        zone=ZONE,
        overload=overload,
        is_cold=is_cold,
    )


async def _connect(model: ServerModel) -> BackendConnection:
    connector = MemoryConnector(zone=ZONE, models={'s': model})
    opened = await connector.connect(server=SERVER, deadline=9.0)
    return opened.ok


class ExchangeCase(NamedTuple):
    """A fault, the failure of the exchange, and what the server ran."""

    name: str
    apply: Callable[[ServerModel], None]
    kind: FailureKind
    verdict: Verdict
    runs: int
    completed: int = 0


def _set(faults: ServerFaults) -> Callable[[ServerModel], None]:
    return lambda model: setattr(model, 'faults', faults)


def _restart_later(model: ServerModel) -> None:
    asyncio.get_running_loop().call_later(0.003, model.restart)


CASES = (
    ExchangeCase(
        'drain',
        ServerModel.drain,
        FailureKind.DRAINING,
        Verdict.DID_NOT_RUN,
        0,
    ),
    ExchangeCase(
        'restart before the send',
        ServerModel.restart,
        FailureKind.NO_RESPONSE,
        Verdict.DID_NOT_RUN,
        0,
    ),
    ExchangeCase(
        'restart in flight',
        _restart_later,
        FailureKind.NO_RESPONSE,
        Verdict.MAY_HAVE_RUN,
        1,
    ),
    ExchangeCase(
        'reset',
        _set(ServerFaults(reset_share=1.0)),
        FailureKind.NO_RESPONSE,
        Verdict.MAY_HAVE_RUN,
        1,
    ),
    ExchangeCase(
        'short body',
        _set(ServerFaults(short_body_share=1.0)),
        FailureKind.INVALID_RESPONSE,
        Verdict.MAY_HAVE_RUN,
        1,
        1,
    ),
    ExchangeCase(
        'straggler past the deadline',
        _set(ServerFaults(slow_factor=1000.0)),
        FailureKind.TIMEOUT,
        Verdict.MAY_HAVE_RUN,
        1,
    ),
)


@pytest.mark.parametrize('case', CASES, ids=[case.name for case in CASES])
def test_exchange_fault(case: ExchangeCase) -> None:
    """Guards against a verdict that differs from what the server ran."""

    async def check() -> None:
        model = _model()
        connection = await _connect(model)
        case.apply(model)
        result = await connection.exchange(content=BUILD, deadline=1.0)
        assert result.error.kind is case.kind
        assert result.error.verdict is case.verdict
        assert connection.is_open == (case.kind is FailureKind.DRAINING)
        await asyncio.sleep(2.0)
        assert [run.token for run in model.runs] == ['t1'] * case.runs
        assert model.served == case.completed
        assert model.load.in_flight == 0

    run_paused(check())


def test_cancelled_caller_cancels_the_work() -> None:
    """Guards against work that continues after its caller has left."""

    async def check() -> None:
        model = _model()
        connection = await _connect(model)
        call = asyncio.create_task(
            connection.exchange(content=BUILD, deadline=9.0)
        )
        await asyncio.sleep(0.002)
        call.cancel()
        await asyncio.sleep(0.1)
        assert not connection.is_open
        assert [run.is_complete for run in model.runs] == [False]

    run_paused(check())


def test_connections_are_limited_and_refused() -> None:
    """Guards against gateways that hold more connections than allowed."""

    async def check() -> None:
        model = _model()
        connector = MemoryConnector(zone=ZONE, models={'s': model})
        held = [await _connect(model) for _ in range(MAX_CONNECTIONS)]
        opened = await connector.connect(server=SERVER, deadline=9.0)
        assert opened.error.verdict is Verdict.DID_NOT_RUN
        held.pop().close()
        again = await connector.connect(server=SERVER, deadline=9.0)
        assert again.is_ok()
        model.faults = ServerFaults(refuses_connections=True)
        again.ok.close()
        refused = await connector.connect(server=SERVER, deadline=9.0)
        assert refused.error.kind is FailureKind.CONNECT

    run_paused(check())


class LoadCase(NamedTuple):
    """Simultaneous requests and what a server of concurrency 2 does."""

    name: str
    overload: Overload
    is_cold: bool
    requests: int
    shed: int
    excess_warm: int
    excess_cold: int
    seconds: float


LOADS = (
    LoadCase('within', Overload.SHED, False, 2, 0, 0, 0, 0.005),
    LoadCase('shed', Overload.SHED, False, 3, 1, 1, 0, 0.005),
    LoadCase('queue', Overload.QUEUE, False, 4, 0, 2, 0, 0.010),
    LoadCase('queue full', Overload.QUEUE, False, 5, 1, 3, 0, 0.010),
    LoadCase('cold', Overload.SHED, True, 1, 0, 0, 0, 0.005),
    LoadCase('cold collapse', Overload.SHED, True, 2, 0, 0, 1, 0.050),
)


@pytest.mark.parametrize('case', LOADS, ids=[case.name for case in LOADS])
def test_load(case: LoadCase) -> None:
    """Guards against excess load that is not counted or has no effect."""

    async def check() -> None:
        model = _model(case.overload, case.is_cold)
        await asyncio.gather(
            *(model.serve(content=BUILD) for _ in range(case.requests))
        )
        now = asyncio.get_running_loop().time()
        assert now == pytest.approx(case.seconds)
        assert (model.shed, model.excess_warm, model.excess_cold) == (
            case.shed,
            case.excess_warm,
            case.excess_cold,
        )

    run_paused(check())


def test_cold_server_warms_with_successes() -> None:
    """Guards against a cold server whose capacity grows without requests."""

    async def check() -> None:
        model = _model()
        model.turn_cold()
        assert (model.start_id, model.capacity) == ('start', 1)
        await asyncio.sleep(60.0)
        assert model.capacity == 1
        for _ in range(5):
            await model.serve(content=BUILD)
        assert model.capacity == 2
        model.restart()
        assert model.start_id != 'start'
        assert model.capacity == 1

    run_paused(check())


def test_load_reports_can_be_late_or_false() -> None:
    """Guards against experiments whose load reports are always correct."""

    async def check() -> None:
        model = _model()
        model.faults = ServerFaults(report_age_s=1.0)
        assert model.load.in_flight == 0
        work = asyncio.create_task(model.serve(content=BUILD))
        await asyncio.sleep(0.001)
        assert model.load.in_flight == 0
        model.faults = ServerFaults(false_in_flight=7, false_capacity=9)
        assert (model.load.in_flight, model.load.capacity) == (7, 9)
        model.faults = ServerFaults()
        assert model.load.in_flight == 1
        model.faults = ServerFaults(is_failing=True)
        failed = await model.serve(content=BUILD)
        assert not isinstance(failed, Shed)
        assert failed.status == 500
        await work

    run_paused(check())


def test_service_times_and_noise_are_seeded() -> None:
    """Guards against service times that differ from the stated means.

    Equal seeds must give equal times.
    """
    draws = [
        ServiceTimes(
            rng=random.Random(SEED), means={'build': 0.2}, sigma=0.5
        ).draw('build')
        for _ in range(2)
    ]
    assert draws[0] == draws[1]
    times = ServiceTimes(
        rng=random.Random(SEED), means={'build': 0.2}, sigma=0.5
    )
    mean = sum(times.draw('build') for _ in range(5000)) / 5000
    assert mean == pytest.approx(0.2, rel=0.05)
    noise = NoisyNeighbour(rng=random.Random(SEED))
    factors = [noise.factor(0.1 * step) for step in range(20_000)]
    share = factors.count(NOISE_FACTOR) / len(factors)
    assert set(factors) == {1.0, NOISE_FACTOR}
    assert share == pytest.approx(
        NOISE_MEAN_S / (NOISE_MEAN_S + QUIET_MEAN_S), rel=0.2
    )
