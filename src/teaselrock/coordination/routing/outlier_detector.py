"""Outlier detection: ejects slow or failing servers of a group.

The allocator lends no units of an ejected server. After `EJECTION_S` the
server is readmitted, and its limit begins with a slow start.
"""

from collections.abc import Mapping
import statistics
from typing import Final

# A server is slow above this multiple of the median latency of its group.
SLOW_SERVER_FACTOR: Final = 3.0
# Largest share of the servers of a group that is ejected at a time.
MAX_EJECTED_SHARE: Final = 0.4
# Duration of an ejection.
EJECTION_S: Final = 1.0
# Consecutive reports with more failures than successes that eject a server.
EJECTION_FAILING_REPORTS: Final = 3


class OutlierDetector:
    """Detects the outliers of one group and tracks the ejected servers."""

    def __init__(self) -> None:
        self._ejected_until: dict[str, float] = {}
        self._failing_reports: dict[str, int] = {}

    def is_ejected(self, server_id: str) -> bool:
        """Whether a server is ejected."""
        return server_id in self._ejected_until

    def observe(
        self, *, server_id: str, successes: int, failures: int
    ) -> None:
        """Record the outcomes in one report of a borrower."""
        if failures > successes:
            self._failing_reports[server_id] = (
                self._failing_reports.get(server_id, 0) + 1
            )
        elif successes:
            self._failing_reports.pop(server_id, None)

    def review(
        self, *, latencies: Mapping[str, float], now: float
    ) -> tuple[list[str], list[str]]:
        """Eject and readmit servers; returns the ejected and the readmitted.

        `latencies` holds the latency of every server of the group in
        seconds, 0 if unknown.
        """
        readmitted = [
            server_id
            for server_id, until in self._ejected_until.items()
            if until <= now or server_id not in latencies
        ]
        for server_id in readmitted:
            del self._ejected_until[server_id]
            self._failing_reports.pop(server_id, None)
        positive_latencies = [
            latency for latency in latencies.values() if latency > 0
        ]
        median = (
            statistics.median(positive_latencies)
            if len(positive_latencies) > 2
            else 0.0
        )
        ejections_left = int(MAX_EJECTED_SHARE * len(latencies)) - len(
            self._ejected_until
        )
        outliers = [
            server_id
            for server_id, latency in latencies.items()
            if server_id not in self._ejected_until
            and server_id not in readmitted
            and (
                (median and latency > SLOW_SERVER_FACTOR * median)
                or self._failing_reports.get(server_id, 0)
                >= EJECTION_FAILING_REPORTS
            )
        ]
        outliers.sort(key=lambda server_id: -latencies[server_id])
        ejected = outliers[: max(0, ejections_left)]
        for server_id in ejected:
            self._ejected_until[server_id] = now + EJECTION_S
        return ejected, readmitted
