"""Choice of a backend server by load checks right before the send."""

from teaselrock.coordination.choice.checked import CheckedSlots
from teaselrock.coordination.choice.checks import CheckCounts
from teaselrock.coordination.choice.checks import LoadChecks
from teaselrock.coordination.choice.cold import ColdLimits
from teaselrock.coordination.choice.estimates import WorkEstimates
from teaselrock.coordination.choice.idle import SharedIdleLimit
from teaselrock.coordination.choice.standing import Standings

__all__ = (
    'CheckCounts',
    'CheckedSlots',
    'ColdLimits',
    'LoadChecks',
    'SharedIdleLimit',
    'Standings',
    'WorkEstimates',
)
