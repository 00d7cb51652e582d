"""Which servers are checked for a request, and in which order.

Load checks between zones and regions cost time and traffic, so the nearest
servers are checked first, and others only if those do not suffice.
"""

from collections.abc import Sequence
import random
from typing import Final
from typing import NamedTuple

from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer

# Servers that are checked at a time, in the own region and in others.
REGION_CHECKS: Final = 5
OTHER_REGION_CHECKS: Final = 3
# Up to this many checks of the own region go to the own zone.
OWN_ZONE_CHECKS: Final = 3


class CheckGroup(NamedTuple):
    """Servers that are checked together.

    A reserve is checked only if all servers before it deny permits.
    """

    servers: Sequence[BackendServer]
    is_reserve: bool = False


class CheckGroups:
    """Random groups of servers, nearest first."""

    def __init__(
        self, *, own_zone: AvailabilityZone, rng: random.Random
    ) -> None:
        self._own_zone = own_zone
        self._rng = rng

    def choose(self, servers: Sequence[BackendServer]) -> list[CheckGroup]:
        """Groups of servers to check, one after the other."""
        in_own_zone: list[BackendServer] = []
        in_region: list[BackendServer] = []
        in_other_regions: list[BackendServer] = []
        for server in servers:
            if server.zone == self._own_zone:
                in_own_zone.append(server)
            elif server.zone.region == self._own_zone.region:
                in_region.append(server)
            else:
                in_other_regions.append(server)
        first = self._sample(in_own_zone, OWN_ZONE_CHECKS)
        first += self._sample(in_region, REGION_CHECKS - len(first))
        rest = [
            server for server in in_own_zone + in_region if server not in first
        ]
        others = self._sample(in_other_regions, len(in_other_regions))
        second = self._sample(rest, REGION_CHECKS)
        rest = [server for server in rest if server not in second]
        groups = [
            CheckGroup(first),
            CheckGroup(second),
            CheckGroup(others[:OTHER_REGION_CHECKS]),
            CheckGroup(self._sample(rest, REGION_CHECKS), is_reserve=True),
            CheckGroup(
                others[OTHER_REGION_CHECKS:][:REGION_CHECKS], is_reserve=True
            ),
        ]
        return [group for group in groups if group.servers]

    def _sample(
        self, servers: Sequence[BackendServer], count: int
    ) -> list[BackendServer]:
        return self._rng.sample(servers, max(0, min(count, len(servers))))
