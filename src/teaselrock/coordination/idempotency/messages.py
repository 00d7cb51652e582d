"""Messages between instances and the owners of idempotency shards.

`number` matches a reply to its request and is unique for each sender.
"""

from typing import NamedTuple

from teaselrock.state.records import ShardUpdate
from teaselrock.state.records import UpdateOutcome


class ClaimRequest(NamedTuple):
    """Asks a shard's owner to write a claim without delay."""

    number: int
    shard: int
    update: ShardUpdate


class RecordUpdate(NamedTuple):
    """Asks a shard's owner to complete or release a claim, in a batch."""

    number: int
    shard: int
    update: ShardUpdate


class UpdateReply(NamedTuple):
    """Result of a `ClaimRequest` or `RecordUpdate`, sent after the write."""

    number: int
    outcome: UpdateOutcome
