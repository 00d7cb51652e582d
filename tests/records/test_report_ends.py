"""Ends of rows must reach a keeper before their writer can lose them."""

import asyncio

import pytest
from records_fleet import request
from test_report import keeper_of
from test_report import kill_node
from test_report import read_rows
from test_report import record_request
from test_report import REFUSAL
from test_report import start_fleet

from teaselrock.coordination.reporting import ReportOptions
from teaselrock.coordination.reporting import SegmentReportWriter
from teaselrock.standins.clock import run_paused
from teaselrock.state import Verdict


@pytest.mark.parametrize('loss', [0.0, 0.3])
def test_writer_dies_after_the_answer(loss):
    """Guards against an answered request whose row has no end.

    Found by seed 0 of the bench experiment `faults`: ends waited 0.2 s for
    their batch, and the writer died before it was sent.
    """

    async def main():
        fleet = start_fleet(count=12)
        node = fleet.nodes[0]
        fleet.network.set_loss(loss)
        await record_request(node)
        node.part.record_refusal(request=request(), refusal=REFUSAL)
        # Repeats need time; without loss the first message is enough.
        await asyncio.sleep(0.9 if loss else 0.01)
        await kill_node(fleet, node)
        fleet.network.set_loss(0.0)
        await asyncio.sleep(3)
        verdicts = [row.verdict for row in await read_rows(fleet)]
        assert verdicts == [Verdict.RAN, Verdict.DID_NOT_RUN]

    run_paused(main())


def test_row_without_end_counts_its_units():
    """Guards against free units of requests that may have run.

    The writer dies before the row's end. Found by seed 8 of the bench
    experiment `faults`.
    """

    async def main():
        fleet = start_fleet()
        node = fleet.nodes[0]
        task = asyncio.create_task(record_request(node, seconds=50))
        await asyncio.sleep(0.1)
        task.cancel()
        await kill_node(fleet, node)
        await asyncio.sleep(3)
        rows = await read_rows(fleet)
        assert [(row.verdict, row.units) for row in rows] == [(None, 1)]

    run_paused(main())


def test_keeper_detects_a_fast_restart():
    """Guards against rows that a keeper holds for ever.

    The writer restarts before its failure is detected. Found by seed 1 of
    the bench experiment `faults`: the new start sent the keeper no rows.
    """

    async def main():
        fleet = start_fleet()
        node = fleet.nodes[0]
        await record_request(node)
        for task in node.part._tasks:
            task.cancel()
        await asyncio.gather(*node.part._tasks, return_exceptions=True)
        node.part = SegmentReportWriter(
            **node.common_arguments(fleet),
            incarnation=2,
            options=ReportOptions('east'),
        )
        node.part.start()
        await asyncio.sleep(15)
        assert [row.verdict for row in await read_rows(fleet)] == [Verdict.RAN]

    run_paused(main())


def test_concurrent_stops():
    """Guards against a segment lost when two stops flush at the same time."""

    async def main():
        fleet = start_fleet()
        node = fleet.nodes[0]
        await record_request(node)
        await asyncio.gather(
            node.part.stop(timeout=5), node.part.stop(timeout=5)
        )
        assert len(await read_rows(fleet)) == 1

    run_paused(main())


def test_keeper_stops_and_writer_dies():
    """Guards against row copies lost in a planned stop of their keeper.

    The writer dies after the keeper has stopped. Found by seed 44 of the
    bench experiment `faults`.
    """

    async def main():
        fleet = start_fleet(count=12)
        node = fleet.nodes[0]
        await record_request(node)
        keeper = keeper_of(fleet, node)
        await keeper.part.stop(timeout=5)
        await record_request(node)
        await kill_node(fleet, node)
        await kill_node(fleet, keeper)
        await asyncio.sleep(3)
        assert len(await read_rows(fleet)) == 2

    run_paused(main())
