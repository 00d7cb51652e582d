"""Ends of rows reach a keeper before a death can lose them."""

import asyncio

import pytest
from records_fleet import request
from test_report import end
from test_report import keeper_of
from test_report import read
from test_report import REFUSAL
from test_report import serve
from test_report import start

from teaselrock.coordination.reporting import ReportOptions
from teaselrock.coordination.reporting import SegmentReportWriter
from teaselrock.standins.clock import run_paused
from teaselrock.state import Verdict


@pytest.mark.parametrize('loss', [0.0, 0.3])
def test_writer_dies_after_the_answer(loss):
    """Guards against an answered request whose row has no end.

    Seed 0 of the fault experiment: ends waited 0.2 s for their batch.
    """

    async def main():
        fleet = start(count=12)
        node = fleet.nodes[0]
        fleet.network.set_loss(loss)
        await serve(node)
        node.part.record_refusal(request=request(), refusal=REFUSAL)
        # Repeats need time; without loss the first message is enough.
        await asyncio.sleep(0.9 if loss else 0.01)
        await end(fleet, node)
        fleet.network.set_loss(0.0)
        await asyncio.sleep(3)
        verdicts = [row.verdict for row in await read(fleet)]
        assert verdicts == [Verdict.RAN, Verdict.DID_NOT_RUN]

    run_paused(main())


def test_unended_row_consumes_its_units():
    """Guards against work that may have run and that nobody pays.

    Seed 8 of the fault experiment.
    """

    async def main():
        fleet = start()
        node = fleet.nodes[0]
        task = asyncio.create_task(serve(node, seconds=50))
        await asyncio.sleep(0.1)
        task.cancel()
        await end(fleet, node)
        await asyncio.sleep(3)
        rows = await read(fleet)
        assert [(row.verdict, row.units) for row in rows] == [(None, 1)]

    run_paused(main())


def test_keeper_learns_of_a_fast_restart():
    """Guards against rows kept for ever after a restart that no one saw.

    Seed 1 of the fault experiment: the new start sent the keeper no rows.
    """

    async def main():
        fleet = start()
        node = fleet.nodes[0]
        await serve(node)
        for task in node.part._tasks:
            task.cancel()
        await asyncio.gather(*node.part._tasks, return_exceptions=True)
        node.part = SegmentReportWriter(
            **node.common(fleet), incarnation=2, options=ReportOptions('east')
        )
        node.part.start()
        await asyncio.sleep(15)
        assert [row.verdict for row in await read(fleet)] == [Verdict.RAN]

    run_paused(main())


def test_two_stops_at_once():
    """Guards against two writers of one log, which lose a segment."""

    async def main():
        fleet = start()
        node = fleet.nodes[0]
        await serve(node)
        await asyncio.gather(
            node.part.stop(timeout=5), node.part.stop(timeout=5)
        )
        assert len(await read(fleet)) == 1

    run_paused(main())


def test_keeper_stops_and_writer_dies():
    """Guards against kept rows that are lost in a planned stop.

    Seed 44 of the fault experiment.
    """

    async def main():
        fleet = start(count=12)
        node = fleet.nodes[0]
        await serve(node)
        keeper = keeper_of(fleet, node)
        await keeper.part.stop(timeout=5)
        await serve(node)
        await end(fleet, node)
        await end(fleet, keeper)
        await asyncio.sleep(3)
        assert len(await read(fleet)) == 2

    run_paused(main())
