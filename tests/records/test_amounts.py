"""Amounts of plans, which no fault may exceed."""

import asyncio
import random

import pytest
from records_fleet import Fleet
from records_fleet import request
from records_fleet import START_S

from teaselrock.coordination.allowances import PlanAllowances
from teaselrock.standins.clock import run_paused
from teaselrock.state import RefusalCode
from teaselrock.state import Verdict
from teaselrock.state.records import LedgerContent
from teaselrock.state.records import window_at


def start_fleet(*, units=100, window='hour', **kwargs):
    fleet = Fleet(
        allow={'units_per_window': units, 'window': window}, **kwargs
    )
    for node in fleet.nodes:
        node.part = PlanAllowances(**node.common_arguments(fleet))
        node.part.start()
    return fleet


def drawn_units(fleet):
    return [
        fleet.codec.decode(
            data=stored.value, value_type=LedgerContent
        ).ok.drawn
        for key, stored in fleet.store_model.values.items()
        if key.startswith('allowances/')
    ]


async def charge_repeatedly(node, count, rng, spent):
    """Charge one by one and refund a tenth; `spent` gets what was kept."""
    for _ in range(count):
        await asyncio.sleep(rng.random() * 0.2)
        charged = await node.part.charge(request=request(timeout_s=60))
        if charged.is_ok():
            spent.append(1)
            if rng.random() < 0.1:
                charged.ok.refund()
                spent.pop()
    return spent


@pytest.mark.parametrize('seed', range(10))
@pytest.mark.parametrize('fault', ['none', 'lost', 'outage', 'deaths', 'slow'])
def test_amount_is_never_exceeded(fault, seed):
    """Guards against more units spent than the plan allows.

    Instances draw blocks of units from the store; lost responses, an outage,
    slow writes and killed instances must not let them draw too much.
    """

    async def main():
        fleet = start_fleet(count=5, seed=seed, units=150)
        rng = random.Random(seed)
        if fault == 'lost':
            fleet.store_model.lost_response_share = 0.3
        if fault == 'slow':
            fleet.store_model.latency_s = 0.8
        spent = []
        tasks = [
            asyncio.create_task(charge_repeatedly(node, 60, rng, spent))
            for node in fleet.nodes
        ]
        await asyncio.sleep(1.5)
        if fault == 'deaths':
            for task, node in zip(tasks[:2], fleet.nodes[:2], strict=True):
                task.cancel()
                fleet.kill(node)
        if fault == 'outage':
            fleet.store_model.is_down = True
            await asyncio.sleep(5)
            fleet.store_model.is_down = False
        await asyncio.gather(*tasks, return_exceptions=True)
        assert 0 < len(spent) <= max(drawn_units(fleet)) <= 150
        if fault == 'none':
            assert len(spent) == 150

    run_paused(main())


@pytest.mark.parametrize('lost', [0.0, 0.5])
@pytest.mark.parametrize('seed', range(5))
def test_planned_stop_returns_blocks(lost, seed):
    """Guards against a block that a stopping instance returns twice or never.

    It may return a block twice if the response to the first write is lost.
    """

    async def main():
        fleet = start_fleet(count=5, units=1000, seed=seed)
        for node in fleet.nodes:
            assert (await node.part.charge(request=request())).is_ok()
        fleet.store_model.lost_response_share = lost
        await asyncio.gather(*(node.part.stop() for node in fleet.nodes))
        if lost:
            assert drawn_units(fleet)[0] >= 5
        else:
            assert drawn_units(fleet) == [5]

    run_paused(main())


def test_refusals():
    """Guards against refusals without a reason or a time to wait.

    A spent window must not cost a read of the store for each refusal.
    """

    async def main():
        fleet = start_fleet(units=3, count=2)
        for _ in range(3):
            await fleet.nodes[0].part.charge(request=request())
        refused = await fleet.nodes[1].part.charge(request=request())
        assert refused.error.code is RefusalCode.AMOUNT_EXCEEDED
        assert refused.error.verdict is Verdict.DID_NOT_RUN
        assert 3500 < refused.error.retry_after <= 3600
        reads = fleet.store_model.read_calls
        for _ in range(50):
            await fleet.nodes[1].part.charge(request=request())
        assert fleet.store_model.read_calls == reads
        fleet.clock_skew_s = 3600
        fleet.store_model.is_down = True
        refused = await fleet.nodes[1].part.charge(request=request())
        assert refused.error.code is RefusalCode.ALLOWANCE_UNAVAILABLE
        fleet.store_model.is_down = False
        await asyncio.sleep(1)
        again = await fleet.nodes[1].part.charge(request=request())
        assert again.is_ok()

    run_paused(main())


def test_outage_spends_the_drawn_block():
    """Guards against refusals in an outage while a drawn block has units."""

    async def main():
        fleet = start_fleet(units=640, count=1)
        part = fleet.nodes[0].part
        assert (await part.charge(request=request())).is_ok()
        fleet.store_model.is_down = True
        results = [await part.charge(request=request()) for _ in range(10)]
        assert [result.is_ok() for result in results] == [True] * 9 + [False]

    run_paused(main())


def test_unlimited_customer_needs_no_calls():
    """Guards against messages and store calls for unlimited customers."""

    async def main():
        fleet = Fleet()
        node = fleet.nodes[0]
        node.part = PlanAllowances(**node.common_arguments(fleet))
        node.part.start()
        assert (await node.part.charge(request=request())).is_ok()
        assert not node.peers.sent
        assert (
            fleet.store_model.read_calls == fleet.store_model.write_calls == 0
        )

    run_paused(main())


@pytest.mark.parametrize(
    ('kind', 'offset', 'name', 'length'),
    [
        ('minute', 61, '2026-12-04T10:01', 60),
        ('hour', 3599, '2026-12-04T10', 3600),
        ('day', 0, '2026-12-04', 86400),
        ('month', 0, '2026-12', 31 * 86400),
        ('month', 28 * 86400, '2027-01', 31 * 86400),
    ],
)
def test_windows(kind, offset, name, length):
    """Guards against windows that differ from the UTC calendar."""
    window = window_at(kind=kind, now=START_S + offset)
    assert window.name == name
    before = window_at(kind=kind, now=window.end - 1)
    after = window_at(kind=kind, now=window.end)
    assert before == window
    assert after.name > name
    assert window_at(kind=kind, now=window.end - length) == window
