"""Ejection of stragglers and fast-failing servers of a group.

The allocator asks before it lends. An ejected server returns after a while
through the ramp of its limit.
"""

from collections.abc import Mapping
import statistics
from typing import Final

STRAGGLER_FACTOR: Final = 3.0
MAX_EJECTED_SHARE: Final = 0.4
EJECTION_S: Final = 1.0
# Consecutive reports with more failures than successes.
FAILING_REPORTS: Final = 3


class OutlierDetector:
    """Ejected servers of one group."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}
        self._failing: dict[str, int] = {}

    def is_ejected(self, server_id: str) -> bool:
        """Whether a server is ejected."""
        return server_id in self._until

    def observe(
        self, *, server_id: str, successes: int, failures: int
    ) -> None:
        """Count a report of outcomes."""
        if failures > successes:
            self._failing[server_id] = self._failing.get(server_id, 0) + 1
        elif successes:
            self._failing.pop(server_id, None)

    def review(
        self, *, latencies: Mapping[str, float], now: float
    ) -> tuple[list[str], list[str]]:
        """Eject and readmit; returns both lists.

        `latencies` holds all servers of the group in seconds, 0 if unknown.
        """
        readmitted = [
            one
            for one, until in self._until.items()
            if until <= now or one not in latencies
        ]
        for one in readmitted:
            del self._until[one]
            self._failing.pop(one, None)
        known = [value for value in latencies.values() if value > 0]
        median = statistics.median(known) if len(known) > 2 else 0.0
        room = int(MAX_EJECTED_SHARE * len(latencies)) - len(self._until)
        slow = [
            one
            for one, value in latencies.items()
            if one not in self._until
            and one not in readmitted
            and (
                (median and value > STRAGGLER_FACTOR * median)
                or self._failing.get(one, 0) >= FAILING_REPORTS
            )
        ]
        slow.sort(key=lambda one: -latencies[one])
        ejected = slow[: max(0, room)]
        for one in ejected:
            self._until[one] = now + EJECTION_S
        return ejected, readmitted
