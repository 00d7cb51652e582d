"""Messages of membership, type numbers 1 to 19 of the peer protocol.

`protocol.messages` registers them; `detector` and `member` handle them.
"""

from collections.abc import Mapping
import enum
from typing import Final
from typing import NamedTuple

from teaselrock.state import Instance


class MemberState(enum.IntEnum):
    """State of a member; of equal incarnations the higher state is kept."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    FAILED = 3
    LEFT = 4


class MemberRecord(NamedTuple):
    """State of a member, as disseminated in updates.

    `incarnation` is the version of the member's own record: it begins with a
    number of the process run and increases with each own change of the state
    and each refutation. A higher one replaces a lower one. `reporter` is the
    instance that reports a suspicion, else ''.
    """

    instance: Instance
    incarnation: int
    state: MemberState
    reporter: str = ''


class MemberStatus(NamedTuple):
    """Status of the sender in each ping and ack.

    `version` is its configuration version in force, `facts_digest` the
    digest of its `FactTable`.
    """

    version: int = 0
    is_ready: bool = False
    facts_digest: int = 0


class Ping(NamedTuple):
    """Requests an `Ack` with the same sequence number."""

    sequence: int
    status: MemberStatus
    updates: tuple[MemberRecord, ...]


class Ack(NamedTuple):
    """Acknowledges a `Ping`, or a `PingRequest` on behalf of its target."""

    sequence: int
    status: MemberStatus
    updates: tuple[MemberRecord, ...]


class PingRequest(NamedTuple):
    """Requests an indirect ping of `target` by the receiver."""

    sequence: int
    target: str


class Nack(NamedTuple):
    """Sent to the origin of a `PingRequest` whose target has not answered."""

    sequence: int


class Join(NamedTuple):
    """Announces the sender and requests the receiver's member records."""

    record: MemberRecord


class JoinReply(NamedTuple):
    """Some of the sender's member records, in answer to a `Join`."""

    records: tuple[MemberRecord, ...]


class Leave(NamedTuple):
    """Announces that the sender leaves after a graceful shutdown."""

    record: MemberRecord


KINDS: Final[Mapping[int, type]] = {
    1: Ping,
    2: Ack,
    3: PingRequest,
    4: Leave,
    5: Join,
    6: JoinReply,
    7: Nack,
}
