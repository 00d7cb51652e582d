"""Order of the zones in which a slot is requested, and the reason codes.

The own zone comes first, then the own region, then other regions.
"""

from collections.abc import Iterable
import zlib

from teaselrock.state import AttemptReason
from teaselrock.state import AvailabilityZone


def zone_order(
    *, own_zone: AvailabilityZone, zones: Iterable[AvailabilityZone]
) -> tuple[AvailabilityZone, ...]:
    """Sort zones by distance from the own zone.

    Ties are broken by a hash that includes the own zone, so that the zones
    of a region do not all send their excess load to the same zone.
    """

    def sort_key(zone: AvailabilityZone) -> tuple[int, int]:
        distance = (
            0
            if zone == own_zone
            else 1
            if zone.region == own_zone.region
            else 2
        )
        return distance, zlib.crc32(f'{own_zone} {zone}'.encode())

    return tuple(sorted(zones, key=sort_key))


def attempt_reason(
    *,
    own_zone: AvailabilityZone,
    zone: AvailabilityZone,
    served_in_region: bool,
) -> AttemptReason:
    """Reason for sending a request to `zone`.

    `served_in_region`: whether the own region has any server of the service.
    """
    if zone == own_zone:
        return AttemptReason.LOCAL
    if zone.region == own_zone.region:
        return AttemptReason.REGION
    if served_in_region:
        return AttemptReason.SPILL_LOAD
    return AttemptReason.SPILL_NO_SERVER
