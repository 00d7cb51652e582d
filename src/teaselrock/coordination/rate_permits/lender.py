"""Lender of permits: decides which requests a limited server gets.

Each instance has one `PermitLender`. It grants its part of the rate of a
server with a token bucket.
"""

import asyncio
from collections import OrderedDict
from typing import Final

from teaselrock.coordination.ports import RelayChannel
from teaselrock.coordination.rate_permits.messages import PermitRequest
from teaselrock.coordination.rate_permits.messages import PermitResponse
from teaselrock.coordination.rate_permits.roster import InstanceRoster

# Each lends an equal part of the rate. With two, a third one that lends for a
# moment, since views of the roster differ, adds only half of the rate.
LENDERS_PER_SERVER: Final = 2
# Unused permits are kept for `BURST_S`, and `MIN_BURST` of them in any case:
# of a single one, the time until the next request would be lost.
BURST_S: Final = 0.4
MIN_BURST: Final = 2.0
# Retry time where no permit will become free.
NEVER_S: Final = 5.0
# The least recently used buckets above this number are dropped.
MAX_BUCKETS: Final = 4096
# A connection without a request for this time is closed.
IDLE_TIMEOUT_S: Final = 30.0
# Sums of floats may end just below a whole number.
_ROUNDING: Final = 1e-9


class _Bucket:
    def __init__(self, now: float, share: float) -> None:
        self.tokens = 1.0
        self.share = share
        self.updated_at = now

    def refill(self, now: float, share: float) -> None:
        # After a change the lower rate counts for the time since the last
        # request, since it is unknown when the rate changed.
        earned = min(share, self.share) * (now - self.updated_at)
        capacity = max(MIN_BURST, share * BURST_S)
        self.tokens = min(capacity, self.tokens + earned)
        self.share = share
        self.updated_at = now


class PermitLender:
    """Grants this instance's part of the rates of limited servers."""

    def __init__(self, *, roster: InstanceRoster, region: str) -> None:
        self._roster = roster
        self._region = region
        self._lends_from = float('-inf')
        self._buckets: OrderedDict[str, _Bucket] = OrderedDict()

    def delay_start(self, *, seconds: float) -> None:
        """Grant no permits for some seconds.

        Until all instances have read the entry of a new instance, others lend
        the part that it would lend.
        """
        self._lends_from = asyncio.get_running_loop().time() + seconds

    def respond(self, request: PermitRequest) -> PermitResponse:
        """Grant or deny a permit."""
        now = asyncio.get_running_loop().time()
        if now < self._lends_from or not self._roster.is_known:
            return PermitResponse(
                request.number,
                False,
                False,
                max(0.1, min(NEVER_S, self._lends_from - now)),
            )
        wait = self._try_take(request, now)
        return PermitResponse(request.number, wait == 0.0, True, wait)

    async def serve(self, channel: RelayChannel, first: object) -> None:
        """Answer the requests of one instance until its connection ends."""
        message = first
        while isinstance(message, PermitRequest):
            channel.send(self.respond(message))
            try:
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    message = await channel.receive()
            except TimeoutError:
                return

    def _try_take(self, request: PermitRequest, now: float) -> float:
        """Take a token; otherwise the seconds until one may be free."""
        lenders = min(
            LENDERS_PER_SERVER,
            max(1, self._roster.instances_in(self._region)),
        )
        share = request.rate / lenders
        if share <= 0.0:
            return NEVER_S
        bucket = self._bucket(request.server_id, share, now)
        bucket.refill(now, share)
        wait = max(0.0, (1.0 - _ROUNDING - bucket.tokens) / share)
        if wait == 0.0:
            bucket.tokens -= 1.0
        return min(NEVER_S, wait)

    def _bucket(self, server_id: str, share: float, now: float) -> _Bucket:
        bucket = self._buckets.get(server_id)
        if bucket is None:
            bucket = self._buckets[server_id] = _Bucket(now, share)
            if len(self._buckets) > MAX_BUCKETS:
                self._buckets.popitem(last=False)
        self._buckets.move_to_end(server_id)
        return bucket
