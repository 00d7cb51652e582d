"""What an instance shows to operators: `/status` and `metrics` read it.

All properties are plain reads, so other threads may take them.
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
    """A member of the fleet as `/status` shows it."""

    instance: str
    region: str
    zone: str
    state: str
    version: int


class InstanceStats(NamedTuple):
    """Counts of an instance's parts; an instance alone has none.

    `slots_held` are borrowed by this instance, `slots_lent` are lent by its
    allocators.
    """

    members: Mapping[str, int] = {}
    slots_held: int = 0
    slots_lent: int = 0
    rows_held: int = 0
    rows_unconfirmed: int = 0
    refusals_dropped: int = 0
    ends_pending: int = 0
    ends_dropped: int = 0
    peers: PeerCounters = PeerCounters()


def collect_stats(instance: RunnableInstance) -> InstanceStats:
    """Take the readings of an instance."""
    if not isinstance(instance, GatewayInstance):
        return InstanceStats()
    states = Counter(
        {state.name.lower(): 0 for state in MemberState},
    )
    states.update(member['state'] for member in member_statuses(instance))
    return InstanceStats(
        states,
        instance.slots.held_count,
        instance.slots.lent_count,
        instance.report.held_rows,
        instance.report.unconfirmed_rows,
        instance.report.dropped_refusals,
        instance.records.pending_claim_ends,
        instance.records.dropped_claim_ends,
        instance.control.hub.counters,
    )


def member_statuses(instance: RunnableInstance) -> list[MemberStatus]:
    """Members that an instance knows, itself included."""
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
