"""Placement of the slots: allocators of groups and homes of units.

Both follow from `coordination.rendezvous` and the member view alone.
"""

from collections.abc import Sequence

from teaselrock.coordination import rendezvous
from teaselrock.state import AvailabilityZone
from teaselrock.state import Instance


def owner(
    *, key: str, zone: AvailabilityZone, live: Sequence[Instance]
) -> str | None:
    """Owner of a key: of the zone, else of the region, else of all."""
    pools = (
        [one for one in live if one.zone == zone],
        [one for one in live if one.zone.region == zone.region],
        live,
    )
    for pool in pools:
        if pool:
            return rendezvous.owner(
                key=key, members=(one.instance_id for one in pool)
            )
    return None


def home_members(
    *, server_id: str, units: int, region: str, roster: Sequence[Instance]
) -> tuple[str, ...]:
    """Home member of each unit of a server, within the region's roster."""
    pool = [one for one in roster if one.zone.region == region] or roster
    members = [one.instance_id for one in pool]
    return tuple(
        rendezvous.owner(key=f'{server_id}/{unit}', members=members) or ''
        for unit in range(units)
    )
