"""Clients of the key-value store and the platform's lists, on urllib3.

`daemon.gateway` and the command line use them; `daemon.platform_gateway` has
the client of another store, `platform.store`.
Calls run in a small thread pool, so that they do not block the event loop.
Implements the ports `Store` and `PlatformList` of `coordination`.
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
from teaselrock.protocol.decode_errors import DECODE_ERRORS
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer
from teaselrock.transport.http_pool import create_pool

CALL_TIMEOUT_S: Final = 1.0
# The store ends a watch after its timeout; the client waits this much longer
# for the response.
WATCH_MARGIN_S: Final = 1.0
# Threads and connections of one client. Each watch has a thread of its own.
CALL_THREADS: Final = 4
MAX_CONNECTIONS: Final = 8

_ERROR_KINDS_BY_STATUS: Final[Mapping[int, StoreErrorKind]] = {
    412: StoreErrorKind.CONFLICT,
    413: StoreErrorKind.TOO_LARGE,
    429: StoreErrorKind.LIMITED,
    503: StoreErrorKind.UNAVAILABLE,
}
# Errors raised before any byte of the request is sent.
_ERRORS_BEFORE_SEND: Final = (
    ConnectTimeoutError,
    EmptyPoolError,
    NewConnectionError,
)


class _PlatformResponse(NamedTuple):
    """An HTTP response of the platform; `version` is its entity tag."""

    status: int
    version: str
    body: bytes


_ResponseResult = Result[_PlatformResponse, StoreError]


class ServerItem(TypedDict):
    """JSON object of a backend server in the platform's list."""

    id: str
    service: str
    region: str
    zone: str
    address: str
    concurrency: int
    leaving: bool


class StoreHttpClient:
    """Makes HTTP calls to the store and the platform's lists, in threads."""

    def __init__(self, *, url: str) -> None:
        self._url = url.rstrip('/')
        self._pool = create_pool(max_connections=MAX_CONNECTIONS)
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=CALL_THREADS, thread_name_prefix='store'
        )

    def close(self) -> None:
        """Cancel queued calls; calls in progress end at their timeout."""
        self._executor.shutdown(wait=False, cancel_futures=True)
        self._pool.clear()

    async def call(
        self,
        method: str,
        path: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
    ) -> _ResponseResult:
        """Make one call within `CALL_TIMEOUT_S`, including queueing time."""

        def run() -> _ResponseResult:
            return self._request(method, path, headers, body, CALL_TIMEOUT_S)

        try:
            future = self._executor.submit(run)
        except RuntimeError:
            return Error(
                StoreError(
                    StoreErrorKind.UNAVAILABLE,
                    f'the client of {self._url} is closed',
                )
            )
        return await _wait_for_response(future, CALL_TIMEOUT_S, method)

    async def long_poll(self, path: str, *, timeout: float) -> _ResponseResult:
        """Make a GET call that may stay open for `timeout` seconds.

        It runs in a daemon thread, which does not delay the process exit.
        """
        client_timeout = timeout + WATCH_MARGIN_S
        future: concurrent.futures.Future[_ResponseResult] = (
            concurrent.futures.Future()
        )

        def run() -> None:
            response = self._request('GET', path, None, None, client_timeout)
            if future.set_running_or_notify_cancel():
                future.set_result(response)

        threading.Thread(target=run, name='watch', daemon=True).start()
        return await _wait_for_response(future, client_timeout, 'GET')

    def _request(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str] | None,
        body: bytes | None,
        timeout: float,
    ) -> _ResponseResult:
        try:
            response = self._pool.request(
                method,
                self._url + path,
                headers=headers,
                body=body,
                redirect=False,
                timeout=urllib3.Timeout(total=timeout),
            )
        except _ERRORS_BEFORE_SEND as error:
            return Error(StoreError(StoreErrorKind.UNAVAILABLE, str(error)))
        except (HTTPError, OSError, ValueError) as error:
            return Error(
                StoreError(_error_kind_after_send(method), str(error))
            )
        version = response.headers.get('ETag', '').strip('"')
        return Ok(_PlatformResponse(response.status, version, response.data))


def _error_kind_after_send(method: str) -> StoreErrorKind:
    """Error kind of a call without a usable response.

    Only a write may have taken effect; a read has no effect.
    """
    if method == 'GET':
        return StoreErrorKind.UNAVAILABLE
    return StoreErrorKind.UNKNOWN


async def _wait_for_response(
    future: concurrent.futures.Future[_ResponseResult],
    timeout: float,
    method: str,
) -> _ResponseResult:
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
        else _error_kind_after_send(method)
    )
    return Error(
        StoreError(
            kind, f'{method} to the store: no response within {timeout:g} s'
        )
    )


def _status_error(
    response: _PlatformResponse, method: str, key: str
) -> StoreError:
    kind = _ERROR_KINDS_BY_STATUS.get(response.status)
    if kind is None:
        kind = _error_kind_after_send(method)
    return StoreError(kind, f'{method} {key}: HTTP status {response.status}')


def _stored_value(
    response: _PlatformResponse, key: str
) -> Result[StoredValue, StoreError]:
    if not response.version.isdecimal():
        return Error(
            StoreError(
                StoreErrorKind.UNAVAILABLE,
                f'{key}: the ETag is not a version number',
            )
        )
    return Ok(StoredValue(key, int(response.version), response.body))


def _object_path(key: str) -> str:
    return '/objects/' + quote(key, safe='/')


def _condition_headers(expected_version: int | None) -> dict[str, str]:
    if expected_version is None:
        return {}
    if expected_version == 0:
        return {'If-None-Match': '*'}
    return {'If-Match': str(expected_version)}


class HttpStore:
    """`Store` over the platform's HTTP interface."""

    def __init__(self, *, client: StoreHttpClient) -> None:
        self._client = client

    async def get(self, *, key: str) -> Result[StoredValue | None, StoreError]:
        """Read a value; None if the key does not exist."""
        response_result = await self._client.call('GET', _object_path(key))
        return _decode_value(response_result, key)

    async def put(
        self, *, key: str, value: bytes, expected_version: int | None
    ) -> Result[int, StoreError]:
        """Write if the version is `expected_version`; returns the new one.

        0 creates the key, None writes at any version. The error is
        `UNKNOWN` if the response was lost.
        """
        response_result = await self._client.call(
            'PUT',
            _object_path(key),
            headers=_condition_headers(expected_version),
            body=value,
        )
        if response_result.is_error():
            return Error(response_result.error)
        response = response_result.ok
        if response.status not in (200, 201, 204):
            return Error(_status_error(response, 'PUT', key))
        if not response.version.isdecimal():
            return Error(
                StoreError(
                    StoreErrorKind.UNKNOWN,
                    f'{key}: the ETag is not a version number',
                )
            )
        return Ok(int(response.version))

    async def delete(
        self, *, key: str, expected_version: int | None
    ) -> Result[None, StoreError]:
        """Delete if the version is `expected_version`.

        A missing key is not an error.
        """
        response_result = await self._client.call(
            'DELETE',
            _object_path(key),
            headers=_condition_headers(expected_version),
        )
        if response_result.is_error():
            return Error(response_result.error)
        if response_result.ok.status not in (200, 204, 404):
            return Error(_status_error(response_result.ok, 'DELETE', key))
        return Ok(None)

    async def list_keys(
        self, *, prefix: str, after: str = '', limit: int = 1000
    ) -> Result[Sequence[str], StoreError]:
        """List keys under a prefix in order, after the key `after`."""
        query = urlencode({'prefix': prefix, 'after': after, 'limit': limit})
        response_result = await self._client.call('GET', f'/objects?{query}')
        keys: Result[Sequence[str], StoreError] = _decode_json(
            response_result, prefix, list[str]
        )
        return keys

    async def watch(
        self, *, key: str, after: int, timeout: float
    ) -> Result[StoredValue | None, StoreError]:
        """Wait until the version exceeds `after`; None on timeout.

        `timeout` is in seconds.
        """
        query = urlencode({'watch': after, 'timeout': f'{timeout:g}'})
        response_result = await self._client.long_poll(
            f'{_object_path(key)}?{query}', timeout=timeout
        )
        if response_result.is_ok() and response_result.ok.status == 304:
            return Ok(None)
        if response_result.is_ok() and response_result.ok.status == 404:
            # The store leaves a watch of a missing key open until its timeout;
            # 404 is therefore an error. Returning None at once would make the
            # caller repeat the watch without a pause.
            return Error(_status_error(response_result.ok, 'GET', key))
        return _decode_value(response_result, key)


def _decode_value(
    response_result: _ResponseResult, key: str
) -> Result[StoredValue | None, StoreError]:
    if response_result.is_error():
        return Error(response_result.error)
    if response_result.ok.status == 404:
        return Ok(None)
    if response_result.ok.status != 200:
        return Error(_status_error(response_result.ok, 'GET', key))
    stored = _stored_value(response_result.ok, key)
    if stored.is_error():
        return Error(stored.error)
    return Ok(stored.ok)


def _decode_json(
    response_result: _ResponseResult, name: str, value_type: Any
) -> Result[Any, StoreError]:
    if response_result.is_error():
        return Error(response_result.error)
    if response_result.ok.status != 200:
        return Error(_status_error(response_result.ok, 'GET', name))
    try:
        return Ok(
            msgspec.json.decode(response_result.ok.body, type=value_type)
        )
    except DECODE_ERRORS as error:
        return Error(
            StoreError(StoreErrorKind.UNAVAILABLE, f'{name}: {error}')
        )


class HttpPlatformList:
    """`PlatformList` over the platform's HTTP interface."""

    def __init__(self, *, client: StoreHttpClient) -> None:
        self._client = client

    async def backend_servers(
        self,
    ) -> Result[Sequence[BackendServer], StoreError]:
        """List all backend servers in the platform's list."""
        response_result = await self._client.call('GET', '/platform/servers')
        decoded = _decode_json(
            response_result, 'platform/servers', list[ServerItem]
        )
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

    async def instance_ids(self) -> Result[frozenset[str], StoreError]:
        """List the ids of the gateway instances that the platform runs."""
        response_result = await self._client.call('GET', '/platform/gateways')
        ids: Result[frozenset[str], StoreError] = _decode_json(
            response_result, 'platform/gateways', frozenset[str]
        )
        return ids
