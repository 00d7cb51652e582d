"""How long an exchange waits for its response.

Backend servers' responses must be complete at the caller's deadline. Those of
a store may be large and its links slow, so that no fixed time fits; they may
continue while they arrive.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol


class ResponseTimeout(Protocol):
    """Decides until when an exchange waits once its response has begun.

    Times are on the event loop's clock.
    """

    def next_deadline(
        self, *, deadline: float, begun_at: float, now: float
    ) -> float:
        """Time of the timeout after bytes have arrived at `now`.

        `deadline` is that of the exchange, `begun_at` the time of the first
        byte.
        """
        ...


class CompleteByDeadline:
    """`ResponseTimeout` that never extends the deadline."""

    def next_deadline(
        self, *, deadline: float, begun_at: float, now: float
    ) -> float:
        """Return the deadline of the exchange."""
        return deadline


class WhileArriving:
    """`ResponseTimeout` that lasts while bytes keep arriving.

    Past the deadline, the response fails `stall_s` after its latest byte,
    and `total_s` after its first one, since a trickle could go on for ever.
    """

    def __init__(self, *, stall_s: float, total_s: float) -> None:
        self._stall_s = stall_s
        self._total_s = total_s

    def next_deadline(
        self, *, deadline: float, begun_at: float, now: float
    ) -> float:
        """Return the end of both limits, at least the deadline."""
        return max(
            deadline, min(now + self._stall_s, begun_at + self._total_s)
        )


def arrival_observer(
    *,
    timeout: asyncio.Timeout,
    response_timeout: ResponseTimeout,
    deadline: float,
) -> Callable[[], None]:
    """Function that reschedules `timeout` each time that bytes arrive.

    The transport must call it. A task that reads the bytes runs later: after
    a stall of the process, the timeout would come first.
    """
    loop = asyncio.get_running_loop()
    begun_at: float | None = None

    def on_arrival() -> None:
        nonlocal begun_at
        if timeout.expired():
            return
        now = loop.time()
        if begun_at is None:
            begun_at = now
        next_deadline = response_timeout.next_deadline(
            deadline=deadline, begun_at=begun_at, now=now
        )
        if next_deadline != timeout.when():
            timeout.reschedule(next_deadline)

    return on_arrival
