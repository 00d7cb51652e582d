"""Admission and attempts of requests that were matched to a route.

`RouteRunners` gives each route its own hedge delays and each service its own
retry budget; `attempts` runs the attempts.
"""

from typing import Final
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination.attempts import AttemptRunner
from teaselrock.coordination.attempts import Progress
from teaselrock.coordination.connections import ConnectionPool
from teaselrock.coordination.ports import AttemptBudget
from teaselrock.coordination.ports import Claim
from teaselrock.coordination.ports import Permission
from teaselrock.coordination.ports import ReportRow
from teaselrock.coordination.ports import SlotSource
from teaselrock.coordination.routing import BudgetCounts
from teaselrock.coordination.routing import LatencyHedgePolicy
from teaselrock.coordination.routing import WindowedRetryBudget
from teaselrock.state import Answer
from teaselrock.state import Refusal
from teaselrock.state import RefusalCode
from teaselrock.state import Request
from teaselrock.state import Verdict

# Part of the allowed share that is used: requests that were counted here may
# leave another window earlier than the extra attempts that they earned.
SHARE_USED: Final = 0.75
# Lets a quiet instance repeat at all.
EXTRA_ATTEMPTS: Final = 1.0


class RetryBudgetLimits(NamedTuple):
    """Bounds of extra attempts; `window` is in seconds."""

    max_share: float = 0.2
    window_s: float = 10.0


class RouteAdmission:
    """`Admission` by home regions; a matched route is always allowed."""

    def __init__(self, *, regions: frozenset[str]) -> None:
        self._regions = regions

    def check(self, *, request: Request) -> Result[Permission, Refusal]:
        """Regions in which the request may be served."""
        route = request.route
        if route is None:
            return Error(
                Refusal(
                    RefusalCode.UNKNOWN_SERVICE,
                    Verdict.DID_NOT_RUN,
                    'no route matches',
                )
            )
        return Ok(Permission(route.home_regions or self._regions, 1))


class RouteAttemptRunners:
    """`Attempts` with one runner for each route and service."""

    def __init__(
        self,
        *,
        slots: SlotSource,
        connections: ConnectionPool,
        limits: RetryBudgetLimits,
    ) -> None:
        self._slots = slots
        self._connections = connections
        self._limits = limits
        self._budgets: dict[str, WindowedRetryBudget] = {}
        self._runners: dict[tuple[str, str], AttemptRunner] = {}

    @property
    def budget_counts(self) -> dict[str, BudgetCounts]:
        """Retries and hedges by service."""
        return {name: one.counts for name, one in self._budgets.items()}

    async def run(
        self,
        *,
        request: Request,
        permission: Permission,
        claim: Claim | None,
        row: ReportRow,
        progress: Progress,
    ) -> Result[Answer, Refusal]:
        """Run the attempts with the budget of the request's service."""
        return await self._runner(request).run(
            request=request,
            permission=permission,
            claim=claim,
            row=row,
            progress=progress,
        )

    def _runner(self, request: Request) -> AttemptRunner:
        name = request.route.name if request.route is not None else ''
        key = (name, request.service)
        runner = self._runners.get(key)
        if runner is None:
            runner = self._runners[key] = AttemptRunner(
                slots=self._slots,
                connections=self._connections,
                budget=self._budget(request.service),
                hedges=LatencyHedgePolicy(),
            )
        return runner

    def _budget(self, service: str) -> AttemptBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = WindowedRetryBudget(
                share=SHARE_USED * self._limits.max_share,
                window=self._limits.window_s,
                reserve=EXTRA_ATTEMPTS,
            )
        return budget
