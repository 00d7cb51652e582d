"""Which of two values of a stored object holds.

The store may return to an older copy, and a writer's delayed call may
overwrite a later value, so the value that was read last is not always newer.
"""

from teaselrock.coordination.registry.table_edits import share_routes
from teaselrock.state import BackendServer
from teaselrock.state.routes import RoutingTable


def newer_table(
    known: RoutingTable | None, read: RoutingTable | None
) -> RoutingTable | None:
    """The table with the higher version; an unreadable one does not count."""
    if known is None or read is None:
        return known or read
    if known.version > read.version:
        return known
    return share_routes(known, read)


def newer_server(
    known: BackendServer | None, read: BackendServer | None
) -> BackendServer | None:
    """The value that was read, unless it is of an earlier time.

    That is a value of an earlier process of the server, or one without the
    draining that the same process has begun: it never ends it.
    """
    if known is None or read is None:
        return read
    is_of_earlier_process = read.started_at < known.started_at
    has_begun_draining = (
        read.started_at == known.started_at
        and known.is_draining
        and not read.is_draining
    )
    return known if is_of_earlier_process or has_begun_draining else read
