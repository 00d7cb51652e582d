"""Slot of a server that was chosen by its load check."""

import asyncio
from typing import Protocol

from teaselrock.coordination.choice.latency_estimates import LatencyEstimate
from teaselrock.coordination.choice.load_checks import CheckResult
from teaselrock.coordination.ports import BackendConnection
from teaselrock.coordination.rate_permits import RatePermit
from teaselrock.state import AttemptOutcome
from teaselrock.state import AttemptReason
from teaselrock.state import BackendServer
from teaselrock.state.routes import Route


class SlotOwner(Protocol):
    """Issues the slots and learns how they were used."""

    def may_serve(self, server: BackendServer) -> bool:
        """Whether the server may still get requests."""
        ...

    def on_release(
        self,
        *,
        route: Route,
        check: CheckResult,
        estimate: LatencyEstimate,
        outcome: AttemptOutcome | None,
    ) -> None:
        """Record the outcome, `None` for a slot that was not used."""
        ...


class CheckedSlot:
    """`Slot` of a server that was just checked, with its connection."""

    def __init__(
        self,
        *,
        owner: SlotOwner,
        route: Route,
        check: CheckResult,
        permit: RatePermit | None,
        estimate: LatencyEstimate,
        is_probe: bool,
        answered: int,
        reason: AttemptReason,
    ) -> None:
        self._owner = owner
        self._answered = answered
        self._route = route
        self._check = check
        self._permit = permit
        self._estimate = estimate
        self._is_probe = is_probe
        self._reason = reason

    @property
    def server(self) -> BackendServer:
        """The chosen server."""
        return self._check.server

    @property
    def start_id(self) -> str:
        """Start id of the server process that answered the check."""
        return self._check.load.start_id

    @property
    def reason(self) -> AttemptReason:
        """Why this server was chosen."""
        return self._reason

    @property
    def evidence(self) -> str:
        """Expected latency, load, duration of the check, number of answers.

        `120ms,2+0of3x1.5,4ms,5`: 120 ms expected; 2 requests running and
        none queued, of a capacity of 3, with a processing time of 1.5 times
        the usual one; the check took 4 ms; 5 servers answered checks. A rate
        limit that the server announces follows, as in `limit3.8`, and
        `probe` if the request was sent to correct an outdated estimate.
        """
        load = self._check.load
        duration = self._check.ended_at - self._check.started_at
        limit = '' if load.rate_limit is None else f',limit{load.rate_limit:g}'
        probe = ',probe' if self._is_probe else ''
        return (
            f'{self._estimate.expected * 1000:.0f}ms,'
            f'{load.in_flight}+{load.queued}of{load.capacity}'
            f'x{load.work_factor:g},{duration * 1000:.0f}ms,{self._answered}'
            f'{limit}{probe}'
        )

    @property
    def is_valid(self) -> bool:
        """Whether the server may still get this request."""
        now = asyncio.get_running_loop().time()
        if self._permit is not None and now > self._permit.expires_at:
            return False
        return self._owner.may_serve(self._check.server)

    @property
    def connection(self) -> BackendConnection | None:
        """The connection that the check has used."""
        return self._check.connection

    def release(self, *, outcome: AttemptOutcome | None) -> None:
        """Report the outcome; `None` returns the unused connection."""
        self._owner.on_release(
            route=self._route,
            check=self._check,
            estimate=self._estimate,
            outcome=outcome,
        )
