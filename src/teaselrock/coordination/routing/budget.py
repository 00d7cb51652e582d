"""Budgets for extra attempts (retries and hedges), and the hedge delay.

The classes implement the ports `AttemptBudget` and `HedgePolicy`.
"""

import asyncio
from collections import deque
from typing import Final
from typing import NamedTuple

# Extra attempts as a share of the first attempts.
RETRY_SHARE: Final = 0.1
# Maximum number of tokens: the largest burst of extra attempts. With few
# requests, tokens that are kept make it possible to retry at all.
MAX_TOKENS: Final = 10.0
INITIAL_TOKENS: Final = 1.0
# The hedge delay is this quantile of the last `MAX_HEDGE_SAMPLES` latencies.
HEDGE_QUANTILE: Final = 0.95
MIN_HEDGE_SAMPLES: Final = 50
MAX_HEDGE_SAMPLES: Final = 400
# New samples after which the quantile is computed again.
HEDGE_REFRESH_SAMPLES: Final = 20
MIN_HEDGE_DELAY_S: Final = 0.002


class RetryBudget:
    """`AttemptBudget` as a token bucket.

    Each first attempt adds `share` tokens; an extra attempt takes one.
    """

    def __init__(self, *, share: float = RETRY_SHARE) -> None:
        self._share = share
        self._tokens = INITIAL_TOKENS

    def on_first_attempt(self) -> None:
        """Add `share` tokens for a first attempt."""
        self._tokens = min(MAX_TOKENS, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Take a token for an extra attempt; False if there is none."""
        # Sums of floats such as 0.1 may end just below a whole number.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True


class BudgetCounts(NamedTuple):
    """Extra attempts granted and denied since the instance started."""

    granted: int = 0
    denied: int = 0


class WindowedRetryBudget:
    """`AttemptBudget` of one service over a sliding window.

    Extra attempts in the window are at most `share` of its first attempts,
    plus `reserve`. Instances exchange no messages for it: if each one keeps
    to the share, so does their sum.
    """

    def __init__(
        self, *, share: float, window_s: float, reserve: float
    ) -> None:
        self._share = share
        self._window_s = window_s
        self._reserve = reserve
        self._first_attempts: deque[float] = deque()
        self._spent_attempts: deque[float] = deque()
        self._counts = BudgetCounts()

    @property
    def counts(self) -> 'BudgetCounts':
        """Extra attempts that were granted and denied."""
        return self._counts

    def on_first_attempt(self) -> None:
        """Count a first attempt."""
        self._first_attempts.append(self._expire())

    def try_spend(self) -> bool:
        """Spend one extra attempt if the window allows it, else False."""
        now = self._expire()
        allowed = self._share * len(self._first_attempts) + self._reserve
        counts = self._counts
        if len(self._spent_attempts) + 1 > allowed:
            self._counts = counts._replace(denied=counts.denied + 1)
            return False
        self._counts = counts._replace(granted=counts.granted + 1)
        self._spent_attempts.append(now)
        return True

    def _expire(self) -> float:
        now = asyncio.get_running_loop().time()
        for times in (self._first_attempts, self._spent_attempts):
            while times and times[0] <= now - self._window_s:
                times.popleft()
        return now


class _LatencySamples:
    def __init__(self) -> None:
        self.samples: deque[float] = deque(maxlen=MAX_HEDGE_SAMPLES)
        self.since_refresh = 0
        self.delay: float | None = None


class LatencyHedgePolicy:
    """`HedgePolicy`: a hedge starts after the p95 latency of the service."""

    def __init__(self, *, min_delay_s: float = MIN_HEDGE_DELAY_S) -> None:
        self._min_delay_s = min_delay_s
        self._services: dict[str, _LatencySamples] = {}

    def delay(self, *, service: str) -> float | None:
        """Seconds to wait before a hedge, None with too few samples."""
        recent = self._services.get(service)
        return recent.delay if recent is not None else None

    def observe(self, *, service: str, latency: float) -> None:
        """Record the latency of a complete response, in seconds."""
        recent = self._services.setdefault(service, _LatencySamples())
        recent.samples.append(latency)
        recent.since_refresh += 1
        has_enough = len(recent.samples) >= MIN_HEDGE_SAMPLES
        if has_enough and (
            recent.delay is None
            or recent.since_refresh >= HEDGE_REFRESH_SAMPLES
        ):
            recent.since_refresh = 0
            ranked = sorted(recent.samples)
            index = int(HEDGE_QUANTILE * (len(ranked) - 1))
            recent.delay = max(self._min_delay_s, ranked[index])
