"""Content of an idempotency shard and the rules for updating it.

`coordination.idempotency` writes shards by conditional update. Updates are
idempotent: after a write whose response was lost, the writer reads the
shard and applies the updates again, with the same entries and outcomes.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import enum
from typing import Final
from typing import NamedTuple

SHARD_COUNT: Final = 256
RETENTION_S: Final = 24 * 3600.0
# A delayed claim that arrives after its own release finds the released entry
# and is rejected.
RELEASED_RETENTION_S: Final = 60.0
# At about 80 bytes each, the entries keep a shard below 900 kB.
MAX_ENTRIES: Final = 11_000


class EntryState(enum.StrEnum):
    """State of an idempotency key."""

    CLAIMED = 'claimed'
    COMPLETED = 'completed'
    RELEASED = 'released'


class UpdateKind(enum.StrEnum):
    """Kind of update that an attempt makes to a key."""

    CLAIM = 'claim'
    COMPLETE = 'complete'
    RELEASE = 'release'


class UpdateOutcome(enum.StrEnum):
    """Result of an update.

    `FULL` means that the shard has `MAX_ENTRIES` entries and refuses claims of
    other keys. `UNAVAILABLE` means that the update was not written,
    `UNCERTAIN` that it may have been.
    """

    DONE = 'done'
    IN_USE = 'in-use'
    COMPLETED = 'completed'
    FULL = 'full'
    UNAVAILABLE = 'unavailable'
    UNCERTAIN = 'uncertain'


class ShardEntry(NamedTuple):
    """One key; `time` is that of the claim or release, in Unix seconds."""

    digest: str
    attempt_id: str
    state: EntryState
    time: int


class ShardContent(NamedTuple):
    """The stored object."""

    entries: tuple[ShardEntry, ...] = ()


class ShardUpdate(NamedTuple):
    """Update of one key by one attempt."""

    kind: UpdateKind
    digest: str
    attempt_id: str


def shard_key(shard: int) -> str:
    """Return the store key of a shard."""
    return f'idempotency/{shard:02x}'


def _is_kept(entry: ShardEntry, now: float) -> bool:
    retention_s = (
        RELEASED_RETENTION_S
        if entry.state is EntryState.RELEASED
        else RETENTION_S
    )
    return now - entry.time < retention_s


def _claim(
    entries: dict[str, ShardEntry], update: ShardUpdate, now: int
) -> UpdateOutcome:
    existing = entries.get(update.digest)
    if existing is not None:
        if existing.state is EntryState.COMPLETED:
            return UpdateOutcome.COMPLETED
        is_own = existing.attempt_id == update.attempt_id
        if existing.state is EntryState.CLAIMED:
            return UpdateOutcome.DONE if is_own else UpdateOutcome.IN_USE
        if is_own:
            return UpdateOutcome.IN_USE
    elif len(entries) >= MAX_ENTRIES:
        return UpdateOutcome.FULL
    entries[update.digest] = ShardEntry(
        update.digest, update.attempt_id, EntryState.CLAIMED, now
    )
    return UpdateOutcome.DONE


def _end_claim(
    entries: dict[str, ShardEntry], update: ShardUpdate, now: int
) -> None:
    """Complete or release a key that has no entry or the attempt's claim."""
    existing = entries.get(update.digest)
    if existing is not None and (
        existing.attempt_id != update.attempt_id
        or existing.state is not EntryState.CLAIMED
    ):
        return
    state = EntryState.RELEASED
    time = now
    if update.kind is UpdateKind.COMPLETE:
        state = EntryState.COMPLETED
        time = existing.time if existing is not None else now
    entries[update.digest] = ShardEntry(
        update.digest, update.attempt_id, state, time
    )


def apply_updates(
    entries: Mapping[str, ShardEntry],
    updates: Sequence[ShardUpdate],
    *,
    now: float,
) -> tuple[dict[str, ShardEntry], tuple[UpdateOutcome, ...]]:
    """Prune expired entries, then apply updates in order.

    Entries are keyed by digest; `now` is in Unix seconds. A full shard
    refuses claims and drops no entry that has not expired.
    """
    result = {
        digest: entry
        for digest, entry in entries.items()
        if _is_kept(entry, now)
    }
    outcomes = []
    for update in updates:
        if update.kind is UpdateKind.CLAIM:
            outcomes.append(_claim(result, update, int(now)))
        else:
            _end_claim(result, update, int(now))
            outcomes.append(UpdateOutcome.DONE)
    return result, tuple(outcomes)
