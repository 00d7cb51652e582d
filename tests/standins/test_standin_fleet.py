"""The stand-in fleet: killed, restarted, paused and stopped instances."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random

from teaselrock.bench.deployments import LIFFEYLINE
from teaselrock.bench.deployments import make_fleet_plan
from teaselrock.standins.clock import run_paused
from teaselrock.standins.fleet import BALANCER_LAG_S
from teaselrock.standins.fleet import Fleet
from teaselrock.state import Request
from teaselrock.state import RequestContent

SEED = 5


def _request(token: str) -> Request:
    return Request(
        customer='open-1',
        service='compile',
        content=RequestContent(
            'POST', f'/compile/build?token={token}', (), b''
        ),
        deadline=asyncio.get_running_loop().time() + 5.0,
        key_digest=token.encode(),
    )


def _with_fleet(body: Callable[[Fleet], Awaitable[None]]) -> None:
    async def main() -> None:
        fleet_plan = make_fleet_plan(
            deployment=LIFFEYLINE, rng=random.Random(SEED)
        )
        fleet = Fleet(plan=fleet_plan, rng=random.Random(SEED))
        await fleet.start()
        await body(fleet)

    run_paused(main())


async def _wait_until_running(fleet: Fleet, token: str) -> None:
    """Wait until a server runs the request."""
    while not any(
        run.token == token
        for model in fleet.plan.models.values()
        for run in model.runs
    ):
        await asyncio.sleep(0.001)


def test_killed_instance_sends_nothing_more() -> None:
    """Guards against a killed instance that still completes its requests.

    A real process that is killed sends nothing more; its callers get no
    response, and the balancer drops it after a delay.
    """

    async def body(fleet: Fleet) -> None:
        call = asyncio.create_task(
            fleet.dispatch(instance_id='gw-0', request=_request('a'))
        )
        await _wait_until_running(fleet, 'a')
        fleet.kill('gw-0')
        assert await call is None
        lost = await fleet.dispatch(instance_id='gw-0', request=_request('b'))
        assert lost is None
        await asyncio.sleep(BALANCER_LAG_S)
        assert 'gw-0' not in fleet.balancer_targets
        runs = [
            run for model in fleet.plan.models.values() for run in model.runs
        ]
        assert [(run.token, run.is_complete) for run in runs] == [('a', False)]
        await fleet.start_instance('gw-0')
        while not fleet.live['gw-0'].directory.is_ready:
            await asyncio.sleep(0.01)
        again = await fleet.dispatch(instance_id='gw-0', request=_request('c'))
        assert again is not None
        assert again.is_ok()
        await asyncio.sleep(BALANCER_LAG_S)
        assert 'gw-0' in fleet.balancer_targets

    _with_fleet(body)


def test_paused_instance_is_silent_until_resumed() -> None:
    """Guards against a pause that lets requests or responses through."""

    async def body(fleet: Fleet) -> None:
        early = asyncio.create_task(
            fleet.dispatch(instance_id='gw-0', request=_request('a'))
        )
        await _wait_until_running(fleet, 'a')
        fleet.pause('gw-0')
        late = asyncio.create_task(
            fleet.dispatch(instance_id='gw-0', request=_request('b'))
        )
        await asyncio.sleep(3.0)
        assert not early.done()
        assert not late.done()
        runs = [
            run for model in fleet.plan.models.values() for run in model.runs
        ]
        assert [run.token for run in runs] == ['a']
        fleet.resume('gw-0')
        results = await asyncio.gather(early, late)
        assert all(result is not None for result in results)

    _with_fleet(body)


def test_stopped_instance_finishes_its_requests() -> None:
    """Guards against a planned stop that interrupts a request."""

    async def body(fleet: Fleet) -> None:
        call = asyncio.create_task(
            fleet.dispatch(instance_id='gw-0', request=_request('a'))
        )
        await asyncio.sleep(0.02)
        await fleet.stop_instance('gw-0')
        result = await call
        assert result is not None
        assert result.is_ok()

    _with_fleet(body)
