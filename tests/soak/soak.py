"""Randomized fault soak of real gateway processes.

Run `python tests/soak/soak.py --seeds 50 --start 1 --seconds 12`. Each seed
gives a series of overlapping faults; the checks use only what callers and
servers observed. Exit code 1 means that a guarantee did not hold.
"""

import argparse
import asyncio
from collections import Counter
import pathlib
import random
import signal
import sys
import tempfile
import time
from typing import Any
from typing import Final
from typing import NamedTuple

sys.path[:0] = [
    str(pathlib.Path(__file__).parents[2] / 'src'),
    str(pathlib.Path(__file__).parent),
]

from checks import Call  # noqa: E402
from checks import exceeded_limits  # noqa: E402
from checks import Fault  # noqa: E402
from checks import find_violations  # noqa: E402
from checks import ignored_pauses  # noqa: E402
from checks import Limit  # noqa: E402
from checks import UNDISTURBED_S  # noqa: E402
from checks import unexpected_exits  # noqa: E402
from checks import unrecovered_gateways  # noqa: E402
from checks import unregistered_gateways  # noqa: E402
from proxy import Mode  # noqa: E402
from world import Gateway  # noqa: E402
from world import GATEWAYS  # noqa: E402
from world import SERVERS  # noqa: E402
from world import World  # noqa: E402

from teaselrock.platform import headers  # noqa: E402

REQUESTS_PER_S: Final = 60
DEADLINE_MS: Final = 1500
# A server's departure or a change of routes must be in force within this time.
PROPAGATION_LIMIT_S: Final = 2.0
_HOST: Final = 'soak.example'


class Soak:
    """One seeded run."""

    def __init__(
        self,
        *,
        seed: int,
        seconds: float,
        folder: str,
        gateways: int = GATEWAYS,
        servers: int = SERVERS,
    ) -> None:
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._world = World(
            seed=seed,
            folder=pathlib.Path(folder),
            gateways=gateways,
            servers=servers,
        )
        self._calls: list[Call] = []
        self._fault_log: list[Fault] = []
        self._limits: list[Limit] = []
        # Of its own, so that the faults of a seed stay the same.
        self._limits_rng = random.Random(f'{seed} limits')
        self._notices_rng = random.Random(f'{seed} notices')
        self._restores_rng = random.Random(f'{seed} restores')
        # What the operator and the servers have written last; None: deleted.
        self._written: dict[tuple[str, str], Any] = {}
        self._problems: list[str] = []
        self._version = 0
        self._route = ''
        self._count = 0

    @property
    def summary(self) -> str:
        """Number of calls by status, of runs and of faults."""
        statuses = Counter(call.status for call in self._calls)
        counts = ', '.join(f'{k}: {n}' for k, n in sorted(statuses.items()))
        return (
            f'{len(self._calls)} calls ({counts}), '
            f'{len(self._world.runs)} runs, {len(self._fault_log)} faults'
        )

    async def run(self) -> list[str]:
        """Run load and faults; returns the violated guarantees."""
        self._change_routes()
        try:
            await self._world.start()
            tasks = [
                asyncio.create_task(self._run_callers()),
                asyncio.create_task(self._inject_faults()),
                asyncio.create_task(self._limit_rates()),
                asyncio.create_task(self._ask_for_pauses()),
                asyncio.create_task(self._restore_store()),
            ]
            await asyncio.sleep(self._seconds)
            for task in tasks[1:]:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self._check_end()
        finally:
            await self._world.stop()
        self._problems += find_violations(
            self._calls, self._world.runs, self._fault_log
        )
        self._problems += exceeded_limits(self._world.arrivals, self._limits)
        self._problems += ignored_pauses(
            self._calls,
            self._world.arrivals,
            self._world.pauses,
            self._fault_log,
        )
        return self._problems

    # Faults

    async def _inject_faults(self) -> None:
        faults = (
            self._kill,
            self._terminate,
            self._pause,
            self._cut_store,
            self._store_down,
            self._cut_server,
            self._lose_responses,
            self._drain,
            self._replace_routes,
            self._send_sighup,
        )
        running: set[asyncio.Task[None]] = set()
        try:
            while True:
                fault = self._rng.choice(faults)
                task = asyncio.create_task(fault())
                running.add(task)
                task.add_done_callback(running.discard)
                await asyncio.sleep(self._rng.uniform(0.3, 1.5))
        finally:
            # Wait for the end of faults that have begun.
            await asyncio.gather(*running, return_exceptions=True)

    async def _limit_rates(self) -> None:
        """Let one server after the other announce a rate limit."""
        while True:
            await asyncio.sleep(self._limits_rng.uniform(0.2, 1.0))
            server = self._limits_rng.choice(self._world.servers)
            server.rate_limit = round(self._limits_rng.uniform(1.0, 4.0), 1)
            start = time.monotonic()
            try:
                await asyncio.sleep(self._limits_rng.uniform(5.0, 8.0))
            finally:
                self._limits.append(
                    Limit(
                        server.server_id,
                        server.rate_limit,
                        start,
                        time.monotonic(),
                    )
                )
                server.rate_limit = None

    async def _ask_for_pauses(self) -> None:
        """Let one server after the other refuse requests for a while."""
        while True:
            await asyncio.sleep(self._notices_rng.uniform(0.5, 2.0))
            server = self._notices_rng.choice(self._world.servers)
            server.pause_s = self._notices_rng.uniform(0.5, 3.0)
            try:
                await asyncio.sleep(self._notices_rng.uniform(0.1, 0.5))
            finally:
                server.pause_s = None

    async def _restore_store(self) -> None:
        """Return the store to older copies; its writers write again.

        Only in half of the runs: the outage excuses all gateways from other
        bounds for a while.
        """
        rng, store = self._restores_rng, self._world.store
        if rng.random() < 0.5:
            return
        while True:
            await asyncio.sleep(rng.uniform(1.0, 4.0))
            copy = store.copy()
            await asyncio.sleep(rng.uniform(1.0, 5.0))
            away_s = rng.uniform(0.0, 1.5)
            self._record_fault('', away_s)
            store.drops_connections = True
            try:
                try:
                    await asyncio.sleep(away_s)
                finally:
                    store.restore(copy)
                    store.drops_connections = False
                await asyncio.sleep(rng.uniform(0.0, 1.5))
            finally:
                # Also at the end of the run: the last restore is over only
                # when all is written again.
                for (kind, name), spec in self._written.items():
                    self._write(kind, name, spec)

    def _write(self, kind: str, name: str, spec: Any) -> None:
        """Write an object, or delete it if `spec` is None."""
        self._written[kind, name] = spec
        store = self._world.store
        stored = store.objects.get((kind, name))
        if spec is None and stored is not None:
            store.delete(kind, name)
        elif spec is not None and (stored is None or stored['spec'] != spec):
            store.put(kind, name, spec)

    def _pick(self) -> Gateway:
        return self._rng.choice(self._world.gateways)

    def _record_fault(
        self, gateway: str, seconds: float, *, is_planned: bool = False
    ) -> None:
        now = time.monotonic()
        self._fault_log.append(Fault(gateway, now, now + seconds, is_planned))

    async def _kill(self) -> None:
        gateway = self._pick()
        pause_s = self._rng.uniform(0.0, 0.5)
        async with gateway.restarting:
            self._record_fault(gateway.name, 2.0)
            await gateway.end(signal.SIGKILL)
            await asyncio.sleep(pause_s)
            await gateway.start()

    async def _terminate(self) -> None:
        gateway = self._pick()
        async with gateway.restarting:
            self._record_fault(gateway.name, 8.0, is_planned=True)
            await gateway.end(signal.SIGTERM)
            await gateway.start()

    async def _pause(self) -> None:
        gateway = self._pick()
        seconds = self._rng.uniform(0.2, 2.0)
        self._record_fault(gateway.name, seconds + 0.5)
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        gateway.signal(signal.SIGCONT)

    async def _send_sighup(self) -> None:
        self._pick().signal(signal.SIGHUP)

    async def _cut_store(self) -> None:
        gateway = self._pick()
        seconds = self._rng.uniform(0.5, 3.0)
        self._record_fault(gateway.name, seconds)
        if gateway.proxy is not None:
            modes = (Mode.BLACKHOLE, Mode.RESET, Mode.DROP_RESPONSES)
            gateway.proxy.set_mode(self._rng.choice(modes))
            await asyncio.sleep(seconds)
            gateway.proxy.set_mode(Mode.PASS)

    async def _store_down(self) -> None:
        seconds = self._rng.uniform(0.5, 3.0)
        self._record_fault('', seconds)
        self._world.store.forced_status = self._rng.choice((503, 429, 500))
        await asyncio.sleep(seconds)
        self._world.store.forced_status = None

    async def _cut_server(self) -> None:
        server = self._rng.choice(self._world.servers)
        seconds = self._rng.uniform(0.3, 2.0)
        self._record_fault('', seconds)
        if server.proxy is not None:
            server.proxy.set_mode(
                self._rng.choice(list(Mode)),
                delay_s=self._rng.uniform(0.0, 0.2),
            )
            await asyncio.sleep(seconds)
            server.proxy.set_mode(Mode.PASS)

    async def _lose_responses(self) -> None:
        server = self._rng.choice(self._world.servers)
        seconds = self._rng.uniform(0.5, 2.0)
        self._record_fault('', seconds)
        server.lost_response_share = 0.3
        await asyncio.sleep(seconds)
        server.lost_response_share = 0.0

    async def _drain(self) -> None:
        world = self._world
        live = [
            server
            for server in world.servers
            if server.departure_deadline is None
        ]
        if len(live) < 4:
            return
        server = self._rng.choice(live)
        if self._rng.random() < 0.5:
            self._write(
                'servers',
                server.server_id,
                server.soak_entry(state='draining', born=server.born),
            )
        else:
            self._write('servers', server.server_id, None)
        server.departure_deadline = time.monotonic() + PROPAGATION_LIMIT_S
        server.is_leaving = self._notices_rng.random() < 0.5
        await asyncio.sleep(self._rng.uniform(2.5, 5.0))
        server.departure_deadline = None
        server.is_leaving = False
        server.born = time.time_ns() // 1_000_000
        self._write(
            'servers', server.server_id, server.soak_entry(born=server.born)
        )

    async def _replace_routes(self) -> None:
        self._change_routes()

    def _change_routes(self) -> None:
        """Give the route `new` a new path prefix; the others stay."""
        self._version += self._rng.randint(1, 3)
        self._route = f'/new{self._version}/'
        paths = [
            _path('lookup', '/look/', 'idempotent'),
            _path('build', '/build/', 'non_idempotent'),
            _path('new', self._route, 'idempotent'),
        ]
        self._write(
            'config',
            'main',
            {
                'version': f'{self._version:08x}',
                'services': [{'name': 'desk', 'cold_per_s': 6.0}],
                'virtual_hosts': [{'host': _HOST, 'paths': paths}],
            },
        )

    # Callers

    async def _run_callers(self) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + self._seconds
        callers = [asyncio.create_task(self._caller(until)) for _ in range(12)]
        await asyncio.gather(*callers)

    async def _caller(self, until: float) -> None:
        """Send requests on persistent connections until `until`."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            gateway = self._pick()
            try:
                reader, writer = await asyncio.open_connection(
                    gateway.ip, gateway.ports[0]
                )
            except OSError:
                await asyncio.sleep(0.1)
                continue
            try:
                while loop.time() < until:
                    pause_s = 12 / REQUESTS_PER_S * self._rng.uniform(0.5, 1.5)
                    await asyncio.sleep(pause_s)
                    if not await self._call(gateway, reader, writer):
                        break
            finally:
                writer.close()

    async def _call(
        self,
        gateway: Gateway,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Make one call; False if the connection can't be used again."""
        self._count += 1
        request_id = f'r{self._count}'
        is_build = self._rng.random() < 0.4
        target = f'/{"build" if is_build else "look"}/{request_id}'
        method = 'POST' if is_build else 'GET'
        sent = time.monotonic()
        status, body, is_open = 0, b'', False
        try:
            writer.write(
                f'{method} {target} HTTP/1.1\r\nHost: {_HOST}\r\n'
                f'{headers.REQUEST_ID}: {request_id}\r\n'
                f'{headers.DEADLINE_MS}: {DEADLINE_MS}\r\n\r\n'.encode()
            )
            async with asyncio.timeout(DEADLINE_MS / 1000 + 0.5):
                status, body, is_open = await _read_response(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status = 0
        is_correct = status != 200 or body == f'{request_id} {target}'.encode()
        self._calls.append(
            Call(
                request_id,
                gateway.name,
                is_build,
                sent,
                time.monotonic(),
                status,
                is_correct,
            )
        )
        return is_open

    # Checks

    async def _check_end(self) -> None:
        """Check that all gateways run and serve the newest route."""
        await asyncio.sleep(UNDISTURBED_S + PROPAGATION_LIMIT_S)
        codes = {
            gateway.name: gateway.exit_code for gateway in self._world.gateways
        }
        self._problems += unexpected_exits(codes)
        statuses: dict[str, int] = {}
        for gateway in self._world.gateways:
            if codes[gateway.name] is not None:
                continue
            reader, writer = await asyncio.open_connection(
                gateway.ip, gateway.ports[0]
            )
            writer.write(
                f'GET {self._route}x HTTP/1.1\r\nHost: {_HOST}\r\n'
                f'{headers.REQUEST_ID}: end-{gateway.name}\r\n'
                f'{headers.DEADLINE_MS}: 3000\r\n\r\n'.encode()
            )
            statuses[gateway.name], _, _ = await _read_response(reader)
            writer.close()
        self._problems += unrecovered_gateways(statuses)
        registered = self._world.store.names('teaselrock-instances')
        self._problems += unregistered_gateways(list(codes), registered)


def _path(name: str, prefix: str, kind: str) -> dict[str, Any]:
    return {
        'name': name,
        'path_prefix': prefix,
        'kind': kind,
        'timeout_ms': 1500,
        'target_latency_ms': 300,
        'priority': 1,
        'service': 'desk',
        'max_attempts': 2,
    }


async def _read_response(
    reader: asyncio.StreamReader,
) -> tuple[int, bytes, bool]:
    """Status, body, and whether the connection stays open."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
    length = 0
    for line in head.split('\r\n'):
        if line.startswith('content-length:'):
            length = int(line.partition(':')[2])
    body = await reader.readexactly(length)
    return int(head.split()[1]), body, 'connection: close' not in head


class SeedResult(NamedTuple):
    """Result of one seed."""

    problems: list[str]
    summary: str


def run_seed(
    *,
    seed: int,
    seconds: float,
    folder: str,
    gateways: int = GATEWAYS,
    servers: int = SERVERS,
) -> SeedResult:
    """Run one seed; logs of the gateways stay in `folder`."""

    async def main() -> SeedResult:
        soak = Soak(
            seed=seed,
            seconds=seconds,
            folder=folder,
            gateways=gateways,
            servers=servers,
        )
        return SeedResult(await soak.run(), soak.summary)

    return asyncio.run(main())


def main() -> int:
    """Run seeds one after the other; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--start', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=12.0)
    parser.add_argument('--gateways', type=int, default=GATEWAYS)
    parser.add_argument('--servers', type=int, default=SERVERS)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.start, options.start + options.seeds):
        folder = tempfile.mkdtemp(prefix=f'soak-{seed}-')
        result = run_seed(
            seed=seed,
            seconds=options.seconds,
            folder=folder,
            gateways=options.gateways,
            servers=options.servers,
        )
        failed += bool(result.problems)
        print(f'seed {seed}: {len(result.problems)} problems, {folder}')
        print(f'  {result.summary}', flush=True)
        for problem in result.problems[:10]:
            print(f'  {problem}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
