"""Peer messages between borrowers and owners of rates.

A rate is divided into `RATE_PARTS` equal parts; a share of the rate is a
number of parts. `number` increases with each `RateRequest` of a borrower, so
that late grants and returns are recognised.
"""

from typing import Final
from typing import NamedTuple

RATE_PARTS: Final = 64
# Lifetime of a share from its request on, on the borrower's clock.
SHARE_LIFETIME_S: Final = 2.0


class RateRequest(NamedTuple):
    """Requests a share of a rate; `demand` is in plan units per second."""

    number: int
    customer: str
    service: str
    demand: float


class RateGrant(NamedTuple):
    """Lends parts of a rate; they replace the borrower's earlier share."""

    number: int
    customer: str
    service: str
    parts: int


class RateReturn(NamedTuple):
    """Returns a share before it expires, when it is idle or on a stop."""

    number: int
    customer: str
    service: str
