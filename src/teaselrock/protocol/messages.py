"""Table of the message kinds of the peer protocol.

A kind is the number of a message type in the protocol between instances; it
is never reused for another type. Each part of `coordination` uses its own
range of numbers.
"""

from collections.abc import Mapping
from typing import Final

from teaselrock.coordination import dissemination
from teaselrock.coordination import membership
from teaselrock.coordination.allowances import RateGrant
from teaselrock.coordination.allowances import RateRequest
from teaselrock.coordination.allowances import RateReturn
from teaselrock.coordination.idempotency import ClaimRequest
from teaselrock.coordination.idempotency import RecordUpdate
from teaselrock.coordination.idempotency import UpdateReply
from teaselrock.coordination.reporting import EndedRows
from teaselrock.coordination.reporting import EndedRowsAck
from teaselrock.coordination.reporting import KeptRowsQuery
from teaselrock.coordination.reporting import RowAck
from teaselrock.coordination.reporting import RowCopy
from teaselrock.coordination.reporting import RowsStored
from teaselrock.coordination.slots import messages as slots

KINDS: Final[Mapping[int, type]] = {
    # Membership: 1 to 19.
    **membership.KINDS,
    # Dissemination: 20 to 39.
    **dissemination.KINDS,
    # Slots: 40 to 59.
    40: slots.SlotRequest,
    41: slots.SlotGrant,
    42: slots.SlotUpdate,
    43: slots.SlotConfirm,
    44: slots.SlotRecall,
    45: slots.LeaseQuery,
    46: slots.HeldLeases,
    47: slots.SlotReturn,
    # Idempotency: 60 to 69.
    60: ClaimRequest,
    61: UpdateReply,
    62: RecordUpdate,
    # Allowances: 70 to 79.
    70: RateRequest,
    71: RateGrant,
    72: RateReturn,
    # Reporting: 80 to 89.
    80: RowCopy,
    81: RowAck,
    82: EndedRows,
    83: RowsStored,
    84: EndedRowsAck,
    85: KeptRowsQuery,
}
