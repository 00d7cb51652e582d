"""Content of an idempotency shard and the rules of its updates.

`coordination.idempotency` writes shards by conditional update. Applying an
update twice gives the same entries and the same outcome, so that a write
whose answer was lost is resolved by reading and applying again.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import enum
from typing import Final
from typing import NamedTuple

SHARD_COUNT: Final = 256
RETENTION_S: Final = 24 * 3600.0
# A claim that is still on its way when its attempt releases the key finds
# the released entry and is not written again.
RELEASED_RETENTION_S: Final = 60.0
# About 80 bytes for each entry keep a shard below 900 kB.
MAX_ENTRIES: Final = 11_000


class EntryState(enum.StrEnum):
    """State of a key."""

    CLAIMED = 'claimed'
    COMPLETED = 'completed'
    RELEASED = 'released'


class UpdateKind(enum.StrEnum):
    """What an attempt does with a key."""

    CLAIM = 'claim'
    COMPLETE = 'complete'
    RELEASE = 'release'


class UpdateOutcome(enum.StrEnum):
    """Result of an update; the last three come from a failed write.

    `UNCERTAIN` means that the update may have been written.
    """

    DONE = 'done'
    IN_USE = 'in-use'
    COMPLETED = 'completed'
    FULL = 'full'
    UNAVAILABLE = 'unavailable'
    UNCERTAIN = 'uncertain'


class ShardEntry(NamedTuple):
    """One key; `time` is in Unix seconds, of the claim or the release."""

    digest: str
    attempt: str
    state: EntryState
    time: int


class ShardContent(NamedTuple):
    """The stored object."""

    entries: tuple[ShardEntry, ...] = ()


class ShardUpdate(NamedTuple):
    """One update of a key by one attempt."""

    kind: UpdateKind
    digest: str
    attempt: str


def shard_key(shard: int) -> str:
    """Store key of a shard."""
    return f'idempotency/{shard:02x}'


def _is_kept(entry: ShardEntry, now: float) -> bool:
    limit = (
        RELEASED_RETENTION_S
        if entry.state is EntryState.RELEASED
        else RETENTION_S
    )
    return now - entry.time < limit


def _claim(
    entries: dict[str, ShardEntry], update: ShardUpdate, now: int
) -> UpdateOutcome:
    held = entries.get(update.digest)
    if held is not None:
        if held.state is EntryState.COMPLETED:
            return UpdateOutcome.COMPLETED
        is_own = held.attempt == update.attempt
        if held.state is EntryState.CLAIMED:
            return UpdateOutcome.DONE if is_own else UpdateOutcome.IN_USE
        if is_own:
            return UpdateOutcome.IN_USE
    elif len(entries) >= MAX_ENTRIES:
        return UpdateOutcome.FULL
    entries[update.digest] = ShardEntry(
        update.digest, update.attempt, EntryState.CLAIMED, now
    )
    return UpdateOutcome.DONE


def _end(
    entries: dict[str, ShardEntry], update: ShardUpdate, now: int
) -> None:
    """Complete or release a key, if it is this attempt's or unknown."""
    held = entries.get(update.digest)
    if held is not None and (
        held.attempt != update.attempt or held.state is not EntryState.CLAIMED
    ):
        return
    state = EntryState.RELEASED
    time = now
    if update.kind is UpdateKind.COMPLETE:
        state = EntryState.COMPLETED
        time = held.time if held is not None else now
    entries[update.digest] = ShardEntry(
        update.digest, update.attempt, state, time
    )


def apply_updates(
    entries: Mapping[str, ShardEntry],
    updates: Sequence[ShardUpdate],
    *,
    now: float,
) -> tuple[dict[str, ShardEntry], tuple[UpdateOutcome, ...]]:
    """Prune, then apply updates in order; entries are keyed by digest.

    `now` is in Unix seconds. A full shard refuses claims and loses nothing.
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
            _end(result, update, int(now))
            outcomes.append(UpdateOutcome.DONE)
    return result, tuple(outcomes)
