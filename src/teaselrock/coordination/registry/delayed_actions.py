"""Actions that are due after a delay, at most one for each object."""

import asyncio
from collections.abc import Callable


class DelayedActions:
    """Timers by name; each is cancelled or calls its action once."""

    def __init__(self) -> None:
        self._timers: dict[str, asyncio.TimerHandle] = {}

    def schedule(
        self, name: str, *, delay: float, action: Callable[[str], None]
    ) -> None:
        """Call `action` with `name` after `delay` seconds.

        A timer that runs for this name stays as it is.
        """

        def run() -> None:
            del self._timers[name]
            action(name)

        if name not in self._timers:
            loop = asyncio.get_running_loop()
            self._timers[name] = loop.call_later(delay, run)

    def cancel(self, name: str) -> None:
        """Cancel the timer of a name, if there is one."""
        timer = self._timers.pop(name, None)
        if timer is not None:
            timer.cancel()

    def stop(self) -> None:
        """Cancel all timers."""
        for name in tuple(self._timers):
            self.cancel(name)
