"""Events that a whole fleet emits for operators when parts of it fail."""

import asyncio
from collections import defaultdict

import pytest

from teaselrock.bench.control_fleet import ControlFleet
from teaselrock.coordination.events import Event
from teaselrock.standins.clock import run_paused


class RecordedEvents:
    """Records the `member` field of events, by event."""

    def __init__(self) -> None:
        self.members: defaultdict[Event, list[str]] = defaultdict(list)

    def emit(self, *, event: Event, **fields: str | int | float) -> None:
        """Record an event."""
        self.members[event].append(str(fields.get('member', '')))


@pytest.mark.parametrize('is_removed', [False, True])
def test_failure_and_return_are_reported(is_removed: bool) -> None:
    """Guards against a failure that is not reported, or reported twice.

    The platform's list may drop the failed member before it returns.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=2)
        events = fleet.events = RecordedEvents()
        await fleet.start_all(3)
        await asyncio.sleep(1)
        members = events.members
        assert members[Event.CONFIGURATION_IN_FORCE]
        assert not members[Event.MEMBER_FAILED]
        await fleet.kill('gw-2')
        fleet.store.is_down = True
        if is_removed:
            fleet.platform.gateways.discard('gw-2')
        await asyncio.sleep(8)
        # Each of the two other instances reports it once.
        assert members[Event.MEMBER_FAILED] == ['gw-2'] * 2
        assert bool(members[Event.MEMBER_REMOVED]) is is_removed
        assert members[Event.CONFIGURATION_SOURCE_LOST]
        fleet.store.is_down = False
        fleet.start_instance(2)
        await asyncio.sleep(5)
        assert set(members[Event.MEMBER_RETURNED]) == {'gw-2'}

    run_paused(scenario())


def test_isolation_is_reported() -> None:
    """Guards against an isolated instance that refuses work unreported."""

    async def scenario() -> None:
        fleet = ControlFleet(seed=6)
        events = fleet.events = RecordedEvents()
        await fleet.start_all(3)
        members = events.members
        # By now each instance has received messages from its peers.
        await asyncio.sleep(1)
        fleet.cut_groups(['gw-0'], ['gw-1', 'gw-2'])
        fleet.store_clients['gw-0'].is_cut = True
        await asyncio.sleep(6)
        assert len(members[Event.ISOLATED]) == 1
        fleet.network.restore_all_links()
        fleet.store_clients['gw-0'].is_cut = False
        await asyncio.sleep(3)
        assert len(members[Event.ISOLATION_ENDED]) == 1

    run_paused(scenario())
