"""A gateway process: operators' endpoint, stop and invalid settings."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import signal
import socket
import sys

import aiohttp
from aiohttp import web
import pytest
import zmq

from teaselrock.daemon.settings import GatewaySettings
from teaselrock.protocol import fields

LOAD_FIELDS = {
    fields.BACKEND_LOAD: 'start=s, state=warm, in-flight=0, bears=2'
}
AUTHORIZATION = {'Authorization': 'Bearer secret'}
PROCESS_TIMEOUT_S = 30.0


class BlockingBackend:
    """Backend server that responds only once `release` is set."""

    def __init__(self) -> None:
        self.request_arrived = asyncio.Event()
        self.release = asyncio.Event()

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Respond to load checks at once, to others after `release`."""
        if http.path != fields.LOAD_TARGET:
            self.request_arrived.set()
            await self.release.wait()
        return web.Response(text='done', headers=LOAD_FIELDS)


@contextlib.asynccontextmanager
async def _serving(
    backend: BlockingBackend, address: str
) -> AsyncIterator[None]:
    runner = web.ServerRunner(web.Server(backend.handle))
    await runner.setup()
    host, _, port = address.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()
    try:
        yield
    finally:
        await runner.cleanup()


async def _start(path: pathlib.Path) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'teaselrock',
        'gateway',
        '--config',
        str(path),
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, 'PYTHONPATH': 'src'},
    )


async def _wait_for_event(
    process: asyncio.subprocess.Process, name: str
) -> None:
    """Wait for an event in the log."""
    assert process.stderr is not None
    async for line in process.stderr:
        if json.loads(line)['event'] == name:
            return
    raise AssertionError(f'the process ended without {name}')


async def _stop_with_request_in_flight(
    settings: GatewaySettings, path: pathlib.Path
) -> None:
    backend = BlockingBackend()
    operators_url = f'http://{settings["operators_listen"]}'
    async with (
        asyncio.timeout(PROCESS_TIMEOUT_S),
        _serving(backend, settings['servers'][0]['address']),
        aiohttp.ClientSession() as session,
    ):
        process = await _start(path)
        try:
            await _wait_for_event(process, 'gateway-started')
            for page in ('/healthz', '/readyz', '/metrics'):
                async with session.get(operators_url + page) as response:
                    assert response.status == 200
            request = asyncio.create_task(
                session.get(
                    f'http://{settings["listen"]}/desk/status',
                    headers=AUTHORIZATION,
                )
            )
            await backend.request_arrived.wait()
            process.send_signal(signal.SIGTERM)
            await _wait_for_event(process, 'gateway-stopping')
            process.send_signal(signal.SIGTERM)
            async with session.get(operators_url + '/readyz') as response:
                assert response.status == 503
            async with session.get(operators_url + '/status') as response:
                status = await response.json()
            assert status['instance'] == 'gw-1'
            assert status['stopping'] is True
            assert status['ready'] is False
            assert status['in_flight'] == 1
            backend.release.set()
            response = await request
            assert response.status == 200
            assert await response.text() == 'done'
            await _wait_for_event(process, 'gateway-stopped')
            assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()


def test_stop_finishes_requests_in_flight(
    gateway_settings: GatewaySettings,
    free_port: Callable[[], int],
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a stop that breaks a request in flight.

    A second SIGTERM arrives during the stop.
    """
    settings = gateway_settings
    settings['operators_listen'] = f'127.0.0.1:{free_port()}'
    assert 'configuration' in settings
    settings['configuration']['services']['desk']['deadline_ms'] = 60_000
    path = tmp_path / 'gateway.json'
    path.write_text(json.dumps(settings), 'utf-8')
    asyncio.run(_stop_with_request_in_flight(settings, path))


async def _run_until_exit(path: pathlib.Path) -> tuple[int | None, str]:
    process = await _start(path)
    _, errors = await asyncio.wait_for(
        process.communicate(), PROCESS_TIMEOUT_S
    )
    return process.returncode, errors.decode()


@pytest.mark.parametrize(
    ('change', 'message'),
    [
        ({'spare': 1}, 'spare: unknown member'),
        ({'listen': 5}, 'listen: 5 is not of type'),
        ({'peer_listen': '127.0.0.1:1'}, "'curve_public' is a dependency"),
        ({'listen': '192.0.2.1:9'}, 'cannot start'),
    ],
)
def test_invalid_settings(
    change: dict[str, object],
    message: str,
    gateway_settings: GatewaySettings,
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a traceback or a partly started gateway.

    The process must name the invalid setting and exit with code 1.
    """
    path = tmp_path / 'gateway.json'
    path.write_text(json.dumps({**gateway_settings, **change}), 'utf-8')
    code, errors = asyncio.run(_run_until_exit(path))
    assert code == 1
    assert message in errors
    assert 'Traceback' not in errors


def test_missing_settings_file(tmp_path: pathlib.Path) -> None:
    """Guards against a traceback if the settings file is missing."""
    code, errors = asyncio.run(_run_until_exit(tmp_path / 'none.json'))
    assert code == 1
    assert 'cannot read the file' in errors
    assert 'Traceback' not in errors


@pytest.mark.parametrize('name', ['listen', 'peer_listen', 'operators_listen'])
def test_address_in_use(
    name: str, gateway_settings: GatewaySettings, tmp_path: pathlib.Path
) -> None:
    """Guards against a gateway that hangs if it cannot bind a port.

    Another socket listens on one of its addresses.
    """
    path = tmp_path / 'gateway.json'
    public, secret = (key.decode() for key in zmq.curve_keypair())
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        change = {
            'curve_public': public,
            'curve_secret': secret,
            name: f'127.0.0.1:{listener.getsockname()[1]}',
        }
        path.write_text(json.dumps({**gateway_settings, **change}), 'utf-8')
        code, errors = asyncio.run(_run_until_exit(path))
    assert code == 1
    assert 'cannot start' in errors
    assert 'Traceback' not in errors
