"""Idempotency records: no fault may let a key run twice."""

import asyncio
import random

import pytest
from records_fleet import Fleet
from records_fleet import request

from teaselrock.coordination import rendezvous
from teaselrock.coordination.idempotency import RecordOptions
from teaselrock.coordination.idempotency import StoreIdempotencyRecords
from teaselrock.standins.clock import run_paused
from teaselrock.state import RefusalCode
from teaselrock.state import Verdict
from teaselrock.state.records import apply_updates
from teaselrock.state.records import EntryState
from teaselrock.state.records import ShardContent
from teaselrock.state.records import shards
from teaselrock.state.records import ShardUpdate
from teaselrock.state.records import UpdateKind
from teaselrock.state.records import UpdateOutcome

DAY_S = 24 * 3600


def start_fleet(options=RecordOptions('east'), **kwargs):
    fleet = Fleet(**kwargs)
    for node in fleet.nodes:
        node.part = StoreIdempotencyRecords(
            **node.common_arguments(fleet), options=options
        )
    return fleet


def stored_entries(fleet):
    found = {}
    for key, stored in fleet.store_model.values.items():
        if key.startswith('idempotency/'):
            content = fleet.codec.decode(
                data=stored.value, value_type=ShardContent
            ).ok
            found.update({entry.digest: entry for entry in content.entries})
    return found


def refusal_code(result):
    return None if result.is_ok() else result.error.code


def owner_of(fleet, key):
    owner = rendezvous.owner(
        members=[member.instance_id for member in fleet.members],
        key=f'idempotency/{key[0]}',
    )
    return next(node for node in fleet.nodes if node.own.instance_id == owner)


@pytest.mark.parametrize(
    ('verdict', 'refused', 'reported'),
    [
        (Verdict.RAN, RefusalCode.KEY_COMPLETED, Verdict.RAN),
        (Verdict.MAY_HAVE_RUN, RefusalCode.KEY_IN_USE, Verdict.MAY_HAVE_RUN),
        (Verdict.DID_NOT_RUN, None, None),
    ],
)
def test_repeat_after_end(verdict, refused, reported):
    """Guards against a repeat that runs although the first may have run."""

    async def main():
        fleet = start_fleet()
        first = await fleet.nodes[0].part.claim(request=request(b'key'))
        await first.ok.finish(verdict=verdict)
        await asyncio.sleep(3)
        again = await fleet.nodes[1].part.claim(request=request(b'key'))
        assert refusal_code(again) == refused
        if refused:
            assert again.error.verdict is reported

    run_paused(main())


@pytest.mark.parametrize('seed', range(20))
@pytest.mark.parametrize(
    'fault', ['none', 'lost', 'no-links', 'owner-dies', 'two-owners', 'slow']
)
def test_one_of_many_repeats_runs(fault, seed):
    """Guards against two instances that both claim one key.

    Callers repeat a request through several instances at the same time.
    """

    async def main():
        fleet = start_fleet(count=5, seed=seed)
        rng = random.Random(seed)
        if fault == 'lost':
            fleet.store_model.lost_response_share = 0.4
        if fault == 'no-links':
            fleet.network.set_loss(1.0)
        if fault == 'slow':
            fleet.store_model.latency_s = 0.7
        if fault == 'two-owners':
            for node in fleet.nodes[:3]:
                for dead in fleet.nodes[3:]:
                    fleet.remove_from_views(dead, [node])
        keys = [bytes((index,)) + b'key' for index in range(1, 4)]

        async def send(node, key):
            await asyncio.sleep(rng.random() * 0.05)
            return key, await node.part.claim(request=request(key))

        tasks = [
            asyncio.create_task(send(node, key))
            for node in fleet.nodes
            for key in keys
        ]
        if fault == 'owner-dies':
            await asyncio.sleep(0.02)
            fleet.kill(owner_of(fleet, keys[0]), is_detected=False)
        results = await asyncio.gather(*tasks)
        for key in keys:
            claims = [
                result
                for claimed_key, result in results
                if claimed_key == key and result.is_ok()
            ]
            assert len(claims) <= 1
            if fault in ('none', 'no-links', 'owner-dies'):
                assert len(claims) == 1
        refused = [result.error for _, result in results if result.is_error()]
        assert {refusal.code for refusal in refused} <= {
            RefusalCode.KEY_IN_USE,
            RefusalCode.RECORD_UNAVAILABLE,
        }

    run_paused(main())


def test_store_outage_refuses_and_recovers():
    """Guards against requests that run without a record, and stuck keys.

    In an outage a claim is refused; its uncertain entry must be released
    when the store is back.
    """

    async def main():
        fleet = start_fleet()
        fleet.store_model.is_down = True
        refused = await fleet.nodes[0].part.claim(request=request(b'key'))
        assert refused.error.code is RefusalCode.RECORD_UNAVAILABLE
        assert refused.error.verdict is Verdict.DID_NOT_RUN
        assert refused.error.retry_after > 0
        await asyncio.sleep(30)
        fleet.store_model.is_down = False
        await asyncio.sleep(15)
        assert fleet.nodes[0].part.pending_end_writes == 0
        assert (
            await fleet.nodes[1].part.claim(request=request(b'key'))
        ).is_ok()

    run_paused(main())


def test_uncertain_claim_is_released():
    """Guards against a key that stays claimed by a request that never ran.

    The store's responses are lost until the deadline, so the entry is
    written but the claim is not confirmed.
    """

    async def main():
        fleet = start_fleet()
        fleet.store_model.lost_response_share = 1.0
        refused = await fleet.nodes[0].part.claim(
            request=request(b'key', timeout_s=0.5)
        )
        assert refused.error.code is RefusalCode.RECORD_UNAVAILABLE
        assert refused.error.verdict is Verdict.DID_NOT_RUN
        held = stored_entries(fleet).values()
        assert [entry.state for entry in held] == [EntryState.CLAIMED]
        fleet.store_model.lost_response_share = 0.0
        await asyncio.sleep(15)
        again = await fleet.nodes[2].part.claim(request=request(b'key'))
        assert again.is_ok()

    run_paused(main())


def test_cancelled_claim_is_released():
    """Guards against a stuck key after its claim was cancelled.

    The caller disconnects while the claim is being written.
    """

    async def main():
        fleet = start_fleet()
        task = asyncio.create_task(
            fleet.nodes[0].part.claim(request=request(b'key'))
        )
        await asyncio.sleep(0.006)
        task.cancel()
        await asyncio.sleep(15)
        again = await fleet.nodes[1].part.claim(request=request(b'key'))
        assert again.is_ok()

    run_paused(main())


def test_claim_permits_no_sending_after_a_pause():
    """Guards against a send after a pause longer than `send_within_s`.

    By then another instance may have been given the key.
    """

    async def main():
        fleet = start_fleet(RecordOptions('east', send_within_s=60.0))
        claim = (await fleet.nodes[0].part.claim(request=request(b'key'))).ok
        assert claim.may_send
        await asyncio.sleep(61)
        assert not claim.may_send

    run_paused(main())


def test_retention():
    """Guards against entries that are removed early or kept for ever."""

    async def main():
        fleet = start_fleet()
        part = fleet.nodes[0].part
        assert (await part.claim(request=request(b'key'))).is_ok()
        fleet.clock_skew_s = DAY_S - 60
        held = await part.claim(request=request(b'key'))
        assert refusal_code(held) is RefusalCode.KEY_IN_USE
        fleet.clock_skew_s = DAY_S + 60
        assert (await part.claim(request=request(b'key'))).is_ok()

    run_paused(main())


def test_group_commit_bounds_writes():
    """Guards against a store write for each claim under load."""

    async def main():
        fleet = start_fleet(count=15)
        writes = fleet.store_model.write_calls
        results = await asyncio.gather(
            *(
                node.part.claim(request=request(b'k%d.%d' % (n, index)))
                for index, node in enumerate(fleet.nodes)
                for n in range(100)
            )
        )
        assert all(result.is_ok() for result in results)
        assert fleet.store_model.write_calls - writes < 15

    run_paused(main())


def test_claims_under_load():
    """Guards against claims refused below the store's write rate.

    Ends of claims once used up the writes, and instances whose wait for the
    shard's owner was too short wrote the shards themselves.
    """

    async def main():
        fleet = start_fleet(count=15, seed=3)
        rng = random.Random(1)

        async def run_one(node):
            claimed = await node.part.claim(request=request(rng.randbytes(32)))
            if claimed.is_ok():
                await asyncio.sleep(0.05)
                await claimed.ok.finish(verdict=Verdict.RAN)
            return claimed.is_ok()

        tasks = []
        for _ in range(1000):
            await asyncio.sleep(0.01)
            tasks.append(asyncio.create_task(run_one(rng.choice(fleet.nodes))))
        assert all(await asyncio.gather(*tasks))
        assert fleet.store_model.write_calls <= 200 * 10

    run_paused(main())


def test_customer_removed_before_claim():
    """Guards against an exception for a customer removed before the claim."""

    async def main():
        fleet = start_fleet()
        refused = await fleet.nodes[0].part.claim(
            request=request(b'key', customer='gone')
        )
        assert refused.error.code is RefusalCode.UNKNOWN_CUSTOMER
        assert refused.error.verdict is Verdict.DID_NOT_RUN

    run_paused(main())


def test_write_rate_of_fleet():
    """Guards against claims that use up the store's write rate."""

    async def main():
        fleet = start_fleet(count=15)

        async def send_load(node, index):
            for n in range(150):
                key = bytes((n % 256, index)) + n.to_bytes(4, 'big')
                await node.part.claim(request=request(key))

        started = asyncio.get_running_loop().time()
        await asyncio.gather(
            *(send_load(node, index) for index, node in enumerate(fleet.nodes))
        )
        spent = asyncio.get_running_loop().time() - started
        assert fleet.store_model.write_calls <= 200 * (spent + 1) + 15

    run_paused(main())


@pytest.mark.parametrize('records', ['digest', 'refuse'])
def test_home_regions(records):
    """Guards against customer data that leaves the home regions.

    It could leave in records of the store and in messages to other regions.
    """

    async def main():
        fleet = start_fleet(
            RecordOptions('east', home_region_records=records),
            count=6,
            home_regions=['west'],
        )
        home = fleet.nodes[1]
        results = [
            await home.part.claim(
                request=request(bytes((n,)) + b'key', customer='corrib-books')
            )
            for n in range(1, 20)
        ]
        if records == 'refuse':
            assert all(
                refusal_code(result) is RefusalCode.RECORD_UNAVAILABLE
                and result.error.verdict is Verdict.DID_NOT_RUN
                for result in results
            )
            assert not fleet.store_model.values
        for result in results:
            if result.is_ok():
                await result.ok.finish(verdict=Verdict.RAN)
        await asyncio.sleep(5)
        west = {
            member.instance_id
            for member in fleet.members
            if member.zone.region == 'west'
        }
        assert {to for to, _ in home.peers.sent} <= west
        stored = b''.join(v.value for v in fleet.store_model.values.values())
        for leak in (b'corrib', b'secret', b'gw-1', b'west'):
            assert leak not in stored

    run_paused(main())


def test_shard_updates_are_idempotent_and_bounded(monkeypatch):
    """Guards against entries lost in a full shard, and against late claims.

    A claim that arrives after its release must not take the key again.
    """
    monkeypatch.setattr(shards, 'MAX_ENTRIES', 1)
    claim = ShardUpdate(UpdateKind.CLAIM, 'a', '1')
    release = claim._replace(kind=UpdateKind.RELEASE)
    held, first = apply_updates({}, [claim], now=0)
    same, again = apply_updates(held, [claim], now=1)
    assert same == held
    assert first == again == (UpdateOutcome.DONE,)
    _, full = apply_updates(held, [claim._replace(digest='b')], now=1)
    assert full == (UpdateOutcome.FULL,)
    released, _ = apply_updates({}, [release], now=0)
    late, outcome = apply_updates(released, [claim], now=1)
    assert late == released
    assert outcome == (UpdateOutcome.IN_USE,)
    foreign, _ = apply_updates(held, [release._replace(attempt_id='2')], now=1)
    assert foreign == held
