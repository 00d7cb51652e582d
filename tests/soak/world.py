"""Gateways as processes, between stand-ins of the store and the servers."""

import asyncio
import json
import os
import pathlib
import random
import signal
import sys
import time
from typing import Any
from typing import Final
from typing import NamedTuple

ROOT: Final = pathlib.Path(__file__).parents[2]
sys.path[:0] = [str(ROOT / 'tests'), str(ROOT / 'tests' / 'platform')]

from platform_world import PlatformServer  # noqa: E402
from platform_world import PlatformStore  # noqa: E402
from platform_world import Response  # noqa: E402
from proxy import Proxy  # noqa: E402

from free_ports import find_free_ports  # noqa: E402
from teaselrock.platform import headers  # noqa: E402
from teaselrock.transport.request_parser import CallerRequest  # noqa: E402

ZONES: Final = {'east-a': 'east', 'east-b': 'east', 'west-a': 'west'}
SLOTS_PER_SERVER: Final = 4
STOP_GRACE_S: Final = 6.0
GATEWAYS: Final = 6
SERVERS: Final = 6
# Time until all gateways of a run are ready; they share the machine's cores.
START_LIMIT_S: Final = 18.0
START_LIMIT_PER_GATEWAY_S: Final = 0.4


class Run(NamedTuple):
    """One execution of a request at a server."""

    request_id: str
    server_id: str
    at: float
    is_after_departure: bool


class Arrival(NamedTuple):
    """A request that reached a server, run or not."""

    server_id: str
    at: float
    request_id: str = ''


class Pause(NamedTuple):
    """A refusal that told its gateway when to come back, in seconds."""

    server_id: str
    request_id: str
    at: float
    seconds: float


class SoakServer(PlatformServer):
    """A server that takes some time for a request and records its run."""

    def __init__(
        self,
        server_id: str,
        *,
        zone: str,
        runs: list[Run],
        arrivals: list[Arrival],
        pauses: list[Pause],
        seed: int,
    ) -> None:
        super().__init__(server_id)
        self.zone = zone
        self.runs = runs
        self.arrivals = arrivals
        self.pauses = pauses
        # Requests are refused with this Retry-After while it is set.
        self.pause_s: float | None = None
        self.rate_limit: float | None = None
        self.rng = random.Random(f'{seed} {server_id}')
        self.running = 0
        self.departure_deadline: float | None = None
        self.lost_response_share = 0.0
        self.proxy: Proxy | None = None
        self.address = ''
        self.born = 1

    async def start(self) -> None:
        """Listen behind a proxy."""
        self.proxy = Proxy(target=await self.http.start())
        self.address = await self.proxy.start()

    def soak_entry(self, **changes: Any) -> dict[str, Any]:
        """Registration with the proxy's address."""
        return self.entry(
            address=self.address,
            zone=self.zone,
            slots=SLOTS_PER_SERVER,
            **changes,
        )

    async def _handle(self, request: CallerRequest) -> Response | None:
        if request.target == '/health':
            self.load = f'{self.running},0,{SLOTS_PER_SERVER},100'
            response = await super()._handle(request)
            if response is None:
                return None
            status, fields, body = response
            return status, fields | self._limit_fields(), body
        request_id = request.field(headers.REQUEST_ID.lower()) or ''
        now = time.monotonic()
        self.arrivals.append(Arrival(self.server_id, now, request_id))
        if self.pause_s is not None:
            self.pauses.append(
                Pause(self.server_id, request_id, now, self.pause_s)
            )
            return self.refusal(request_id, retry_after=f'{self.pause_s:.2f}')
        if self.running >= SLOTS_PER_SERVER:
            return self.refusal(request_id)
        is_after_departure = (
            self.departure_deadline is not None
            and now > self.departure_deadline
        )
        self.runs.append(
            Run(request_id, self.server_id, now, is_after_departure)
        )
        self.running += 1
        try:
            await asyncio.sleep(self.rng.uniform(0.02, 0.12))
        finally:
            self.running -= 1
        if self.rng.random() < self.lost_response_share:
            return None
        body = f'{request_id} {request.target}'.encode()
        fields = self.response_fields(request) | self._limit_fields()
        return 200, fields, body

    def _limit_fields(self) -> dict[str, str]:
        if self.rate_limit is None:
            return {}
        return {headers.RATE_LIMIT: f'{self.rate_limit:.1f}'}


class Gateway:
    """One gateway process, which reaches the store through its own proxy."""

    def __init__(
        self, *, name: str, zone: str, index: int, folder: pathlib.Path
    ) -> None:
        self.name = name
        self.zone = zone
        self.ip = f'127.0.{1 + index // 250}.{index % 250 + 1}'
        self.settings = folder / f'{name}.json'
        self.log = folder / f'{name}.log'
        self.process: asyncio.subprocess.Process | None = None
        self.proxy: Proxy | None = None
        self.ports = find_free_ports(3, ip=self.ip)
        # Overlapping restarts of one gateway would leave a process running.
        self.restarting = asyncio.Lock()

    @property
    def exit_code(self) -> int | None:
        """Exit code of the newest process, None while it runs."""
        return self.process.returncode if self.process else None

    async def prepare(self, store: str) -> None:
        """Start the proxy to the store and write the settings file."""
        self.proxy = Proxy(target=store)
        front, ready, peer = self.ports
        self.settings.write_text(
            json.dumps(
                {
                    'node_name': self.name,
                    'ip': self.ip,
                    'zone': self.zone,
                    'region': ZONES[self.zone],
                    'zones': ZONES,
                    'listen': {
                        'front': f'{self.ip}:{front}',
                        'readiness_addr': f'{self.ip}:{ready}',
                    },
                    'port_range': [peer, peer + 1],
                    'bounds': [
                        'cold_overshoot=1.5',
                        'cold_slack=5',
                        'retry_budget_ratio=0.2',
                        f'grace_s={STOP_GRACE_S}',
                    ],
                    'bootstrap': True,
                    'platform': {'address': await self.proxy.start()},
                }
            ),
            'utf-8',
        )

    async def start(self) -> None:
        """Start the process."""
        environment = {
            **os.environ,
            'TEASELROCK_SETTINGS': str(self.settings),
        }
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / 'deploy' / 'gateway.py'),
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the gateway's process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number: int) -> None:
        """Send a signal and wait for the exit; kill after `STOP_GRACE_S`."""
        process = self.process
        if process is None:
            return
        self.signal(number)
        try:
            await asyncio.wait_for(process.wait(), STOP_GRACE_S)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await process.wait()

    async def is_ready(self) -> bool:
        """Request the readiness endpoint as the platform does."""
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.ports[1]
            )
            writer.write(b'GET /ready HTTP/1.0\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line


class World:
    """Store, servers and gateway processes of one soak run."""

    def __init__(
        self,
        *,
        seed: int,
        folder: pathlib.Path,
        gateways: int = GATEWAYS,
        servers: int = SERVERS,
    ) -> None:
        self.runs: list[Run] = []
        self.arrivals: list[Arrival] = []
        self.pauses: list[Pause] = []
        self.store = PlatformStore()
        self.store.page_items = 500
        zones = list(ZONES)
        self.servers = [
            SoakServer(
                f's{index}',
                zone=zones[index % len(zones)],
                runs=self.runs,
                arrivals=self.arrivals,
                pauses=self.pauses,
                seed=seed,
            )
            for index in range(servers)
        ]
        self.gateways = [
            Gateway(
                name=f'g{index}',
                zone=zones[index % len(zones)],
                index=index,
                folder=folder,
            )
            for index in range(gateways)
        ]

    async def start(self) -> None:
        """Start everything and wait until the gateways are ready."""
        address = await self.store.http.start()
        for server in self.servers:
            await server.start()
            self.store.put(
                'servers',
                server.server_id,
                server.soak_entry(born=server.born),
            )
        for gateway in self.gateways:
            await gateway.prepare(address)
            await gateway.start()
        async with asyncio.timeout(
            START_LIMIT_S + START_LIMIT_PER_GATEWAY_S * len(self.gateways)
        ):
            for gateway in self.gateways:
                while not await gateway.is_ready():
                    await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Kill the processes of this run and stop its stand-ins."""
        for gateway in self.gateways:
            gateway.signal(signal.SIGCONT)
        await asyncio.gather(
            *(gateway.end(signal.SIGKILL) for gateway in self.gateways)
        )
        for gateway in self.gateways:
            if gateway.proxy is not None:
                gateway.proxy.stop()
        for server in self.servers:
            server.http.stop()
            if server.proxy is not None:
                server.proxy.stop()
        self.store.http.stop()
