"""Budget of control traffic: token buckets in messages and bytes.

`peers` asks before each send and charges the size after it, since the link
alone knows the encoded size; a bucket may thus go into debt by one message.
"""

import asyncio
import enum
from typing import Final
from typing import NamedTuple


class Priority(enum.IntEnum):
    """Order in which messages keep their budget when it is scarce."""

    FACTS = 0
    SLOT_RETURNS = 1
    SLOT_REQUESTS = 2
    FAILURE_DETECTION = 3
    PROBES = 4


class BudgetRates(NamedTuple):
    """Rates per second; buckets hold `burst_s` seconds of them.

    9,000 bytes/s is the limit of control traffic of one instance. Request
    data (copies of report rows, claims of idempotency keys) grows with the
    requests served and has a bound of its own, which protects the links.
    """

    messages_per_s: float = 300.0
    total_bytes_per_s: float = 9000.0
    cross_region_bytes_per_s: float = 4500.0
    request_data_bytes_per_s: float = 500_000.0
    burst_s: float = 8.0


# Share of the bucket that stays reserved for higher priorities. Facts may
# go into debt down to the negative share, so that they pass in a burst.
RESERVED_SHARES: Final = {
    Priority.FACTS: -1.0,
    Priority.SLOT_RETURNS: 0.0,
    Priority.SLOT_REQUESTS: 0.1,
    Priority.FAILURE_DETECTION: 0.2,
    Priority.PROBES: 0.4,
}


class TokenBucket:
    """Tokens that refill with time on the event loop's clock."""

    def __init__(self, *, rate: float, capacity: float) -> None:
        self._rate = rate
        self._capacity = capacity
        self._tokens = capacity
        self._refilled: float | None = None

    def share(self) -> float:
        """Filled share of the bucket now; negative in debt."""
        now = asyncio.get_running_loop().time()
        if self._refilled is not None:
            earned = (now - self._refilled) * self._rate
            self._tokens = min(self._capacity, self._tokens + earned)
        self._refilled = now
        return self._tokens / self._capacity

    def spend(self, amount: float) -> None:
        """Take tokens; the bucket may go into debt."""
        self._tokens -= amount


class ControlBudget:
    """Budgets of the messages that one instance sends to its peers."""

    def __init__(self, *, rates: BudgetRates = BudgetRates()) -> None:
        self._messages = _bucket(rates.messages_per_s, rates.burst_s)
        self._bytes = _bucket(rates.total_bytes_per_s, rates.burst_s)
        self._cross = _bucket(rates.cross_region_bytes_per_s, rates.burst_s)
        self._data = _bucket(rates.request_data_bytes_per_s, rates.burst_s)

    def allows(self, *, priority: Priority, is_cross_region: bool) -> bool:
        """Whether a message of this priority may be sent now."""
        reserved = RESERVED_SHARES[priority]
        return (
            self._messages.share() > reserved
            and self._bytes.share() > reserved
            and (not is_cross_region or self._cross.share() > reserved)
        )

    def charge(self, *, size: int, is_cross_region: bool) -> None:
        """Count a message of `size` bytes that was sent."""
        self._messages.spend(1)
        self._bytes.spend(size)
        if is_cross_region:
            self._cross.spend(size)

    def allows_data(self) -> bool:
        """Whether a message with request data may be sent now."""
        return self._data.share() > 0

    def charge_data(self, *, size: int) -> None:
        """Count a message with request data that was sent."""
        self._data.spend(size)


def _bucket(rate: float, burst_s: float) -> TokenBucket:
    return TokenBucket(rate=rate, capacity=rate * burst_s)
