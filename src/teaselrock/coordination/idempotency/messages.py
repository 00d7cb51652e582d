"""Messages between instances and the owners of idempotency shards.

`number` pairs a reply with its request and is unique for each sender.
"""

from typing import NamedTuple

from teaselrock.state.records import ShardUpdate
from teaselrock.state.records import UpdateOutcome


class ClaimRequest(NamedTuple):
    """Asks a shard's owner to write a claim now."""

    number: int
    shard: int
    update: ShardUpdate


class RecordUpdate(NamedTuple):
    """Asks a shard's owner to write the end of a claim, in a batch."""

    number: int
    shard: int
    update: ShardUpdate


class ClaimReply(NamedTuple):
    """Result of a `ClaimRequest` or a `RecordUpdate`, after the write."""

    number: int
    outcome: UpdateOutcome
