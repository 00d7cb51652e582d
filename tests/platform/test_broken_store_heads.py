"""Responses of the platform's store with broken heads."""

import asyncio

from broken_heads import BROKEN_HEADS
from broken_heads import Head
from expression import Result
import pytest

from teaselrock.coordination.ports import StoreError
from teaselrock.coordination.ports import StoreErrorKind
from teaselrock.platform.store_client import ERA
from teaselrock.platform.store_client import StoreClient
from teaselrock.platform.store_client import StoreReply


def _call(
    head: Head, method: str
) -> tuple[Result[StoreReply, StoreError], int]:
    """Result of a call, and the era that the client has then."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(head.response((ERA, '9')))
        writer.close()

    async def main() -> tuple[Result[StoreReply, StoreError], int]:
        listener = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = listener.sockets[0].getsockname()[1]
        client = StoreClient(address=f'127.0.0.1:{port}')
        result = await client.call(
            method=method, path='/objects/a/b', timeout=60, decode=bytes
        )
        await client.close()
        listener.close()
        return result, client.era

    return asyncio.run(main())


def test_sound_head() -> None:
    """Guards against a check of heads that rejects sound responses."""
    result, era = _call(Head(), 'GET')
    assert result.ok == (b'done', 9)
    assert era == 9


@pytest.mark.parametrize('method', ['GET', 'PUT'])
@pytest.mark.parametrize('name', BROKEN_HEADS)
def test_broken_head_is_no_reply(name: str, method: str) -> None:
    """Guards against an object or an era from a broken response.

    A write may have taken effect.
    """
    result, era = _call(BROKEN_HEADS[name], method)
    assert result.is_error()
    assert result.error.kind is StoreErrorKind.UNKNOWN
    assert era == 0
