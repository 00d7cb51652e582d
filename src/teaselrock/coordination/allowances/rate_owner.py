"""Owner of rates: lends rate units to the instances that serve requests.

Each instance has one `RateOwner`. It lends only the rates that it owns by
rendezvous hashing over the live members. Each unit has a home member by
rendezvous hashing over the roster and is lent only while the home member is
live, so that the two sides of a partition lend disjoint units.
"""

import asyncio
from collections.abc import Sequence
from functools import lru_cache
import math
from typing import Final
from typing import NamedTuple

from teaselrock.coordination import home_regions
from teaselrock.coordination import rendezvous
from teaselrock.coordination.allowances.messages import RATE_UNITS
from teaselrock.coordination.allowances.messages import SHARE_LIFETIME_S
from teaselrock.coordination.ports import MemberView
from teaselrock.state import Instance
from teaselrock.state.configuration import CustomerEntry

# Two instances notice a change of the live members at most this far apart.
MAX_VIEW_SKEW_S: Final = 1.0
# A rate must have been owned, and a unit's home member live, for this long
# before units are lent: shares lent under an older view have expired by then.
SETTLE_S: Final = SHARE_LIFETIME_S + MAX_VIEW_SKEW_S
# Borrowers of a low rate take turns of this length, twice the lifetime of a
# share: the last share of a turn expires in the first half of the next turn,
# and the next borrower uses the other half.
ROTATION_PERIOD_S: Final = 2 * SHARE_LIFETIME_S
# Factor on the reported demand. A borrower cannot report more demand than its
# share lets it serve, so it is lent more than it reports.
DEMAND_HEADROOM: Final = 1.5
# `refresh` is called at shorter intervals unless the process was paused.
PAUSE_THRESHOLD_S: Final = 0.5

RateKey = tuple[str, str]


class _Lease(NamedTuple):
    """Units lent to a borrower; `expires` is on the loop's clock."""

    number: int
    units: int
    demand: float
    expires: float


class _Ownership(NamedTuple):
    """Loop time since which a rate is owned without interruption."""

    since: float
    customer: CustomerEntry


@lru_cache(maxsize=4096)
def _unit_homes(members: tuple[str, ...], key: RateKey) -> tuple[str, ...]:
    """Home member of each unit of a rate."""
    return tuple(
        rendezvous.owner(members=members, key=f'{key[0]}/{key[1]}/{unit}')
        or ''
        for unit in range(RATE_UNITS)
    )


def min_share_units(rate: float) -> int:
    """Units of the smallest share: a token per second, or the whole rate."""
    return min(RATE_UNITS, math.ceil(RATE_UNITS / rate))


def eligible_members(
    *, customer: CustomerEntry, members: Sequence[Instance]
) -> tuple[str, ...]:
    """Ids of the members in regions that the customer may use, sorted."""
    return tuple(
        sorted(
            member.instance_id
            for member in members
            if home_regions.is_region_allowed(
                customer=customer, region=member.zone.region
            )
        )
    )


def owner_of(
    *, customer: CustomerEntry, key: RateKey, members: Sequence[Instance]
) -> str | None:
    """Id of the member that lends a rate, None if there is none."""
    return rendezvous.owner(
        members=eligible_members(customer=customer, members=members),
        key=f'rates/{key[0]}/{key[1]}',
    )


class RateOwner:
    """Lends units of the rates that this instance owns."""

    def __init__(self, *, view: MemberView) -> None:
        self._view = view
        self._refreshed = -math.inf
        self._epoch = -1
        self._live_since: dict[str, float] = {}
        self._owned: dict[RateKey, _Ownership] = {}
        self._leases: dict[RateKey, dict[str, list[_Lease]]] = {}

    def refresh(self) -> None:
        """Apply changes of the live members; detect pauses of this process."""
        now = asyncio.get_running_loop().time()
        if now - self._refreshed > PAUSE_THRESHOLD_S:
            # During a pause another owner may have taken over.
            self._live_since.clear()
            self._owned.clear()
        self._refreshed = now
        if self._epoch != self._view.epoch or not self._live_since:
            self._epoch = self._view.epoch
            self._live_since = {
                member.instance_id: self._live_since.get(
                    member.instance_id, now
                )
                for member in self._view.live
            }
            self._owned = {
                key: owned
                for key, owned in self._owned.items()
                if self._owner(key, owned.customer)
                == self._view.own.instance_id
            }

    def lend(
        self,
        *,
        borrower: str,
        number: int,
        key: RateKey,
        customer: CustomerEntry,
        demand: float,
        rate: float,
    ) -> int | None:
        """Lend units to a borrower; None if this instance may not lend.

        That is so unless it has owned the rate for `SETTLE_S`. `demand` and
        `rate` are in plan units per second. The new share replaces the
        borrower's older one, which still counts until it expires, since the
        answer may be lost.
        """
        self.refresh()
        if not self._is_owner(key, customer):
            return None
        now = asyncio.get_running_loop().time()
        leases = self._unexpired(key, now)
        usable_units = self._usable_units(key, customer, now)
        lent_to_others = sum(
            max(lease.units for lease in held)
            for member, held in leases.items()
            if member != borrower
        )
        wanted_units = {
            member: held[-1].demand * DEMAND_HEADROOM * RATE_UNITS / rate
            for member, held in leases.items()
        }
        wanted_units[borrower] = demand * DEMAND_HEADROOM * RATE_UNITS / rate
        min_units = min(usable_units, min_share_units(rate))
        units = min(
            self._share_units(wanted_units, borrower, usable_units, min_units),
            max(0, usable_units - lent_to_others),
        )
        if units < min_units:
            units = 0
        leases.setdefault(borrower, []).append(
            _Lease(number, units, demand, now + SHARE_LIFETIME_S)
        )
        return units

    def remove_shares(
        self, *, borrower: str, number: int, key: RateKey
    ) -> None:
        """Remove the shares of a borrower up to a request number."""
        held = self._leases.get(key, {})
        kept = [x for x in held.get(borrower, ()) if x.number > number]
        if kept:
            held[borrower] = kept
        else:
            held.pop(borrower, None)

    def _share_units(
        self,
        wanted_units: dict[str, float],
        borrower: str,
        usable_units: int,
        min_units: int,
    ) -> int:
        """Units for a borrower, before shares of others are subtracted.

        A borrower gets the units it wants, but at least an equal part. If
        all together want more than is usable, units are divided in
        proportion. If there are fewer smallest shares than borrowers, the
        borrowers take turns.
        """
        if usable_units == 0:
            return 0
        max_holders = usable_units // min_units
        if max_holders < len(wanted_units):
            first_rank = int(self._refreshed / ROTATION_PERIOD_S) * max_holders
            rank = sorted(wanted_units).index(borrower)
            return (
                min_units
                if (rank - first_rank) % len(wanted_units) < max_holders
                else 0
            )
        total = sum(wanted_units.values())
        if total > usable_units:
            return max(
                min_units, int(usable_units * wanted_units[borrower] / total)
            )
        equal_part = usable_units // max(1, len(self._view.live))
        return max(math.ceil(wanted_units[borrower]), equal_part, min_units)

    def _is_owner(self, key: RateKey, customer: CustomerEntry) -> bool:
        """Whether this instance has owned the rate for `SETTLE_S`."""
        now = asyncio.get_running_loop().time()
        if self._owner(key, customer) != self._view.own.instance_id:
            self._owned.pop(key, None)
            return False
        owned = self._owned.setdefault(key, _Ownership(now, customer))
        return now - owned.since >= SETTLE_S

    def _owner(self, key: RateKey, customer: CustomerEntry) -> str | None:
        return owner_of(customer=customer, key=key, members=self._view.live)

    def _usable_units(
        self, key: RateKey, customer: CustomerEntry, now: float
    ) -> int:
        members = eligible_members(
            customer=customer, members=self._view.roster
        )
        return sum(
            now - self._live_since.get(home, now) >= SETTLE_S
            for home in _unit_homes(members, key)
        )

    def _unexpired(self, key: RateKey, now: float) -> dict[str, list[_Lease]]:
        leases = {
            member: kept
            for member, held in self._leases.get(key, {}).items()
            if (kept := [x for x in held if x.expires > now])
        }
        self._leases[key] = leases
        return leases
