"""Watching the store and passing changes on, with faults on either way."""

import asyncio

import pytest
from registry_world import Member
from registry_world import Region
from registry_world import server
from registry_world import table

from teaselrock.coordination import rendezvous
from teaselrock.coordination.registry.relay import takeover_delay
from teaselrock.standins.clock import run_paused
from teaselrock.state import BackendServer

# A change has to be in force this long after it was acknowledged.
FORCE_S = 2.0


def _all_have(region: Region, servers: set[str]) -> bool:
    return all(one.servers() == servers for one in region.members)


def test_one_instance_watches_for_all() -> None:
    """Guards against store calls that grow with the number of instances."""

    async def main() -> None:
        region = Region(8)
        await region.start()
        assert len(region.watchers()) == 1
        assert _all_have(region, {'s1'})
        assert all(one.view.is_ready for one in region.members)
        before = region.calls
        await asyncio.sleep(22.0)
        # Two kinds with a call in 2.2 s, and one with a call in 0.7 s.
        assert region.calls - before <= 2 * 10 + 32
        region.kinds[1].put('s2', server('s2'))
        region.kinds[0].put('main', table(2))
        await asyncio.sleep(0.5)
        assert _all_have(region, {'s1', 's2'})
        assert {one.view.table.version for one in region.members} == {2}

    run_paused(main())


def test_dead_watcher_is_replaced_in_time() -> None:
    """Guards against changes that nobody passes on after a kill."""

    async def main() -> None:
        region = Region(6)
        await region.start()
        await region.kill(region.watchers()[0])
        region.kinds[1].put('s1', server('s1', leaving=True))
        await asyncio.sleep(FORCE_S)
        assert _all_have(region, set())
        assert len(region.watchers()) == 1

    run_paused(main())


def test_three_dead_watchers_are_replaced() -> None:
    """Guards against followers that wait for instances that are gone."""

    async def main() -> None:
        region = Region(8)
        await region.start()
        ranked = sorted(region.members, key=lambda one: one.relay.rank)
        for member in ranked[:3]:
            await region.kill(member)
        await asyncio.sleep(12.0)
        region.kinds[1].put('s2', server('s2'))
        await asyncio.sleep(FORCE_S)
        assert _all_have(region, {'s1', 's2'})
        assert len(region.watchers()) == 1

    run_paused(main())


@pytest.mark.parametrize('is_silent', [False, True])
def test_watchers_that_the_store_turns_away_are_replaced(
    is_silent: bool,
) -> None:
    """Guards against watchers that beat but no longer hear changes.

    On a day on which the store turned the first two instances of a region
    away, the third one took over 2.6 s later.
    """

    async def main() -> None:
        region = Region(8)
        await region.start()
        for kind in region.kinds:
            kind.refuses_silently = is_silent
        ranked = sorted(region.members, key=lambda one: one.relay.rank)
        region.refused.update(one.entry.instance_id for one in ranked[:2])
        await asyncio.sleep(0.01)
        region.kinds[0].put('main', table(5))
        await asyncio.sleep(FORCE_S)
        assert {one.view.table.version for one in region.members} == {5}

    run_paused(main())


@pytest.mark.parametrize('refused', [4, 5, 6])
def test_first_ranks_that_the_store_turns_away_are_passed_by(
    refused: int,
) -> None:
    """Guards against followers that hear only of watchers without a store.

    On a day of hb-clockworks-grown the first five instances of a region
    were cut off from the store. The sixth watched it, but nobody followed
    that one, and a version was in force up to 7 s late.
    """

    async def main() -> None:
        region = Region(30)
        await region.start()
        ranked = sorted(region.members, key=lambda one: one.relay.rank)
        region.refused.update(
            one.entry.instance_id for one in ranked[:refused]
        )
        await asyncio.sleep(1.9)
        region.kinds[0].put('main', table(5))
        await asyncio.sleep(FORCE_S / 2)
        assert {one.view.table.version for one in region.members} == {5}
        # Once they are back, the first one watches for all again.
        region.refused.clear()
        await asyncio.sleep(3.0)
        assert region.watchers() == [ranked[0]]

    run_paused(main())


def test_instance_that_was_given_up_is_reachable() -> None:
    """Guards against instances that count as gone because of a change of mind.

    On a day of llx-gw-grown the only instance that had the store was followed
    and given up for instances of lower rank, and then left alone for 5 s.
    """

    async def main() -> None:
        region = Region(6)
        await region.start()
        names = [one.entry.instance_id for one in region.members]
        first = next(
            name
            for name in (f'x{n}' for n in range(100))
            if rendezvous.ranked(key='east', members=[*names, name])[0] == name
        )
        added = Member(region, first)
        await added.relay.start()
        follower = max(region.members, key=lambda one: one.relay.rank)
        roster = [one.entry for one in region.members]
        link = (follower.entry.address, first)
        for count in (1, 2):
            follower.relay.set_roster([*roster, added.entry])
            await asyncio.sleep(0.3)
            assert region.connected.count(link) == count
            follower.relay.set_roster(roster)
            await asyncio.sleep(0.3)

    run_paused(main())


def test_store_outage_costs_few_calls() -> None:
    """Guards against all instances calling a store that is down."""

    async def main() -> None:
        region = Region(40)
        await region.start()
        before = region.calls
        for kind in region.kinds:
            kind.is_down = True
        await asyncio.sleep(8.0)
        # At most nine instances, with a pause of 0.8 s x 0.5 to 1.5 each.
        assert region.calls - before <= 9 * 8 / 0.4
        assert _all_have(region, {'s1'})
        for kind in region.kinds:
            kind.is_down = False
        region.kinds[1].put('s2', server('s2'))
        await asyncio.sleep(FORCE_S)
        assert _all_have(region, {'s1', 's2'})

    run_paused(main())


def test_age_of_the_view_shows_an_outage() -> None:
    """Guards against an age that stays low while nobody hears the store."""

    async def main() -> None:
        region = Region(5)
        await region.start()
        assert all(one.relay.view_age < 0.5 for one in region.members)
        for kind in region.kinds:
            kind.is_down = True
        await asyncio.sleep(6.0)
        assert all(one.relay.view_age > 4.0 for one in region.members)
        for kind in region.kinds:
            kind.is_down = False
        await asyncio.sleep(3.0)
        assert all(one.relay.view_age < 0.5 for one in region.members)

    run_paused(main())


def test_silent_store_is_noticed_after_its_return() -> None:
    """Guards against a lost watch that hides changes for long.

    On a day with a silent store, routes were in step 3.6 s after its return.
    """

    async def main() -> None:
        region = Region(3)
        await region.start()
        for kind in region.kinds:
            kind.is_silent = True
        await asyncio.sleep(8.0)
        for kind in region.kinds:
            kind.is_silent = False
        region.kinds[0].put('main', table(9))
        await asyncio.sleep(3.0)
        assert {one.view.table.version for one in region.members} == {9}

    run_paused(main())


def test_lost_history_is_listed_again() -> None:
    """Guards against servers that were removed during lost history."""

    async def main() -> None:
        region = Region(3)
        await region.start()
        kind = region.kinds[1]
        region.refused.update(one.entry.instance_id for one in region.members)
        await asyncio.sleep(3.0)
        kind.put('s2', server('s2'))
        kind.delete('s1')
        kind.forget_history()
        region.refused.clear()
        await asyncio.sleep(5.0)
        assert _all_have(region, {'s2'})

    run_paused(main())


def test_lapsed_entries_are_kept_after_an_outage() -> None:
    """Guards against refusals while live servers register again."""

    async def main() -> None:
        region = Region(1)
        await region.start()
        member = region.members[0]
        kind = region.kinds[1]
        kind.is_down = True
        await asyncio.sleep(6.0)
        kind.delete('s1')
        kind.is_down = False
        await asyncio.sleep(1.5)
        assert member.servers() == {'s1'}
        kind.put('s1', server('s1'))
        await asyncio.sleep(4.0)
        assert member.servers() == {'s1'}
        kind.is_down = True
        await asyncio.sleep(6.0)
        kind.delete('s1')
        kind.is_down = False
        await asyncio.sleep(4.5)
        assert member.servers() == set()

    run_paused(main())


def test_draining_server_is_not_kept() -> None:
    """Guards against new work for a server that left during an outage."""

    async def main() -> None:
        region = Region(1)
        await region.start()
        kind = region.kinds[1]
        kind.put('s1', server('s1', leaving=True))
        await asyncio.sleep(1.0)
        kind.is_down = True
        await asyncio.sleep(4.0)
        kind.delete('s1')
        kind.is_down = False
        await asyncio.sleep(1.5)
        assert region.members[0].view.server('s1') is None

    run_paused(main())


def test_versions_never_go_back() -> None:
    """Guards against an older table that arrives after a newer one."""

    async def main() -> None:
        region = Region(2)
        await region.start()
        region.kinds[0].put('main', table(7))
        await asyncio.sleep(1.0)
        region.kinds[0].put('main', table(3))
        await asyncio.sleep(1.0)
        assert {one.view.table.version for one in region.members} == {7}

    run_paused(main())


def test_broken_entry_harms_no_other() -> None:
    """Guards against a foreign entry that hides the servers."""

    async def main() -> None:
        region = Region(2)
        await region.start()
        broken: BackendServer | None = None
        region.kinds[1].put('x', broken)
        region.kinds[1].put('s2', server('s2'))
        await asyncio.sleep(1.0)
        assert _all_have(region, {'s1', 's2'})

    run_paused(main())


def test_zone_out_and_back() -> None:
    """Guards against new work in a zone that is out of service."""

    async def main() -> None:
        region = Region(4)
        await region.start()
        region.kinds[2].put('east-a', 'east-a')
        await asyncio.sleep(1.0)
        assert _all_have(region, set())
        region.kinds[2].delete('east-a')
        await asyncio.sleep(1.0)
        assert _all_have(region, {'s1'})

    run_paused(main())


def test_takeover_is_staggered() -> None:
    """Guards against ranks that all take over at once."""
    usual = [takeover_delay(rank=n, is_outage=False) for n in range(6)]
    outage = [takeover_delay(rank=n, is_outage=True) for n in range(6)]
    assert usual == sorted(usual)
    assert usual[0] == 0.0
    assert usual[3] <= FORCE_S
    assert outage == sorted(outage)
    late = [takeover_delay(rank=n, is_outage=True) for n in (6, 7, 8)]
    assert late[0] <= FORCE_S
    assert late[1] - late[0] >= 3.0
    assert late[2] - late[1] >= 3.0
