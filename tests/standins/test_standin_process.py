"""The process that serves all stand-ins, over real sockets."""

import asyncio
from collections.abc import Callable
import pathlib

import aiohttp

from teaselrock.coordination.ports import StoreErrorKind
from teaselrock.standins import main as standins
from teaselrock.transport.store import HttpPlatformList
from teaselrock.transport.store import HttpStore
from teaselrock.transport.store import StoreHttpClient


def test_seen_and_faults(
    free_port: Callable[[], int], tmp_path: pathlib.Path
) -> None:
    """Guards against a demo that compares callers with wrong server records.

    The records and the faults are read and set over HTTP.
    """
    listen = f'127.0.0.1:{free_port()}'
    address = f'127.0.0.1:{free_port()}'
    path = tmp_path / 'standins.json5'
    path.write_text(f"""{{
        // One server.
        "listen": "{listen}",
        "servers": [{{"id": "s", "service": "desk", "region": "east",
            "zone": "a", "address": "{address}", "concurrency": 2}}],
    }}""")

    async def check() -> None:
        running = standins.Standins(settings=standins.read_settings(path))
        await running.start()
        try:
            connector = aiohttp.TCPConnector(force_close=True)
            async with aiohttp.ClientSession(connector=connector) as session:
                url = f'http://{address}/desk/build?token=t9'
                first = await session.post(url)
                assert first.status == 200
                admin = f'http://{listen}'
                await session.post(f'{admin}/servers/s/restart')
                second = await session.post(url)
                assert 'start=start-s+1' in second.headers['Backend-Load']
                records = await (await session.get(f'{admin}/seen')).json()
                tokens = [run['token'] for run in records['s']['runs']]
                assert tokens == ['t9', 't9']
                await session.post(f'{admin}/servers/s/drain')
                third = await session.post(url)
                assert third.headers['Backend-Verdict'] == 'did-not-run'
        finally:
            await running.stop()

    asyncio.run(check())


def test_store_client(
    free_port: Callable[[], int], tmp_path: pathlib.Path
) -> None:
    """Guards against a client and a stand-in that use different formats."""
    listen = f'127.0.0.1:{free_port()}'
    address = f'127.0.0.1:{free_port()}'
    path = tmp_path / 'standins.json5'
    path.write_text(f"""{{"listen": "{listen}", "gateways": ["gw"],
        "servers": [{{"id": "s", "service": "desk", "region": "east",
            "zone": "a", "address": "{address}", "concurrency": 2}}]}}""")

    async def check() -> None:
        running = standins.Standins(settings=standins.read_settings(path))
        await running.start()
        client = StoreHttpClient(url=f'http://{listen}')
        store = HttpStore(client=client)
        try:
            listed = HttpPlatformList(client=client)
            assert (await listed.backend_servers()).ok == [
                ('s', 'desk', ('east', 'a'), address, 2, False, 0)
            ]
            assert (await listed.instance_ids()).ok == {'gw'}
            # A watch of a missing key waits for its creation or the timeout.
            ended = await store.watch(key='k', after=0, timeout=0.2)
            assert ended.is_ok()
            assert ended.ok is None
            waiting = asyncio.create_task(
                store.watch(key='k', after=0, timeout=20.0)
            )
            written = await store.put(key='k', value=b'v', expected_version=0)
            assert (await waiting).ok == ('k', written.ok, b'v')
            again = await store.put(key='k', value=b'w', expected_version=0)
            assert again.error.kind is StoreErrorKind.CONFLICT
            # The latency exceeds the client's timeout.
            async with aiohttp.ClientSession() as session:
                await session.post(
                    f'http://{listen}/faults', json={'latency': 30.0}
                )
            late = await store.put(
                key='k', value=b'w', expected_version=written.ok
            )
            assert late.error.kind is StoreErrorKind.UNKNOWN
            got = await store.get(key='k')
            assert got.error.kind is StoreErrorKind.UNAVAILABLE
        finally:
            client.close()
            await running.stop()

    asyncio.run(check())
