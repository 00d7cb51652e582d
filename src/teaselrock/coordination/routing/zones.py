"""Order of zones in which a request looks for a slot.

Own zone first, then the region, then other regions that the plan allows.
"""

from collections.abc import Iterable
import zlib

from teaselrock.state import AttemptReason
from teaselrock.state import AvailabilityZone


def zone_order(
    *, own: AvailabilityZone, zones: Iterable[AvailabilityZone]
) -> tuple[AvailabilityZone, ...]:
    """Sort zones by distance; ties differ from zone to zone.

    A hash breaks ties, so that the zones of a region do not all spill into
    the same zone.
    """

    def key(zone: AvailabilityZone) -> tuple[int, int]:
        rank = 0 if zone == own else 1 if zone.region == own.region else 2
        return rank, zlib.crc32(f'{own} {zone}'.encode())

    return tuple(sorted(zones, key=key))


def attempt_reason(
    *,
    own: AvailabilityZone,
    zone: AvailabilityZone,
    served_in_region: bool,
) -> AttemptReason:
    """Why a request goes to `zone`.

    `served_in_region` tells whether the own region has servers at all.
    """
    if zone == own:
        return AttemptReason.LOCAL
    if zone.region == own.region:
        return AttemptReason.REGION
    if served_in_region:
        return AttemptReason.SPILL_LOAD
    return AttemptReason.SPILL_NO_SERVER
