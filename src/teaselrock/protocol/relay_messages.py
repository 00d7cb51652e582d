"""Table of the message kinds between instances that serve routes.

The instances of a region that watch the store relay its changes to the other
instances, and any instance requests permits for limited servers from others.
The table is separate from `messages`, so that an instance without shared slots
does not import parts that it does not run.
"""

from collections.abc import Mapping
from typing import Final

from teaselrock.coordination.rate_permits import messages as permit_messages
from teaselrock.coordination.registry import messages

# Enough for a routing table of some thousand routes.
MAX_RELAY_BYTES: Final = 4 * 1024 * 1024

RELAY_KINDS: Final[Mapping[int, type]] = {
    # Relay: 90 to 94 and 97 to 100; permits: 95 and 96.
    90: messages.FollowRequest,
    91: messages.WatchHeartbeat,
    92: messages.TablesChanged,
    93: messages.ServersChanged,
    94: messages.ZonesChanged,
    95: permit_messages.PermitRequest,
    96: permit_messages.PermitResponse,
    97: messages.TablesEdited,
    98: messages.TablesConfirmed,
    99: messages.FollowerProtocol,
    100: messages.TablesReceived,
}
# Routes compress to about a third. Earlier builds know none of these kinds.
COMPRESSED_RELAY_KINDS: Final = frozenset({97})
