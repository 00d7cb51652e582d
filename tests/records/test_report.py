"""The report: each request appears once and as it happened, despite faults."""

import asyncio
import random

import pytest
from records_fleet import Fleet
from records_fleet import request
from records_fleet import START_S

from teaselrock.coordination.report_reader import ReportReader
from teaselrock.coordination.report_reader import RowQuery
from teaselrock.coordination.reporting import EndedRows
from teaselrock.coordination.reporting import ReportOptions
from teaselrock.coordination.reporting import SegmentReportWriter
from teaselrock.standins.clock import run_paused
from teaselrock.standins.store import MemoryStore
from teaselrock.state import AttemptOutcome
from teaselrock.state import AttemptReason
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer
from teaselrock.state import Refusal
from teaselrock.state import RefusalCode
from teaselrock.state import Verdict
from teaselrock.state.report import Account
from teaselrock.state.report import accounting_lines
from teaselrock.state.report import completeness_by_writer
from teaselrock.state.report import operations_lines
from teaselrock.state.report import reconcile
from teaselrock.state.report import units_by_account

SERVER = BackendServer(
    'server-7', 'desk', AvailabilityZone('west', 'b'), 'x:1', 3
)
ALL_ROWS = RowQuery(START_S - 60, START_S + 7200)
REFUSAL = Refusal(RefusalCode.RATE_EXCEEDED, Verdict.DID_NOT_RUN, 'rate')


def start_fleet(*, store_region='east', count=6, **kwargs):
    fleet = Fleet(count=count, **kwargs)
    for node in fleet.nodes:
        node.part = SegmentReportWriter(
            **node.common_arguments(fleet),
            incarnation=1,
            options=ReportOptions(store_region),
        )
        node.part.start()
    return fleet


async def record_request(node, *, customer='shannon-press', seconds=0.01):
    opened = node.part.open_row(request=request(customer=customer))
    if opened.is_error():
        return opened.error
    await asyncio.sleep(seconds)
    opened.ok.add_attempt(
        server=SERVER,
        reason=AttemptReason.SPILL_LOAD,
        outcome=AttemptOutcome(seconds),
        verdict=Verdict.RAN,
        evidence='',
    )
    await opened.ok.finish(verdict=Verdict.RAN, units=2, refusal=None)
    return None


async def read_rows(fleet, query=ALL_ROWS):
    reader = ReportReader(
        store=MemoryStore(model=fleet.store_model), codec=fleet.codec
    )
    return [row async for row in reader.rows(query)]


async def read_accounting(fleet):
    reader = ReportReader(
        store=MemoryStore(model=fleet.store_model), codec=fleet.codec
    )
    return [row async for row in reader.accounting(ALL_ROWS)]


async def kill_node(fleet, node, *, is_detected=True):
    """Kill an instance: its tasks end at once."""
    for task in node.part._tasks:
        task.cancel()
    fleet.kill(node, is_detected=is_detected)


def keeper_of(fleet, node):
    """The node that keeps the copies of a writer's rows."""
    to = node.peers.sent[0][0]
    return next(peer for peer in fleet.nodes if peer.own.instance_id == to)


def test_rows_state_path_and_outcome():
    """Guards against rows without zone, server, reason, outcome or units."""

    async def main():
        fleet = start_fleet()
        await record_request(fleet.nodes[0])
        fleet.nodes[0].part.record_refusal(request=request(), refusal=REFUSAL)
        await asyncio.sleep(2)
        rows = await read_rows(fleet)
        lines = list(operations_lines(rows))
        assert [line.attempts for line in lines] == [
            ('west/b/server-7 spill-load ran',),
            (),
        ]
        assert lines[1].outcome == 'did-not-run rate-exceeded'
        totals = units_by_account(rows)
        assert totals == {Account('shannon-press', 'basic', 'desk'): 2}
        assert reconcile(totals=totals, lines=lines) == ()
        totals[lines[0].account] += 1
        assert reconcile(totals=totals, lines=lines) == (
            (lines[0].account, 3, 2),
        )
        for query in (
            ALL_ROWS._replace(customer='corrib-books'),
            ALL_ROWS._replace(zone='b'),
            ALL_ROWS._replace(since=START_S + 60),
        ):
            assert await read_rows(fleet, query) == []
        assert (
            len(await read_rows(fleet, ALL_ROWS._replace(region='east'))) == 2
        )

    run_paused(main())


@pytest.mark.parametrize(
    ('fault', 'wait', 'unconfirmed'),
    [
        ('none', (0.0, 0.02), 0),
        ('keeper-dead', (0.05, 0.08), 0),
        ('both-dead', (0.1, 0.12), 1),
    ],
)
def test_wait_for_keeper(fault, wait, unconfirmed):
    """Guards against a response without a row copy, and against long waits.

    A dead keeper is replaced after a short wait; if both are dead, the row
    is counted as unconfirmed.
    """

    async def main():
        # Six zones and two more instances in a second zone of the region.
        fleet = start_fleet(count=12)
        node = fleet.nodes[0]
        first, second = node.part._choose_keepers(
            fleet.directory.document['customers']['shannon-press']
        )
        if fault != 'none':
            fleet.network.remove(instance_id=first)
        if fault == 'both-dead':
            fleet.network.remove(instance_id=second)
        started = asyncio.get_running_loop().time()
        await record_request(node, seconds=0.0)
        spent = asyncio.get_running_loop().time() - started
        assert wait[0] <= spent <= wait[1]
        assert node.part.unconfirmed_rows == unconfirmed
        zones = {member.instance_id: member.zone for member in fleet.members}
        for to, _ in node.peers.sent:
            assert zones[to].region == node.own.zone.region
            assert zones[to] != node.own.zone

    run_paused(main())


@pytest.mark.parametrize('moment', ['open', 'ended', 'flushed'])
def test_writer_dies(moment):
    """Guards against rows lost with their writer, and units counted twice.

    The writer dies before the row's end, before its flush or after it.
    """

    async def main():
        fleet = start_fleet()
        node = fleet.nodes[0]
        if moment == 'open':
            task = asyncio.create_task(record_request(node, seconds=50))
            await asyncio.sleep(0.1)
            task.cancel()
        else:
            await record_request(node)
            await asyncio.sleep(0.5 if moment == 'ended' else 2)
        await kill_node(fleet, node)
        await asyncio.sleep(3)
        rows = await read_rows(fleet)
        assert len(rows) == 1
        if moment == 'open':
            assert rows[0].verdict is None
            line = next(iter(operations_lines(rows)))
            assert line.outcome == 'outcome-unknown'
        else:
            assert rows[0].verdict is Verdict.RAN
            assert rows[0].units == 2

    run_paused(main())


@pytest.mark.parametrize('dies', ['keeper', 'both'])
def test_keeper_dies(dies):
    """Guards against row loss beyond the documented limit.

    Rows are lost only if writer and keeper both die before a flush.
    """

    async def main():
        fleet = start_fleet()
        node = fleet.nodes[0]
        await record_request(node)
        await kill_node(fleet, keeper_of(fleet, node))
        if dies == 'both':
            await kill_node(fleet, node)
        await asyncio.sleep(3)
        assert len(await read_rows(fleet)) == (1 if dies == 'keeper' else 0)

    run_paused(main())


@pytest.mark.parametrize('seed', range(10))
def test_totals_under_faults(seed):
    """Guards against totals with repeated or lost rows.

    Flushes are repeated, reordered or lost, and a keeper flushes rows of a
    writer that it takes for failed.
    """

    async def main():
        fleet = start_fleet(seed=seed)
        rng = random.Random(seed)
        fleet.store_model.lost_response_share = 0.3
        fleet.network.set_loss(0.1)

        async def send_load(node):
            for _ in range(60):
                await asyncio.sleep(rng.random() * 0.2)
                await record_request(node)

        tasks = [asyncio.create_task(send_load(node)) for node in fleet.nodes]
        await asyncio.sleep(3)
        # A false detection: the keeper flushes rows of a live writer.
        keeper = keeper_of(fleet, fleet.nodes[0])
        fleet.remove_from_views(fleet.nodes[0], [keeper])
        await asyncio.gather(*tasks)
        await asyncio.gather(
            *(node.part.stop(timeout=30) for node in fleet.nodes)
        )
        rows = await read_rows(fleet)
        assert len(rows) == 360
        assert sum(units_by_account(rows).values()) == 720
        reader = ReportReader(store=fleet.nodes[0].store, codec=fleet.codec)
        covers = [cover async for cover in reader.segment_coverage(ALL_ROWS)]
        done = completeness_by_writer(covers)
        assert len(done) == 6
        assert all(item.is_final and not item.missing for item in done)
        fleet.store_model.lost_response_share = 0.0
        compacted = await reader.compact(day='2026-12-04')
        assert compacted.ok > 6
        again = await read_rows(fleet)
        assert sorted(again) == sorted(rows)
        assert (
            completeness_by_writer(
                [c async for c in reader.segment_coverage(ALL_ROWS)]
            )
            == done
        )
        gaps = [cover for cover in covers if cover.number != 1]
        assert all(
            item.missing == (1,) for item in completeness_by_writer(gaps)
        )
        expired = await reader.expire(now=START_S + 9 * 86400, keep_days=8)
        assert expired.ok > 0
        assert await read_rows(fleet) == []

    run_paused(main())


def test_store_outage_of_an_hour():
    """Guards against lost rows and unbounded memory in a store outage.

    When the held rows reach their limit, requests are refused instead.
    """

    async def main():
        fleet = start_fleet(count=2)
        node = fleet.nodes[0]
        fleet.store_model.is_down = True
        served = 0
        refused = None
        for _ in range(3600):
            for _ in range(4):
                failed = await record_request(node, seconds=0.0)
                served += failed is None
                refused = failed or refused
            await asyncio.sleep(1)
        assert refused.code is RefusalCode.REPORT_UNAVAILABLE
        assert refused.verdict is Verdict.DID_NOT_RUN
        assert node.part.rows_in_memory <= 8000
        fleet.store_model.is_down = False
        await asyncio.sleep(5)
        assert await record_request(node) is None
        await asyncio.sleep(5)
        rows = await read_rows(fleet)
        assert len(rows) == served + 1
        assert all(
            len(stored.value) <= 900_000
            for stored in fleet.store_model.values.values()
        )

    run_paused(main(), limit_s=10_000)


@pytest.mark.parametrize('dies', [False, True])
def test_home_regions(dies):
    """Guards against customer data that leaves the home regions.

    It could leave in the store, in messages and with a keeper's flush.
    """

    async def main():
        fleet = start_fleet(home_regions=['west'])
        node = fleet.nodes[1]
        assert node.own.zone.region == 'west'
        await record_request(node, customer='corrib-books')
        await asyncio.sleep(0.5)
        if dies:
            await kill_node(fleet, node)
        await asyncio.sleep(3)
        regions = {
            member.instance_id: member.zone.region for member in fleet.members
        }
        assert {regions[to] for to, _ in node.peers.sent} == {'west'}
        assert await read_rows(fleet) == []
        accounting = await read_accounting(fleet)
        assert [row.units for row in accounting] == [2]
        assert (
            reconcile(
                totals=units_by_account(accounting),
                lines=accounting_lines(accounting),
            )
            == ()
        )
        stored = b''.join(
            found.value for found in fleet.store_model.values.values()
        )
        for leak in (b'server-7', b'secret', b'west'):
            assert leak not in stored

    run_paused(main())


def test_accounting_rows_count_once():
    """Guards against units that writer and keeper both count.

    The keeper takes the writer for failed and flushes its accounting rows.
    """

    async def main():
        fleet = start_fleet(home_regions=['west'])
        node = fleet.nodes[1]
        await record_request(node, customer='corrib-books')
        keeper = keeper_of(fleet, node)
        fleet.remove_from_views(node, [keeper])
        ended = node.part._ended_rows[0]
        keeper.peers.handlers[EndedRows](
            sender=node.own.instance_id, message=EndedRows((ended,))
        )
        await asyncio.sleep(5)
        assert [row.units for row in await read_accounting(fleet)] == [2]

    run_paused(main())


def test_customer_removed_before_open():
    """Guards against an exception for a customer removed before `open_row`."""

    async def main():
        fleet = start_fleet()
        refused = fleet.nodes[0].part.open_row(
            request=request(customer='gone')
        )
        assert refused.error.code is RefusalCode.UNKNOWN_CUSTOMER
        assert refused.error.verdict is Verdict.DID_NOT_RUN

    run_paused(main())


def test_segment_number_in_use():
    """Guards against a writer that is stuck at a segment number in use.

    Another writer has stored a segment under the same key.
    """

    async def main():
        fleet = start_fleet()
        await fleet.store_model.put(
            'report/2026-12-04/gw-0/1/00000000', b'[[],[],[]]', 0
        )
        await record_request(fleet.nodes[0])
        await asyncio.sleep(3)
        assert len(await read_rows(fleet)) == 1

    run_paused(main())
