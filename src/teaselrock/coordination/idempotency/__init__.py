"""At-most-once records of non-idempotent requests, kept in the store.

The package claims idempotency keys and writes the shards of records. The
entries of a shard and the updates of them are in `state.records`.
"""

from teaselrock.coordination.idempotency.messages import ClaimRequest
from teaselrock.coordination.idempotency.messages import RecordUpdate
from teaselrock.coordination.idempotency.messages import UpdateReply
from teaselrock.coordination.idempotency.records import RecordOptions
from teaselrock.coordination.idempotency.records import StoreIdempotencyRecords

__all__ = (
    'ClaimRequest',
    'RecordOptions',
    'RecordUpdate',
    'StoreIdempotencyRecords',
    'UpdateReply',
)
