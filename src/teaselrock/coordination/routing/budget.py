"""Budget of retries and hedges, and the hedge delay.

Both implement ports that `attempts` uses.
"""

import asyncio
from collections import deque
from typing import Final
from typing import NamedTuple

RETRY_SHARE: Final = 0.1
# Lets a quiet instance retry at all; also the largest burst.
MAX_TOKENS: Final = 10.0
INITIAL_TOKENS: Final = 1.0
HEDGE_QUANTILE: Final = 0.95
HEDGE_SAMPLES: Final = 50
HEDGE_WINDOW: Final = 400
# The quantile is sorted anew only after this many samples.
HEDGE_REFRESH: Final = 20
HEDGE_FLOOR_S: Final = 0.002


class RetryBudget:
    """`AttemptBudget`: extra attempts are a share of first attempts."""

    def __init__(self, *, share: float = RETRY_SHARE) -> None:
        self._share = share
        self._tokens = INITIAL_TOKENS

    def on_first_attempt(self) -> None:
        """Earn a share of an extra attempt."""
        self._tokens = min(MAX_TOKENS, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Take one extra attempt if it has been earned."""
        # Sums of 0.1 end a little below whole numbers.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True


class BudgetCounts(NamedTuple):
    """Extra attempts since the start of the instance."""

    granted: int = 0
    denied: int = 0


class WindowedRetryBudget:
    """`AttemptBudget` of one service: a share of the last seconds' requests.

    The sum over all instances keeps to the share of all requests, without
    any message between them.
    """

    def __init__(self, *, share: float, window: float, reserve: float) -> None:
        self._share = share
        self._window = window
        self._reserve = reserve
        self._first_attempts: deque[float] = deque()
        self._spent_attempts: deque[float] = deque()
        self._counts = BudgetCounts()

    @property
    def counts(self) -> 'BudgetCounts':
        """Extra attempts that were asked for."""
        return self._counts

    def on_first_attempt(self) -> None:
        """Count a first attempt."""
        self._first_attempts.append(self._expire())

    def try_spend(self) -> bool:
        """Take one extra attempt if the window allows."""
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
            while times and times[0] <= now - self._window:
                times.popleft()
        return now


class _Latencies:
    def __init__(self) -> None:
        self.samples: deque[float] = deque(maxlen=HEDGE_WINDOW)
        self.since = 0
        self.delay: float | None = None


class LatencyHedgePolicy:
    """`HedgePolicy`: a hedge starts after the service's p95 latency."""

    def __init__(self, *, min_delay_s: float = HEDGE_FLOOR_S) -> None:
        self._min_delay_s = min_delay_s
        self._services: dict[str, _Latencies] = {}

    def delay(self, *, service: str) -> float | None:
        """Seconds to wait before a hedge, None without enough samples."""
        known = self._services.get(service)
        return known.delay if known is not None else None

    def observe(self, *, service: str, latency: float) -> None:
        """Record the latency of a whole answer, in seconds."""
        known = self._services.setdefault(service, _Latencies())
        known.samples.append(latency)
        known.since += 1
        enough = len(known.samples) >= HEDGE_SAMPLES
        if enough and (known.delay is None or known.since >= HEDGE_REFRESH):
            known.since = 0
            ranked = sorted(known.samples)
            at = int(HEDGE_QUANTILE * (len(ranked) - 1))
            known.delay = max(self._min_delay_s, ranked[at])
