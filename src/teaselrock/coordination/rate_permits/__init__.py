"""Permits for requests to servers that limit the rate of all instances.

A cold server, and a server that announces a rate limit, take a number of
requests per second from all instances together. Two instances of the server's
region, its lenders, each grant permits for half of this rate; every instance
needs a permit for each request that it sends to such a server.
"""

from teaselrock.coordination.rate_permits.lender import PermitLender
from teaselrock.coordination.rate_permits.permits import PermitCounts
from teaselrock.coordination.rate_permits.permits import PermitDenial
from teaselrock.coordination.rate_permits.permits import RatePermit
from teaselrock.coordination.rate_permits.permits import RatePermits
from teaselrock.coordination.rate_permits.roster import InstanceRoster

__all__ = (
    'InstanceRoster',
    'PermitCounts',
    'PermitDenial',
    'PermitLender',
    'RatePermit',
    'RatePermits',
)
