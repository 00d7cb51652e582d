"""Second copies of responses that arrive late, on kept connections."""

import asyncio

from local_servers import connected
from local_servers import DEADLINE_S
from local_servers import listening

from teaselrock.state import RequestContent
from teaselrock.state import Verdict
from teaselrock.transport.backend import HttpConnector

# Ends the test where nothing closes the connection.
CLOSE_TIMEOUT_S = 10.0
GET = RequestContent('GET', '/a', (), b'')


def test_bytes_outside_an_exchange_close_the_connection() -> None:
    """Guards against a late copy that becomes the next response."""
    connector = HttpConnector()

    async def serve_twice(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        response = (
            b'HTTP/1.1 200 OK\r\nExchange-Number: 1\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
        await reader.readuntil(b'\r\n\r\n')
        writer.write(response)
        await asyncio.sleep(0.05)
        writer.write(response)
        await reader.read()

    async def main() -> None:
        deadline = asyncio.get_running_loop().time() + DEADLINE_S
        async with listening(serve_twice, 's1') as server:
            connection = await connected(connector, server)
            first = await connection.exchange(content=GET, deadline=deadline)
            assert first.is_ok()
            assert connection.is_open
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                while connection.is_open:
                    await asyncio.sleep(0.01)
            second = await connection.exchange(content=GET, deadline=deadline)
            assert second.error.verdict is Verdict.DID_NOT_RUN

    asyncio.run(main())


def test_late_copy_is_not_the_response_to_the_next_request() -> None:
    """Guards against a caller that gets another caller's response."""
    connector = HttpConnector()

    async def serve_with_copy(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(_numbered(1, b'first'))
        await reader.readuntil(b'\r\n\r\n')
        writer.write(_numbered(1, b'first'))
        await asyncio.sleep(0.02)
        writer.write(_numbered(2, b'second'))
        await reader.read()

    async def main() -> None:
        deadline = asyncio.get_running_loop().time() + DEADLINE_S
        async with listening(serve_with_copy, 's1') as server:
            connection = await connected(connector, server)
            bodies = [
                (
                    await connection.exchange(content=GET, deadline=deadline)
                ).ok.body
                for _ in range(2)
            ]
            connection.close()
        assert bodies == [b'first', b'second']

    asyncio.run(main())


def _numbered(number: int, body: bytes) -> bytes:
    head = (
        f'HTTP/1.1 200 OK\r\nExchange-Number: {number}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body
