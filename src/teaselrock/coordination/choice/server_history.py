"""Failure rate and slowdown of each server, as observed by this instance.

Load checks can mislead: a server may answer them and still fail requests, or
be slower than it reports. `checked_slots` weights its estimates by this.
"""

import asyncio
from typing import Final

from teaselrock.state import AttemptOutcome
from teaselrock.state import FailureKind

# Weight of a new outcome in the moving averages.
EWMA_WEIGHT: Final = 0.25
# Past failures and slowdowns lose half of their weight in this time.
HALF_LIFE_S: Final = 3.0
# A failure rate of 1 adds this multiple to the expected latency.
FAILURE_PENALTY_FACTOR: Final = 12.0
# Largest ratio of actual to expected latency that is recorded.
MAX_SLOWDOWN: Final = 8.0
# Exponential delay until a server is checked again after a failed check.
RECHECK_MIN_S: Final = 0.5
RECHECK_MAX_S: Final = 4.0
_SERVER_FAULTS: Final = frozenset(
    {
        FailureKind.NO_RESPONSE,
        FailureKind.INVALID_RESPONSE,
        FailureKind.SERVER_ERROR,
        FailureKind.TIMEOUT,
    }
)


class _ServerRecord:
    def __init__(self, now: float) -> None:
        self.failure_rate = 0.0
        self.slowdown = 1.0
        self.updated_at = now
        self.unreachable_until = float('-inf')
        self.recheck_delay = RECHECK_MIN_S

    def decay(self, now: float) -> None:
        retained = 0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE_S)
        self.failure_rate *= retained
        self.slowdown = 1.0 + (self.slowdown - 1.0) * retained
        self.updated_at = now


class ServerHistory:
    """Outcomes and reachability of servers by id."""

    def __init__(self) -> None:
        self._records: dict[str, _ServerRecord] = {}

    def penalty(self, server_id: str) -> float:
        """Factor on the server's expected latency, 1.0 without a record."""
        record = self._records.get(server_id)
        if record is None:
            return 1.0
        record.decay(asyncio.get_running_loop().time())
        return record.slowdown * (
            1.0 + FAILURE_PENALTY_FACTOR * record.failure_rate
        )

    def may_check(self, server_id: str) -> bool:
        """Whether the server has no record or its recheck delay is over."""
        record = self._records.get(server_id)
        now = asyncio.get_running_loop().time()
        return record is None or now >= record.unreachable_until

    def observe(
        self,
        *,
        server_id: str,
        outcome: AttemptOutcome,
        expected_latency: float,
    ) -> None:
        """Record an attempt; `expected_latency` is in seconds."""
        record = self._decayed_record(server_id)
        failed = outcome.failure in _SERVER_FAULTS
        record.failure_rate += EWMA_WEIGHT * (failed - record.failure_rate)
        if outcome.failure is None and expected_latency > 0:
            # A ratio below 0.5 counts as 0.5.
            ratio = min(
                MAX_SLOWDOWN, max(0.5, outcome.latency / expected_latency)
            )
        elif outcome.failure in (FailureKind.TIMEOUT, FailureKind.CANCELLED):
            # The latency is a lower bound, so it must not lower the average.
            # 0.001 s avoids a division by zero.
            ratio = min(
                MAX_SLOWDOWN, outcome.latency / max(expected_latency, 0.001)
            )
            if ratio < record.slowdown:
                return
        else:
            return
        record.slowdown += EWMA_WEIGHT * (ratio - record.slowdown)

    def record_unreachable(self, server_id: str) -> None:
        """Record a failed check, which delays the next one."""
        record = self._decayed_record(server_id)
        now = asyncio.get_running_loop().time()
        if now < record.unreachable_until:
            return
        record.unreachable_until = now + record.recheck_delay
        record.recheck_delay = min(RECHECK_MAX_S, record.recheck_delay * 2)

    def record_reachable(self, server_id: str) -> None:
        """Record an answered check, which resets the delay."""
        record = self._records.get(server_id)
        if record is not None:
            record.unreachable_until = float('-inf')
            record.recheck_delay = RECHECK_MIN_S

    def drop_server(self, server_id: str) -> None:
        """Drop the record of a server that was removed."""
        self._records.pop(server_id, None)

    def _decayed_record(self, server_id: str) -> _ServerRecord:
        now = asyncio.get_running_loop().time()
        record = self._records.setdefault(server_id, _ServerRecord(now))
        record.decay(now)
        return record
