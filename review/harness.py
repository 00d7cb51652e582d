"""Stand-ins of the platform's store, upstreams and clients, for `run.sh`.

They follow PROTOCOL.md and run in one process; the gateways are separate
processes, started with the command of the deploy file. Standard library only.
"""

import asyncio
import hashlib
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
HOST = '127.0.0.1'
# Bounds of sites/hb-clockworks.toml, as its settings example gives them.
BOUNDS = {
    'seed_lag_s': 3,
    'addr_reuse_s': 2,
    'stable_window_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 2000,
    'grace_s': 6,
    'loss_slack_ms': 200,
    'config_apply_ms': 2000,
    'revert_slack_ms': 250,
    'stretch_max_ms': 5000,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'retry_budget_extra': 56,
    'cold_overshoot': 1.5,
    'cold_slack': 5,
    'evacuate_ms': 5000,
    'recovery_s': 15,
    'probes_per_s': 60,
}
# Limits of a desired state, as `fleetbench wire` shows them.
LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 67108864,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}
PAGE_ITEMS = 500
# `run.sh` turns these into 0, 1 and 2; Python itself exits with 1 if a script
# is faulty.
EXIT_HELD = 0
EXIT_BROKEN = 10
EXIT_COULD_NOT_RUN = 11


class CannotRun(Exception):
    """The case could not be played."""


_writers = []


def _track(writer):
    _writers.append(writer)
    return writer


class Record:
    """Lines of `record.txt`, with seconds since the start."""

    def __init__(self, folder):
        self._start = time.monotonic()
        self._file = open(  # noqa: SIM115
            folder / 'record.txt', 'w', encoding='utf-8'
        )

    def now(self):
        return time.monotonic() - self._start

    def line(self, text):
        self._file.write(f'{self.now():9.3f}  {text}\n')
        self._file.flush()

    def say(self, text):
        self.line(text)
        print(text)


_taken_ports = set()


def free_port():
    """A free port below the range from which the system takes others."""
    while True:
        port = random.randrange(10_000, 30_000)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        if port not in _taken_ports:
            _taken_ports.add(port)
            return port


async def read_message(reader):
    """First line, fields by lower-case name and body; None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if colon:
            fields[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(fields.get('content-length', 0)))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return lines[0], fields, body


def encode_response(status, reason, fields, body=b''):
    lines = [f'HTTP/1.1 {status} {reason}']
    lines += [f'{name}: {value}' for name, value in fields]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


class Store:
    """The platform's store: objects by kind, one revision counter."""

    def __init__(self, record):
        self._record = record
        self._revision = 1
        self._objects = {}
        self._history = []
        self._changed = asyncio.Event()

    @property
    def revision(self):
        return self._revision

    def names(self, kind):
        return sorted(self._objects.get(kind, {}))

    def put(self, kind, name, spec, by='operator'):
        """Create or replace an object; returns the time of the ack."""
        known = self._objects.setdefault(kind, {}).get(name)
        if known is not None and known['spec'] == spec:
            return time.monotonic()
        self._revision += 1
        stored = {
            'metadata': {
                'name': name,
                'revision': self._revision,
                'created': known['metadata']['created']
                if known
                else self._revision,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self._objects[kind][name] = stored
        self._add_event(kind, stored, False)
        self._record.line(
            f'store: {by} wrote {kind}/{name}, revision {self._revision}'
        )
        return time.monotonic()

    def delete(self, kind, name, by='operator'):
        stored = self._objects.get(kind, {}).pop(name)
        self._revision += 1
        self._add_event(kind, stored, True)
        self._record.line(
            f'store: {by} removed {kind}/{name}, revision {self._revision}'
        )
        return time.monotonic()

    def _add_event(self, kind, stored, deleted):
        self._history.append(
            (self._revision, kind, {'deleted': deleted, 'object': stored})
        )
        self._changed.set()
        self._changed = asyncio.Event()

    def _events(self, kind, after):
        return [
            event
            for revision, of, event in self._history
            if of == kind and revision > after
        ]

    async def respond(self, method, target, body):
        """Status, reason and JSON of one call."""
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(p) for p in url.path.split('/')[2:]]
        kind = parts[0]
        objects = self._objects.get(kind, {})
        if method == 'GET' and len(parts) == 1 and 'watch' in query:
            return await self._watch(kind, query)
        if method == 'GET' and len(parts) == 1:
            names = [n for n in sorted(objects) if n > query.get('after', '')]
            items = [objects[n] for n in names[:PAGE_ITEMS]]
            return (
                200,
                'OK',
                {
                    'items': items,
                    'has_more': len(names) > PAGE_ITEMS,
                    'store_revision': self._revision,
                },
            )
        sent = json.loads(body) if body else {}
        if method == 'POST':
            name = sent['metadata']['name']
            if name in objects:
                return 409, 'Conflict', objects[name]
            self.put(kind, name, sent.get('spec'), by='a gateway')
            return 200, 'OK', self._objects[kind][name]
        name = parts[1]
        if name not in objects:
            return 404, 'Not Found', {}
        if method == 'PUT':
            self.put(kind, name, sent.get('spec'), by='a gateway')
        elif method == 'DELETE':
            self.delete(kind, name, by='a gateway')
            return 200, 'OK', {}
        return 200, 'OK', objects[name]

    async def _watch(self, kind, query):
        after = int(query['watch'])
        if after > self._revision:
            return 410, 'Gone', {}
        ends_at = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while not (events := self._events(kind, after)):
            left = ends_at - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                break
        return (
            200,
            'OK',
            {
                'events': events,
                'store_revision': self._revision,
            },
        )


class StoreLink:
    """One machine's way to the store; `cut` partitions it, silently."""

    def __init__(self, store, answer_s=0.004):
        self._store = store
        self._answer_s = answer_s
        self._is_cut = False
        self._healed = asyncio.Event()
        self._server = None
        self._watched_at = float('-inf')
        self.port = None

    @property
    def is_watched(self):
        """Whether the machine has called with `watch` in the last 3 s."""
        return time.monotonic() - self._watched_at < 3.0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def cut(self):
        self._is_cut = True
        self._healed.clear()

    def heal(self):
        """End the cut; channels that were open during it are closed."""
        self._is_cut = False
        self._healed.set()

    async def _serve(self, reader, writer):
        _track(writer)
        while (message := await read_message(reader)) is not None:
            if self._is_cut:
                break
            line, _, body = message
            method, target, _ = line.split(' ')
            if 'watch=' in target:
                self._watched_at = time.monotonic()
            await asyncio.sleep(self._answer_s)
            status, reason, value = await self._store.respond(
                method, target, body
            )
            if self._is_cut:
                break
            writer.write(
                encode_response(
                    status,
                    reason,
                    (('Content-Type', 'application/json'), ('Store-Era', '1')),
                    json.dumps(value).encode(),
                )
            )
        if self._is_cut:
            await self._healed.wait()
        writer.close()


class Run:
    """One request at an upstream; times are of `time.monotonic`."""

    def __init__(self, request_id):
        self.request_id = request_id
        self.began_at = time.monotonic()
        self.ended_at = float('inf')


class Upstream:
    """A sound backend server with `slots`; records what it runs."""

    def __init__(
        self, *, record, server_id, service, zone, work_s=0.05, slots=64
    ):
        self._record = record
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self._work_s = work_s
        self._slots = slots
        self._running = 0
        self._server = None
        self.address = None
        # (time, request id, method, target, length and SHA-256 of the body)
        self.arrivals = []
        self.runs = []

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, HOST, 0, limit=1 << 20
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{HOST}:{port}'

    def entry(self, state='ready', seq=1):
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self._slots,
            'state': state,
            'cold_left_ms': 0,
            'seq': seq,
            'born': 1_790_000_000_000,
        }

    async def _serve(self, reader, writer):
        _track(writer)
        try:
            while (message := await read_message(reader)) is not None:
                line, fields, body = message
                method, target, _ = line.split(' ')
                answer = await self._respond(
                    reader, method, target, fields, body
                )
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _respond(self, reader, method, target, fields, body):
        """The response; None for a request whose channel was closed."""
        own = ('X-Teaselrock-Instance-Id', self.server_id)
        load = (
            'X-Teaselrock-Server-Load',
            f'{self._running},0,{self._slots},100',
        )
        if target == '/health':
            return encode_response(200, 'OK', (own, load))
        request_id = fields.get('x-teaselrock-request-id')
        if request_id is None:
            return encode_response(
                400, 'Bad Request', (('X-Teaselrock-Not-Executed', '1'),)
            )
        echo = ('X-Teaselrock-Request-Id', request_id)
        expected = fields.get('x-teaselrock-expected-instance')
        if expected not in (None, self.server_id):
            return encode_response(421, 'Misdirected Request', (own, echo))
        digest = hashlib.sha256(body).hexdigest()[:16]
        self.arrivals.append(
            (time.monotonic(), request_id, method, target, len(body), digest)
        )
        self._record.line(
            f'{self.server_id} ({self.service}, {self.zone}) runs '
            f'{request_id} {method} {target}, body {len(body)} bytes'
        )
        run = Run(request_id)
        self.runs.append(run)
        self._running += 1
        while time.monotonic() < run.began_at + self._work_s:
            left = run.began_at + self._work_s - time.monotonic()
            await asyncio.sleep(max(0.0, min(0.02, left)))
            if reader.at_eof():
                break
        self._running -= 1
        run.ended_at = time.monotonic()
        if reader.at_eof():
            self._record.line(f'{self.server_id} drops {request_id}')
            return None
        answer = f'{self.server_id} {request_id}'.encode()
        signature = hashlib.sha256(answer).hexdigest()[:12]
        return encode_response(
            200,
            'OK',
            (echo, ('X-Teaselrock-Response-Signature', signature), load),
            answer,
        )


class Gateway:
    """A machine with one process of the deploy file's role."""

    def __init__(
        self,
        *,
        record,
        name,
        zone,
        zones,
        link,
        folder,
        bootstrap,
        memory_mb=300,
    ):
        self._record = record
        self.name = name
        self.zone = zone
        self.link = link
        self._log = open(folder / f'{name}.log', 'wb')  # noqa: SIM115
        ports = [free_port() for _ in range(4)]
        self.front, self.ready, control, self._peer = ports
        self._path = folder / f'{name}.json'
        self._process = None
        self._path.write_text(
            json.dumps(
                {
                    'node_name': name,
                    'role': 'gateway',
                    'machine_class': 'edge',
                    'serves': ['edge'],
                    'ip': HOST,
                    'zone': zone,
                    'region': zones[zone],
                    'zones': zones,
                    'listen': {
                        'front': f'{HOST}:{self.front}',
                        'readiness_addr': f'{HOST}:{self.ready}',
                        'control': f'{HOST}:{control}',
                    },
                    'port_range': [self._peer, self._peer],
                    'seeds': [],
                    'bootstrap': bootstrap,
                    'in_fault_budget': True,
                    'limits': {
                        'cpu_share': 0.86,
                        'cores': 1,
                        'memory_mb': memory_mb,
                        'max_fds': 4100,
                        'link_mbps': 1000.0,
                        'disk_mb': 0,
                    },
                    'data_dir': None,
                    'discovery': 'platform',
                    'entry': 'vip',
                    'heartbeat_ms': 1500,
                    'contracts': [
                        'base',
                        'drain',
                        'config',
                        'cost',
                        'retry',
                        'recover',
                        'health',
                        'places',
                        'platform',
                    ],
                    'fault_tolerance': {
                        'machines': 2,
                        'zones': 1,
                        'regions': 1,
                    },
                    'bounds': [f'{k}={v}' for k, v in BOUNDS.items()],
                    'platform': {
                        'address': f'{HOST}:{link.port}',
                        'form': 'objects',
                        'writes_per_s': 400,
                        'reads_per_s': 2000,
                        'history_s': 20,
                        'value_bytes': 1048576,
                        'ttl_min_ms': 1000,
                    },
                }
            )
        )

    @property
    def pid(self):
        return self._process.pid

    @property
    def is_running(self):
        return self._process is not None and self._process.returncode is None

    async def start(self):
        deploy = tomllib.loads(
            (REPOSITORY / 'deploy' / 'system.toml').read_text()
        )
        command = shlex.split(deploy['roles']['gateway']['run'])
        kept = ('PATH', 'HOME', 'JAVA_HOME', 'LANG')
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment['PYTHONPATH'] = str(REPOSITORY / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['TEASELROCK_SETTINGS'] = str(self._path)
        self._process = await asyncio.create_subprocess_exec(
            *command,
            cwd=REPOSITORY,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )
        self._record.line(f'{self.name} started, pid {self.pid}')

    async def wait_ready(self, limit_s=15.0):
        ends_at = time.monotonic() + limit_s
        while time.monotonic() < ends_at:
            if not self.is_running:
                raise CannotRun(f'{self.name} ended at its start')
            if await self.is_ready():
                self._record.line(f'{self.name} is ready')
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{self.name} was not ready after {limit_s} s')

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready)
            writer.write(b'GET /ready HTTP/1.1\r\nHost: a\r\n\r\n')
            answer = await asyncio.wait_for(read_message(reader), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return answer is not None and ' 200 ' in answer[0]

    def memory_mb(self):
        """Resident memory in units of 1,048,576 bytes, 0 after its end."""
        try:
            with open(f'/proc/{self.pid}/status', encoding='ascii') as status:
                for line in status:
                    if line.startswith('VmRSS:'):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def send_signal(self, number):
        self._record.line(f'{self.name} gets signal {int(number)}')
        self._process.send_signal(number)

    async def kill(self, number=signal.SIGKILL):
        if self.is_running:
            self.send_signal(number)
            await self._process.wait()

    def close(self):
        if self.is_running:
            self._process.kill()
        self._log.close()


class Client:
    """A consumer's channel to a gateway."""

    def __init__(self, gateway):
        self._gateway = gateway
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            HOST, self._gateway.front
        )
        _track(self.writer)

    async def request(self, encoded):
        """Status, fields and body; None if the channel ends without them."""
        try:
            self.writer.write(encoded)
            await self.writer.drain()
            message = await read_message(self.reader)
        except OSError:
            return None
        if message is None:
            return None
        return int(message[0].split(' ')[1]), message[1], message[2]

    def close(self):
        if self.writer is not None:
            self.writer.close()


_last_id = 0


def new_id():
    global _last_id
    _last_id += 1
    return hashlib.sha256(f'{os.getpid()} {_last_id}'.encode()).hexdigest()[
        :16
    ]


def encode_request(
    method, target, *, host, request_id, deadline_ms, body=b'', fields=()
):
    lines = [
        f'{method} {target} HTTP/1.1',
        f'Host: {host}',
        f'X-Teaselrock-Request-Id: {request_id}',
        f'X-Teaselrock-Deadline-Ms: {deadline_ms}',
    ]
    lines += [f'{name}: {value}' for name, value in fields]
    if body or method not in ('GET', 'HEAD'):
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


def route(
    name,
    prefix,
    service,
    kind='idempotent',
    timeout_ms=2500,
    priority=1,
    target_ms=600,
):
    return {
        'name': name,
        'path_prefix': prefix,
        'kind': kind,
        'timeout_ms': timeout_ms,
        'target_latency_ms': target_ms,
        'priority': priority,
        'service': service,
        'max_attempts': 2,
        'allowed_regions': [],
    }


def desired_state(version, services, routes, host='ficu95.example'):
    return {
        'version': f'{version:08x}',
        'services': [
            {
                'name': name,
                'health_path': '/health',
                'max_conns': 220,
                'protocol': 'h1',
                'tls': False,
                'cold_s': 3.0,
                'cold_per_s': 8.0,
            }
            for name in services
        ],
        'limits': LIMITS,
        'virtual_hosts': [{'host': host, 'paths': routes}],
    }


def main(play, folder):
    """Play a case; exits with one of the codes above.

    `play(record, folder, has_trouble, gateways)` returns whether the rule
    held; the gateways that it adds to the list are ended.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(folder)
    gateways = []

    async def run():
        with tempfile.TemporaryDirectory(prefix='teaselrock-') as scratch:
            try:
                async with asyncio.timeout(110):
                    return await play(
                        record, pathlib.Path(scratch), has_trouble, gateways
                    )
            finally:
                for gateway in gateways:
                    await gateway.kill()
                    gateway.close()
                for writer in _writers:
                    writer.transport.abort()
                await asyncio.sleep(0.05)

    try:
        held = asyncio.run(run())
    except Exception as error:  # Whatever stops a case, it could not run.
        record.say(f'could not run: {error!r}')
        sys.exit(EXIT_COULD_NOT_RUN)
    record.say('held' if held else 'BROKEN')
    sys.exit(EXIT_HELD if held else EXIT_BROKEN)
