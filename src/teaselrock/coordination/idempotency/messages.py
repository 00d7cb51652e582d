"""Messages between instances and the owners of idempotency shards.

`number` matches a reply to its request and is unique for each sender. The
shard's owner replies to both `ClaimRequest` and `RecordUpdate`.
"""

from typing import NamedTuple

from teaselrock.state.records import ShardUpdate
from teaselrock.state.records import UpdateOutcome


class ClaimRequest(NamedTuple):
    """Requests that the shard's owner write a claim without delay."""

    number: int
    shard: int
    update: ShardUpdate


class RecordUpdate(NamedTuple):
    """Requests that the shard's owner write the end of a claim in a batch.

    The claim is completed or released.
    """

    number: int
    shard: int
    update: ShardUpdate


class UpdateReply(NamedTuple):
    """Result of a `ClaimRequest` or `RecordUpdate`, sent after the write."""

    number: int
    outcome: UpdateOutcome
