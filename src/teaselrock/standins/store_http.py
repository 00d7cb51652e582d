"""HTTP API of the stand-in store and of the platform's list.

Versions are plain numbers in `ETag`, `If-Match` and `watch`; quotes around
them are accepted. `POST /faults` sets the faults.
"""

import asyncio
from typing import Final

from aiohttp import web
from expression import Result

from teaselrock.coordination.ports import StoredValue
from teaselrock.coordination.ports import StoreError
from teaselrock.coordination.ports import StoreErrorKind
from teaselrock.standins.platform import PlatformModel
from teaselrock.standins.store import StoreModel
from teaselrock.state import BackendServer

MAX_WATCH_S: Final = 60.0
MAX_BODY_BYTES: Final = 4_000_000
STATUS_BY_ERROR: Final = {
    StoreErrorKind.CONFLICT: 412,
    StoreErrorKind.TOO_LARGE: 413,
    StoreErrorKind.LIMITED: 429,
    StoreErrorKind.UNAVAILABLE: 503,
    StoreErrorKind.UNKNOWN: 503,
}


class StoreHttpApi:
    """Handlers of the routes of the store and of the platform's list."""

    def __init__(self, *, store: StoreModel, platform: PlatformModel) -> None:
        self._store = store
        self._platform = platform

    def application(self) -> web.Application:
        """An application with all routes."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.add_routes(
            [
                web.get('/objects', self._handle_list),
                web.get('/objects/{key:.+}', self._handle_get),
                web.put('/objects/{key:.+}', self._handle_put),
                web.delete('/objects/{key:.+}', self._handle_delete),
                web.get('/platform/servers', self._handle_servers),
                web.get('/platform/gateways', self._handle_gateways),
                web.post('/faults', self._handle_faults),
            ]
        )
        return app

    async def _admit(
        self, *, kind: str, is_write: bool = False
    ) -> web.Response | None:
        await asyncio.sleep(self._store.latency_s)
        error = self._store.admit(is_write=is_write, kind=kind)
        return None if error is None else _error_response(error)

    async def _handle_list(self, http: web.Request) -> web.Response:
        refusal = await self._admit(kind='list')
        if refusal is not None:
            return refusal
        prefix = http.query.get('prefix', '')
        after = http.query.get('after', '')
        limit = http.query.get('limit', '1000')
        if not limit.isdecimal():
            return web.Response(status=400, text='limit is not a number')
        keys = sorted(
            key
            for key in self._store.values
            if key.startswith(prefix) and key > after
        )
        return web.json_response(keys[: int(limit)])

    async def _handle_get(self, http: web.Request) -> web.Response:
        key = http.match_info['key']
        is_watch = 'watch' in http.query
        refusal = await self._admit(kind='watch' if is_watch else 'get')
        if refusal is not None:
            return refusal
        if is_watch:
            return await self._watch(http, key)
        stored = self._store.values.get(key)
        return (
            web.Response(status=404)
            if stored is None
            else _value_response(stored)
        )

    async def _watch(self, http: web.Request, key: str) -> web.Response:
        after = _version(http.query['watch'])
        try:
            seconds = float(http.query.get('timeout', '30'))
        except ValueError:
            return web.Response(status=400, text='timeout is not a number')
        if after is None:
            return web.Response(status=400, text='watch is not a version')
        stored = None
        try:
            async with asyncio.timeout(min(seconds, MAX_WATCH_S)):
                stored = await self._store.wait_changed(key, after)
        except TimeoutError:
            return web.Response(status=304)
        if stored is None:
            return web.Response(status=503, text='store is down')
        return _value_response(stored)

    async def _handle_put(self, http: web.Request) -> web.StreamResponse:
        body = await http.read()
        refusal = await self._admit(kind='put', is_write=True)
        if refusal is not None:
            return refusal
        expected_version = _version(http.headers.get('If-Match', ''))
        if http.headers.get('If-None-Match') == '*':
            expected_version = 0
        result = await self._store.put(
            http.match_info['key'], body, expected_version
        )
        return self._write_response(http, result)

    async def _handle_delete(self, http: web.Request) -> web.StreamResponse:
        refusal = await self._admit(kind='delete', is_write=True)
        if refusal is not None:
            return refusal
        expected_version = _version(http.headers.get('If-Match', ''))
        result = self._store.delete(http.match_info['key'], expected_version)
        return self._write_response(http, result)

    def _write_response(
        self,
        http: web.Request,
        result: Result[int, StoreError] | Result[None, StoreError],
    ) -> web.StreamResponse:
        if result.is_error():
            return _error_response(result.error)
        if self._store.loses_response() and http.transport is not None:
            http.transport.abort()
        if result.ok is None:
            return web.Response(status=204)
        return web.Response(headers={'ETag': str(result.ok)})

    async def _handle_servers(self, http: web.Request) -> web.Response:
        listed = await self._platform.backend_servers()
        if listed.is_error():
            return _error_response(listed.error)
        return web.json_response(
            [_server_json(server) for server in listed.ok]
        )

    async def _handle_gateways(self, http: web.Request) -> web.Response:
        listed = await self._platform.instance_ids()
        if listed.is_error():
            return _error_response(listed.error)
        return web.json_response(sorted(listed.ok))

    async def _handle_faults(self, http: web.Request) -> web.Response:
        """Set faults; members that are absent from the body keep theirs."""
        faults = await http.json()
        store = self._store
        store.is_down = bool(faults.get('down', store.is_down))
        store.latency_s = float(faults.get('latency', store.latency_s))
        store.lost_response_share = float(
            faults.get('lost_answer_share', store.lost_response_share)
        )
        store.limited_share = float(
            faults.get('limited_share', store.limited_share)
        )
        platform = self._platform
        platform.is_down = bool(faults.get('list_down', platform.is_down))
        platform.is_stale = bool(faults.get('list_stale', platform.is_stale))
        return web.Response(status=204)


def _error_response(error: StoreError) -> web.Response:
    return web.Response(status=STATUS_BY_ERROR[error.kind], text=error.detail)


def _value_response(stored: StoredValue) -> web.Response:
    return web.Response(
        body=stored.value, headers={'ETag': str(stored.version)}
    )


def _version(text: str) -> int | None:
    digits = text.strip().strip('"')
    return int(digits) if digits.isdecimal() else None


def _server_json(server: BackendServer) -> dict[str, str | int | bool]:
    return {
        'id': server.server_id,
        'service': server.service,
        'region': server.zone.region,
        'zone': server.zone.name,
        'address': server.address,
        'concurrency': server.concurrency,
        'leaving': server.is_draining,
    }
