"""Event loop of the daemons, whose clock runs while the machine is suspended.

Leases, permits and deadlines are times on the loop's clock. The monotonic
clock, which asyncio uses, stands still while a machine is suspended, so after
the suspension they would look valid although others have seen them expire.
"""

import asyncio
from collections.abc import Coroutine
import time
from typing import Any
from typing import TypeVar

T = TypeVar('T')


class SuspendAwareEventLoop(asyncio.SelectorEventLoop):
    """Event loop on the clock that counts the time of suspension."""

    def time(self) -> float:
        """Seconds since the machine was booted, suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def run(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine like `asyncio.run`, on `SuspendAwareEventLoop`."""
    with asyncio.Runner(loop_factory=SuspendAwareEventLoop) as runner:
        return runner.run(main)
