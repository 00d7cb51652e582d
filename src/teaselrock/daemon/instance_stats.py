"""Statistics of an instance for `/status` and the metrics.

They are plain reads of attributes, so other threads may collect them.
"""

from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple
from typing import TypedDict

from teaselrock.coordination.instance import GatewayInstance
from teaselrock.coordination.instance import RunnableInstance
from teaselrock.coordination.membership.messages import MemberState
from teaselrock.coordination.peers import PeerCounters


class MemberStatus(TypedDict):
    """A member of the membership in the response of `/status`."""

    instance: str
    region: str
    zone: str
    state: str
    version: int


class InstanceStats(NamedTuple):
    """Counts of an instance; all are 0 for a standalone instance.

    `members` counts members by state. `slots_held` were granted to this
    instance, `slots_lent` were granted by its allocators. `record_ends_*`
    count ends of idempotency claims.
    """

    members: Mapping[str, int] = {}
    slots_held: int = 0
    slots_lent: int = 0
    rows_held: int = 0
    rows_unconfirmed: int = 0
    refusals_dropped: int = 0
    record_ends_pending: int = 0
    record_ends_dropped: int = 0
    peers: PeerCounters = PeerCounters()


def collect_stats(instance: RunnableInstance) -> InstanceStats:
    """Collect the statistics of an instance."""
    if not isinstance(instance, GatewayInstance):
        return InstanceStats()
    members_by_state = Counter(
        {state.name.lower(): 0 for state in MemberState},
    )
    members_by_state.update(
        member['state'] for member in member_statuses(instance)
    )
    return InstanceStats(
        members_by_state,
        instance.slots.held_count,
        instance.slots.lent_count,
        instance.report.rows_in_memory,
        instance.report.unconfirmed_rows,
        instance.report.dropped_refusals,
        instance.records.pending_end_writes,
        instance.records.dropped_end_writes,
        instance.control.hub.counters,
    )


def member_statuses(instance: RunnableInstance) -> list[MemberStatus]:
    """Members in the instance's membership, itself included.

    A standalone instance has none.
    """
    if not isinstance(instance, GatewayInstance):
        return []
    return [
        {
            'instance': member.record.instance.instance_id,
            'region': member.record.instance.zone.region,
            'zone': member.record.instance.zone.name,
            'state': member.record.state.name.lower(),
            'version': member.status.version,
        }
        for member in instance.control.membership.members
    ]
