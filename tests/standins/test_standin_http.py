"""A stand-in server over HTTP, reached with a gateway's own connections."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import pytest

from teaselrock.standins.backend import serve_http
from teaselrock.standins.behaviour import ServerFaults
from teaselrock.standins.server import ServerModel
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer
from teaselrock.state import FailureKind
from teaselrock.state import RequestContent
from teaselrock.state import Verdict
from teaselrock.transport.backend import HttpConnector

ZONE = AvailabilityZone('east', 'a')
BUILD = RequestContent('POST', '/desk/build?token=t1', (), b'')


class Case(NamedTuple):
    """Faults of a server and the failure that a gateway must see."""

    name: str
    faults: ServerFaults
    kind: FailureKind
    verdict: Verdict
    drains: bool = False
    restarts: bool = False


CASES = (
    Case(
        'reset',
        ServerFaults(reset_share=1.0),
        FailureKind.NO_RESPONSE,
        Verdict.MAY_HAVE_RUN,
    ),
    Case(
        'short body',
        ServerFaults(short_body_share=1.0),
        FailureKind.INVALID_RESPONSE,
        Verdict.MAY_HAVE_RUN,
    ),
    Case(
        'restart in flight',
        ServerFaults(slow_factor=1000.0),
        FailureKind.NO_RESPONSE,
        Verdict.MAY_HAVE_RUN,
        restarts=True,
    ),
    Case(
        'drain',
        ServerFaults(),
        FailureKind.DRAINING,
        Verdict.DID_NOT_RUN,
        drains=True,
    ),
)


async def _exchange(case: Case, port: int) -> None:
    model = ServerModel(server_id='s', start_id='start', concurrency=2)
    runner = await serve_http(model=model, host='127.0.0.1', port=port)
    server = BackendServer('s', 'desk', ZONE, f'127.0.0.1:{port}', 2)
    deadline = asyncio.get_running_loop().time() + 30.0
    try:
        opened = await HttpConnector().connect(
            server=server, deadline=deadline
        )
        model.faults = case.faults
        if case.drains:
            model.drain()
        call = asyncio.create_task(
            opened.ok.exchange(content=BUILD, deadline=deadline)
        )
        while case.restarts and not model.runs:
            await asyncio.sleep(0.01)
        if case.restarts:
            model.restart()
        failure = (await call).error
        assert (failure.kind, failure.verdict) == (case.kind, case.verdict)
        opened.ok.close()
    finally:
        await runner.cleanup()


@pytest.mark.parametrize('case', CASES, ids=[case.name for case in CASES])
def test_fault_over_http(case: Case, free_port: Callable[[], int]) -> None:
    """Guards against faults that differ over HTTP from those in process."""
    asyncio.run(_exchange(case, free_port()))
