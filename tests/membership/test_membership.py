"""Failure detection, roster and isolation over in-process links."""

import asyncio

import pytest

from teaselrock.bench.control_fleet import ControlFleet
from teaselrock.coordination.membership import MemberState
from teaselrock.coordination.membership.detector import ACK_TIMEOUT_S
from teaselrock.coordination.membership.detector import PING_INTERVAL_S
from teaselrock.coordination.membership.detector import SUSPICION_MAX_S
from teaselrock.standins.clock import run_paused

# A missed ping, an indirect one, and the longest suspicion.
DETECTION_S = 2 * PING_INTERVAL_S + 2 * ACK_TIMEOUT_S + SUSPICION_MAX_S
SPREAD_S = 1.0
HEAL_S = 10.0


def _live(fleet: ControlFleet, name: str) -> set[str]:
    view = fleet.nodes[name].membership
    return {peer.instance_id for peer in view.live}


def _roster(fleet: ControlFleet, name: str) -> set[str]:
    view = fleet.nodes[name].membership
    return {peer.instance_id for peer in view.roster}


def _all_see(fleet: ControlFleet, names: set[str]) -> bool:
    return all(_live(fleet, name) == names for name in fleet.nodes)


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('size', (5, 15))
def test_death_is_detected(size: int, seed: int) -> None:
    """Guards against a dead instance that keeps its roles for long."""

    async def scenario() -> None:
        fleet = ControlFleet(seed=seed, loss=0.01)
        await fleet.start_all(size, document=False)
        await asyncio.sleep(1 + 0.07 * seed)
        await fleet.kill('gw-3')
        await fleet.wait_until(
            lambda: any('gw-3' not in _live(fleet, n) for n in fleet.nodes),
            limit=DETECTION_S,
        )
        await fleet.wait_until(
            lambda: _all_see(fleet, set(fleet.nodes)), limit=SPREAD_S
        )

    run_paused(scenario())


@pytest.mark.parametrize('seed', range(2))
def test_loss_and_a_cut_pair_fail_nobody(seed: int) -> None:
    """Guards against live members declared failed for lost messages."""

    async def scenario() -> None:
        fleet = ControlFleet(seed=seed, loss=0.01)
        await fleet.start_all(15, document=False)
        fleet.network.cut('gw-2', 'gw-9')
        for _ in range(60):
            await asyncio.sleep(0.5)
            assert _all_see(fleet, set(fleet.nodes))

    run_paused(scenario())


def test_paused_instance_returns() -> None:
    """Guards against an instance that stays failed after a pause."""

    async def scenario() -> None:
        fleet = ControlFleet(seed=5)
        await fleet.start_all(8, document=False)
        others = set(fleet.nodes) - {'gw-3'}
        fleet.network.pause('gw-3')
        fleet.cut_groups(['gw-3'], sorted(others))
        await asyncio.sleep(4)
        assert all(_live(fleet, name) == others for name in others)
        assert all('gw-3' in _roster(fleet, name) for name in others)
        fleet.network.heal_all()
        fleet.network.resume('gw-3')
        await fleet.wait_until(
            lambda: _all_see(fleet, set(fleet.nodes)), limit=HEAL_S
        )

    run_paused(scenario())


def test_region_cut_and_heal() -> None:
    """Guards against units of a cut region being lent on both sides.

    Neither side may remove the other from the roster, since each has no
    majority of the other's regions; after the cut ends all are live again.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=6)
        await fleet.start_all(15, document=False)
        cut = fleet.in_region('west')
        rest = [name for name in fleet.nodes if name not in cut]
        fleet.cut_groups(cut, rest)
        await asyncio.sleep(20)
        for side in (cut, rest):
            for name in side:
                assert _live(fleet, name) == set(side)
                assert _roster(fleet, name) == set(fleet.nodes)
        fleet.network.heal_all()
        await fleet.wait_until(
            lambda: _all_see(fleet, set(fleet.nodes)), limit=HEAL_S
        )

    run_paused(scenario())


@pytest.mark.parametrize('by_list', (True, False))
def test_failed_member_is_confirmed_gone(by_list: bool) -> None:
    """Guards against removal from the roster without a confirmation."""

    async def scenario() -> None:
        fleet = ControlFleet(seed=7)
        await fleet.start_all(15, document=False)
        fleet.platform.is_down = not by_list
        await asyncio.sleep(6)
        await fleet.kill('gw-3')
        await asyncio.sleep(5)
        assert all('gw-3' in _roster(fleet, n) for n in fleet.nodes)
        if by_list:
            fleet.platform.gateways.discard('gw-3')
        await fleet.wait_until(
            lambda: all('gw-3' not in _roster(fleet, n) for n in fleet.nodes),
            limit=6 if by_list else 13,
        )
        await asyncio.sleep(1)
        assert 'members/gw-3' not in fleet.store.values

    run_paused(scenario())


def test_minority_of_a_region_keeps_the_roster() -> None:
    """Guards against two sides of a partition that both take all units."""

    async def scenario() -> None:
        fleet = ControlFleet(seed=8)
        await fleet.start_all(15, document=False)
        east = fleet.in_region('east')
        minority = east[:2]
        rest = [name for name in fleet.nodes if name not in minority]
        fleet.cut_groups(minority, rest)
        await asyncio.sleep(20)
        for name in minority:
            assert _roster(fleet, name) >= set(east)
        for name in rest:
            assert _roster(fleet, name) == set(rest)
        fleet.network.heal_all()
        await fleet.wait_until(
            lambda: _all_see(fleet, set(fleet.nodes)), limit=HEAL_S
        )

    run_paused(scenario())


def test_graceful_leave() -> None:
    """Guards against a planned stop that looks like a failure."""

    async def scenario() -> None:
        fleet = ControlFleet(seed=9)
        await fleet.start_all(8, document=False)
        node = fleet.nodes.pop('gw-3')
        node.begin_stop()
        await asyncio.sleep(1)
        states = {
            member.record.state
            for other in fleet.nodes.values()
            for member in other.membership.members
            if member.record.instance.instance_id == 'gw-3'
        }
        assert states == {MemberState.LEAVING}
        await node.leave()
        await fleet.wait_until(
            lambda: all(
                'gw-3' not in _roster(fleet, name) for name in fleet.nodes
            ),
            limit=2.0,
        )
        assert 'members/gw-3' not in fleet.store.values

    run_paused(scenario())


def test_isolated_instance_is_not_ready() -> None:
    """Guards against new work at an instance that is cut off alone."""

    async def scenario() -> None:
        fleet = ControlFleet(seed=10)
        await fleet.start_all(6)
        node = fleet.nodes['gw-3']
        others = [name for name in fleet.nodes if name != 'gw-3']
        fleet.cut_groups(['gw-3'], others)
        # The store still answers, so it goes on.
        await asyncio.sleep(5)
        assert node.directory.is_ready
        fleet.clients['gw-3'].is_cut = True
        await fleet.wait_until(lambda: not node.directory.is_ready, limit=5.0)
        assert all(fleet.nodes[name].directory.is_ready for name in others)
        fleet.network.heal_all()
        await fleet.wait_until(lambda: node.directory.is_ready, limit=HEAL_S)

    run_paused(scenario())


def test_restart_joins_through_the_store() -> None:
    """Guards against an instance that only finds dead seeds.

    The restarted instance has its old id, which the others hold as failed.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=11)
        await fleet.start_all(6)
        await asyncio.sleep(1)
        await fleet.kill('gw-3')
        await asyncio.sleep(4)
        fleet.start_instance(3, seeds=(40, 41))
        await fleet.wait_until(
            lambda: _all_see(fleet, set(fleet.nodes)), limit=HEAL_S
        )

    run_paused(scenario())
