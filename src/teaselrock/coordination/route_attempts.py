"""Admission and attempts of requests that are matched to a route.

`RouteAttemptRunners` gives each route its own hedge delays and each service
its own retry budget; `attempts` runs the attempts.
"""

from typing import Final
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination.attempt_results import CombinedVerdict
from teaselrock.coordination.attempts import AttemptRunner
from teaselrock.coordination.connections import ConnectionPool
from teaselrock.coordination.ports import AttemptBudget
from teaselrock.coordination.ports import Claim
from teaselrock.coordination.ports import Permission
from teaselrock.coordination.ports import ReportRow
from teaselrock.coordination.ports import SlotSource
from teaselrock.coordination.routing import BudgetCounts
from teaselrock.coordination.routing import LatencyHedgePolicy
from teaselrock.coordination.routing import WindowedRetryBudget
from teaselrock.state import BackendResponse
from teaselrock.state import Refusal
from teaselrock.state import RefusalCode
from teaselrock.state import Request
from teaselrock.state import Verdict

# Fraction of `max_share` that an instance uses. A measurement elsewhere uses
# windows that begin at other times: such a window may contain extra attempts
# without the first attempts that allowed them here.
USED_SHARE_FRACTION: Final = 0.75
# Allowed in each window regardless of the share, so that an instance with
# few requests can retry.
RESERVE_ATTEMPTS: Final = 1.0


class RetryBudgetLimits(NamedTuple):
    """Limits of the retries and hedges of one service.

    `max_share` is their largest share of the first attempts of the last
    `window_s` seconds.
    """

    max_share: float = 0.2
    window_s: float = 10.0


class RouteAdmission:
    """`Admission` by the home regions of the route, else by those given."""

    def __init__(self, *, regions: frozenset[str]) -> None:
        self._regions = regions

    def check(self, *, request: Request) -> Result[Permission, Refusal]:
        """Return the regions in which the request may be served.

        Requests without a route are refused.
        """
        route = request.route
        if route is None:
            return Error(
                Refusal(
                    RefusalCode.UNKNOWN_SERVICE,
                    Verdict.DID_NOT_RUN,
                    f'request for service "{request.service}" has no route',
                )
            )
        return Ok(Permission(route.home_regions or self._regions, 1))


class RouteAttemptRunners:
    """`Attempts` with one `AttemptRunner` for each route and service."""

    def __init__(
        self,
        *,
        slot_source: SlotSource,
        connections: ConnectionPool,
        limits: RetryBudgetLimits,
    ) -> None:
        self._slot_source = slot_source
        self._connections = connections
        self._limits = limits
        self._budgets: dict[str, WindowedRetryBudget] = {}
        self._runners: dict[tuple[str, str], AttemptRunner] = {}

    @property
    def budget_counts(self) -> dict[str, BudgetCounts]:
        """Granted and denied retries and hedges by service."""
        return {name: budget.counts for name, budget in self._budgets.items()}

    async def run(
        self,
        *,
        request: Request,
        permission: Permission,
        claim: Claim | None,
        row: ReportRow,
        combined: CombinedVerdict,
    ) -> Result[BackendResponse, Refusal]:
        """Run the attempts with the budget of the request's service."""
        return await self._runner_for(request).run(
            request=request,
            permission=permission,
            claim=claim,
            row=row,
            combined=combined,
        )

    def _runner_for(self, request: Request) -> AttemptRunner:
        name = request.route.name if request.route is not None else ''
        key = (name, request.service)
        runner = self._runners.get(key)
        if runner is None:
            runner = self._runners[key] = AttemptRunner(
                slot_source=self._slot_source,
                connections=self._connections,
                budget=self._service_budget(request.service),
                hedge_policy=LatencyHedgePolicy(),
            )
        return runner

    def _service_budget(self, service: str) -> AttemptBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = WindowedRetryBudget(
                share=USED_SHARE_FRACTION * self._limits.max_share,
                window_s=self._limits.window_s,
                reserve=RESERVE_ATTEMPTS,
            )
        return budget
