"""Crowds of callers at a real gateway process for customers.

The module `crowd` has the crowds and the bounds.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import resource
import sys
from typing import Any

from aiohttp import web
import pytest

import crowd
from free_ports import find_free_ports
from teaselrock.daemon.settings import GatewaySettings
from teaselrock.protocol import fields

SERVERS = 4
LOAD = 'start=s, state=warm, in-flight=0, bears=64'
START_TIMEOUT_S = 30
# A server responds to this path with a body below the limit, 16 MiB.
LARGE_PATH = '/desk/large'
LARGE_BODY = b'l' * (15 * 1024 * 1024)
SLOW_CALLERS = 24
REQUEST_FIELDS = 'Host: h\r\nAuthorization: Bearer secret\r\n'


class CustomerGateway:
    """A gateway process with its settings and backend servers.

    The crowds use the service `desk`, ordinary requests `other`.
    """

    def __init__(
        self,
        *,
        work_dir: pathlib.Path,
        settings: GatewaySettings,
        max_body_bytes: int,
        max_fds: int | None = None,
    ) -> None:
        self._work_dir = work_dir
        self._settings = settings
        self._max_body_bytes = max_body_bytes
        self._max_fds = max_fds
        self._process: asyncio.subprocess.Process | None = None
        self._runners: list[web.ServerRunner] = []
        self.received_sizes: list[int] = []

    @property
    def pid(self) -> int:
        assert self._process is not None
        return self._process.pid

    @property
    def is_running(self) -> bool:
        assert self._process is not None
        return self._process.returncode is None

    @property
    def crowd_head(self) -> str:
        return f'POST /desk/1 HTTP/1.1\r\n{REQUEST_FIELDS}'

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self._settings['listen'].rpartition(':')
        return await asyncio.open_connection(host, int(port))

    async def send_ordinary(self) -> tuple[int, float]:
        reader, writer = await self.connect()
        try:
            writer.write(
                f'GET /other/1 HTTP/1.1\r\n{REQUEST_FIELDS}\r\n'.encode()
            )
            head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
        finally:
            writer.close()
        status_line, *lines = head.splitlines()
        values = dict(line.split(': ', 1) for line in lines if line)
        retry_after = float(values.get('retry-after', 0))
        return int(status_line.split()[1]), retry_after

    async def start(self) -> None:
        """Start the servers and the process; returns when it listens."""
        document: Any = self._settings['configuration']
        desk = document['services']['desk']
        desk.update(
            non_idempotent_methods=[],
            max_body_bytes=self._max_body_bytes,
            deadline_ms=2000,
            concurrency=64,
        )
        document['services']['other'] = {
            **desk,
            'prefix': '/other',
            'deadline_ms': 60_000,
        }
        document['plans']['basic']['allow'].append(
            {'service': 'other', 'regions': ['east', 'west']}
        )
        self._settings['servers'] = [
            {
                'id': f'{service}-{number}',
                'service': service,
                'region': 'east',
                'zone': 'a',
                'address': await self._start_server(),
                'concurrency': 64,
            }
            for service in ('desk', 'other')
            for number in range(SERVERS)
        ]
        path = self._work_dir / 'settings.json'
        path.write_text(json.dumps(self._settings), 'utf-8')
        with (self._work_dir / 'gateway.log').open('wb') as log:
            self._process = await asyncio.create_subprocess_exec(
                *(sys.executable, '-m', 'teaselrock', 'gateway'),
                *('--config', str(path)),
                stdout=log,
                stderr=log,
                env={**os.environ, 'PYTHONPATH': 'src'},
                preexec_fn=self._limit_descriptors,
            )
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                assert self.is_running
                with contextlib.suppress(OSError):
                    _, writer = await self.connect()
                    writer.close()
                    return
                await asyncio.sleep(crowd.POLL_S)

    def _limit_descriptors(self) -> None:
        if self._max_fds is not None:
            resource.setrlimit(
                resource.RLIMIT_NOFILE, (self._max_fds, self._max_fds)
            )

    async def _start_server(self) -> str:
        runner = web.ServerRunner(web.Server(self._respond))
        await runner.setup()
        (port,) = find_free_ports(1)
        await web.TCPSite(runner, '127.0.0.1', port).start()
        self._runners.append(runner)
        return f'127.0.0.1:{port}'

    async def _respond(self, http: web.BaseRequest) -> web.StreamResponse:
        size = 0
        async for part in http.content.iter_any():
            size += len(part)
        if size:
            self.received_sizes.append(size)
        response_fields = {fields.BACKEND_LOAD: LOAD}
        number = http.headers.get(fields.EXCHANGE_NUMBER)
        if number is not None:
            response_fields[fields.EXCHANGE_NUMBER] = number
        return web.Response(
            body=LARGE_BODY if http.path == LARGE_PATH else b'done',
            headers=response_fields,
        )

    async def wait_ended(self) -> int:
        """Wait until the process ends; returns its exit status."""
        assert self._process is not None
        return await self._process.wait()

    async def stop(self) -> None:
        if self._process is not None and self.is_running:
            self._process.kill()
            await self._process.wait()
        for runner in self._runners:
            await runner.cleanup()


@contextlib.asynccontextmanager
async def _running(
    work_dir: pathlib.Path,
    settings: GatewaySettings,
    *,
    max_body_bytes: int = crowd.MAX_BODY_BYTES,
    max_fds: int | None = None,
) -> AsyncIterator[CustomerGateway]:
    gateway = CustomerGateway(
        work_dir=work_dir,
        settings=settings,
        max_body_bytes=max_body_bytes,
        max_fds=max_fds,
    )
    try:
        await gateway.start()
        yield gateway
    finally:
        await gateway.stop()


Play = Callable[[Callable[[CustomerGateway], Awaitable[None]]], None]


@pytest.fixture
def play(tmp_path: pathlib.Path, gateway_settings: GatewaySettings) -> Play:
    """Run a scenario at a gateway with the crowds' largest body."""

    def run(scenario: Callable[[CustomerGateway], Awaitable[None]]) -> None:
        async def main() -> None:
            async with _running(tmp_path, gateway_settings) as gateway:
                await scenario(gateway)

        asyncio.run(main())

    return run


@pytest.mark.parametrize('name', crowd.LEGAL_SENDINGS)
def test_large_bodies(play: Play, name: str) -> None:
    """Guards against a process that keeps all bodies of legal size."""
    play(lambda gateway: crowd.play_crowd(gateway, crowd.LEGAL_SENDINGS[name]))


@pytest.mark.parametrize('name', crowd.OVERSIZED_SENDINGS)
def test_oversized_bodies(play: Play, name: str) -> None:
    """Guards against a process that keeps more than the limit."""
    play(
        lambda gateway: crowd.play_crowd(
            gateway, crowd.OVERSIZED_SENDINGS[name]
        )
    )


def test_crowd_that_comes_back(play: Play) -> None:
    """Guards against memory that is kept after its connections ended."""

    async def scenario(gateway: CustomerGateway) -> None:
        for _ in range(crowd.ROUNDS):
            await crowd.play_crowd(
                gateway, crowd.LEGAL_SENDINGS['unfinished'], members=8
            )

    play(scenario)


def test_two_crowds_at_once(play: Play) -> None:
    """Guards against accounts that are kept by kind of request only."""

    async def scenario(gateway: CustomerGateway) -> None:
        await asyncio.gather(
            *(
                crowd.play_crowd(gateway, crowd.LEGAL_SENDINGS[name])
                for name in ('unfinished', 'unfinished large chunks')
            )
        )

    play(scenario)


def test_heads_of_small_fields(play: Play) -> None:
    """Guards against incomplete heads that cost many times their size."""
    play(
        lambda gateway: crowd.play_crowd(
            gateway,
            crowd.HEAD_OF_SMALL_FIELDS,
            members=crowd.SMALL_FIELD_MEMBERS,
        )
    )


def test_bodies_sent_ahead(play: Play) -> None:
    """Guards against complete requests that wait and are not accounted."""
    play(lambda gateway: crowd.play_crowd(gateway, crowd.sent_ahead(gateway)))


def test_stop_beside_a_crowd(play: Play) -> None:
    """Guards against a stop that waits for unfinished bodies."""
    play(lambda gateway: crowd.play_stop(gateway, gateway.wait_ended()))


def test_unread_responses(play: Play) -> None:
    """Guards against a process that ends, since callers read slowly.

    One caller after the other requests a large response and reads only its
    first byte, so that all responses are complete and unread.
    """

    async def scenario(gateway: CustomerGateway) -> None:
        writers: list[asyncio.StreamWriter] = []
        for _ in range(SLOW_CALLERS):
            reader, writer = await gateway.connect()
            writers.append(writer)
            writer.write(
                f'GET {LARGE_PATH} HTTP/1.1\r\n{REQUEST_FIELDS}\r\n'.encode()
            )
            await reader.readexactly(1)
        assert gateway.is_running
        assert await crowd.is_served(gateway)
        assert crowd.peak_bytes(gateway.pid) < crowd.MEMORY_MB * 1_000_000
        for writer in writers:
            writer.close()

    play(scenario)


def test_many_small_bodies(play: Play) -> None:
    """Guards against bodies and connections that add up to the memory."""
    play(
        lambda gateway: crowd.play_crowd(
            gateway, crowd.SMALL_BODIES, members=crowd.SMALL_BODY_MEMBERS
        )
    )


@pytest.mark.parametrize('reads_all', [True, False])
def test_large_responses_beside_a_crowd(play: Play, reads_all: bool) -> None:
    """Guards against accounts that fit the memory one by one only.

    While unfinished bodies take their share, other callers request large
    responses at the same time.
    """

    play(
        lambda gateway: crowd.play_large_responses(
            gateway,
            f'GET {LARGE_PATH} HTTP/1.1\r\n{REQUEST_FIELDS}'
            'Connection: close\r\n\r\n',
            reads_all=reads_all,
        )
    )


@pytest.mark.parametrize('framing', ['length', 'chunks'])
def test_single_largest_body_is_served(
    tmp_path: pathlib.Path, gateway_settings: GatewaySettings, framing: str
) -> None:
    """Guards against copies of a body that exceed the machine's memory."""
    size = crowd.USERS_MAX_BODY_BYTES

    async def main() -> None:
        async with _running(
            tmp_path, gateway_settings, max_body_bytes=size
        ) as gateway:
            reader, writer = await gateway.connect()
            head = gateway.crowd_head.replace('/desk/', '/other/')
            sending = crowd.largest_body(framing)
            writer.write(f'{head}{sending.framing}\r\n'.encode())
            crowd.write_body(writer, sending)
            status_line = await reader.readline()
            writer.close()
            assert b' 200 ' in status_line
            assert gateway.received_sizes == [size]
            assert crowd.peak_bytes(gateway.pid) < crowd.MEMORY_MB * 1_000_000

    asyncio.run(main())


@pytest.mark.parametrize('name', crowd.IDLE_BEGINNINGS)
def test_connections_beyond_the_descriptors(
    tmp_path: pathlib.Path, gateway_settings: GatewaySettings, name: str
) -> None:
    """Guards against connections that take all descriptors."""

    async def main() -> None:
        async with _running(
            tmp_path, gateway_settings, max_fds=crowd.MAX_FDS
        ) as gateway:
            await crowd.play_idle_crowd(gateway, crowd.IDLE_BEGINNINGS[name])

    asyncio.run(main())
