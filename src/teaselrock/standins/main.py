"""Process that serves the stand-in store, platform and backend servers.

`make demo` and tests over real sockets start it with a settings file.
`GET /seen` returns the runs and counters of each server; `POST
/servers/ID/ACTION` (restart, cold, drain, cut) changes a server.
"""

import argparse
import asyncio
from collections.abc import Sequence
import pathlib
import random
import signal
from typing import NotRequired
from typing import TypedDict

from aiohttp import web
import json5

from teaselrock.standins.backend import serve_http
from teaselrock.standins.behaviour import ServiceTimes
from teaselrock.standins.platform import PlatformModel
from teaselrock.standins.server import Overload
from teaselrock.standins.server import ServerModel
from teaselrock.standins.store import StoreModel
from teaselrock.standins.store_http import StoreHttpApi
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer


class StandinServer(TypedDict):
    """A backend server; `address` is `host:port`."""

    id: str
    service: str
    region: str
    zone: str
    address: str
    concurrency: int
    cold: NotRequired[bool]
    overload: NotRequired[str]


class StandinSettings(TypedDict):
    """Settings of the process.

    `listen` is the address of the store and of the platform's list; `means`
    holds mean service times in seconds by the last segment of the path.
    """

    listen: str
    gateways: NotRequired[list[str]]
    servers: NotRequired[list[StandinServer]]
    means: NotRequired[dict[str, float]]
    sigma: NotRequired[float]
    seed: NotRequired[int]


def read_settings(path: pathlib.Path) -> StandinSettings:
    """Read a settings file."""
    settings: StandinSettings = json5.loads(path.read_text('utf-8'))
    return settings


class Standins:
    """All stand-ins of one process."""

    def __init__(self, *, settings: StandinSettings) -> None:
        self._settings = settings
        self._rng = random.Random(settings.get('seed', 0))
        self._servers = settings.get('servers', [])
        self._models = {
            server['id']: self._make_model(server) for server in self._servers
        }
        self._runners: list[web.BaseRunner] = []

    def _make_model(self, server: StandinServer) -> ServerModel:
        return ServerModel(
            server_id=server['id'],
            start_id=f'start-{server["id"]}',
            concurrency=server['concurrency'],
            zone=AvailabilityZone(server['region'], server['zone']),
            overload=Overload(server.get('overload', Overload.SHED)),
            rng=self._rng,
            times=ServiceTimes(
                rng=self._rng,
                means=self._settings.get('means'),
                sigma=self._settings.get('sigma', 0.0),
            ),
            is_cold=server.get('cold', False),
        )

    async def start(self) -> None:
        """Listen on all addresses."""
        platform = PlatformModel(
            servers=[
                BackendServer(
                    server['id'],
                    server['service'],
                    AvailabilityZone(server['region'], server['zone']),
                    server['address'],
                    server['concurrency'],
                )
                for server in self._servers
            ],
            gateways=self._settings.get('gateways', []),
        )
        store_api = StoreHttpApi(
            store=StoreModel(rng=self._rng), platform=platform
        )
        app = store_api.application()
        app.add_routes(
            [
                web.get('/seen', self._handle_server_records),
                web.post('/servers/{id}/{action}', self._handle_action),
            ]
        )
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        self._runners.append(runner)
        host, _, port = self._settings['listen'].rpartition(':')
        await web.TCPSite(runner, host, int(port)).start()
        for server in self._servers:
            host, _, port = server['address'].rpartition(':')
            self._runners.append(
                await serve_http(
                    model=self._models[server['id']],
                    host=host,
                    port=int(port),
                )
            )

    async def stop(self) -> None:
        """Refuse new requests, finish running ones and close."""
        for model in self._models.values():
            model.drain()
        for runner in reversed(self._runners):
            await runner.cleanup()
        self._runners.clear()

    async def _handle_server_records(self, http: web.Request) -> web.Response:
        return web.json_response(
            {
                name: {
                    'served': model.served,
                    'shed': model.shed,
                    'excess_cold': model.excess_cold,
                    'excess_warm': model.excess_warm,
                    'runs': [run._asdict() for run in model.runs],
                }
                for name, model in self._models.items()
            }
        )

    async def _handle_action(self, http: web.Request) -> web.Response:
        model = self._models.get(http.match_info['id'])
        if model is None:
            return web.Response(status=404)
        actions = {
            'restart': model.restart,
            'cold': model.turn_cold,
            'drain': model.drain,
            'cut': model.cut_connections,
        }
        action = actions.get(http.match_info['action'])
        if action is None:
            return web.Response(status=404)
        action()
        return web.Response(status=204)


async def run(settings: StandinSettings) -> None:
    """Serve until SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    standins = Standins(settings=settings)
    await standins.start()
    print(f'stand-ins listen on {settings["listen"]}', flush=True)
    await stopped.wait()
    await standins.stop()


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command."""
    parser = argparse.ArgumentParser(prog='teaselrock-standins')
    parser.add_argument(
        '--config',
        type=pathlib.Path,
        required=True,
        help='settings file, JSON with comments',
    )
    asyncio.run(run(read_settings(parser.parse_args(arguments).config)))
    return 0


if __name__ == '__main__':
    raise SystemExit(main())
