"""Choice of a backend server by load checks right before the request."""

from teaselrock.coordination.choice.checked_slots import CheckedSlots
from teaselrock.coordination.choice.cold import ColdLimits
from teaselrock.coordination.choice.estimates import LatencyEstimates
from teaselrock.coordination.choice.idle import SharedIdleLimit
from teaselrock.coordination.choice.load_checks import CheckCounts
from teaselrock.coordination.choice.load_checks import LoadChecks
from teaselrock.coordination.choice.standing import ServerHistory

__all__ = (
    'CheckCounts',
    'CheckedSlots',
    'ColdLimits',
    'LatencyEstimates',
    'LoadChecks',
    'ServerHistory',
    'SharedIdleLimit',
)
