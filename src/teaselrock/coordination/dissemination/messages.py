"""Messages of dissemination, kinds 20 to 39 between instances.

`protocol.messages` registers them; `peer_source` and `facts` handle them.
"""

from collections.abc import Mapping
from typing import Final
from typing import NamedTuple

from teaselrock.state.configuration import Delta


class ConfigDelta(NamedTuple):
    """The sender's version, and deltas up to it if they fit a message."""

    version: int
    deltas: tuple[Delta, ...]


class ConfigRequest(NamedTuple):
    """Requests the deltas after version `have`, or a snapshot.

    `version` and `part` request a further part of a snapshot, else both are
    0.
    """

    after: int
    version: int = 0
    part: int = 0


class ConfigDocumentPart(NamedTuple):
    """One of `parts` parts of the encoded document at `version`."""

    version: int
    part: int
    part_count: int
    data: bytes


class Fact(NamedTuple):
    """A fact about a backend server or an instance; the highest epoch wins.

    `kind` is 'server' or 'instance'. `start_id` identifies the process run
    that the fact is about; `is_leaving` tells whether it drains or leaves.
    """

    kind: str
    subject: str
    revision: int
    start_id: str
    is_leaving: bool


class FactPush(NamedTuple):
    """Facts that the sender knows."""

    facts: tuple[Fact, ...]


class FactSummary(NamedTuple):
    """Digests of the sender's facts by bucket.

    The receiver sends its facts of the buckets that differ, and its own
    summary if `wants_reply` is set.
    """

    buckets: tuple[int, ...]
    needs_reply: bool


KINDS: Final[Mapping[int, type]] = {
    20: ConfigDelta,
    21: ConfigRequest,
    22: ConfigDocumentPart,
    23: FactPush,
    24: FactSummary,
}
