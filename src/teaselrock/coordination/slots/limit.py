"""Adaptive concurrency limit of one backend server.

The allocator owns one for each server of its groups. A new start id begins
at 1; the limit grows with successes only, and is cut at once on load
shedding, a refused connection or a latency step.
"""

from collections import deque
from typing import Final

from teaselrock.coordination.slots.messages import ServerOutcomes
from teaselrock.state import ServerState

# Successes needed for one more unit, for each unit of the limit. A cold
# server needs more evidence than one that reports itself warm.
COLD_SUCCESSES: Final = 4
WARM_SUCCESSES: Final = 1
# A step is a recent latency of this many times the server's baseline.
LATENCY_STEP_FACTOR: Final = 3.0
MIN_BASELINE_SAMPLES: Final = 20
BASELINE_GAIN: Final = 0.02
RECENT_GAIN: Final = 0.3
# One overload shows in several answers, so cuts have a minimum distance.
CUT_INTERVAL_S: Final = 0.1
INITIAL_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 1.0
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
        # Older load reports are no evidence of another start.
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
        self._not_before = 0.0

    @property
    def limit(self) -> int:
        """Units that may be lent now, before split views.

        A cold server's own report may lower the limit, never raise it. One
        unit is lent at most until the start id is known.
        """
        if self._start_id == '':
            return 1
        if self._state is ServerState.COLD:
            return max(1, min(self._limit, self._reported_capacity))
        return self._limit

    @property
    def start_id(self) -> str:
        """Start that the limit belongs to, '' if not known."""
        return self._start_id

    @property
    def latency_s(self) -> float:
        """Recent latency in seconds, 0 if there is none."""
        return self._recent_latency_s

    @property
    def is_draining(self) -> bool:
        """Whether this start has reported that it drains."""
        return self._state is ServerState.DRAINING

    @property
    def blocked_until(self) -> float:
        """Loop time before which nothing is lent after a refusal."""
        return self._not_before

    def set_concurrency(self, concurrency: int) -> None:
        """Follow a change of the configured concurrency."""
        self._concurrency = concurrency
        self._limit = min(self._limit, concurrency)

    def restart(self, start_id: str) -> None:
        """Begin the ramp of a new start."""
        if self._start_id:
            self._former_starts.append(self._start_id)
        self._start_id = start_id
        self._limit = 1
        self._successes = 0
        self._state = ServerState.COLD
        self._reported_capacity = self._concurrency
        self._samples = 0
        self._baseline_latency_s = self._recent_latency_s = 0.0

    def restore(self, *, start_id: str, limit: int) -> None:
        """Take a limit over from a member's claim.

        Claims that name different starts do not say which is newer, so the
        ramp begins again with the start unknown.
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
        """Begin the ramp again for the same start, after an ejection."""
        self._limit = 1
        self._successes = 0

    def observe(self, *, outcomes: ServerOutcomes, now: float) -> None:
        """Adapt to the outcomes that a borrower reports."""
        seen = outcomes.seen_start
        if seen and seen != self._start_id:
            reported = now - outcomes.age_ms / 1000
            if (
                seen in self._former_starts
                or reported < self._start_reported_at
            ):
                return
            self._start_reported_at = reported
            self.restart(seen)
        if seen:
            self._state = ServerState(outcomes.state)
            self._reported_capacity = outcomes.bears
        if outcomes.start_id not in ('', self._start_id):
            # The successes of a former start are no evidence for this one.
            return
        if outcomes.refused:
            self._back_off(now)
            return
        if outcomes.overloads:
            self._cut(now)
        if outcomes.successes:
            self._consecutive_refusals = 0
            self._succeed(outcomes, now)

    def _succeed(self, outcomes: ServerOutcomes, now: float) -> None:
        mean = outcomes.latency_ms / outcomes.successes / 1000
        if self._samples == 0:
            self._baseline_latency_s = self._recent_latency_s = mean
        self._samples += outcomes.successes
        self._recent_latency_s += RECENT_GAIN * (mean - self._recent_latency_s)
        gain = min(0.5, BASELINE_GAIN * outcomes.successes)
        self._baseline_latency_s += gain * (mean - self._baseline_latency_s)
        stepped = (
            self._recent_latency_s
            > LATENCY_STEP_FACTOR * self._baseline_latency_s
        )
        if stepped and self._samples > MIN_BASELINE_SAMPLES:
            self._cut(now)
            return
        self._successes += outcomes.successes
        successes_per_unit = (
            WARM_SUCCESSES
            if self._state is ServerState.WARM
            else COLD_SUCCESSES
        )
        while (
            self._successes >= successes_per_unit * self._limit
            and self._limit < self._concurrency
        ):
            self._successes -= successes_per_unit * self._limit
            self._limit += 1

    def _cut(self, now: float) -> None:
        self._successes = 0
        if now - self._last_cut >= CUT_INTERVAL_S:
            self._last_cut = now
            self._limit = max(1, self._limit // 2)

    def _back_off(self, now: float) -> None:
        self._limit = 1
        self._successes = 0
        self._consecutive_refusals += 1
        backoff = INITIAL_BACKOFF_S * 2 ** min(
            self._consecutive_refusals - 1, 8
        )
        self._not_before = now + min(MAX_BACKOFF_S, backoff)
