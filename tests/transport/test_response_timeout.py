"""Exchanges whose response arrives slowly, in part or not at all."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import time

from expression import Result
from local_servers import connected
from local_servers import listening
import pytest

from teaselrock.state import BackendResponse
from teaselrock.state import ExchangeFailure
from teaselrock.state import FailureKind
from teaselrock.state import RequestContent
from teaselrock.transport.backend import HttpConnector
from teaselrock.transport.response_timeout import ResponseTimeout
from teaselrock.transport.response_timeout import WhileArriving

Respond = Callable[[asyncio.StreamWriter], Coroutine[None, None, None]]

GET = RequestContent('GET', '/x', (), b'')
BODY = b'x' * 1000
RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n' + BODY
DEADLINE_S = 0.2
LONG_PAUSE_S = 5 * DEADLINE_S
# Longer than the test may take.
NEVER_S = 60.0


async def _begin_late(writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(LONG_PAUSE_S)
    writer.write(RESPONSE)


async def _pause_half_way(writer: asyncio.StreamWriter) -> None:
    writer.write(RESPONSE[:500])
    await asyncio.sleep(LONG_PAUSE_S)
    writer.write(RESPONSE[500:])


async def _send_slowly(writer: asyncio.StreamWriter) -> None:
    for start in range(0, len(RESPONSE), 20):
        writer.write(RESPONSE[start : start + 20])
        await asyncio.sleep(0.02)


async def _stall_the_process(writer: asyncio.StreamWriter) -> None:
    writer.write(RESPONSE[:500])
    await asyncio.sleep(0.05)
    writer.write(RESPONSE[500:])
    # Blocks the event loop of both sides until the timeout has passed.
    time.sleep(LONG_PAUSE_S)


def _exchange(
    respond: Respond, response_timeout: ResponseTimeout | None
) -> Result[BackendResponse, ExchangeFailure]:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        await respond(writer)

    async def main() -> Result[BackendResponse, ExchangeFailure]:
        connector = HttpConnector(response_timeout=response_timeout)
        async with asyncio.timeout(20), listening(serve, 'i-1') as server:
            connection = await connected(connector, server)
            deadline = asyncio.get_running_loop().time() + DEADLINE_S
            result = await connection.exchange(content=GET, deadline=deadline)
            assert result.is_ok() or not connection.is_open
            connection.close()
            return result

    return asyncio.run(main())


@pytest.mark.parametrize(
    ('respond', 'response_timeout'),
    [
        pytest.param(
            _begin_late,
            WhileArriving(stall_s=NEVER_S, total_s=NEVER_S),
            id='begins late',
        ),
        pytest.param(
            _pause_half_way,
            WhileArriving(stall_s=DEADLINE_S, total_s=NEVER_S),
            id='pauses',
        ),
        pytest.param(
            _send_slowly,
            WhileArriving(stall_s=NEVER_S, total_s=2 * DEADLINE_S),
            id='too slow',
        ),
        # None: the connector's default, for backend servers.
        pytest.param(_send_slowly, None, id='past the deadline'),
    ],
)
def test_late_response_is_waited_for(
    respond: Respond, response_timeout: ResponseTimeout | None
) -> None:
    """Guards against an exchange that outlasts one of its limits.

    The response would be complete soon after that limit.
    """
    result = _exchange(respond, response_timeout)
    assert result.is_error()
    assert result.error.kind is FailureKind.TIMEOUT


@pytest.mark.parametrize('respond', [_send_slowly, _stall_the_process])
def test_arriving_response_is_given_up(respond: Respond) -> None:
    """Guards against a timeout while bytes arrive or have arrived.

    After a stall of the process, the timer and the bytes are due in the same
    iteration of the event loop.
    """
    result = _exchange(
        respond, WhileArriving(stall_s=2 * DEADLINE_S, total_s=NEVER_S)
    )
    assert result.is_ok(), result.error
    assert bytes(result.ok.body) == BODY
