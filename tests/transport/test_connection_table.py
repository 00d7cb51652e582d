"""Limit of the number of callers' connections."""

import asyncio

from teaselrock.transport.caller_limits import CallerLimit
from teaselrock.transport.connection_table import connection_limit
from teaselrock.transport.connection_table import ConnectionTable
from teaselrock.transport.operators_listener import make_operators_listener
from teaselrock.transport.operators_listener import MAX_CONNECTIONS
from teaselrock.transport.operators_pages import OperatorsSource

MB = 1_000_000
# Ends a test whose listener does not respond.
TIMEOUT_S = 20


class Connection:
    """Records whether it was closed."""

    def __init__(self) -> None:
        self.is_closed = False

    def abort(self) -> None:
        self.is_closed = True


class Observer:
    """Records the limits that callers met."""

    def __init__(self) -> None:
        self.limits: list[CallerLimit] = []

    def on_caller_limit(self, *, limit: CallerLimit, detail: str) -> None:
        self.limits.append(limit)


def test_longest_waiting_connection_is_closed() -> None:
    """Guards against a new caller that is closed in place of an idle one.

    The first connection is served, and the second one was since it began.
    """
    observer = Observer()
    table: ConnectionTable[Connection] = ConnectionTable(
        limit=3, observer=observer
    )
    served, used, idle, new = (Connection() for _ in range(4))
    for connection in (served, used, idle):
        table.add(connection)
    table.begin_service(served)
    table.begin_service(used)
    table.end_service(used)
    table.add(new)
    assert [c.is_closed for c in (served, used, idle, new)] == [
        *(False, False, True, False)
    ]
    assert observer.limits == [CallerLimit.CONNECTIONS]
    assert set(table) == {served, used, new}


def test_new_connection_is_closed_if_all_are_served() -> None:
    """Guards against requests that are cut off by new connections."""
    table: ConnectionTable[Connection] = ConnectionTable(limit=2)
    served = [Connection(), Connection()]
    for connection in served:
        table.add(connection)
        table.begin_service(connection)
    new = Connection()
    table.add(new)
    assert [new.is_closed, *(c.is_closed for c in served)] == [
        *(True, False, False)
    ]
    # The end of a closed connection changes nothing.
    table.end_service(new)
    table.remove(new)
    table.remove(served[0])
    assert len(table) == 1


def test_limit_follows_descriptors_and_memory() -> None:
    """Guards against a limit that leaves nothing for servers and requests."""
    assert connection_limit(descriptors=256, memory_bytes=200 * MB) == 192
    assert connection_limit(descriptors=8192, memory_bytes=200 * MB) == 2441
    assert connection_limit(descriptors=None, memory_bytes=200 * MB) == 2441
    assert connection_limit(descriptors=1, memory_bytes=200 * MB) == 1


def test_operators_listener_closes_idle_connections() -> None:
    """Guards against idle connections that shut out the readiness check."""

    async def main() -> None:
        listener = make_operators_listener(
            source=OperatorsSource(
                is_alive=lambda: True,
                is_ready=lambda: True,
                metrics=lambda: b'',
                status=dict,
            )
        )
        await listener.start(host='127.0.0.1', port=0)
        assert listener.address is not None
        writers = []
        async with asyncio.timeout(TIMEOUT_S):
            for _ in range(MAX_CONNECTIONS + 1):
                reader, writer = await asyncio.open_connection(
                    *listener.address
                )
                writers.append(writer)
            writer.write(b'GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n')
            assert b' 200 ' in await reader.readline()
            assert listener.connections == MAX_CONNECTIONS
        for writer in writers:
            writer.close()
        listener.stop_accepting()
        await listener.wait_closed(limit=0.0)

    asyncio.run(main())
