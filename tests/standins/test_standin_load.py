"""The load generator with a gateway that responds with scripted bytes."""

import asyncio

import aiohttp
import pytest

from teaselrock.standins.load import Call
from teaselrock.standins.load import LoadGenerator
from teaselrock.standins.load import UNKNOWN

FIELDS = 'Request-Verdict: ran\r\nContent-Length: 2\r\n\r\nok'
FLOW = {
    'customer': 'press',
    'key': 'k',
    'service': 'desk',
    'method': 'GET',
    'path': '/desk/',
    'rate': 20.0,
    'regions': ['east'],
}


def _call(response: str) -> Call:
    """Make calls, all with this response; returns the first one's result."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        is_ready = b' /readyz ' in head
        writer.write(
            (f'HTTP/1.1 200 OK\r\n{FIELDS}' if is_ready else response).encode()
        )
        writer.close()

    async def main() -> Call:
        listener = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = listener.sockets[0].getsockname()[1]
        address = f'127.0.0.1:{port}'
        gateway = {
            'id': 'gw',
            'listen': address,
            'operators': address,
            'region': 'east',
        }
        stopped = asyncio.Event()
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True)
        ) as session:
            load = LoadGenerator(
                settings={
                    'gateways': [gateway],
                    'flows': [FLOW],
                    'seconds': 60.0,
                    'seed': 1,
                },
                session=session,
            )
            running = asyncio.create_task(load.run(stopped))
            async with asyncio.timeout(30):
                while not load.calls:
                    await asyncio.sleep(0.01)
                stopped.set()
                await running
        listener.close()
        return load.calls[0]

    return asyncio.run(main())


def test_response() -> None:
    """Guards against a response whose status or verdict is lost."""
    call = _call(f'HTTP/1.1 200 OK\r\n{FIELDS}')
    assert (call.status, call.verdict) == (200, 'ran')


@pytest.mark.parametrize(
    'head',
    [
        pytest.param('000 X\r\n', id='status 000'),
        pytest.param('042 X\r\n', id='status 042'),
        pytest.param('600 X\r\n', id='status 600'),
        pytest.param('200 OK\r\nA B: x\r\n', id='blank in a name'),
        pytest.param('200 OK\r\nA\x01B: x\r\n', id='control byte in a name'),
        pytest.param('200 OK\r\nA : x\r\n', id='blank before the colon'),
    ],
)
def test_broken_head_is_no_response(head: str) -> None:
    """Guards against a verdict from a response that is none."""
    call = _call(f'HTTP/1.1 {head}{FIELDS}')
    assert (call.status, call.verdict) == (0, UNKNOWN)
