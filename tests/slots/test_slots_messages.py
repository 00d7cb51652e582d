"""Codes and sizes of messages, and what lost or late ones must not do."""

import asyncio

import pytest
from slots_fleet import Fleet

from teaselrock.coordination.slots import AdaptiveLimit
from teaselrock.coordination.slots import names
from teaselrock.coordination.slots.messages import ServerOutcomes
from teaselrock.standins.clock import run_paused


def _other(fleet: Fleet):
    """A gateway that is not the allocator of the only group."""
    owner = next(
        name
        for name in fleet.gateways[0].slots._allocator._owners._owners.values()
        if name
    )
    return next(one for one in fleet.gateways if one.own.instance_id != owner)


def test_colliding_codes_are_replaced_by_names(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against slots of another server or group after a collision."""
    monkeypatch.setattr(names, 'short_code', lambda name: 7)
    monkeypatch.setattr(
        'teaselrock.coordination.slots.group_book.short_code',
        lambda name: 7,
    )

    async def main() -> None:
        fleet = Fleet(seed=11, gateways=4, servers=4)
        await fleet.load(rate=100, seconds=1.0)
        assert fleet.excess == 0
        assert set(fleet.results) == {'ok'}

    run_paused(main())


def test_unknown_start_code_is_asked_for_by_name() -> None:
    """Guards against a restarted borrower that knows no start's name."""

    async def main() -> None:
        fleet = Fleet(seed=12, gateways=2, servers=1, zones=('east/a',))
        await fleet.load(rate=50, seconds=1.5)
        other = _other(fleet)
        other.slots._lease_manager._start_ids.clear()
        await asyncio.sleep(2.5)
        await other.request()
        assert other.results['ok'] == sum(other.results.values())

    run_paused(main())


def test_report_from_before_a_restart_is_no_evidence() -> None:
    """Guards against an old start that a delayed outcome brings back."""
    limit = AdaptiveLimit(concurrency=6, since=1.0)
    fresh = ServerOutcomes('s', 's#2', 1, 5.0, 0, 0, 0, 's#2', 'cold', 1, 0)
    stale = fresh._replace(start_id='s#1', seen_start='s#1', age_ms=500)
    limit.observe(outcomes=stale, now=1.2)
    assert limit.start_id == ''
    limit.observe(outcomes=fresh, now=1.2)
    limit.observe(outcomes=stale, now=1.3)
    assert limit.start_id == 's#2'


def test_reused_numbers_name_no_held_lease() -> None:
    """Guards against two leases of one name after the numbers wrap."""

    async def main() -> None:
        fleet = Fleet(seed=14, gateways=2, servers=1, zones=('east/a',))
        await fleet.load(rate=50, seconds=0.5)
        slot_requests = fleet.gateways[0].slots._borrower._slot_requests
        held = (await fleet.gateways[0].acquire()).ok
        number = held._lease.number
        slot_requests._number = (number - 1) % 2**16
        assert slot_requests._next_number() == (number + 1) % 2**16

    run_paused(main())


def test_slots_are_lent_in_few_bytes() -> None:
    """Guards against messages that exceed the control budget under load.

    At 150 requests/s an instance has 60 bytes for each request.
    """

    async def main() -> None:
        fleet = Fleet(seed=13, gateways=3, servers=3, zones=('east/a',))
        for backend in fleet.backends.values():
            backend.mean_s = 0.02
        await fleet.load(rate=300, seconds=1.0)
        before = fleet.network.sent_bytes.total()
        served = fleet.results['ok']
        await fleet.load(rate=300, seconds=2.0)
        sent = fleet.network.sent_bytes.total() - before
        assert sent <= 60 * (fleet.results['ok'] - served)

    run_paused(main())
