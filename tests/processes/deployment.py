"""Two gateways and the stand-ins as processes, for tests."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import pathlib
import signal
import sys
from typing import Any

import aiohttp
import zmq

from teaselrock.cli import main as cli
from teaselrock.daemon.settings import GatewaySettings

RUN_TIMEOUT_S = 90.0
POLL_INTERVAL_S = 0.1
AUTHORIZATION = {'Authorization': 'Bearer secret'}


class Deployment:
    """Addresses and processes of a running deployment."""

    def __init__(
        self, *, work_dir: pathlib.Path, free_port: Callable[[], int]
    ) -> None:
        self._work_dir = work_dir
        self._free_port = free_port
        self.store_url = f'http://{self._address()}'
        self.gateways: dict[str, dict[str, Any]] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    def _address(self) -> str:
        return f'127.0.0.1:{self._free_port()}'

    async def start_process(
        self, name: str, settings: Any, *command: str
    ) -> None:
        """Start a process with a settings file."""
        path = self._work_dir / f'{name}.json'
        path.write_text(json.dumps(settings), 'utf-8')
        with (self._work_dir / f'{name}.log').open('wb') as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *(sys.executable, '-m', *command, '--config', str(path)),
                stdout=log,
                stderr=log,
            )

    async def start(self, settings: GatewaySettings) -> None:
        """Start all processes and apply the configuration as version 1."""
        servers = [
            {
                'id': f'server-{zone}',
                'service': 'desk',
                'region': 'east',
                'zone': zone,
                'address': self._address(),
                'concurrency': 2,
            }
            for zone in ('a', 'b')
        ]
        standin_settings = {
            'listen': self.store_url.removeprefix('http://'),
            'gateways': ['gw-a', 'gw-b'],
            'servers': servers,
            'means': {'build': 0.5},
        }
        await self.start_process(
            'standins', standin_settings, 'teaselrock.standins.main'
        )
        await self.wait_until(self._is_store_up)
        public, secret = (key.decode() for key in zmq.curve_keypair())
        for zone in ('a', 'b'):
            gateway_settings = self.gateways[f'gw-{zone}'] = {
                'instance': f'gw-{zone}',
                'region': 'east',
                'zone': zone,
                'listen': self._address(),
                'peer_listen': self._address(),
                'operators_listen': self._address(),
                'curve_public': public,
                'curve_secret': secret,
                'digest_key': 'test key',
                'store_url': self.store_url,
                'store_region': 'east',
            }
            await self.start_process(
                f'gw-{zone}', gateway_settings, 'teaselrock', 'gateway'
            )
        path = self._work_dir / 'configuration.json'
        document = settings.get('configuration')
        assert document is not None
        document['services']['desk']['deadline_ms'] = 30_000
        path.write_text(json.dumps(document), 'utf-8')
        assert await self.run_command('apply', str(path)) == 0
        await self.wait_until(lambda: self.has_version(1))
        await self.wait_until(self._are_ready)

    async def run_command(self, *arguments: str) -> int:
        """Run a command against the store; returns its exit code."""
        return await asyncio.to_thread(
            cli.main, (*arguments, '--store', self.store_url)
        )

    async def wait_until(self, is_done: Callable[[], Awaitable[bool]]) -> None:
        """Poll until a state is reached that only a request shows."""
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                if await is_done():
                    return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def has_version(self, version: int) -> bool:
        """Whether both gateways list two members and have a version."""
        for name in self.gateways:
            status = await self.status(name)
            if status['version'] < version or len(status['members']) < 2:
                return False
        return True

    async def _are_ready(self) -> bool:
        """Whether callers may be sent to both gateways."""
        for name in self.gateways:
            if not (await self.status(name))['ready']:
                return False
        return True

    async def status(self, name: str) -> Any:
        """Document that a gateway serves at `/status`."""
        address = self.gateways[name]['operators_listen']
        return await get_json(f'http://{address}/status')

    async def _is_store_up(self) -> bool:
        return await get_json(f'{self.store_url}/objects') == []

    async def run_count(self, server: str) -> int:
        """Requests that a server has started to run."""
        received = await get_json(f'{self.store_url}/seen')
        return len(received[server]['runs'])

    async def send_build(self, name: str, key: str) -> tuple[int, str]:
        """Send a build through a gateway; returns status and verdict."""
        url = f'http://{self.gateways[name]["listen"]}/desk/build?token={key}'
        headers = AUTHORIZATION | {'Idempotency-Key': key}
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, headers=headers) as response,
        ):
            await response.read()
            return response.status, response.headers['Request-Verdict']


async def get_json(url: str) -> Any:
    """Fetch a JSON document over HTTP."""
    async with (
        aiohttp.ClientSession() as session,
        session.get(url) as response,
    ):
        return await response.json()


@contextlib.asynccontextmanager
async def running(
    *,
    settings: GatewaySettings,
    free_port: Callable[[], int],
    work_dir: pathlib.Path,
) -> AsyncIterator[Deployment]:
    """Start a deployment; all of its processes are killed on exit."""
    deployment = Deployment(work_dir=work_dir, free_port=free_port)
    try:
        async with asyncio.timeout(RUN_TIMEOUT_S):
            await deployment.start(settings)
            yield deployment
    finally:
        for process in deployment.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
            await process.wait()
