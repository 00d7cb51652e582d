"""A real gateway process of the platform, with stand-ins, and its callers."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
import contextlib
import json
import os
import pathlib
import sys

from gateway_world import gateway_settings
from gateway_world import ROUTE
from gateway_world import routes_spec
from platform_world import PlatformServer
from platform_world import PlatformStore

from crowd import peak_bytes
from free_ports import find_free_ports
from teaselrock.platform import headers
from teaselrock.state.routes import CallerLimits

ROOT = pathlib.Path(__file__).parents[2]
SERVERS = 12
REQUESTS_PER_CALLER = 20
REQUEST_INTERVAL_S = 0.05
# Long enough for a busy machine; a process that stops serving misses it.
DEADLINE_MS = 5000
MAX_TRIES = 10
RUN_TIMEOUT_S = 120


class GatewayProcess:
    """A gateway as the deploy file starts it, and what it uses."""

    def __init__(
        self,
        *,
        work_dir: pathlib.Path,
        memory_mb: int,
        max_fds: int | None = None,
        caller_limits: dict[str, int] | None = None,
    ) -> None:
        self.work_dir = work_dir
        self.memory_mb = memory_mb
        self.max_fds = max_fds
        self.caller_limits = caller_limits
        self.store = PlatformStore()
        self.store.page_items = 500
        self.ports = find_free_ports(3)
        self.servers: list[PlatformServer] = []
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, servers: list[PlatformServer]) -> None:
        store_address = await self.store.http.start()
        other = {
            **ROUTE,
            'name': 'other',
            'path_prefix': '/y/',
            'service': 'other',
            'timeout_ms': DEADLINE_MS,
        }
        spec = routes_spec('0000000a', ROUTE, other)
        spec['services'].append({'name': 'other', 'cold_per_s': 6.3})
        if self.caller_limits is not None:
            spec['limits'] = self.caller_limits
        self.store.put('config', 'main', spec)
        for server in servers:
            await self.add(server, service='desk')
        for number in range(SERVERS):
            server = PlatformServer(f'o-{number}')
            if self.caller_limits is not None:
                server.http.limits = CallerLimits(
                    max_body_bytes=self.caller_limits['max_body_bytes']
                )
            await self.add(server, service='other')
        path = self.work_dir / 'settings.json'
        settings = {
            **gateway_settings(self.ports, store_address),
            'limits': {'memory_mb': self.memory_mb, 'max_fds': self.max_fds},
        }
        path.write_text(json.dumps(settings), 'utf-8')
        with (self.work_dir / 'gateway.log').open('wb') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / 'deploy/gateway.py'),
                env={**os.environ, 'TEASELROCK_SETTINGS': str(path)},
                stdout=log,
                stderr=log,
            )
        while not await self.is_ready():
            assert self.process.returncode is None
            await asyncio.sleep(0.05)

    async def add(self, server: PlatformServer, *, service: str) -> None:
        await server.http.start()
        self.servers.append(server)
        self.store.put(
            'servers',
            server.server_id,
            server.entry(service=service, slots=64),
        )

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', self.ports[1]
            )
        except OSError:
            return False
        writer.write(b'GET /ready HTTP/1.1\r\nHost: h\r\n\r\n')
        line = await reader.readline()
        writer.close()
        return b' 200 ' in line

    @property
    def pid(self) -> int:
        assert self.process is not None
        return self.process.pid

    @property
    def is_running(self) -> bool:
        assert self.process is not None
        return self.process.returncode is None

    @property
    def peak_bytes(self) -> int:
        """Largest resident size since the process started."""
        return peak_bytes(self.pid)

    @property
    def crowd_head(self) -> str:
        return (
            'POST /x/1 HTTP/1.1\r\nHost: a.example\r\n'
            f'{headers.REQUEST_ID}: crowd\r\n'
        )

    async def send_ordinary(self) -> tuple[int, float]:
        """Send one request on a connection of its own."""
        reader, writer = await self.connect()
        try:
            return await Caller(self, '/y/1').send(reader, writer)
        finally:
            writer.close()

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection('127.0.0.1', self.ports[0])

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.store.http.stop()
        for server in self.servers:
            server.http.stop()


@contextlib.asynccontextmanager
async def running(
    work_dir: pathlib.Path,
    memory_mb: int,
    servers: list[PlatformServer],
    *,
    max_fds: int | None = None,
    caller_limits: dict[str, int] | None = None,
) -> AsyncIterator[GatewayProcess]:
    gateway = GatewayProcess(
        work_dir=work_dir,
        memory_mb=memory_mb,
        max_fds=max_fds,
        caller_limits=caller_limits,
    )
    try:
        async with asyncio.timeout(RUN_TIMEOUT_S):
            await gateway.start(servers)
            yield gateway
    finally:
        await gateway.stop()


class Caller:
    """A caller with one connection; it comes back after a Retry-After."""

    def __init__(
        self,
        gateway: GatewayProcess,
        path: str,
        *,
        max_tries: int = MAX_TRIES,
    ) -> None:
        self.gateway = gateway
        self.path = path
        self.max_tries = max_tries
        self.request_count = 0
        # Number of responses by status as sent.
        self.statuses: Counter[str] = Counter()
        # Status and body of those with a server's signature.
        self.signed_statuses: Counter[str] = Counter()
        self.signed_bodies: set[bytes] = set()

    @property
    def served_count(self) -> int:
        return self.statuses['200']

    async def run(self) -> None:
        reader, writer = await self.gateway.connect()
        for _ in range(REQUESTS_PER_CALLER):
            for _ in range(self.max_tries):
                try:
                    status, retry_after = await self.send(reader, writer)
                except (OSError, asyncio.IncompleteReadError):
                    # Not repeated: the request may have been lost.
                    reader, writer = await self.gateway.connect()
                    break
                if status != 503:
                    break
                await asyncio.sleep(retry_after)
            await asyncio.sleep(REQUEST_INTERVAL_S)
        writer.close()

    async def send(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> tuple[int, float]:
        """Status of the response, and its Retry-After in seconds."""
        self.request_count += 1
        writer.write(
            f'GET {self.path} HTTP/1.1\r\nHost: a.example\r\n'
            f'{headers.REQUEST_ID}: {id(self)}-{self.request_count}\r\n'
            f'{headers.DEADLINE_MS}: {DEADLINE_MS}\r\n\r\n'.encode()
        )
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        fields = dict(
            line.lower().split(': ', 1)
            for line in head.split('\r\n')[1:]
            if line
        )
        body = await reader.readexactly(int(fields['content-length']))
        status = head.split()[1]
        self.statuses[status] += 1
        if headers.SIGNATURE.lower() in fields:
            self.signed_statuses[status] += 1
            self.signed_bodies.add(body)
        return int(status), float(fields.get('retry-after', 0))
