"""Plan limits: amounts drawn from the store and rates lent by an owner."""

from teaselrock.coordination.allowances.messages import RateGrant
from teaselrock.coordination.allowances.messages import RateRequest
from teaselrock.coordination.allowances.messages import RateReturn
from teaselrock.coordination.allowances.store_allowances import StoreAllowances

__all__ = (
    'RateGrant',
    'RateRequest',
    'RateReturn',
    'StoreAllowances',
)
