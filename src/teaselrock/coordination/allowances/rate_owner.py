"""Owner of rates: lends parts of rates to the instances that serve requests.

Each instance has one `RateOwner`. It lends only the rates that it owns by
rendezvous hashing over the live members. Each part has a home member by
rendezvous hashing over the roster and is lent only while the home member is
live, so that the two sides of a partition lend disjoint parts.
"""

import asyncio
from collections.abc import Sequence
from functools import lru_cache
import math
from typing import Final
from typing import NamedTuple

from teaselrock.coordination import home_regions
from teaselrock.coordination import rendezvous
from teaselrock.coordination.allowances.messages import RATE_PARTS
from teaselrock.coordination.allowances.messages import SHARE_LIFETIME_S
from teaselrock.coordination.ports import MemberView
from teaselrock.state import Instance
from teaselrock.state.configuration import CustomerEntry

# Two instances detect a change of the live members at most this far apart.
MAX_VIEW_SKEW_S: Final = 1.0
# A rate must have been owned, and a part's home member live, for this long
# before parts are lent: shares lent under an older view have expired by then.
MIN_OWNED_S: Final = SHARE_LIFETIME_S + MAX_VIEW_SKEW_S
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


class _LentShare(NamedTuple):
    """Parts of a rate lent to a borrower; `expires` is a loop time."""

    number: int
    parts: int
    demand: float
    expires: float


class _Ownership(NamedTuple):
    """Loop time since which a rate is owned without interruption."""

    since: float
    customer: CustomerEntry


@lru_cache(maxsize=4096)
def _home_members(members: tuple[str, ...], key: RateKey) -> tuple[str, ...]:
    """Home member of each part of a rate."""
    return tuple(
        rendezvous.owner(members=members, key=f'{key[0]}/{key[1]}/{part}')
        or ''
        for part in range(RATE_PARTS)
    )


def min_share_parts(rate: float) -> int:
    """Parts of the smallest share: a token per second, or the whole rate."""
    return min(RATE_PARTS, math.ceil(RATE_PARTS / rate))


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
    """Lends parts of the rates that this instance owns."""

    def __init__(self, *, view: MemberView) -> None:
        self._view = view
        self._refreshed = -math.inf
        self._epoch = -1
        self._live_since: dict[str, float] = {}
        self._owned: dict[RateKey, _Ownership] = {}
        self._lent_shares: dict[RateKey, dict[str, list[_LentShare]]] = {}

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
        """Lend parts to a borrower; None if this instance may not lend.

        It may lend once it has owned the rate for `MIN_OWNED_S`. `demand` and
        `rate` are in plan units per second. The new share replaces the
        borrower's older one, which still counts until it expires, since the
        grant may be lost.
        """
        self.refresh()
        if not self._is_owner(key, customer):
            return None
        now = asyncio.get_running_loop().time()
        lent_shares = self._unexpired(key, now)
        usable_parts = self._usable_parts(key, customer, now)
        lent_to_others = sum(
            max(share.parts for share in shares)
            for member, shares in lent_shares.items()
            if member != borrower
        )
        requested_parts = {
            member: shares[-1].demand * DEMAND_HEADROOM * RATE_PARTS / rate
            for member, shares in lent_shares.items()
        }
        requested_parts[borrower] = (
            demand * DEMAND_HEADROOM * RATE_PARTS / rate
        )
        min_parts = min(usable_parts, min_share_parts(rate))
        parts = min(
            self._share_parts(
                requested_parts, borrower, usable_parts, min_parts
            ),
            max(0, usable_parts - lent_to_others),
        )
        if parts < min_parts:
            parts = 0
        lent_shares.setdefault(borrower, []).append(
            _LentShare(number, parts, demand, now + SHARE_LIFETIME_S)
        )
        return parts

    def remove_lent_shares(
        self, *, borrower: str, number: int, key: RateKey
    ) -> None:
        """Remove the shares of a borrower up to a request number."""
        shares = self._lent_shares.get(key, {})
        kept = [
            share
            for share in shares.get(borrower, ())
            if share.number > number
        ]
        if kept:
            shares[borrower] = kept
        else:
            shares.pop(borrower, None)

    def _share_parts(
        self,
        requested_parts: dict[str, float],
        borrower: str,
        usable_parts: int,
        min_parts: int,
    ) -> int:
        """Parts for a borrower, before shares of others are subtracted.

        A borrower gets the requested parts, but at least an equal share. If
        the requests together exceed the usable parts, these are divided in
        proportion. If there are fewer smallest shares than borrowers, the
        borrowers take turns.
        """
        if usable_parts == 0:
            return 0
        max_borrowers = usable_parts // min_parts
        if max_borrowers < len(requested_parts):
            first_rank = (
                int(self._refreshed / ROTATION_PERIOD_S) * max_borrowers
            )
            rank = sorted(requested_parts).index(borrower)
            return (
                min_parts
                if (rank - first_rank) % len(requested_parts) < max_borrowers
                else 0
            )
        total = sum(requested_parts.values())
        if total > usable_parts:
            return max(
                min_parts,
                int(usable_parts * requested_parts[borrower] / total),
            )
        equal_share = usable_parts // max(1, len(self._view.live))
        return max(
            math.ceil(requested_parts[borrower]), equal_share, min_parts
        )

    def _is_owner(self, key: RateKey, customer: CustomerEntry) -> bool:
        """Whether this instance has owned the rate for `MIN_OWNED_S`."""
        now = asyncio.get_running_loop().time()
        if self._owner(key, customer) != self._view.own.instance_id:
            self._owned.pop(key, None)
            return False
        owned = self._owned.setdefault(key, _Ownership(now, customer))
        return now - owned.since >= MIN_OWNED_S

    def _owner(self, key: RateKey, customer: CustomerEntry) -> str | None:
        return owner_of(customer=customer, key=key, members=self._view.live)

    def _usable_parts(
        self, key: RateKey, customer: CustomerEntry, now: float
    ) -> int:
        members = eligible_members(
            customer=customer, members=self._view.roster
        )
        return sum(
            now - self._live_since.get(home, now) >= MIN_OWNED_S
            for home in _home_members(members, key)
        )

    def _unexpired(
        self, key: RateKey, now: float
    ) -> dict[str, list[_LentShare]]:
        lent_shares = {
            member: kept
            for member, shares in self._lent_shares.get(key, {}).items()
            if (kept := [share for share in shares if share.expires > now])
        }
        self._lent_shares[key] = lent_shares
        return lent_shares
