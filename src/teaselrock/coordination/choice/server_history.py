"""What this instance has seen of each server: failures and slowness.

Load checks can mislead: a server may answer them well and fail requests, or
work more slowly than it says. `checked` weighs its estimates by this.
"""

import asyncio
from typing import Final

from teaselrock.state import AttemptOutcome
from teaselrock.state import FailureKind

# Weight of one new outcome.
OUTCOME_WEIGHT: Final = 0.25
# Time after which half of what was seen no longer counts.
HALF_LIFE_S: Final = 3.0
# A server that always fails counts as this much slower.
FAILURE_PENALTY: Final = 12.0
MAX_SLOWNESS: Final = 8.0
# A server whose check failed is asked again after this time.
UNREACHABLE_S: Final = 0.5
UNREACHABLE_MAX_S: Final = 4.0
_OWN_FAULT: Final = frozenset(
    {
        FailureKind.RESET,
        FailureKind.SHORT_BODY,
        FailureKind.SERVER_ERROR,
        FailureKind.TIMEOUT,
    }
)


class _ServerRecord:
    def __init__(self, now: float) -> None:
        self.failures = 0.0
        self.slowness = 1.0
        self.at = now
        self.unreachable_until = float('-inf')
        self.backoff = UNREACHABLE_S

    def decay(self, now: float) -> None:
        kept = 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_S)
        self.failures *= kept
        self.slowness = 1.0 + (self.slowness - 1.0) * kept
        self.at = now


class ServerHistory:
    """Outcomes of the servers, by server id."""

    def __init__(self) -> None:
        self._known: dict[str, _ServerRecord] = {}

    def penalty(self, server_id: str) -> float:
        """Factor on the estimated time of the server, 1.0 if unknown."""
        known = self._known.get(server_id)
        if known is None:
            return 1.0
        known.decay(asyncio.get_running_loop().time())
        return known.slowness * (1.0 + FAILURE_PENALTY * known.failures)

    def is_reachable(self, server_id: str) -> bool:
        """Whether a check of the server is worth a try."""
        known = self._known.get(server_id)
        now = asyncio.get_running_loop().time()
        return known is None or now >= known.unreachable_until

    def observe(
        self,
        *,
        server_id: str,
        outcome: AttemptOutcome,
        expected_latency: float,
    ) -> None:
        """Record an attempt; `expected_latency` is its estimate in seconds."""
        known = self._get(server_id)
        failed = outcome.failure in _OWN_FAULT
        known.failures += OUTCOME_WEIGHT * (failed - known.failures)
        if outcome.failure is None and expected_latency > 0:
            ratio = min(
                MAX_SLOWNESS, max(0.5, outcome.latency / expected_latency)
            )
        elif outcome.failure in (FailureKind.TIMEOUT, FailureKind.CANCELLED):
            # The attempt took at least this long.
            ratio = min(
                MAX_SLOWNESS, outcome.latency / max(expected_latency, 0.001)
            )
            if ratio < known.slowness:
                return
        else:
            return
        known.slowness += OUTCOME_WEIGHT * (ratio - known.slowness)

    def note_unreachable(self, server_id: str) -> None:
        """The server did not answer a check."""
        known = self._get(server_id)
        now = asyncio.get_running_loop().time()
        if now < known.unreachable_until:
            return
        known.unreachable_until = now + known.backoff
        known.backoff = min(UNREACHABLE_MAX_S, known.backoff * 2)

    def note_reachable(self, server_id: str) -> None:
        """The server answered a check."""
        known = self._known.get(server_id)
        if known is not None:
            known.unreachable_until = float('-inf')
            known.backoff = UNREACHABLE_S

    def forget(self, server_id: str) -> None:
        """Drop what is known of a server that is gone."""
        self._known.pop(server_id, None)

    def _get(self, server_id: str) -> _ServerRecord:
        now = asyncio.get_running_loop().time()
        known = self._known.setdefault(server_id, _ServerRecord(now))
        known.decay(now)
        return known
