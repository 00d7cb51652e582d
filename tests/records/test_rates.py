"""Rates of plans, which no takeover or partition may exceed."""

import asyncio

import pytest
from records_fleet import Fleet
from records_fleet import request

from teaselrock.coordination.allowances import PlanAllowances
from teaselrock.coordination.allowances.rate_owner import owner_of
from teaselrock.coordination.allowances.rate_owner import RateOwner
from teaselrock.standins.clock import run_paused
from teaselrock.state import RefusalCode

KEY = ('shannon-press', 'desk')


def start_fleet(rate, **kwargs):
    fleet = Fleet(allow={'rate_per_second': rate}, **kwargs)
    for node in fleet.nodes:
        node.part = PlanAllowances(**node.common_arguments(fleet))
        node.part.start()
    return fleet


async def send_load(node, accepted_at, refused):
    """Charge much faster than the rate; keep accept times and refusals."""
    while True:
        charged = await node.part.charge(request=request(timeout_s=1))
        if charged.is_ok():
            accepted_at.append(asyncio.get_running_loop().time())
        else:
            refused.append(charged.error)
            await asyncio.sleep(0.05)


def assert_rate_is_bounded(accepted_at, rate):
    """In any time span the burst is at most one second of the rate."""
    accepted_at = sorted(accepted_at)
    step = max(1, len(accepted_at) // 300)
    for first in range(0, len(accepted_at), step):
        for last in range(first, len(accepted_at), step):
            span_s = accepted_at[last] - accepted_at[first]
            assert last - first + 1 <= rate * (span_s + 1) + 1


def owner_node(fleet, node):
    owner = owner_of(
        customer={'plan': 'basic', 'key_sha256': []},
        key=KEY,
        members=node.view.live,
    )
    return next(peer for peer in fleet.nodes if peer.own.instance_id == owner)


def cut_links(fleet, sides):
    for left in sides[0]:
        for right in sides[1]:
            fleet.network.cut(left.own.instance_id, right.own.instance_id)


def set_views(nodes):
    for node in nodes:
        node.view.set_live([other.own for other in nodes])


@pytest.mark.parametrize('rate', [2.0, 100.0])
@pytest.mark.parametrize('seed', range(2))
@pytest.mark.parametrize(
    'fault', ['none', 'owner-dies', 'partition', 'heal', 'loss', 'paused']
)
def test_rate_is_never_exceeded(fault, seed, rate):
    """Guards against two owners that lend the same units of a rate.

    Views of the members change at different times, and a paused owner
    resumes after another one has taken over.
    """

    async def main():
        fleet = start_fleet(rate, count=6, seed=seed)
        accepted_at, refused = [], []
        tasks = {
            node: asyncio.create_task(send_load(node, accepted_at, refused))
            for node in fleet.nodes
        }
        if fault == 'loss':
            fleet.network.set_loss(0.2)
        await asyncio.sleep(8)
        owner = owner_node(fleet, fleet.nodes[0])
        others = [node for node in fleet.nodes if node is not owner]
        accepted_before = len(accepted_at)
        assert accepted_before > rate
        if fault == 'owner-dies':
            tasks[owner].cancel()
            fleet.kill(owner, is_detected=False)
            await asyncio.sleep(1.3)
            fleet.remove_from_views(owner, others)
        if fault in ('partition', 'heal'):
            sides = ([owner, *others[:2]], others[2:])
            cut_links(fleet, sides)
            await asyncio.sleep(1.3)
            # The sides detect the cut at different times.
            set_views(sides[1])
            await asyncio.sleep(0.9)
            set_views(sides[0])
        if fault == 'heal':
            await asyncio.sleep(8)
            fleet.network.restore_all_links()
            set_views(fleet.nodes)
        if fault == 'paused':
            fleet.network.pause(owner.own.instance_id)
            await asyncio.sleep(1.3)
            fleet.remove_from_views(owner, others)
            await asyncio.sleep(0.9)
            set_views([owner])
            await asyncio.sleep(6)
            fleet.network.resume(owner.own.instance_id)
            await asyncio.sleep(0.5)
            set_views(fleet.nodes)
        await asyncio.sleep(12)
        assert_rate_is_bounded(accepted_at, rate)
        # Lending has resumed.
        assert accepted_at[-1] > asyncio.get_running_loop().time() - 3
        assert {refusal.code for refusal in refused} == {
            RefusalCode.RATE_EXCEEDED
        }

    run_paused(main())


def test_paused_owner_lends_nothing_at_first():
    """Guards against an owner that lends after others took over.

    It gets the new member view only some time after its pause has ended.
    """

    async def main():
        fleet = Fleet(count=1)
        owner = RateOwner(view=fleet.nodes[0].view)

        def lend():
            return owner.lend(
                borrower='gw-0',
                number=1,
                key=KEY,
                customer={'plan': 'basic', 'key_sha256': []},
                demand=10.0,
                rate=10.0,
            )

        async def run(seconds):
            for _ in range(int(seconds * 4)):
                lend()
                await asyncio.sleep(0.25)

        assert not lend()
        await run(4)
        assert lend()
        await asyncio.sleep(5)
        assert not lend()
        await run(2)
        assert not lend()
        await run(2)
        assert lend()

    run_paused(main())


def test_full_rate_is_usable():
    """Guards against units of a rate that idle instances keep."""

    async def main():
        fleet = start_fleet(100.0, count=6)
        accepted_at = []
        for node in fleet.nodes[:2]:
            asyncio.create_task(send_load(node, accepted_at, []))
        await asyncio.sleep(10)
        accepted_at.clear()
        await asyncio.sleep(10)
        assert len(accepted_at) > 850

    run_paused(main())


def test_home_regions():
    """Guards against rate messages outside the home regions."""

    async def main():
        fleet = start_fleet(50.0, count=6, home_regions=['west'])
        node = fleet.nodes[1]
        charged = await node.part.charge(
            request=request(customer='corrib-books')
        )
        assert charged.is_ok()
        west = {
            member.instance_id
            for member in fleet.members
            if member.zone.region == 'west'
        }
        assert {to for to, _ in node.peers.sent} <= west

    run_paused(main())
