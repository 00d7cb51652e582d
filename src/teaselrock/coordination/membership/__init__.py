"""Membership: failure detection, view of the members, and roster.

Holds the member table, the failure detector, joining and leaving, the removal
of failed members, and the exchange of status in pings.
"""

from teaselrock.coordination.membership.member import Membership
from teaselrock.coordination.membership.messages import KINDS
from teaselrock.coordination.membership.messages import MemberState
from teaselrock.coordination.membership.messages import MemberStatus
from teaselrock.coordination.membership.status_exchange import StatusExchange
from teaselrock.coordination.membership.status_exchange import StatusListener
from teaselrock.coordination.membership.table import Member

__all__ = (
    'KINDS',
    'Member',
    'MemberState',
    'MemberStatus',
    'Membership',
    'StatusExchange',
    'StatusListener',
)
