"""The owner of rates: lends rate units to the instances that serve.

Each instance has one `RateOwner`; it lends only the rates that it owns by
rendezvous hashing over the live members. Each unit has a home member by
rendezvous hashing over the roster, and is lent only while its home is in
the live view, so that two sides of a partition lend disjoint units.
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
from teaselrock.coordination.allowances.messages import SHARE_S
from teaselrock.coordination.ports import MemberView
from teaselrock.state import Instance
from teaselrock.state.configuration import CustomerEntry

# Two instances notice a change of the fleet at most this far apart.
VIEW_SPREAD_S: Final = 1.0
# Ownership of a rate and the presence of a unit's home must last this long
# before lending: shares lent under an older view have expired by then.
SETTLE_S: Final = SHARE_S + VIEW_SPREAD_S
# Borrowers of a low rate take turns of this length: a share expires within
# one half of it, and the next borrower uses the other half.
TURN_S: Final = 2 * SHARE_S
# A borrower shows no more demand than its share serves, so it is lent more
# than it shows.
HEADROOM: Final = 1.5
# `refresh` is called at least this often unless the process was paused.
PAUSE_S: Final = 0.5

RateKey = tuple[str, str]


class _Lease(NamedTuple):
    """Units lent to a borrower; `expires` is on the loop's clock."""

    number: int
    units: int
    demand: float
    expires: float


class _Ownership(NamedTuple):
    """Since when, on the loop's clock, a rate is owned without a break."""

    since: float
    customer: CustomerEntry


@lru_cache(maxsize=4096)
def _homes(members: tuple[str, ...], key: RateKey) -> tuple[str, ...]:
    """Home member of each unit of a rate."""
    return tuple(
        rendezvous.owner(members=members, key=f'{key[0]}/{key[1]}/{unit}')
        or ''
        for unit in range(RATE_UNITS)
    )


def chunk_units(rate: float) -> int:
    """The smallest share: a token each second, or the whole rate."""
    return min(RATE_UNITS, math.ceil(RATE_UNITS / rate))


def members_for(
    *, customer: CustomerEntry, members: Sequence[Instance]
) -> tuple[str, ...]:
    """Ids of the members that may know of the customer's requests."""
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
    """The member that lends a rate."""
    return rendezvous.owner(
        members=members_for(customer=customer, members=members),
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
        """Note changes of the live view and pauses of this process."""
        now = asyncio.get_running_loop().time()
        if now - self._refreshed > PAUSE_S:
            # Others may have taken over meanwhile.
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
        """Units for a borrower; None if this instance is not the owner.

        `demand` and `rate` are in plan units per second. The new share
        replaces the borrower's older one, which counts until it expires,
        since the answer may be lost.
        """
        self.refresh()
        if not self._is_owner(key, customer):
            return None
        now = asyncio.get_running_loop().time()
        leases = self._unexpired(key, now)
        usable = self._usable(key, customer, now)
        others = sum(
            max(lease.units for lease in held)
            for member, held in leases.items()
            if member != borrower
        )
        wants = {
            member: held[-1].demand * HEADROOM * RATE_UNITS / rate
            for member, held in leases.items()
        }
        wants[borrower] = demand * HEADROOM * RATE_UNITS / rate
        chunk = min(usable, chunk_units(rate))
        units = min(
            self._share(wants, borrower, usable, chunk),
            max(0, usable - others),
        )
        if units < chunk:
            units = 0
        leases.setdefault(borrower, []).append(
            _Lease(number, units, demand, now + SHARE_S)
        )
        return units

    def take_back(self, *, borrower: str, number: int, key: RateKey) -> None:
        """Forget the shares of a borrower up to a request's number."""
        held = self._leases.get(key, {})
        kept = [x for x in held.get(borrower, ()) if x.number > number]
        if kept:
            held[borrower] = kept
        else:
            held.pop(borrower, None)

    def _share(
        self,
        wants: dict[str, float],
        borrower: str,
        usable: int,
        chunk: int,
    ) -> int:
        """What it wants, an equal part at least; proportional if scarce.

        If there are fewer chunks than borrowers, they take turns.
        """
        if usable == 0:
            return 0
        holders = usable // chunk
        if holders < len(wants):
            turn = int(self._refreshed / TURN_S) * holders
            place = sorted(wants).index(borrower)
            return chunk if (place - turn) % len(wants) < holders else 0
        total = sum(wants.values())
        if total > usable:
            return max(chunk, int(usable * wants[borrower] / total))
        equal = usable // max(1, len(self._view.live))
        return max(math.ceil(wants[borrower]), equal, chunk)

    def _is_owner(self, key: RateKey, customer: CustomerEntry) -> bool:
        """Whether this instance has owned the rate for long enough."""
        now = asyncio.get_running_loop().time()
        if self._owner(key, customer) != self._view.own.instance_id:
            self._owned.pop(key, None)
            return False
        owned = self._owned.setdefault(key, _Ownership(now, customer))
        return now - owned.since >= SETTLE_S

    def _owner(self, key: RateKey, customer: CustomerEntry) -> str | None:
        return owner_of(customer=customer, key=key, members=self._view.live)

    def _usable(
        self, key: RateKey, customer: CustomerEntry, now: float
    ) -> int:
        members = members_for(customer=customer, members=self._view.roster)
        return sum(
            now - self._live_since.get(home, now) >= SETTLE_S
            for home in _homes(members, key)
        )

    def _unexpired(self, key: RateKey, now: float) -> dict[str, list[_Lease]]:
        leases = {
            member: kept
            for member, held in self._leases.get(key, {}).items()
            if (kept := [x for x in held if x.expires > now])
        }
        self._leases[key] = leases
        return leases
