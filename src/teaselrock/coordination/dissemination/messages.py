"""Messages of dissemination, type numbers 20 to 39 of the peer protocol.

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
    """Requests the deltas after version `after`, or the whole document.

    `after` is the sender's version. `version` and `part` request a further
    part of the document at `version`, else both are 0.
    """

    after: int
    version: int = 0
    part: int = 0


class ConfigDocumentPart(NamedTuple):
    """Part number `part` of the encoded document at `version`, from 0.

    `part_count` is the number of parts.
    """

    version: int
    part: int
    part_count: int
    data: bytes


class Fact(NamedTuple):
    """Whether a process run of a backend server or an instance is leaving.

    `kind` is 'server' or 'instance', `subject` its id. A higher `revision`
    replaces a lower one. `start_id` identifies the process run: for an
    instance, it is the incarnation with which it started. `is_leaving` is True
    for a server that drains and for an instance that shuts down.
    """

    kind: str
    subject: str
    revision: int
    start_id: str
    is_leaving: bool


class FactPush(NamedTuple):
    """Facts of the sender."""

    facts: tuple[Fact, ...]


class FactSummary(NamedTuple):
    """Digests of the sender's facts by bucket.

    The receiver sends its facts of the buckets that differ, and its own
    summary if `needs_reply` is set.
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
