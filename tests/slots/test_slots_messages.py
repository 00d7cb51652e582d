"""Codes, numbers and sizes of slot messages, and late load reports."""

import asyncio

import pytest
from slots_fleet import Fleet

from teaselrock.coordination.slots import AdaptiveLimit
from teaselrock.coordination.slots import name_codes
from teaselrock.coordination.slots.messages import ServerOutcomes
from teaselrock.standins.clock import run_paused


def _borrower_of(fleet: Fleet):
    """A gateway that is not the allocator of the only group."""
    owner = next(
        name
        for name in fleet.gateways[
            0
        ].slots._allocator._allocators._allocators.values()
        if name
    )
    return next(
        gateway
        for gateway in fleet.gateways
        if gateway.own.instance_id != owner
    )


def test_colliding_codes_are_replaced_by_names(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against slots of the wrong server or group.

    Hash codes stand for names in messages; here all codes collide.
    """
    monkeypatch.setattr(name_codes, 'short_code', lambda name: 7)
    monkeypatch.setattr(
        'teaselrock.coordination.slots.group_allocation.short_code',
        lambda name: 7,
    )

    async def main() -> None:
        fleet = Fleet(seed=11, gateways=4, servers=4)
        await fleet.send_load(rate_per_s=100, duration_s=1.0)
        assert fleet.excess == 0
        assert set(fleet.results) == {'ok'}

    run_paused(main())


def test_unknown_start_code_is_requested_by_name() -> None:
    """Guards against a borrower that can't resolve the code of a start id.

    The allocator sends only the code to a borrower that has reported this
    start id; a borrower no longer has it after a restart.
    """

    async def main() -> None:
        fleet = Fleet(seed=12, gateways=2, servers=1, zones=('east/a',))
        await fleet.send_load(rate_per_s=50, duration_s=1.5)
        borrower = _borrower_of(fleet)
        borrower.slots._lease_manager._start_ids.clear()
        await asyncio.sleep(2.5)
        await borrower.request()
        assert borrower.results['ok'] == sum(borrower.results.values())

    run_paused(main())


def test_load_report_from_before_a_restart_is_ignored() -> None:
    """Guards against a delayed outcome that restores a former start id."""
    limit = AdaptiveLimit(concurrency=6, since=1.0)
    fresh = ServerOutcomes('s', 's#2', 1, 5.0, 0, 0, 0, 's#2', 'cold', 1, 0)
    stale = fresh._replace(start_id='s#1', reported_start_id='s#1', age_ms=500)
    limit.observe(outcomes=stale, now=1.2)
    assert limit.start_id == ''
    limit.observe(outcomes=fresh, now=1.2)
    limit.observe(outcomes=stale, now=1.3)
    assert limit.start_id == 's#2'


def test_wrapped_numbers_skip_held_leases() -> None:
    """Guards against two leases with the same number.

    Numbers have 16 bits; after they wrap, one that is held must be skipped.
    """

    async def main() -> None:
        fleet = Fleet(seed=14, gateways=2, servers=1, zones=('east/a',))
        await fleet.send_load(rate_per_s=50, duration_s=0.5)
        slot_requests = fleet.gateways[0].slots._borrower._slot_requests
        held = (await fleet.gateways[0].acquire()).ok
        number = held._lease.number
        slot_requests._number = (number - 1) % 2**16
        assert slot_requests._next_number() == (number + 1) % 2**16

    run_paused(main())


def test_lending_stays_within_the_control_budget() -> None:
    """Guards against messages that exceed the control budget under load.

    At 150 requests/s an instance has 60 bytes for each request.
    """

    async def main() -> None:
        fleet = Fleet(seed=13, gateways=3, servers=3, zones=('east/a',))
        for backend in fleet.backends.values():
            backend.mean_service_time_s = 0.02
        await fleet.send_load(rate_per_s=300, duration_s=1.0)
        sent_before = fleet.network.sent_bytes.total()
        served_before = fleet.results['ok']
        await fleet.send_load(rate_per_s=300, duration_s=2.0)
        sent = fleet.network.sent_bytes.total() - sent_before
        assert sent <= 60 * (fleet.results['ok'] - served_before)

    run_paused(main())
