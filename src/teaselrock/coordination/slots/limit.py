"""Adaptive concurrency limit of one backend server.

The allocator keeps one for each server of its groups. The limit of a new
start begins at 1 and grows with successes only. It is cut at once on an
overload, a refused connection or a latency step.
"""

from collections import deque
from typing import Final

from teaselrock.coordination.slots.messages import ServerOutcomes
from teaselrock.state import ServerState

# Successes per unit of the limit that raise the limit by one. A cold server
# needs more of them than one that reports the state WARM.
COLD_SUCCESSES_PER_UNIT: Final = 4
WARM_SUCCESSES_PER_UNIT: Final = 1
# Recent latency above this multiple of the baseline is a latency step.
LATENCY_STEP_FACTOR: Final = 3.0
# Successes of a start before a latency step can be detected.
MIN_BASELINE_SAMPLES: Final = 20
# Gains of the moving averages: of the baseline for each success, of the recent
# latency for each report.
BASELINE_GAIN: Final = 0.02
RECENT_GAIN: Final = 0.3
# One overload shows in several responses, so cuts are at least this far apart.
CUT_INTERVAL_S: Final = 0.1
INITIAL_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 1.0
# Former start ids that are kept, so that their late load reports are ignored.
MAX_FORMER_STARTS: Final = 8


class AdaptiveLimit:
    """Limit of one server, between 1 and its concurrency."""

    def __init__(
        self,
        *,
        concurrency: int,
        start_id: str = '',
        limit: int = 1,
        since: float = 0.0,
    ) -> None:
        self._concurrency = concurrency
        self._start_id = start_id
        self._limit = max(1, min(limit, concurrency))
        # Load reports from before this time are not taken as a new start.
        self._start_reported_at = since
        self._former_starts: deque[str] = deque(maxlen=MAX_FORMER_STARTS)
        self._successes = 0
        self._state = ServerState.COLD
        self._reported_capacity = concurrency
        self._baseline_latency_s = 0.0
        self._recent_latency_s = 0.0
        self._samples = 0
        self._last_cut = -CUT_INTERVAL_S
        self._consecutive_refusals = 0
        self._blocked_until = 0.0

    @property
    def limit(self) -> int:
        """Units that may be lent now, not counting effects of a partition.

        A cold server's own report may lower the limit but never raises it.
        Until the start id is known the limit is 1.
        """
        if self._start_id == '':
            return 1
        if self._state is ServerState.COLD:
            return max(1, min(self._limit, self._reported_capacity))
        return self._limit

    @property
    def start_id(self) -> str:
        """Id of the start that the limit belongs to, '' if unknown."""
        return self._start_id

    @property
    def latency_s(self) -> float:
        """Recent latency in seconds, 0 if there is none."""
        return self._recent_latency_s

    @property
    def is_draining(self) -> bool:
        """Whether this start has reported that it is draining."""
        return self._state is ServerState.DRAINING

    @property
    def blocked_until(self) -> float:
        """Loop time until which no unit is lent after a refused connection."""
        return self._blocked_until

    def set_concurrency(self, concurrency: int) -> None:
        """Apply a change of the configured concurrency."""
        self._concurrency = concurrency
        self._limit = min(self._limit, concurrency)

    def restart(self, start_id: str) -> None:
        """Replace the start by a new one; its limit begins at 1."""
        if self._start_id:
            self._former_starts.append(self._start_id)
        self._start_id = start_id
        self._limit = 1
        self._successes = 0
        self._state = ServerState.COLD
        self._reported_capacity = self._concurrency
        self._drop_latencies()

    def restore(self, *, start_id: str, limit: int) -> None:
        """Restore the limit from a member's answer to a lease query.

        If answers contain different starts, it is unknown which one is
        newer, so the slow start begins again with the start unknown.
        """
        if (
            self._start_id in ('', start_id)
            and start_id not in self._former_starts
        ):
            self._start_id = start_id
            self._limit = max(self._limit, min(limit, self._concurrency))
        elif start_id not in self._former_starts:
            self._former_starts.append(start_id)
            self.restart('')

    def slow_start(self) -> None:
        """Begin the slow start again for the same start, after an ejection.

        Former latencies are dropped: they would eject the server again
        before it has responded to any request.
        """
        self._limit = 1
        self._successes = 0
        self._drop_latencies()

    def observe(self, *, outcomes: ServerOutcomes, now: float) -> None:
        """Adapt the limit to outcomes that a borrower reports."""
        reported_start = outcomes.reported_start_id
        if reported_start and reported_start != self._start_id:
            reported_at = now - outcomes.age_ms / 1000
            if (
                reported_start in self._former_starts
                or reported_at < self._start_reported_at
            ):
                return
            self._start_reported_at = reported_at
            self.restart(reported_start)
        if reported_start:
            self._state = ServerState(outcomes.state)
            self._reported_capacity = outcomes.capacity
        if outcomes.start_id not in ('', self._start_id):
            # Outcomes of a former start do not change the current limit.
            return
        if outcomes.refused:
            self._back_off(now)
            return
        if outcomes.overloads:
            self._cut(now)
        if outcomes.successes:
            self._consecutive_refusals = 0
            self._record_successes(outcomes, now)

    def _record_successes(self, outcomes: ServerOutcomes, now: float) -> None:
        mean_latency_s = outcomes.latency_ms / outcomes.successes / 1000
        if self._samples == 0:
            self._baseline_latency_s = self._recent_latency_s = mean_latency_s
        self._samples += outcomes.successes
        self._recent_latency_s += RECENT_GAIN * (
            mean_latency_s - self._recent_latency_s
        )
        # One report moves the baseline by at most half of the difference.
        gain = min(0.5, BASELINE_GAIN * outcomes.successes)
        self._baseline_latency_s += gain * (
            mean_latency_s - self._baseline_latency_s
        )
        is_step = (
            self._recent_latency_s
            > LATENCY_STEP_FACTOR * self._baseline_latency_s
        )
        if is_step and self._samples > MIN_BASELINE_SAMPLES:
            self._cut(now)
            return
        self._successes += outcomes.successes
        successes_per_unit = (
            WARM_SUCCESSES_PER_UNIT
            if self._state is ServerState.WARM
            else COLD_SUCCESSES_PER_UNIT
        )
        while (
            self._successes >= successes_per_unit * self._limit
            and self._limit < self._concurrency
        ):
            self._successes -= successes_per_unit * self._limit
            self._limit += 1

    def _drop_latencies(self) -> None:
        self._samples = 0
        self._baseline_latency_s = self._recent_latency_s = 0.0

    def _cut(self, now: float) -> None:
        self._successes = 0
        if now - self._last_cut >= CUT_INTERVAL_S:
            self._last_cut = now
            self._limit = max(1, self._limit // 2)

    def _back_off(self, now: float) -> None:
        self._limit = 1
        self._successes = 0
        self._consecutive_refusals += 1
        # The bound on the exponent only keeps the power small; the delay
        # reaches `MAX_BACKOFF_S` before it.
        backoff = INITIAL_BACKOFF_S * 2 ** min(
            self._consecutive_refusals - 1, 8
        )
        self._blocked_until = now + min(MAX_BACKOFF_S, backoff)
