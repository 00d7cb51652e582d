"""Choice of a backend server by load checks right before the request.

Holds the load checks, latency estimates, the history and the notices of each
server, and the limits for idle connections and for the rates of servers.
"""

from teaselrock.coordination.choice.announced_limits import AnnouncedLimits
from teaselrock.coordination.choice.checked_slots import CheckedSlots
from teaselrock.coordination.choice.idle_limit import SharedIdleLimit
from teaselrock.coordination.choice.latency_estimates import LatencyEstimates
from teaselrock.coordination.choice.load_checks import CheckCounts
from teaselrock.coordination.choice.load_checks import LoadChecks
from teaselrock.coordination.choice.server_history import ServerHistory
from teaselrock.coordination.choice.server_notices import ServerNotices
from teaselrock.coordination.choice.server_rates import ServerRates

__all__ = (
    'AnnouncedLimits',
    'CheckCounts',
    'CheckedSlots',
    'LatencyEstimates',
    'LoadChecks',
    'ServerHistory',
    'ServerNotices',
    'ServerRates',
    'SharedIdleLimit',
)
