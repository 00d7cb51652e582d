"""Budget of control traffic: token buckets in messages and bytes.

`peers` checks the budget before each send and charges the size afterwards,
since the link encodes the message and returns its size. A bucket may therefore
become negative by one message.
"""

import asyncio
import enum
from typing import Final
from typing import NamedTuple


class Priority(enum.IntEnum):
    """Priorities of messages when the budget is scarce, highest first.

    `FACTS` are those of `dissemination`, and configuration versions.
    `SLOT_STATE` are returns, updates and confirms of leases, and answers to
    lease queries. `SLOT_REQUESTS` are slot requests and all messages whose
    type has no priority, such as those of rates. `PROBES` is not used by the
    components of this layer.
    """

    FACTS = 0
    SLOT_STATE = 1
    SLOT_REQUESTS = 2
    FAILURE_DETECTION = 3
    PROBES = 4


class BudgetRates(NamedTuple):
    """Rates of the token buckets, which hold `burst_s` seconds of them.

    9,000 bytes/s is the limit of the control traffic that one instance sends.
    Request data (copies of report rows, claims of idempotency keys) grows with
    the requests served and has a separate limit, which protects the links.
    """

    messages_per_s: float = 300.0
    total_bytes_per_s: float = 9000.0
    cross_region_bytes_per_s: float = 4500.0
    request_data_bytes_per_s: float = 500_000.0
    burst_s: float = 8.0


# Share of the bucket that is reserved for higher priorities. -1.0 lets facts
# overdraw the bucket by its capacity, so that a burst of them is still sent.
RESERVED_SHARES: Final = {
    Priority.FACTS: -1.0,
    Priority.SLOT_STATE: 0.0,
    Priority.SLOT_REQUESTS: 0.1,
    Priority.FAILURE_DETECTION: 0.2,
    Priority.PROBES: 0.4,
}


class TokenBucket:
    """Token bucket, refilled by the event loop's clock."""

    def __init__(self, *, rate: float, capacity: float) -> None:
        self._rate = rate
        self._capacity = capacity
        self._tokens = capacity
        self._refilled_at: float | None = None

    def share(self) -> float:
        """Return the filled share of the bucket, negative if overdrawn."""
        now = asyncio.get_running_loop().time()
        if self._refilled_at is not None:
            refill = (now - self._refilled_at) * self._rate
            self._tokens = min(self._capacity, self._tokens + refill)
        self._refilled_at = now
        return self._tokens / self._capacity

    def spend(self, amount: float) -> None:
        """Take tokens; the bucket may become negative."""
        self._tokens -= amount


class ControlBudget:
    """Budgets of the messages that one instance sends to its peers."""

    def __init__(self, *, rates: BudgetRates = BudgetRates()) -> None:
        self._messages = _bucket(rates.messages_per_s, rates.burst_s)
        self._total_bytes = _bucket(rates.total_bytes_per_s, rates.burst_s)
        self._cross_region_bytes = _bucket(
            rates.cross_region_bytes_per_s, rates.burst_s
        )
        self._request_data_bytes = _bucket(
            rates.request_data_bytes_per_s, rates.burst_s
        )

    def allows(self, *, priority: Priority, is_cross_region: bool) -> bool:
        """Whether a control message of this priority may be sent now."""
        reserved = RESERVED_SHARES[priority]
        return (
            self._messages.share() > reserved
            and self._total_bytes.share() > reserved
            and (
                not is_cross_region
                or self._cross_region_bytes.share() > reserved
            )
        )

    def charge(self, *, size: int, is_cross_region: bool) -> None:
        """Charge a control message of `size` bytes that was sent."""
        self._messages.spend(1)
        self._total_bytes.spend(size)
        if is_cross_region:
            self._cross_region_bytes.spend(size)

    def allows_request_data(self) -> bool:
        """Whether a message with request data may be sent now."""
        return self._request_data_bytes.share() > 0

    def charge_request_data(self, *, size: int) -> None:
        """Charge a message with `size` bytes of request data."""
        self._request_data_bytes.spend(size)


def _bucket(rate: float, burst_s: float) -> TokenBucket:
    return TokenBucket(rate=rate, capacity=rate * burst_s)
