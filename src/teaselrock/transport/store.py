"""Clients of the platform's object store and of its list, on urllib3.

Calls run in a small thread pool, so that the event loop never waits for the
store. `coordination` sees the ports `Store` and `PlatformList`.
"""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import concurrent.futures
import threading
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TypedDict
from urllib.parse import quote
from urllib.parse import urlencode

from expression import Error
from expression import Ok
from expression import Result
import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError
from urllib3.exceptions import EmptyPoolError
from urllib3.exceptions import HTTPError
from urllib3.exceptions import NewConnectionError

from teaselrock.coordination.ports import StoredValue
from teaselrock.coordination.ports import StoreError
from teaselrock.coordination.ports import StoreErrorKind
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer

CALL_TIMEOUT_S: Final = 1.0
# A watch ends at the server; the client waits this much longer.
WATCH_MARGIN_S: Final = 1.0
CALL_THREADS: Final = 4
MAX_CONNECTIONS: Final = 8

_STATUS_KINDS: Final[Mapping[int, StoreErrorKind]] = {
    412: StoreErrorKind.CONFLICT,
    413: StoreErrorKind.TOO_LARGE,
    429: StoreErrorKind.LIMITED,
    503: StoreErrorKind.UNAVAILABLE,
}
# With these errors, no byte of the request has been sent.
_BEFORE_SEND: Final = (
    ConnectTimeoutError,
    EmptyPoolError,
    NewConnectionError,
)


class _Reply(NamedTuple):
    """An HTTP answer of the platform."""

    status: int
    version: str
    body: bytes


_Replied = Result[_Reply, StoreError]


class ServerItem(TypedDict):
    """A backend server in the platform's list."""

    id: str
    service: str
    region: str
    zone: str
    address: str
    concurrency: int
    leaving: bool


class PlatformHttpClient:
    """HTTP calls to the platform, off the event loop."""

    def __init__(self, *, url: str) -> None:
        self._url = url.rstrip('/')
        self._pool = urllib3.PoolManager(
            maxsize=MAX_CONNECTIONS, retries=False
        )
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=CALL_THREADS, thread_name_prefix='store'
        )

    def close(self) -> None:
        """Drop waiting calls; calls in progress end by their time-out."""
        self._executor.shutdown(wait=False, cancel_futures=True)
        self._pool.clear()

    async def call(
        self,
        method: str,
        path: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
    ) -> _Replied:
        """Make one call within `CALL_TIMEOUT_S`, waiting time included."""

        def run() -> _Replied:
            return self._request(method, path, headers, body, CALL_TIMEOUT_S)

        try:
            future = self._executor.submit(run)
        except RuntimeError:
            return Error(
                StoreError(StoreErrorKind.UNAVAILABLE, 'client is closed')
            )
        return await _wait(future, CALL_TIMEOUT_S, method)

    async def long_poll(self, path: str, *, timeout: float) -> _Replied:
        """Read with a long wait, in a thread that never delays the exit."""
        limit = timeout + WATCH_MARGIN_S
        future: concurrent.futures.Future[_Replied] = (
            concurrent.futures.Future()
        )

        def run() -> None:
            reply = self._request('GET', path, None, None, limit)
            if future.set_running_or_notify_cancel():
                future.set_result(reply)

        threading.Thread(target=run, name='watch', daemon=True).start()
        return await _wait(future, limit, 'GET')

    def _request(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str] | None,
        body: bytes | None,
        timeout: float,
    ) -> _Replied:
        try:
            response = self._pool.request(
                method,
                self._url + path,
                headers=headers,
                body=body,
                redirect=False,
                timeout=urllib3.Timeout(total=timeout),
            )
        except _BEFORE_SEND as error:
            return Error(StoreError(StoreErrorKind.UNAVAILABLE, str(error)))
        except (HTTPError, OSError, ValueError) as error:
            return Error(StoreError(_kind_after_send(method), str(error)))
        version = response.headers.get('ETag', '').strip('"')
        return Ok(_Reply(response.status, version, response.data))


def _kind_after_send(method: str) -> StoreErrorKind:
    """A read has no effect, so that a lost answer is only a failed read."""
    if method == 'GET':
        return StoreErrorKind.UNAVAILABLE
    return StoreErrorKind.UNKNOWN


async def _wait(
    future: concurrent.futures.Future[_Replied],
    timeout: float,
    method: str,
) -> _Replied:
    wrapped = asyncio.wrap_future(future)
    try:
        done, _ = await asyncio.wait({wrapped}, timeout=timeout)
    except asyncio.CancelledError:
        future.cancel()
        raise
    if done:
        return wrapped.result()
    never_started = future.cancel()
    kind = (
        StoreErrorKind.UNAVAILABLE
        if never_started
        else _kind_after_send(method)
    )
    return Error(StoreError(kind, f'no answer within {timeout:g} s'))


def _failure(reply: _Reply, method: str, key: str) -> StoreError:
    kind = _STATUS_KINDS.get(reply.status)
    if kind is None:
        kind = _kind_after_send(method)
    return StoreError(kind, f'{method} {key}: status {reply.status}')


def _stored(reply: _Reply, key: str) -> Result[StoredValue, StoreError]:
    if not reply.version.isdecimal():
        return Error(
            StoreError(StoreErrorKind.UNAVAILABLE, f'{key} has no version')
        )
    return Ok(StoredValue(key, int(reply.version), reply.body))


def _object(key: str) -> str:
    return '/objects/' + quote(key, safe='/')


def _condition(expect: int | None) -> dict[str, str]:
    if expect is None:
        return {}
    if expect == 0:
        return {'If-None-Match': '*'}
    return {'If-Match': str(expect)}


class HttpStore:
    """`Store` over the platform's HTTP interface."""

    def __init__(self, *, platform: PlatformHttpClient) -> None:
        self._platform = platform

    async def get(self, *, key: str) -> Result[StoredValue | None, StoreError]:
        """Read a value, None if there is none."""
        replied = await self._platform.call('GET', _object(key))
        return _read(replied, key)

    async def put(
        self, *, key: str, value: bytes, expect: int | None
    ) -> Result[int, StoreError]:
        """Write at version `expect`; `UNKNOWN` if the answer was lost."""
        replied = await self._platform.call(
            'PUT', _object(key), headers=_condition(expect), body=value
        )
        if replied.is_error():
            return Error(replied.error)
        reply = replied.ok
        if reply.status not in (200, 201, 204):
            return Error(_failure(reply, 'PUT', key))
        if not reply.version.isdecimal():
            return Error(
                StoreError(StoreErrorKind.UNKNOWN, f'{key} has no version')
            )
        return Ok(int(reply.version))

    async def delete(
        self, *, key: str, expect: int | None
    ) -> Result[None, StoreError]:
        """Delete at version `expect`; a missing key is not an error."""
        replied = await self._platform.call(
            'DELETE', _object(key), headers=_condition(expect)
        )
        if replied.is_error():
            return Error(replied.error)
        if replied.ok.status not in (200, 204, 404):
            return Error(_failure(replied.ok, 'DELETE', key))
        return Ok(None)

    async def list_keys(
        self, *, prefix: str, after: str = '', limit: int = 1000
    ) -> Result[Sequence[str], StoreError]:
        """List keys under a prefix in order, after the key `after`."""
        query = urlencode({'prefix': prefix, 'after': after, 'limit': limit})
        replied = await self._platform.call('GET', f'/objects?{query}')
        keys: Result[Sequence[str], StoreError] = _decode(
            replied, prefix, list[str]
        )
        return keys

    async def watch(
        self, *, key: str, after: int, timeout: float
    ) -> Result[StoredValue | None, StoreError]:
        """Wait until the version exceeds `after`; None on timeout."""
        query = urlencode({'watch': after, 'timeout': f'{timeout:g}'})
        replied = await self._platform.long_poll(
            f'{_object(key)}?{query}', timeout=timeout
        )
        if replied.is_ok() and replied.ok.status == 304:
            return Ok(None)
        if replied.is_ok() and replied.ok.status == 404:
            # A watch of a missing key waits; an answer at once would make
            # the caller repeat without a pause.
            return Error(_failure(replied.ok, 'GET', key))
        return _read(replied, key)


def _read(
    replied: _Replied, key: str
) -> Result[StoredValue | None, StoreError]:
    if replied.is_error():
        return Error(replied.error)
    if replied.ok.status == 404:
        return Ok(None)
    if replied.ok.status != 200:
        return Error(_failure(replied.ok, 'GET', key))
    stored = _stored(replied.ok, key)
    if stored.is_error():
        return Error(stored.error)
    return Ok(stored.ok)


def _decode(
    replied: _Replied, name: str, value_type: Any
) -> Result[Any, StoreError]:
    if replied.is_error():
        return Error(replied.error)
    if replied.ok.status != 200:
        return Error(_failure(replied.ok, 'GET', name))
    try:
        return Ok(msgspec.json.decode(replied.ok.body, type=value_type))
    except msgspec.DecodeError as error:
        return Error(
            StoreError(StoreErrorKind.UNAVAILABLE, f'{name}: {error}')
        )


class HttpPlatformList:
    """`PlatformList` over the platform's HTTP interface."""

    def __init__(self, *, platform: PlatformHttpClient) -> None:
        self._platform = platform

    async def backend_servers(
        self,
    ) -> Result[Sequence[BackendServer], StoreError]:
        """All backend servers that the platform knows."""
        replied = await self._platform.call('GET', '/platform/servers')
        decoded = _decode(replied, 'platform/servers', list[ServerItem])
        if decoded.is_error():
            return Error(decoded.error)
        return Ok(
            [
                BackendServer(
                    item['id'],
                    item['service'],
                    AvailabilityZone(item['region'], item['zone']),
                    item['address'],
                    item['concurrency'],
                    item['leaving'],
                )
                for item in decoded.ok
            ]
        )

    async def gateway_ids(self) -> Result[frozenset[str], StoreError]:
        """Ids of the gateway instances that the platform says are live."""
        replied = await self._platform.call('GET', '/platform/gateways')
        ids: Result[frozenset[str], StoreError] = _decode(
            replied, 'platform/gateways', frozenset[str]
        )
        return ids
