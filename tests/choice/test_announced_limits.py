"""Rate limits that servers announce, as this instance learns of them."""

import asyncio

from choice_world import backend_server
from choice_world import load_report
from choice_world import World

from teaselrock.coordination.choice import AnnouncedLimits
from teaselrock.coordination.choice.refusals import RETRY_AFTER_S
from teaselrock.coordination.events import Event
from teaselrock.standins.clock import run_paused

SERVER = backend_server('s1')
UNLIMITED = load_report()
LIMITED = load_report()._replace(rate_limit=3.5)


def test_limit_holds_until_a_report_without_it() -> None:
    """Guards against a limit that is forgotten or kept for too long."""

    async def main() -> None:
        world = World({})
        limits = AnnouncedLimits(events=world)
        for load in (LIMITED, LIMITED, LIMITED._replace(rate_limit=2.0)):
            limits.observe(server=SERVER, load=load, is_check=True)
            await asyncio.sleep(1.0)
        limit = limits.limit('s1')
        assert limit is not None
        assert (limit.rate, limit.since) == (2.0, 0.0)
        assert limits.server_counts == {'desk': 1}
        limits.observe(server=SERVER, load=UNLIMITED, is_check=False)
        assert limits.limit('s1') is None
        assert world.events == [
            Event.SERVER_RATE_LIMITED,
            Event.SERVER_RATE_LIMITED,
            Event.SERVER_RATE_LIMIT_ENDED,
        ]

    run_paused(main())


def test_load_checks_do_not_end_a_limit_of_responses_at_once() -> None:
    """Guards against a server whose load checks never state its limit."""

    async def main() -> None:
        limits = AnnouncedLimits(events=World({}))
        limits.observe(server=SERVER, load=LIMITED, is_check=False)
        await asyncio.sleep(4.0)
        limits.observe(server=SERVER, load=UNLIMITED, is_check=True)
        assert limits.limit('s1') is not None
        await asyncio.sleep(2.0)
        limits.observe(server=SERVER, load=UNLIMITED, is_check=True)
        assert limits.limit('s1') is None

    run_paused(main())


def test_slot_states_the_limit_that_was_known() -> None:
    """Guards against logs that do not tell a limited from a slow server."""

    async def main() -> None:
        world = World({SERVER: LIMITED})
        acquired = await world.acquire()
        assert acquired.ok.evidence.endswith(',limit3.5')
        assert world.events == [Event.SERVER_RATE_LIMITED]

    run_paused(main())


def test_refusal_names_the_limit_beside_an_overloaded_server() -> None:
    """Guards against logs and a Retry-After that ignore a limited server.

    The other server of the service cannot answer before the deadline.
    """

    async def main() -> None:
        slow = backend_server('slow')
        world = World({SERVER: LIMITED, slow: load_report(6, queued=500)})
        acquired = await world.acquire()
        while acquired.is_ok():
            assert acquired.ok.server == SERVER
            acquired = await world.acquire()
        refusal = acquired.error
        assert f'server {SERVER.server_id} takes 3.5 requests/s' in (
            refusal.detail
        )
        assert 'others: expected ' in refusal.detail
        assert refusal.retry_after is not None
        assert refusal.retry_after != RETRY_AFTER_S

    run_paused(main())
