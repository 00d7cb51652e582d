"""Routing: fair queues, zone order, ejection, readings and budgets."""

from teaselrock.coordination.routing.budget import BudgetCounts
from teaselrock.coordination.routing.budget import LatencyHedges
from teaselrock.coordination.routing.budget import RetryBudget
from teaselrock.coordination.routing.budget import WindowedBudget
from teaselrock.coordination.routing.ejection import Ejections
from teaselrock.coordination.routing.fair_queue import FairQueue
from teaselrock.coordination.routing.readings import LoadReadings
from teaselrock.coordination.routing.zones import reason_for
from teaselrock.coordination.routing.zones import zone_order

__all__ = (
    'BudgetCounts',
    'Ejections',
    'FairQueue',
    'LatencyHedges',
    'LoadReadings',
    'RetryBudget',
    'WindowedBudget',
    'reason_for',
    'zone_order',
)
