"""Idempotency shards and allowance ledgers, which the store holds."""

from teaselrock.state.records.ledger import add_draw
from teaselrock.state.records.ledger import block_size
from teaselrock.state.records.ledger import Draw
from teaselrock.state.records.ledger import find_draw
from teaselrock.state.records.ledger import ledger_key
from teaselrock.state.records.ledger import LedgerContent
from teaselrock.state.records.ledger import Window
from teaselrock.state.records.ledger import window_at
from teaselrock.state.records.shards import apply_updates
from teaselrock.state.records.shards import EntryState
from teaselrock.state.records.shards import RETENTION_S
from teaselrock.state.records.shards import SHARD_COUNT
from teaselrock.state.records.shards import shard_key
from teaselrock.state.records.shards import ShardContent
from teaselrock.state.records.shards import ShardEntry
from teaselrock.state.records.shards import ShardUpdate
from teaselrock.state.records.shards import UpdateKind
from teaselrock.state.records.shards import UpdateOutcome

__all__ = (
    'Draw',
    'EntryState',
    'LedgerContent',
    'RETENTION_S',
    'SHARD_COUNT',
    'ShardContent',
    'ShardEntry',
    'ShardUpdate',
    'UpdateKind',
    'UpdateOutcome',
    'Window',
    'add_draw',
    'apply_updates',
    'block_size',
    'find_draw',
    'ledger_key',
    'shard_key',
    'window_at',
)
