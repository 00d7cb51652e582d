"""Failure detection, roster and isolation over in-process links."""

import asyncio

import pytest

from teaselrock.bench.control_fleet import ControlFleet
from teaselrock.coordination.membership import MemberState
from teaselrock.coordination.membership.detector import ACK_TIMEOUT_S
from teaselrock.coordination.membership.detector import PING_INTERVAL_S
from teaselrock.coordination.membership.detector import SUSPICION_MAX_S
from teaselrock.standins.clock import run_paused

# A missed ping, a missed indirect ping, and the longest suspicion.
DETECTION_LIMIT_S = 2 * PING_INTERVAL_S + 2 * ACK_TIMEOUT_S + SUSPICION_MAX_S
DISSEMINATION_LIMIT_S = 1.0
RECOVERY_LIMIT_S = 10.0


def _live_ids(fleet: ControlFleet, name: str) -> set[str]:
    view = fleet.control_planes[name].membership
    return {peer.instance_id for peer in view.live}


def _roster_ids(fleet: ControlFleet, name: str) -> set[str]:
    view = fleet.control_planes[name].membership
    return {peer.instance_id for peer in view.roster}


def _all_see_live(fleet: ControlFleet, names: set[str]) -> bool:
    return all(
        _live_ids(fleet, name) == names for name in fleet.control_planes
    )


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('size', (5, 15))
def test_crash_is_detected(size: int, seed: int) -> None:
    """Guards against a crashed instance that is considered live for too long.

    One instance must suspect and fail it in time, and the others must get
    the update.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=seed, loss=0.01)
        await fleet.start_all(size, has_document=False)
        await asyncio.sleep(1 + 0.07 * seed)
        await fleet.kill('gw-3')
        await fleet.wait_until(
            lambda: any(
                'gw-3' not in _live_ids(fleet, n) for n in fleet.control_planes
            ),
            limit_s=DETECTION_LIMIT_S,
        )
        await fleet.wait_until(
            lambda: _all_see_live(fleet, set(fleet.control_planes)),
            limit_s=DISSEMINATION_LIMIT_S,
        )

    run_paused(scenario())


@pytest.mark.parametrize('seed', range(2))
def test_lost_messages_cause_no_failure(seed: int) -> None:
    """Guards against live members that are declared failed.

    1% of the messages are lost, and one pair of instances has no link, so
    that only indirect pings arrive.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=seed, loss=0.01)
        await fleet.start_all(15, has_document=False)
        fleet.network.cut('gw-2', 'gw-9')
        for _ in range(60):
            await asyncio.sleep(0.5)
            assert _all_see_live(fleet, set(fleet.control_planes))

    run_paused(scenario())


def test_paused_instance_returns() -> None:
    """Guards against an instance that stays failed after a pause.

    The others declare it failed meanwhile, but keep it in the roster.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=5)
        await fleet.start_all(8, has_document=False)
        others = set(fleet.control_planes) - {'gw-3'}
        fleet.network.pause('gw-3')
        fleet.cut_groups(['gw-3'], sorted(others))
        await asyncio.sleep(4)
        assert all(_live_ids(fleet, name) == others for name in others)
        assert all('gw-3' in _roster_ids(fleet, name) for name in others)
        fleet.network.restore_all_links()
        fleet.network.resume('gw-3')
        await fleet.wait_until(
            lambda: _all_see_live(fleet, set(fleet.control_planes)),
            limit_s=RECOVERY_LIMIT_S,
        )

    run_paused(scenario())


def test_isolated_region_keeps_the_roster() -> None:
    """Guards against units that are lent on both sides of a partition.

    An isolated region and the others must not remove each other from the
    roster, since neither has a majority of the other's regions.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=6)
        await fleet.start_all(15, has_document=False)
        west = fleet.in_region('west')
        others = [name for name in fleet.control_planes if name not in west]
        fleet.cut_groups(west, others)
        await asyncio.sleep(20)
        for side in (west, others):
            for name in side:
                assert _live_ids(fleet, name) == set(side)
                assert _roster_ids(fleet, name) == set(fleet.control_planes)
        fleet.network.restore_all_links()
        await fleet.wait_until(
            lambda: _all_see_live(fleet, set(fleet.control_planes)),
            limit_s=RECOVERY_LIMIT_S,
        )

    run_paused(scenario())


@pytest.mark.parametrize('confirmed_by_list', (True, False))
def test_failed_member_is_removed_when_confirmed(
    confirmed_by_list: bool,
) -> None:
    """Guards against removal from the roster without a confirmation.

    The platform's list confirms it, or a longer wait if the list is down.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=7)
        await fleet.start_all(15, has_document=False)
        fleet.platform.is_down = not confirmed_by_list
        await asyncio.sleep(6)
        await fleet.kill('gw-3')
        await asyncio.sleep(5)
        assert all(
            'gw-3' in _roster_ids(fleet, n) for n in fleet.control_planes
        )
        if confirmed_by_list:
            fleet.platform.gateways.discard('gw-3')
        await fleet.wait_until(
            lambda: all(
                'gw-3' not in _roster_ids(fleet, n)
                for n in fleet.control_planes
            ),
            limit_s=6 if confirmed_by_list else 13,
        )
        await asyncio.sleep(1)
        assert 'members/gw-3' not in fleet.store.values

    run_paused(scenario())


def test_minority_of_a_region_keeps_the_roster() -> None:
    """Guards against a partition in which both sides take over all units.

    The minority of a region must not remove the majority from the roster.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=8)
        await fleet.start_all(15, has_document=False)
        east = fleet.in_region('east')
        minority = east[:2]
        others = [
            name for name in fleet.control_planes if name not in minority
        ]
        fleet.cut_groups(minority, others)
        await asyncio.sleep(20)
        for name in minority:
            assert _roster_ids(fleet, name) >= set(east)
        for name in others:
            assert _roster_ids(fleet, name) == set(others)
        fleet.network.restore_all_links()
        await fleet.wait_until(
            lambda: _all_see_live(fleet, set(fleet.control_planes)),
            limit_s=RECOVERY_LIMIT_S,
        )

    run_paused(scenario())


def test_graceful_leave() -> None:
    """Guards against a planned stop that is treated as a failure.

    The member must be leaving first and then be removed without a delay.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=9)
        await fleet.start_all(8, has_document=False)
        node = fleet.control_planes.pop('gw-3')
        node.begin_stop()
        await asyncio.sleep(1)
        states = {
            member.record.state
            for other in fleet.control_planes.values()
            for member in other.membership.members
            if member.record.instance.instance_id == 'gw-3'
        }
        assert states == {MemberState.LEAVING}
        await node.leave()
        await fleet.wait_until(
            lambda: all(
                'gw-3' not in _roster_ids(fleet, name)
                for name in fleet.control_planes
            ),
            limit_s=2.0,
        )
        assert 'members/gw-3' not in fleet.store.values

    run_paused(scenario())


def test_isolated_instance_is_not_ready() -> None:
    """Guards against requests to an isolated instance.

    It must not be ready once it reaches neither its peers nor the store.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=10)
        await fleet.start_all(6)
        node = fleet.control_planes['gw-3']
        others = [name for name in fleet.control_planes if name != 'gw-3']
        fleet.cut_groups(['gw-3'], others)
        # It still reaches the store, so it stays ready.
        await asyncio.sleep(5)
        assert node.directory.is_ready
        fleet.store_clients['gw-3'].is_cut = True
        await fleet.wait_until(
            lambda: not node.directory.is_ready, limit_s=5.0
        )
        assert all(
            fleet.control_planes[name].directory.is_ready for name in others
        )
        fleet.network.restore_all_links()
        await fleet.wait_until(
            lambda: node.directory.is_ready, limit_s=RECOVERY_LIMIT_S
        )

    run_paused(scenario())


def test_restart_joins_through_the_store() -> None:
    """Guards against an instance that cannot join without live seeds.

    It restarts under its old id, which the others have declared failed, and
    finds them through the store.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=11)
        await fleet.start_all(6)
        await asyncio.sleep(1)
        await fleet.kill('gw-3')
        await asyncio.sleep(4)
        fleet.start_instance(3, seed_indexes=(40, 41))
        await fleet.wait_until(
            lambda: _all_see_live(fleet, set(fleet.control_planes)),
            limit_s=RECOVERY_LIMIT_S,
        )

    run_paused(scenario())
