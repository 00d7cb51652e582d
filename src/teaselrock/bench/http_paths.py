"""Comparison of HTTP data paths: relays on several libraries, and a client.

A relay forwards every request to one backend server without balancing, so
that the figures show the cost of the HTTP path alone. The script
`scripts/http_paths.sh` starts relay, backend server and client as processes.
"""

import argparse
import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import statistics
import time
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import Protocol

import aiohttp
from aiohttp import web
from cheroot import wsgi
import urllib3

from teaselrock.coordination.connections import ConnectionPool
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer
from teaselrock.state import RequestContent
from teaselrock.transport.backend import HttpConnector

CHEROOT_THREADS: Final = 32
POOL_SIZE: Final = 64
CONNECTIONS: Final = 4
DEADLINE_S: Final = 5.0


class Options(NamedTuple):
    """Options of the command."""

    role: str
    listen: str
    target: str
    variant: str
    rate: float
    seconds: float
    loop: str
    bearer: str


class Relay(Protocol):
    """Forwards GET requests to the target until cancelled."""

    async def run(self, *, listen: str, target: str) -> None:
        """Serve on `listen`, forward to `target`, both `host:port`."""
        ...


async def _serve_forever(handler: Any, listen: str) -> None:
    runner = web.ServerRunner(web.Server(handler), access_log=None)
    await runner.setup()
    host, _, port = listen.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()
    await asyncio.Event().wait()


class HttptoolsRelay:
    """aiohttp server, and the project's connection pool on httptools."""

    async def run(self, *, listen: str, target: str) -> None:
        """Serve on one event loop."""
        server = BackendServer(
            'server', 'service', AvailabilityZone('r', 'z'), target, 1
        )
        pool = ConnectionPool(connector=HttpConnector())
        loop = asyncio.get_running_loop()

        async def handle(http: web.BaseRequest) -> web.StreamResponse:
            deadline = loop.time() + DEADLINE_S
            connected = await pool.take(
                server=server, start_id='', deadline=deadline
            )
            result = await connected.ok.exchange(
                content=RequestContent(http.method, http.raw_path, (), b''),
                deadline=deadline,
            )
            pool.put_back(server=server, connection=connected.ok)
            return web.Response(status=result.ok.status, body=result.ok.body)

        await _serve_forever(handle, listen)


class AiohttpRelay:
    """aiohttp server and client on one event loop."""

    async def run(self, *, listen: str, target: str) -> None:
        """Serve on one event loop."""
        async with aiohttp.ClientSession() as session:

            async def handle(http: web.BaseRequest) -> web.StreamResponse:
                url = f'http://{target}{http.raw_path}'
                async with session.get(url) as response:
                    return web.Response(
                        status=response.status, body=await response.read()
                    )

            await _serve_forever(handle, listen)


class CherootRelay:
    """cheroot worker threads that call urllib3 synchronously."""

    async def run(self, *, listen: str, target: str) -> None:
        """Serve in cheroot's threads."""
        pool = urllib3.HTTPConnectionPool(target, maxsize=POOL_SIZE)

        def application(environ: Any, start_response: Any) -> list[bytes]:
            response = pool.request('GET', environ['PATH_INFO'])
            start_response(
                f'{response.status} OK',
                [('Content-Length', str(len(response.data)))],
            )
            return [response.data]

        host, _, port = listen.rpartition(':')
        server = wsgi.Server(
            (host, int(port)), application, numthreads=CHEROOT_THREADS
        )
        await asyncio.to_thread(server.start)


RELAYS: Final[dict[str, type[Relay]]] = {
    'httptools': HttptoolsRelay,
    'aiohttp': AiohttpRelay,
    'cheroot': CherootRelay,
}


async def measure_latencies(
    *, target: str, rate: float, seconds: float, headers: Mapping[str, str]
) -> list[float]:
    """Latencies in seconds of GETs at a fixed rate on `CONNECTIONS`.

    A latency counts from the time at which the request was due, so that a
    delay of earlier requests is included.
    """
    latencies: list[float] = []
    connector = aiohttp.TCPConnector(limit=CONNECTIONS)
    start = time.perf_counter()

    async with aiohttp.ClientSession(
        connector=connector, headers=headers
    ) as session:

        async def send_one(due_at: float) -> None:
            async with session.get(f'http://{target}/desk/x') as response:
                response.raise_for_status()
                await response.read()
            latencies.append(time.perf_counter() - due_at)

        tasks = []
        for index in range(int(rate * seconds)):
            due_at = start + index / rate
            await asyncio.sleep(max(0.0, due_at - time.perf_counter()))
            tasks.append(asyncio.create_task(send_one(due_at)))
        await asyncio.gather(*tasks)
    return latencies


async def saturate(
    *, target: str, seconds: float, headers: Mapping[str, str]
) -> float:
    """Requests per second of back-to-back GETs on `CONNECTIONS`."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    served = 0

    async def worker(session: aiohttp.ClientSession) -> None:
        nonlocal served
        while loop.time() < end:
            async with session.get(f'http://{target}/desk/x') as response:
                response.raise_for_status()
                await response.read()
            served += 1

    async with aiohttp.ClientSession(headers=headers) as session:
        await asyncio.gather(*[worker(session) for _ in range(CONNECTIONS)])
    return served / seconds


def _parse(arguments: Sequence[str] | None) -> Options:
    parser = argparse.ArgumentParser(prog='http_paths')
    parser.add_argument('role', choices=('relay', 'load'))
    parser.add_argument('--listen', default='127.0.0.1:0')
    parser.add_argument('--target', required=True)
    parser.add_argument(
        '--variant', choices=sorted(RELAYS), default='httptools'
    )
    parser.add_argument('--rate', type=float, default=100.0)
    parser.add_argument('--seconds', type=float, default=5.0)
    parser.add_argument(
        '--bearer', default='', help='API key, if the target is a gateway'
    )
    # uvloop's clock has a resolution of 1 ms; asyncio's is finer.
    parser.add_argument(
        '--loop', choices=('asyncio', 'uvloop'), default='asyncio'
    )
    return Options(**vars(parser.parse_args(arguments)))


async def _measure(options: Options) -> None:
    headers = (
        {'Authorization': f'Bearer {options.bearer}'} if options.bearer else {}
    )
    latencies = await measure_latencies(
        target=options.target,
        rate=options.rate,
        seconds=options.seconds,
        headers=headers,
    )
    percentiles = statistics.quantiles(latencies, n=100)
    peak = await saturate(
        target=options.target, seconds=options.seconds, headers=headers
    )
    print(
        f'{options.target} rate {options.rate:.0f}/s: '
        f'p50 {percentiles[49] * 1e3:.2f} ms, '
        f'p99 {percentiles[98] * 1e3:.2f} ms, '
        f'saturation {peak:.0f}/s'
    )


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a relay until it is stopped, or run a load and print figures."""
    options = _parse(arguments)
    if options.role == 'relay':
        relay = RELAYS[options.variant]()
        serving = relay.run(listen=options.listen, target=options.target)
        if options.loop == 'uvloop':
            # Optional dependency: pip install teaselrock[bench].
            import uvloop

            uvloop.run(serving)
        else:
            asyncio.run(serving)
    else:
        asyncio.run(_measure(options))
    return 0


if __name__ == '__main__':
    raise SystemExit(main())
