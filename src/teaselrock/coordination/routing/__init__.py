"""Policies for queueing, zone order, outliers, retries and hedges.

The package holds the fair queue, the order of zones, load readings, outlier
detection, retry budgets and the hedge delay. It holds no routes: these are
matched in `registry`.
"""

from teaselrock.coordination.routing.budget import BudgetCounts
from teaselrock.coordination.routing.budget import LatencyHedgePolicy
from teaselrock.coordination.routing.budget import RetryBudget
from teaselrock.coordination.routing.budget import WindowedRetryBudget
from teaselrock.coordination.routing.fair_queue import FairQueue
from teaselrock.coordination.routing.load_readings import LoadReadings
from teaselrock.coordination.routing.outlier_detector import OutlierDetector
from teaselrock.coordination.routing.zones import attempt_reason
from teaselrock.coordination.routing.zones import zone_order

__all__ = (
    'BudgetCounts',
    'OutlierDetector',
    'FairQueue',
    'LatencyHedgePolicy',
    'LoadReadings',
    'RetryBudget',
    'WindowedRetryBudget',
    'attempt_reason',
    'zone_order',
)
