"""When the routing table of an instance counts as current, with faults."""

import asyncio
import random

import pytest
from registry_world import backend_server
from registry_world import Member
from registry_world import Region
from registry_world import routing_table

from teaselrock.coordination.registry.freshness import MAX_CONFIRMATION_AGE_S
from teaselrock.coordination.registry.freshness import STORE_CONFIRMATION_S
from teaselrock.coordination.registry.freshness import TableFreshness
from teaselrock.coordination.registry.messages import TablesChanged
from teaselrock.coordination.registry.messages import TablesEdited
from teaselrock.standins.clock import run_paused

# A version must be in force on all instances this long after the store
# acknowledged it, and this long after an outage of the store.
VERSION_IN_FORCE_S = 2.0
RECOVERY_S = 3.0
HEALTHY_S = 30.0
CHECK_INTERVAL_S = 0.02


def _is_current(member: Member) -> bool:
    return member.view.table_freshness.is_current


def _cut_off(member: Member) -> None:
    """Lose all messages to an instance; its connections stay open."""
    for channel in member.link.channels:
        assert channel.peer_end is not None
        channel.peer_end.is_cut = True


def _followers(region: Region) -> list[Member]:
    return [m for m in region.members if not m.watch.is_running]


def test_confirmations_end_before_a_version_must_be_in_force() -> None:
    """Guards against an outdated table that counts as current for too long.

    What counts is when the store has confirmed the table, not when this
    instance was told.
    """

    async def main() -> None:
        freshness = TableFreshness()
        assert not freshness.is_current
        assert freshness.age == float('inf')
        now = asyncio.get_running_loop().time()
        freshness.confirm(at=now - STORE_CONFIRMATION_S)
        left_s = MAX_CONFIRMATION_AGE_S - STORE_CONFIRMATION_S
        await asyncio.sleep(left_s - 0.01)
        assert freshness.is_current
        await asyncio.sleep(0.02)
        assert not freshness.is_current
        freshness.confirm(at=now)
        # An earlier confirmation does not shorten a later one.
        freshness.confirm(at=now - STORE_CONFIRMATION_S)
        assert freshness.age == pytest.approx(left_s + 0.01)
        await asyncio.sleep(STORE_CONFIRMATION_S - 0.02)
        assert freshness.is_current
        await asyncio.sleep(0.02)
        assert not freshness.is_current

    run_paused(main())
    assert MAX_CONFIRMATION_AGE_S < VERSION_IN_FORCE_S


@pytest.mark.parametrize('changes_per_s', [0.0, 3.0, 40.0])
@pytest.mark.parametrize('count', [1, 3, 20])
def test_healthy_region_is_always_current(
    count: int, changes_per_s: float
) -> None:
    """Guards against 503 for unknown paths while nothing fails.

    Servers and, less often, routes change; positions of the routes move with
    each change of a server.
    """

    async def main() -> None:
        region = Region(count)
        await region.start()
        rng = random.Random(count)
        tables, servers, _ = region.sources
        version = 1
        for _ in range(int(HEALTHY_S / CHECK_INTERVAL_S)):
            await asyncio.sleep(CHECK_INTERVAL_S)
            if rng.random() < changes_per_s * CHECK_INTERVAL_S:
                servers.put('s2', backend_server('s2', started_at=version))
                tables.revision += 1
                if rng.random() < 0.1:
                    version += 1
                    tables.put('main', routing_table(version))
            assert all(_is_current(member) for member in region.members)

    run_paused(main())


def test_newer_table_that_does_not_arrive_is_noticed() -> None:
    """Guards against heartbeats of a newer table that confirm an older one."""

    async def main() -> None:
        region = Region(6)
        await region.start()
        late = _followers(region)[-1]
        for channel in late.link.channels:
            assert channel.peer_end is not None
            channel.peer_end.dropped_types = (
                TablesChanged,
                TablesEdited,
            )
        region.sources[0].put('main', routing_table(2))
        await asyncio.sleep(VERSION_IN_FORCE_S)
        for _ in range(20):
            assert [m for m in region.members if not _is_current(m)] == [late]
            await asyncio.sleep(0.1)

    run_paused(main())


def test_instance_without_watchers_and_store_is_not_current() -> None:
    """Guards against final refusals by an instance that nobody informs."""

    async def main() -> None:
        region = Region(6)
        await region.start()
        late = _followers(region)[-1]
        region.refused_instance_ids.add(late.registration.instance_id)
        for _ in range(100):
            # It connects again to instances from which nothing arrives.
            _cut_off(late)
            await asyncio.sleep(CHECK_INTERVAL_S)
        for _ in range(100):
            _cut_off(late)
            await asyncio.sleep(CHECK_INTERVAL_S)
            assert [m for m in region.members if not _is_current(m)] == [late]

    run_paused(main())


@pytest.mark.parametrize('without_response', [False, True])
def test_watcher_whose_polls_fail_is_not_current(
    without_response: bool,
) -> None:
    """Guards against final refusals while no instance reaches the store.

    An instance without peers is the whole region; the store fails its calls
    with an error or without a response.
    """

    async def main() -> None:
        region = Region(1)
        await region.start()
        (member,) = region.members
        assert _is_current(member)
        for source in region.sources:
            source.refuses_without_response = without_response
        region.refused_instance_ids.add(member.registration.instance_id)
        await asyncio.sleep(VERSION_IN_FORCE_S)
        for _ in range(50):
            assert member.watch.is_running
            assert not _is_current(member)
            await asyncio.sleep(0.1)
        region.refused_instance_ids.clear()
        await asyncio.sleep(RECOVERY_S)
        assert _is_current(member)

    run_paused(main())


@pytest.mark.parametrize('without_response', [False, True])
@pytest.mark.parametrize('lost_after_ms', range(10, 1000, 100))
def test_no_instance_is_current_while_the_store_is_lost(
    lost_after_ms: int, without_response: bool
) -> None:
    """Guards against final refusals by a region that lost the store.

    The store fails all calls at any time after a change of the routes.
    """

    async def main() -> None:
        region = Region(12)
        await region.start()
        region.sources[0].put('main', routing_table(2))
        await asyncio.sleep(lost_after_ms / 1000)
        for source in region.sources:
            source.refuses_without_response = without_response
        region.refused_instance_ids.update(
            member.registration.instance_id for member in region.members
        )
        await asyncio.sleep(VERSION_IN_FORCE_S)
        for _ in range(80):
            assert not any(_is_current(member) for member in region.members)
            await asyncio.sleep(0.1)
        region.refused_instance_ids.clear()
        await asyncio.sleep(RECOVERY_S)
        assert all(_is_current(member) for member in region.members)

    run_paused(main())


def test_watcher_without_a_response_for_routes_confirms_none() -> None:
    """Guards against heartbeats of a new watcher that has not read routes.

    The watcher crashes, and the store answers its successors' calls for other
    kinds only. Their table is as old as those of their followers.
    """

    async def main() -> None:
        region = Region(8)
        await region.start()
        tables, servers, _ = region.sources
        tables.is_unresponsive = True
        tables.put('main', routing_table(2))
        await region.kill(region.watchers()[0])
        for step in range(300):
            servers.put('s2', backend_server('s2'))
            await asyncio.sleep(CHECK_INTERVAL_S)
            if step * CHECK_INTERVAL_S > VERSION_IN_FORCE_S:
                assert not any(map(_is_current, region.members))

    run_paused(main())


def test_replaced_watcher_leaves_the_table_current() -> None:
    """Guards against a table that stays outdated after a watcher crashed."""

    async def main() -> None:
        region = Region(8)
        await region.start()
        await region.kill(region.watchers()[0])
        await asyncio.sleep(VERSION_IN_FORCE_S)
        for _ in range(100):
            assert all(_is_current(member) for member in region.members)
            await asyncio.sleep(CHECK_INTERVAL_S)

    run_paused(main())


def test_response_that_arrives_slowly_confirms_no_older_table() -> None:
    """Guards against routes that count as current while newer ones arrive.

    The response with version 2 takes longer than a version may take; version
    3 was written before it had arrived.
    """

    async def main() -> None:
        region = Region(6)
        await region.start()
        tables = region.sources[0]
        tables.arrival_s = 4.5
        tables.put('main', routing_table(2))
        await asyncio.sleep(0.1)
        tables.put('main', routing_table(3))
        await asyncio.sleep(VERSION_IN_FORCE_S)
        while any(m.view.table.version < 3 for m in region.members):
            for member in region.members:
                assert member.view.table.version == 3 or (
                    not _is_current(member)
                )
            await asyncio.sleep(CHECK_INTERVAL_S)

    run_paused(main())
