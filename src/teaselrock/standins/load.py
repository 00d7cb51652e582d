"""Load generator: callers behind a load balancer, over HTTP.

`demo` runs it as a process. It polls the gateways' readiness as the
platform's load balancer does, and writes the result of each call to a file.
"""

import argparse
import asyncio
from collections.abc import Sequence
import itertools
import json
import pathlib
import random
import signal
from typing import Final
from typing import NamedTuple
from typing import TypedDict

import aiohttp

from teaselrock.transport.response_parser import VALID_STATUSES

READINESS_INTERVAL_S: Final = 0.25
CALL_TIMEOUT_S: Final = 40.0
UNKNOWN: Final = 'unknown'
# One in this many requests is repeated through another gateway if it is a
# POST.
REQUESTS_PER_REPEAT: Final = 8


class GatewayAddress(TypedDict):
    """A gateway; addresses are `HOST:PORT`."""

    id: str
    listen: str
    operators: str
    region: str


class Flow(TypedDict):
    """Calls of one customer to one service; `rate` is calls per second.

    `regions` limits the gateways that the calls go to.
    """

    customer: str
    key: str
    service: str
    method: str
    path: str
    rate: float
    regions: list[str]


class LoadSettings(TypedDict):
    """Settings of the process."""

    gateways: list[GatewayAddress]
    flows: list[Flow]
    seconds: float
    seed: int


class Call(NamedTuple):
    """One call and its result as the caller saw it.

    `verdict` is `unknown` without a complete response, or if the response
    states no verdict; `status` is 0 without a complete response. aiohttp
    takes any three digits as a status; one that is invalid is no response.
    `repeats` is True if the idempotency key had been sent before.
    """

    token: str
    customer: str
    service: str
    gateway: str
    is_idempotent: bool
    repeats: bool
    status: int
    verdict: str
    code: str


class LoadGenerator:
    """All callers, and the readiness polls of their load balancer."""

    def __init__(
        self, *, settings: LoadSettings, session: aiohttp.ClientSession
    ) -> None:
        self._settings = settings
        self._session = session
        self._rng = random.Random(settings['seed'])
        self._ready: set[str] = set()
        self._request_numbers = itertools.count()
        self.calls: list[Call] = []
        self.not_sent = 0

    async def run(self, stopped: asyncio.Event) -> None:
        """Send for the configured time, or until `stopped` is set."""
        gateways = self._settings['gateways']
        checks = [
            asyncio.create_task(self._poll_readiness(gateway))
            for gateway in gateways
        ]
        async with asyncio.TaskGroup() as callers:
            for flow in self._settings['flows']:
                callers.create_task(self._send_flow(flow, stopped))
        for check in checks:
            check.cancel()
        await asyncio.gather(*checks, return_exceptions=True)

    async def _poll_readiness(self, gateway: GatewayAddress) -> None:
        url = f'http://{gateway["operators"]}/readyz'
        timeout = aiohttp.ClientTimeout(total=1.0)
        while True:
            try:
                async with self._session.get(url, timeout=timeout) as response:
                    is_ready = response.status == 200
            except (aiohttp.ClientError, TimeoutError):
                is_ready = False
            update = self._ready.add if is_ready else self._ready.discard
            update(gateway['id'])
            await asyncio.sleep(READINESS_INTERVAL_S)

    async def _send_flow(self, flow: Flow, stopped: asyncio.Event) -> None:
        """Send one flow as an open loop with random intervals."""
        loop = asyncio.get_running_loop()
        end = loop.time() + self._settings['seconds']
        async with asyncio.TaskGroup() as calls:
            while loop.time() < end and not stopped.is_set():
                await asyncio.sleep(self._rng.expovariate(flow['rate']))
                calls.create_task(self._send_request(flow))

    async def _send_request(self, flow: Flow) -> None:
        number = next(self._request_numbers)
        token = f't{number}'
        first = await self._call(flow, token, repeats=False, avoid='')
        if (
            flow['method'] == 'POST'
            and number % REQUESTS_PER_REPEAT == 0
            and first
        ):
            await self._call(flow, token, repeats=True, avoid=first)

    async def _call(
        self, flow: Flow, token: str, *, repeats: bool, avoid: str
    ) -> str:
        """Make a call; returns the id of its gateway, '' if none is ready.

        After a refused connection no request was sent, so another gateway is
        tried. `avoid` is the id of a gateway that is not used.
        """
        tried = {avoid}
        while True:
            usable = [
                gateway
                for gateway in self._settings['gateways']
                if gateway['id'] in self._ready - tried
                and gateway['region'] in flow['regions']
            ]
            if not usable:
                self.not_sent += 1
                return ''
            gateway = self._rng.choice(usable)
            tried.add(gateway['id'])
            call = await self._exchange(flow, token, gateway, repeats)
            if call is not None:
                self.calls.append(call)
                return gateway['id']

    async def _exchange(
        self, flow: Flow, token: str, gateway: GatewayAddress, repeats: bool
    ) -> Call | None:
        call = Call(
            token,
            flow['customer'],
            flow['service'],
            gateway['id'],
            flow['method'] == 'GET',
            repeats,
            0,
            UNKNOWN,
            '',
        )
        headers = {'Authorization': f'Bearer {flow["key"]}'}
        if flow['method'] == 'POST':
            headers['Idempotency-Key'] = token
        try:
            async with self._session.request(
                flow['method'],
                f'http://{gateway["listen"]}{flow["path"]}?token={token}',
                headers=headers,
            ) as response:
                body = await response.read()
        except aiohttp.ClientConnectorError:
            return None
        except (aiohttp.ClientError, TimeoutError):
            return call
        if response.status not in VALID_STATUSES:
            return call
        code = ''
        if response.content_type == 'application/problem+json':
            code = str(json.loads(body).get('code', ''))
        return call._replace(
            status=response.status,
            verdict=response.headers.get('Request-Verdict', UNKNOWN),
            code=code,
        )


async def run(settings: LoadSettings, output: pathlib.Path) -> None:
    """Send until the time is over or a signal, then write all calls."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    # Each call uses a new connection: on a reused one aiohttp may retry a
    # request by itself, and such calls would not be counted.
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(force_close=True, limit=200),
        timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
    ) as session:
        load = LoadGenerator(settings=settings, session=session)
        await load.run(stopped)
    document = {
        'not_sent': load.not_sent,
        'calls': [call._asdict() for call in load.calls],
    }
    output.write_text(json.dumps(document), 'utf-8')


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command."""
    parser = argparse.ArgumentParser(prog='teaselrock-load')
    parser.add_argument('--config', type=pathlib.Path, required=True)
    parser.add_argument('--output', type=pathlib.Path, required=True)
    options = parser.parse_args(arguments)
    settings: LoadSettings = json.loads(options.config.read_text('utf-8'))
    asyncio.run(run(settings, options.output))
    return 0


if __name__ == '__main__':
    raise SystemExit(main())
