"""The stand-in store, in process and over HTTP, and the platform's list."""

import asyncio
import random

import aiohttp
from aiohttp import web
import pytest

from teaselrock.coordination.ports import StoreErrorKind
from teaselrock.standins.clock import run_paused
from teaselrock.standins.platform import PlatformModel
from teaselrock.standins.store import MemoryStore
from teaselrock.standins.store import StoreModel
from teaselrock.standins.store_http import StoreHttpApi

SEED = 7


def test_store_faults() -> None:
    """Guards against a store whose faults do not reach its clients."""

    async def check() -> None:
        model = StoreModel(rng=random.Random(SEED))
        store = MemoryStore(model=model)
        assert (
            await store.put(key='k', value=b'1', expected_version=0)
        ).ok == 1
        conflict = await store.put(key='k', value=b'2', expected_version=0)
        assert conflict.error.kind is StoreErrorKind.CONFLICT
        model.lost_response_share = 1.0
        lost = await store.put(key='k', value=b'2', expected_version=1)
        assert lost.error.kind is StoreErrorKind.UNKNOWN
        model.lost_response_share = 0.0
        assert (await store.get(key='k')).ok.value == b'2'
        model.limited_share = 1.0
        limited = await store.get(key='k')
        assert limited.error.kind is StoreErrorKind.LIMITED
        model.limited_share = 0.0
        model.latency_s = 1.5
        slow = await store.put(key='k', value=b'3', expected_version=2)
        assert slow.error.kind is StoreErrorKind.UNKNOWN
        model.latency_s = 0.003
        await asyncio.sleep(1.0)
        assert (await store.get(key='k')).ok.value == b'3'
        watch = asyncio.create_task(
            store.watch(key='k', after=3, timeout=30.0)
        )
        await asyncio.sleep(1.0)
        model.is_down = True
        assert (await watch).error.kind is StoreErrorKind.UNAVAILABLE
        assert model.calls == {'put': 4, 'get': 3, 'watch': 1}

    run_paused(check())


def test_list_lags() -> None:
    """Guards against a list that shows changes without delay or when stale."""

    async def check() -> None:
        platform = PlatformModel(gateways=['a', 'b'], lag_s=1.0)
        platform.set_gateways(['a'])
        assert (await platform.instance_ids()).ok == {'a', 'b'}
        platform.is_stale = True
        await asyncio.sleep(2.0)
        assert (await platform.instance_ids()).ok == {'a', 'b'}
        platform.is_stale = False
        assert (await platform.instance_ids()).ok == {'a'}
        platform.is_down = True
        assert (await platform.instance_ids()).is_error()

    run_paused(check())


async def _over_http(url: str) -> None:
    async with aiohttp.ClientSession(url) as session:

        async def call(
            method: str,
            path: str,
            status: int,
            headers: dict[str, str] | None = None,
            data: bytes = b'',
        ) -> aiohttp.ClientResponse:
            response = await session.request(
                method, path, headers=headers, data=data or None
            )
            await response.read()
            assert response.status == status, path
            return response

        create = {'If-None-Match': '*'}
        put = await call('PUT', '/objects/a/b', 200, create, b'one')
        assert put.headers['ETag'] == '1'
        await call('PUT', '/objects/a/b', 412, create, b'x')
        await call('PUT', '/objects/a/b', 200, {'If-Match': '1'}, b'two')
        await call('PUT', '/objects/a/b', 413, None, b'x' * 1_000_001)
        got = await call('GET', '/objects/a/b', 200)
        assert (got.headers['ETag'], await got.read()) == ('2', b'two')
        await call('GET', '/objects/none', 404)
        await call('GET', '/objects/a/b?watch=1&timeout=1', 200)
        await call('GET', '/objects/a/b?watch=2&timeout=0.01', 304)
        listed = await call('GET', '/objects?prefix=a/&after=&limit=5', 200)
        assert await listed.json() == ['a/b']
        await call('DELETE', '/objects/a/b', 412, {'If-Match': '1'})
        await call('DELETE', '/objects/a/b', 204, {'If-Match': '2'})
        gateways = await call('GET', '/platform/gateways', 200)
        assert await gateways.json() == ['gw']
        await call('POST', '/faults', 204, data=b'{"lost_answer_share": 1}')
        with pytest.raises(aiohttp.ClientError):
            await call('PUT', '/objects/c', 200, data=b'kept')
        await call('GET', '/objects/c', 200)
        await call('POST', '/faults', 204, data=b'{"limited_share": 1}')
        await call('GET', '/objects/c', 429)
        await call('POST', '/faults', 204, data=b'{"down": true}')
        await call('GET', '/objects/c', 503)


def test_store_over_http() -> None:
    """Guards against an HTTP interface that differs from its description."""

    async def check() -> None:
        api = StoreHttpApi(
            store=StoreModel(rng=random.Random(SEED)),
            platform=PlatformModel(gateways=['gw']),
        )
        runner = web.AppRunner(api.application(), access_log=None)
        await runner.setup()
        try:
            site = web.TCPSite(runner, '127.0.0.1', 0)
            await site.start()
            host, port = runner.addresses[0]
            await _over_http(f'http://{host}:{port}')
        finally:
            await runner.cleanup()

    asyncio.run(check())
