"""A gateway of the platform and its stand-ins, on loopback."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import json
import pathlib
from typing import Any
from typing import Protocol

from platform_world import PlatformServer
from platform_world import PlatformStore

from free_ports import find_free_ports
from teaselrock.daemon.platform_gateway import PlatformGateway
from teaselrock.platform import headers
from teaselrock.platform import settings as platform_settings

ROUTE: dict[str, Any] = {
    'name': 'lookup',
    'path_prefix': '/x/',
    'kind': 'idempotent',
    'timeout_ms': 1500,
    'target_latency_ms': 600,
    'priority': 1,
    'service': 'desk',
    'max_attempts': 2,
}
BUILD = {
    **ROUTE,
    'name': 'build',
    'path_prefix': '/b/',
    'kind': 'non_idempotent',
}


def routes_spec(version: str, *paths: dict[str, Any]) -> dict[str, Any]:
    return {
        'version': version,
        'services': [{'name': 'desk', 'cold_per_s': 6.3}],
        'virtual_hosts': [{'host': 'a.example', 'paths': list(paths)}],
    }


def gateway_settings(ports: list[int], store_address: str) -> dict[str, Any]:
    """Settings with ports for callers, operators and instances."""
    return {
        'node_name': 'edge-1',
        'ip': '127.0.0.1',
        'zone': 'east-a',
        'region': 'east',
        'zones': {'east-a': 'east'},
        'listen': {
            'front': f'127.0.0.1:{ports[0]}',
            'readiness_addr': f'127.0.0.1:{ports[1]}',
        },
        'port_range': [ports[2], ports[2] + 1],
        'bounds': ['cold_overshoot=1.5', 'cold_slack=5', 'grace_s=4.2'],
        'bootstrap': True,
        'platform': {'address': store_address},
    }


class World:
    """The store, backend servers (two by default) and a gateway."""

    def __init__(self, servers: Sequence[PlatformServer] = ()) -> None:
        self.store = PlatformStore()
        self.servers = list(servers) or [
            PlatformServer('i-1'),
            PlatformServer('i-2'),
        ]
        self.gateway: PlatformGateway | None = None
        self.caller_address = ''

    async def start(self, path: pathlib.Path) -> None:
        ports = find_free_ports(3)
        settings = gateway_settings(ports, await self.store.http.start())
        path.write_text(json.dumps(settings), 'utf-8')
        self.store.put('config', 'main', routes_spec('0000000a', ROUTE, BUILD))
        for server in self.servers:
            await server.http.start()
            self.store.put('servers', server.server_id, server.entry())
        self.store.put('servers', 'foreign', {'slots': 'many'})
        self.gateway = PlatformGateway(
            settings=platform_settings.load(path).ok, path=path
        )
        await self.gateway.start()
        self.caller_address = f'127.0.0.1:{ports[0]}'
        while not self.gateway.is_ready:
            await asyncio.sleep(0.01)

    async def send_request(
        self,
        target: str,
        *,
        method: str = 'GET',
        deadline_ms: int = 1000,
        request_id: str = 'id1',
    ) -> tuple[int, dict[str, str], bytes]:
        reader, writer = await self.open_connection()
        writer.write(
            f'{method} {target} HTTP/1.1\r\nHost: a.example\r\n'
            f'{headers.REQUEST_ID}: {request_id}\r\n'
            f'{headers.DEADLINE_MS}: {deadline_ms}\r\n'
            'Connection: close\r\n\r\n'.encode()
        )
        data = await reader.read(-1)
        writer.close()
        head, _, body = data.partition(b'\r\n\r\n')
        status_line, *field_lines = head.decode().split('\r\n')
        fields = dict(line.split(': ', 1) for line in field_lines)
        return int(status_line.split()[1]), fields, body

    async def open_connection(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.caller_address.rpartition(':')
        return await asyncio.open_connection(host, int(port))

    async def stop(self) -> None:
        if self.gateway is not None:
            await self.gateway.stop()
        self.store.http.stop()
        for server in self.servers:
            server.http.stop()

    @property
    def received_count(self) -> int:
        return sum(len(server.received) for server in self.servers)


Scenario = Callable[[World], Awaitable[None]]


class Run(Protocol):
    """Runs a scenario in a started world."""

    def __call__(
        self, scenario: Scenario, servers: Sequence[PlatformServer] = ()
    ) -> None:
        """Run with these servers, or with two plain ones."""
        ...
