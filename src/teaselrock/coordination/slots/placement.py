"""Placement by rendezvous hashing: allocators and home members.

The allocator of a group and the home member of each unit follow from the
member view alone.
"""

from collections.abc import Sequence

from teaselrock.coordination import rendezvous
from teaselrock.state import AvailabilityZone
from teaselrock.state import Instance


def group_allocator(
    *, key: str, zone: AvailabilityZone, live: Sequence[Instance]
) -> str | None:
    """Id of the allocator of the group with a key, None without live members.

    The allocator is a live member of the zone, else of the region, else any
    live member.
    """
    pools = (
        [member for member in live if member.zone == zone],
        [member for member in live if member.zone.region == zone.region],
        live,
    )
    for pool in pools:
        if pool:
            return rendezvous.owner(
                key=key, members=(member.instance_id for member in pool)
            )
    return None


def home_members(
    *, server_id: str, units: int, region: str, roster: Sequence[Instance]
) -> tuple[str, ...]:
    """Home member of each unit of a server, '' if the roster is empty.

    A unit may be lent only by an allocator whose member view has the unit's
    home member live. Only members of the region are chosen, unless it has
    none.
    """
    pool = [
        member for member in roster if member.zone.region == region
    ] or roster
    members = [member.instance_id for member in pool]
    return tuple(
        rendezvous.owner(key=f'{server_id}/{unit}', members=members) or ''
        for unit in range(units)
    )
