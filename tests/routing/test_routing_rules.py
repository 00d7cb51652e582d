"""Rules of routing and slots: queues, budgets, ejection, limits, homes."""

import random

import pytest

from teaselrock.coordination.routing import attempt_reason
from teaselrock.coordination.routing import FairQueue
from teaselrock.coordination.routing import LatencyHedgePolicy
from teaselrock.coordination.routing import LoadReadings
from teaselrock.coordination.routing import OutlierDetector
from teaselrock.coordination.routing import RetryBudget
from teaselrock.coordination.routing import zone_order
from teaselrock.coordination.slots import AdaptiveLimit
from teaselrock.coordination.slots import placement
from teaselrock.coordination.slots.messages import ServerOutcomes
from teaselrock.state import AttemptReason
from teaselrock.state import AvailabilityZone
from teaselrock.state import Instance

A = AvailabilityZone('east', 'a')
B = AvailabilityZone('east', 'b')
C = AvailabilityZone('west', 'a')


def test_queue_serves_customers_by_weight() -> None:
    """Guards against a customer with many requests that starves the others."""
    queue: FairQueue[str] = FairQueue(max_per_customer=40, max_total=60)
    for _ in range(40):
        queue.put(customer='busy', weight=1, item='busy')
    for _ in range(20):
        queue.put(customer='paid', weight=3, item='paid')
    assert queue.put(customer='late', weight=1, item='late') is None
    served = [queue.take(accepts=lambda item: True) for _ in range(20)]
    assert served.count('paid') == 15
    assert len(queue) == 40


def test_discarded_item_is_not_served() -> None:
    """Guards against slots given to callers that have disconnected."""
    queue: FairQueue[str] = FairQueue(max_per_customer=2, max_total=4)
    ticket = queue.put(customer='c', weight=1, item='gone')
    assert ticket is not None
    queue.discard(customer='c', ticket=ticket)
    queue.discard(customer='c', ticket=ticket)
    assert queue.take(accepts=lambda item: True) is None
    assert len(queue) == 0


def test_retries_stay_within_a_tenth() -> None:
    """Guards against retries that multiply the load during an outage."""
    budget = RetryBudget()
    spent = 0
    for _ in range(1000):
        budget.on_first_attempt()
        spent += budget.try_spend()
    assert 100 <= spent <= 101


def test_hedge_delay_is_p95_after_enough_samples() -> None:
    """Guards against hedges whose delay comes from too few samples."""
    hedges = LatencyHedgePolicy()
    for index in range(49):
        hedges.observe(service='desk', latency=index / 1000)
    assert hedges.delay(service='desk') is None
    hedges.observe(service='desk', latency=0.049)
    assert hedges.delay(service='desk') == pytest.approx(0.046)
    fast = LatencyHedgePolicy(min_delay_s=0.002)
    for _ in range(60):
        fast.observe(service='desk', latency=0.0001)
    assert fast.delay(service='desk') == 0.002


def test_ejection_stops_at_two_fifths() -> None:
    """Guards against a group that loses most of its servers to ejection.

    Seven of ten servers are slow or fail; four may be ejected at a time.
    """
    detector = OutlierDetector()
    latencies = {f's{index}': 0.005 for index in range(10)}
    latencies |= {f's{index}': 0.1 for index in range(4)}
    for index in range(5, 8):
        for _ in range(3):
            detector.observe(server_id=f's{index}', successes=0, failures=5)
    ejected, _ = detector.review(latencies=latencies, now=0.0)
    assert sorted(ejected) == ['s0', 's1', 's2', 's3']
    again, readmitted = detector.review(latencies=latencies, now=1.0)
    assert sorted(readmitted) == ['s0', 's1', 's2', 's3']
    assert not set(again) & set(readmitted)


def test_readmitted_server_is_not_ejected_by_former_latencies() -> None:
    """Guards against a server that stays ejected without new evidence.

    One of four servers was slow. After its ejection it may not be chosen for
    a while, so that its latency is still the former one.
    """
    detector = OutlierDetector()
    limits = {f's{index}': AdaptiveLimit(concurrency=8) for index in range(4)}
    for server_id, limit in limits.items():
        latency_ms = 100.0 if server_id == 's0' else 5.0
        limit.observe(
            outcomes=ServerOutcomes(
                server_id, 's', 1, latency_ms, 0, 0, 0, 's', 'warm', 8, 0
            ),
            now=0.0,
        )

    def review(now: float) -> tuple[list[str], list[str]]:
        return detector.review(
            latencies={
                name: limit.latency_s for name, limit in limits.items()
            },
            now=now,
        )

    assert review(0.0) == (['s0'], [])
    assert review(1.0) == ([], ['s0'])
    limits['s0'].slow_start()
    assert review(1.1) == ([], [])
    assert limits['s0'].start_id == 's'


def test_readings_lose_weight_with_age() -> None:
    """Guards against decisions on stale load reports."""
    readings = LoadReadings()
    readings.observe(server_id='s', value=8.0, now=0.0)
    values = [
        readings.blend(server_id='s', local_value=0.0, now=now)
        for now in (0.0, 0.25, 0.5, 2.1)
    ]
    assert values == [4.0, 2.0, 1.0, 0.0]


def test_zones_by_distance_with_reasons() -> None:
    """Guards against requests that leave their zone or region needlessly."""
    order = zone_order(own_zone=A, zones=(C, B, A))
    assert order == (A, B, C)
    reasons = [
        attempt_reason(own_zone=A, zone=zone, served_in_region=True)
        for zone in order
    ]
    assert reasons == [
        AttemptReason.LOCAL,
        AttemptReason.REGION,
        AttemptReason.SPILL_LOAD,
    ]
    spilled = attempt_reason(own_zone=A, zone=C, served_in_region=False)
    assert spilled is AttemptReason.SPILL_NO_SERVER


def _outcomes(
    start: str,
    *,
    ok: int = 0,
    mean_ms: float = 5.0,
    overloads: int = 0,
    refused: int = 0,
    state: str = 'warm',
    capacity: int = 6,
) -> ServerOutcomes:
    return ServerOutcomes(
        's', start, ok, ok * mean_ms, overloads, 0, refused, start, state,
        capacity, 0,
    )  # fmt: skip


def _warm_limit() -> AdaptiveLimit:
    limit = AdaptiveLimit(concurrency=6)
    for index in range(40):
        limit.observe(outcomes=_outcomes('s#1', ok=1), now=index / 100)
    assert limit.limit == 6
    return limit


@pytest.mark.parametrize(
    ('outcomes', 'expected'),
    (
        (_outcomes('s#1', overloads=1), 3),
        (_outcomes('s#1', refused=1), 1),
        (_outcomes('s#2', ok=1, state='cold'), 1),
        (_outcomes('s#1', ok=1, mean_ms=100.0), 3),
    ),
    ids=('shed', 'refused', 'new start', 'latency step'),
)
def test_limit_is_cut_at_once(outcomes: ServerOutcomes, expected: int) -> None:
    """Guards against a limit that stays high as a server's capacity falls."""
    limit = _warm_limit()
    limit.observe(outcomes=outcomes, now=1.0)
    assert limit.limit == expected


def test_cold_limit_grows_with_successes_only() -> None:
    """Guards against a cold server's limit that grows as time passes."""
    limit = AdaptiveLimit(concurrency=6)
    cold = _outcomes('s#1', ok=1, state='cold')
    limit.observe(outcomes=cold, now=0.0)
    assert limit.limit == 1
    limit.observe(outcomes=_outcomes('s#1', state='cold'), now=60.0)
    assert limit.limit == 1
    for _ in range(3):
        limit.observe(outcomes=cold, now=60.0)
    assert limit.limit == 2
    limit.observe(
        outcomes=_outcomes('s#1', ok=50, state='cold', capacity=2), now=61.0
    )
    assert limit.limit == 2


def test_late_outcomes_of_a_former_start_change_nothing() -> None:
    """Guards against a reordered message that restores a former start id."""
    limit = _warm_limit()
    limit.observe(outcomes=_outcomes('s#2', ok=1, state='cold'), now=1.0)
    limit.observe(outcomes=_outcomes('s#1', ok=50), now=1.1)
    assert (limit.start_id, limit.limit) == ('s#2', 1)


def test_successes_of_a_former_start_do_not_ramp() -> None:
    """Guards against old successes reported together with a new start."""
    limit = _warm_limit()
    mixed = _outcomes('s#1', ok=50, overloads=1)._replace(
        reported_start_id='s#2'
    )
    limit.observe(outcomes=mixed, now=1.0)
    assert (limit.start_id, limit.limit) == ('s#2', 1)


def test_home_members_change_only_if_they_leave() -> None:
    """Guards against units that both sides of a partition lend.

    A unit's home must change only if its own home member leaves the roster.
    """
    rng = random.Random(1)
    roster = [Instance(f'g{index}', A, '') for index in range(5)]
    roster.append(Instance('far', C, ''))
    for index in range(20):
        removed = rng.choice(roster[:5])
        rest = [member for member in roster if member != removed]
        before, after = (
            placement.home_members(
                server_id=f's{index}', units=6, region='east', roster=members
            )
            for members in (roster, rest)
        )
        assert 'far' not in before
        for old, new in zip(before, after):
            assert new != removed.instance_id
            assert old in (new, removed.instance_id)
