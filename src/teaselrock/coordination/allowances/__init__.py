"""Plan limits: amounts drawn from the store and rates lent by an owner.

The package charges requests to the rate and the amount of their customer's
plan. Whether the plan includes a service at all is checked by
`plan_admission`.
"""

from teaselrock.coordination.allowances.messages import RateGrant
from teaselrock.coordination.allowances.messages import RateRequest
from teaselrock.coordination.allowances.messages import RateReturn
from teaselrock.coordination.allowances.plan_allowances import PlanAllowances

__all__ = (
    'PlanAllowances',
    'RateGrant',
    'RateRequest',
    'RateReturn',
)
