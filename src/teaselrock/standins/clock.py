"""Runs coroutines on a paused event loop clock, for tests and the bench.

The clock jumps to the next timer as soon as no callback is ready, so a run
spends no real time waiting and is repeatable.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any
from typing import Final
from typing import TypeVar

import looptime

T = TypeVar('T')

DEFAULT_LIMIT_S: Final = 3600.0


def run_paused(
    main: Coroutine[Any, Any, T], *, limit_s: float = DEFAULT_LIMIT_S
) -> T:
    """Run `main` to its end; fails after `limit_s` seconds of loop time."""
    # Ready callbacks run before the clock moves in any case; looptime's extra
    # idle cycles before each move (42 by default) only take time.
    loop = looptime.new_event_loop(start=0, end=limit_s, noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        result: T = loop.run_until_complete(main)
        return result
    finally:
        pending = asyncio.all_tasks(loop)
        for task in pending:
            task.cancel()
        if pending:
            loop.run_until_complete(
                asyncio.gather(*pending, return_exceptions=True)
            )
        loop.close()
        asyncio.set_event_loop(None)
