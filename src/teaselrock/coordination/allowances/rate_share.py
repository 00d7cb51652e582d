"""A borrower's share of one rate: a token bucket filled by the lent parts.

`RateLimits` keeps one `RateShare` for each customer and service with a rate,
and renews it at the rate's owner while it is used.
"""

import asyncio
import math
from typing import Final

from teaselrock.coordination.allowances.messages import RATE_PARTS
from teaselrock.coordination.allowances.messages import SHARE_LIFETIME_S

# Tokens earned in this time are the largest burst.
BURST_S: Final = 1.0
# Longest waits for tokens, and for a first share, which a new owner does not
# lend until the shares of its predecessor have expired.
MAX_TOKEN_WAIT_S: Final = 0.25
MAX_SHARE_WAIT_S: Final = 4.0
# Rounding may leave a token slightly short; a shorter wait would busy-loop.
MIN_WAIT_S: Final = 0.001
RETRY_AFTER_S: Final = 1.0
RENEW_INTERVAL_S: Final = 0.5
# A share that no request has used for this time is returned.
IDLE_TIMEOUT_S: Final = 5.0


class RateShare:
    """Token bucket of one rate; one token is one plan unit."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._expires_at = -math.inf
        self._tokens = 0.0
        self._last_accrued = 0.0
        self._requested_units = 0.0
        self._demand = 0.0
        self._waiting_units = 0.0
        self._last_used = -math.inf
        self._granted = asyncio.Event()
        self._order_lock = asyncio.Lock()

    @property
    def is_idle(self) -> bool:
        """Whether no request has taken tokens for `IDLE_TIMEOUT_S`."""
        return self._now() - self._last_used > IDLE_TIMEOUT_S

    def demand(self) -> float:
        """Demand in plan units per second; call once for each renewal."""
        self._demand = (
            self._demand + self._requested_units / RENEW_INTERVAL_S
        ) / 2
        self._requested_units = 0.0
        return self._demand + self._waiting_units

    def grant(self, *, parts: int, rate: float, requested_at: float) -> None:
        """Replace the share; it expires a lifetime after `requested_at`.

        The share is `parts` of `RATE_PARTS`; `rate` is that of the plan, in
        plan units per second.
        """
        self._accrue(0.0)
        self._rate = rate * parts / RATE_PARTS
        self._expires_at = requested_at + SHARE_LIFETIME_S
        self._accrue(0.0)
        self._granted.set()

    def drop(self) -> None:
        """Drop the share and its tokens."""
        self._expires_at = -math.inf
        self._tokens = 0.0

    def refund(self, *, units: int) -> None:
        """Return tokens, up to the largest burst."""
        self._tokens += units
        self._accrue(0.0)

    async def take(self, *, units: int, deadline: float) -> float | None:
        """Take tokens; returns None, or seconds to retry after on failure.

        Waiting requests are served in order. `deadline` is on the loop's
        clock.
        """
        self._last_used = self._now()
        self._requested_units += units
        self._waiting_units += units
        try:
            return await self._wait_in_order(units, deadline)
        finally:
            self._waiting_units -= units

    async def _wait_in_order(
        self, units: int, deadline: float
    ) -> float | None:
        give_up_at = min(deadline, self._now() + self._max_wait(units))
        if self._seconds_until(self._waiting_units) > give_up_at - self._now():
            return self._retry_after(units)
        try:
            async with asyncio.timeout_at(give_up_at):
                async with self._order_lock:
                    await self._wait_for_tokens(units)
        except TimeoutError:
            return self._retry_after(units)
        return None

    async def _wait_for_tokens(self, units: int) -> None:
        while True:
            self._accrue(float(units))
            if self._tokens >= units:
                self._tokens -= units
                return
            self._granted.clear()
            missing_s = self._seconds_until(units)
            try:
                async with asyncio.timeout(
                    max(MIN_WAIT_S, missing_s or SHARE_LIFETIME_S)
                ):
                    await self._granted.wait()
            except TimeoutError:
                pass

    def _max_wait(self, units: int) -> float:
        if self._now() >= self._expires_at or self._rate <= 0:
            return MAX_SHARE_WAIT_S
        if units <= self._burst_tokens():
            return MAX_TOKEN_WAIT_S
        return MAX_TOKEN_WAIT_S + units / self._rate

    def _burst_tokens(self) -> float:
        """Tokens kept for a burst, at least 1; no smaller share is lent."""
        return max(self._rate * BURST_S, 1.0) if self._rate > 0 else 0.0

    def _seconds_until(self, units: float) -> float:
        """Seconds until there are `units` tokens, 0 if there is no share."""
        if self._rate <= 0 or self._now() >= self._expires_at:
            return 0.0
        self._accrue(units)
        return max(0.0, (units - self._tokens) / self._rate)

    def _retry_after(self, units: int) -> float:
        return max(RETRY_AFTER_S, self._seconds_until(units))

    def _accrue(self, waiting: float) -> None:
        """Add the tokens earned since the last call, while the share is valid.

        More than a burst is kept only for the `waiting` units of the next
        request.
        """
        now = self._now()
        elapsed_s = max(0.0, min(now, self._expires_at) - self._last_accrued)
        self._tokens += elapsed_s * self._rate
        self._last_accrued = now
        if now >= self._expires_at:
            self._tokens = 0.0
        self._tokens = min(self._tokens, max(self._burst_tokens(), waiting))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
