"""Stand-ins and helpers of the scripts in review/6 to review/10.

The store, the upstreams and the consumers follow the users' PROTOCOL.md. They
need nothing but Python's standard library. The gateways are real processes,
started with the command of deploy/system.toml.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import urlsplit

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

REQUEST_ID = 'x-teaselrock-request-id'
SIGNATURE = 'x-teaselrock-response-signature'


class Record:
    """`record.txt`: what was sent, answered and run, in order of time."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self._start = time.monotonic()

    @property
    def now(self) -> float:
        return time.monotonic() - self._start

    def add(self, event: str, **fields: Any) -> None:
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{self.now:8.3f} {event} {text}\n')

    def result(self, text: str) -> None:
        self.add('result', text=text)
        self._file.flush()
        print(text)

    def close(self) -> None:
        self._file.close()


class Message:
    """A request or a response with its whole body."""

    def __init__(
        self, first: str, fields: list[tuple[str, str]], body: bytes
    ) -> None:
        self.first = first
        self.fields = fields
        self.body = body

    def field(self, name: str) -> str | None:
        for key, value in self.fields:
            if key.lower() == name:
                return value
        return None

    @property
    def status(self) -> int:
        return int(self.first.split()[1])

    @property
    def method(self) -> str:
        return self.first.split()[0]

    @property
    def target(self) -> str:
        return self.first.split()[1]

    @property
    def closes(self) -> bool:
        return (self.field('connection') or '').lower() == 'close'


class Incomplete(Exception):
    """The channel ended within a message."""


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message; None if the channel ends before its first byte."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Incomplete(f'head of {len(error.partial)} bytes') from error
        return None
    first, *lines = head[:-4].decode('latin-1').split('\r\n')
    fields = []
    for line in lines:
        name, _, value = line.partition(':')
        fields.append((name, value.strip()))
    message = Message(first, fields, b'')
    length = int(message.field('content-length') or 0)
    try:
        message.body = await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        raise Incomplete(
            f'{len(error.partial)} of {length} bytes of the body'
        ) from error
    return message


def encode(
    first: str, fields: dict[str, str] | list[tuple[str, str]], body: bytes
) -> bytes:
    pairs = fields.items() if isinstance(fields, dict) else fields
    lines = [first, *(f'{name}: {value}' for name, value in pairs)]
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


Handler = Callable[[Message], Awaitable[tuple[int, dict[str, str], bytes]]]


class HttpListener:
    """HTTP/1.1 server; cancels a request when its channel closes."""

    def __init__(
        self,
        handler: Handler,
        ip: str = '127.0.0.1',
        idle_timeout_s: float = 10.0,
    ) -> None:
        self._handler = handler
        self._ip = ip
        self._idle_timeout_s = idle_timeout_s
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.address = ''

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._serve, self._ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{self._ip}:{port}'
        return self.address

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        work: asyncio.Task[Any] | None = None
        try:
            while True:
                request = await asyncio.wait_for(
                    read_message(reader), self._idle_timeout_s
                )
                if request is None:
                    return
                work = asyncio.create_task(self._handler(request))
                # The channel's end drops the request, like at most upstreams.
                while not work.done():
                    await asyncio.wait({work}, timeout=0.02)
                    if reader.at_eof() or writer.is_closing():
                        return
                status, fields, body = work.result()
                fields = {**fields, 'Content-Length': str(len(body))}
                writer.write(encode(f'HTTP/1.1 {status} X', fields, body))
                await writer.drain()
        except (OSError, TimeoutError, Incomplete, asyncio.CancelledError):
            pass
        finally:
            if work is not None and not work.done():
                work.cancel()
            self._tasks.discard(task)
            writer.close()


class Store:
    """The platform's store: objects by kind and name, lists and watches."""

    def __init__(self) -> None:
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._revision = 10
        self._changed = asyncio.Event()
        self.listener = HttpListener(self.respond)

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        self._revision += 1
        stored = {
            'metadata': {
                'name': name,
                'revision': self._revision,
                'created': self._revision,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self._objects[kind, name] = stored
        self._append(kind, stored, False)
        return stored

    def delete(self, kind: str, name: str) -> None:
        stored = self._objects.pop((kind, name), None)
        if stored is not None:
            self._revision += 1
            self._append(kind, stored, True)

    def _append(
        self, kind: str, stored: dict[str, Any], is_deleted: bool
    ) -> None:
        self._history.append((self._revision, kind, stored, is_deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def respond(
        self, request: Message
    ) -> tuple[int, dict[str, str], bytes]:
        """Answer one call."""
        await asyncio.sleep(0.004)
        status, value = await self._answer(request)
        return (
            status,
            {'Content-Type': 'application/json', 'Store-Era': '1'},
            json.dumps(value).encode(),
        )

    async def _answer(self, request: Message) -> tuple[int, Any]:
        parts = urlsplit(request.target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        kind, _, name = parts.path.removeprefix('/objects/').partition('/')
        if request.method == 'GET' and name:
            stored = self._objects.get((kind, name))
            return (200, stored) if stored else (404, {})
        if request.method == 'GET' and 'watch' in query:
            return await self._watch(
                kind, int(query['watch']), int(query.get('wait_ms', 0)) / 1000
            )
        if request.method == 'GET':
            after = query.get('after', '')
            names = sorted(n for k, n in self._objects if k == kind)
            names = [n for n in names if n > after]
            return 200, {
                'items': [self._objects[kind, n] for n in names[:500]],
                'has_more': len(names) > 500,
                'store_revision': self._revision,
            }
        body = json.loads(request.body or b'{}')
        name = name or body['metadata']['name']
        exists = (kind, name) in self._objects
        if request.method == 'POST':
            if exists:
                return 409, self._objects[kind, name]
            return 200, self.put(kind, name, body.get('spec'))
        if request.method == 'PUT':
            if not exists:
                return 404, {}
            return 200, self.put(kind, name, body.get('spec'))
        self.delete(kind, name)
        return 200, {}

    async def _watch(
        self, kind: str, after: int, wait: float
    ) -> tuple[int, Any]:
        ends_at = time.monotonic() + wait
        while True:
            changed = self._changed
            events = [
                {'object': stored, 'deleted': is_deleted}
                for revision, stored_kind, stored, is_deleted in self._history
                if revision > after and stored_kind == kind
            ]
            remaining = ends_at - time.monotonic()
            if events or remaining <= 0:
                return 200, {
                    'events': events,
                    'store_revision': self._revision,
                }
            try:
                await asyncio.wait_for(changed.wait(), remaining)
            except TimeoutError:
                continue


class Run:
    """One run of a request at an upstream."""

    def __init__(self, request: Message, at: float, server_id: str) -> None:
        self.request_id = request.field(REQUEST_ID) or ''
        self.method = request.method
        self.target = request.target
        self.body = request.body
        self.at = at
        self.ended_at: float | None = None
        self.end = 'at work'
        self.server_id = server_id


class Upstream:
    """An upstream with `slots`; its answers are those of PROTOCOL.md."""

    def __init__(
        self,
        server_id: str,
        record: Record,
        *,
        slots: int = 6,
        queue: int = 12,
        work_s: Callable[[], float],
        answer_bytes: int = 400,
        fields: dict[str, str] | None = None,
        idle_timeout_s: float = 10.0,
    ) -> None:
        self.server_id = server_id
        self.record = record
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.answer_bytes = answer_bytes
        self.fields = fields or {}
        self.health_checks = 0
        self.runs: list[Run] = []
        self._running = 0
        self._waiting = 0
        self._slot = asyncio.Semaphore(slots)
        self.listener = HttpListener(
            self._respond, idle_timeout_s=idle_timeout_s
        )

    def entry(self, service: str, zone: str) -> dict[str, Any]:
        return {
            'service': service,
            'address': self.listener.address,
            'zone': zone,
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq': 1,
            'born': 1_796_000_000_000,
        }

    def _load(self) -> dict[str, str]:
        return {
            'X-Teaselrock-Server-Load': (
                f'{self._running},{self._waiting},{self.slots},100'
            ),
            **self.fields,
        }

    async def _respond(
        self, request: Message
    ) -> tuple[int, dict[str, str], bytes]:
        if request.target == '/health':
            self.health_checks += 1
            return (
                200,
                {'X-Teaselrock-Instance-Id': self.server_id, **self._load()},
                b'',
            )
        request_id = request.field(REQUEST_ID) or ''
        echo = {'X-Teaselrock-Request-Id': request_id}
        expected = request.field('x-teaselrock-expected-instance')
        if expected not in (None, self.server_id):
            echo['X-Teaselrock-Instance-Id'] = self.server_id
            return 421, echo, b''
        if self._waiting >= self.queue:
            echo['X-Teaselrock-Not-Executed'] = '1'
            return 503, {**echo, **self._load()}, b''
        deadline = int(request.field('x-teaselrock-deadline-ms') or 60_000)
        ends_at = time.monotonic() + deadline / 1000
        self._waiting += 1
        try:
            await self._slot.acquire()
        finally:
            self._waiting -= 1
        if time.monotonic() >= ends_at:
            self._slot.release()
            echo['X-Teaselrock-Not-Executed'] = '1'
            return 503, {**echo, **self._load()}, b''
        run = Run(request, self.record.now, self.server_id)
        self.runs.append(run)
        self._running += 1
        self.record.add(
            'run',
            id=request_id,
            at=self.server_id,
            request=f'{request.method}:{request.target}',
            body_bytes=len(request.body),
        )
        run.end = 'dropped'
        try:
            work = self.work_s()
            left = ends_at - time.monotonic()
            await asyncio.sleep(min(work, left))
            run.end = 'ok' if work <= left else '504'
        finally:
            run.ended_at = self.record.now
            self._running -= 1
            self._slot.release()
            self.record.add('run-ends', id=request_id, end=run.end)
        status = 200 if run.end == 'ok' else 504
        body = (request_id.encode() + b' ') * (
            1 + self.answer_bytes // (len(request_id) + 1)
        )
        signature = {
            'X-Teaselrock-Response-Signature': f'{self.server_id}.{request_id}'
        }
        return (
            status,
            {**echo, **signature, **self._load()},
            body[: self.answer_bytes],
        )


def deploy_command() -> list[str]:
    """The command of the one role in deploy/system.toml."""
    text = (ROOT / 'deploy' / 'system.toml').read_text('utf-8')
    roles = tomllib.loads(text)['roles']
    return str(next(iter(roles.values()))['run']).split()


def free_ports(ip: str, count: int) -> list[int]:
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((ip, 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Gateway:
    """One gateway process with settings like those of site llx-gw."""

    def __init__(
        self,
        name: str,
        *,
        ip: str,
        zone: str,
        zones: dict[str, str],
        store: str,
        folder: pathlib.Path,
        bounds: tuple[str, ...] = (),
    ) -> None:
        self.name = name
        self.ip = ip
        front, ready, peer = free_ports(ip, 3)
        self.front = (ip, front)
        self._ready = (ip, ready)
        self._settings = folder / f'{name}.json'
        self._log = folder / f'{name}.log'
        self.process: asyncio.subprocess.Process | None = None
        self._settings.write_text(
            json.dumps(
                {
                    'node_name': name,
                    'role': 'gateway',
                    'machine_class': 'edge',
                    'serves': ['edge'],
                    'ip': ip,
                    'zone': zone,
                    'region': zones[zone],
                    'zones': zones,
                    'listen': {
                        'front': f'{ip}:{front}',
                        'readiness_addr': f'{ip}:{ready}',
                    },
                    'port_range': [peer, peer + 1],
                    'seeds': [],
                    'bootstrap': True,
                    'limits': {
                        'cpu_share': 0.86,
                        'cores': 1,
                        'memory_mb': 300,
                        'max_fds': 4100,
                        'link_mbps': 1000.0,
                        'disk_mb': 0,
                    },
                    'data_dir': None,
                    'discovery': 'platform',
                    'entry': 'vip',
                    'heartbeat_ms': 1500,
                    'bounds': [
                        'stable_window_ms=3000',
                        'drain_ms=2000',
                        'grace_s=6',
                        'loss_slack_ms=200',
                        'config_apply_ms=2000',
                        'retry_budget_ratio=0.2',
                        'budget_window_s=10',
                        'retry_budget_extra=58',
                        'cold_overshoot=1.5',
                        'cold_slack=5',
                        *bounds,
                    ],
                    'platform': {
                        'address': store,
                        'form': 'objects',
                        'writes_per_s': 400,
                        'reads_per_s': 2000,
                        'history_s': 20,
                        'value_bytes': 1048576,
                    },
                }
            ),
            'utf-8',
        )

    async def start(self) -> None:
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['TEASELROCK_SETTINGS'] = str(self._settings)
        with self._log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *deploy_command(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        deadline = time.monotonic() + 20
        while not await self.is_ready():
            if self.process.returncode is not None:
                raise RuntimeError(
                    f'{self.name} ended: {self._log.read_text("utf-8")}'
                )
            if time.monotonic() > deadline:
                raise RuntimeError(f'{self.name} is not ready')
            await asyncio.sleep(0.05)

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self._ready)
        except OSError:
            return False
        try:
            writer.write(b'GET /ready HTTP/1.1\r\nHost: h\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1.0)
            return b' 200 ' in line
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    @property
    def settings_path(self) -> pathlib.Path:
        return self._settings

    @property
    def log_text(self) -> str:
        return self._log.read_text('utf-8', 'replace')

    def terminate(self) -> None:
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


HOST = 'shop.example'


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    return {
        'name': name,
        'path_prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 1500,
        'target_latency_ms': 600,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
        'allowed_regions': [],
        **changes,
    }


def desired_state(
    version: int, services: list[str], paths: list[dict[str, Any]]
) -> dict[str, Any]:
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
                'cold_per_s': 6.3,
            }
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 67108864,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'virtual_hosts': [{'host': HOST, 'paths': paths}],
    }


def request_bytes(
    method: str,
    target: str,
    request_id: str,
    *,
    deadline_ms: int = 1500,
    body: bytes = b'',
    fields: tuple[tuple[str, str], ...] = (),
) -> bytes:
    head = [
        ('Host', HOST),
        ('X-Teaselrock-Request-Id', request_id),
        ('X-Teaselrock-Deadline-Ms', str(deadline_ms)),
        *fields,
    ]
    if body or method == 'POST':
        head.append(('Content-Length', str(len(body))))
    return encode(f'{method} {target} HTTP/1.1', head, body)


def main(
    scenario: Callable[[Record, pathlib.Path], Awaitable[bool]],
    folder: pathlib.Path,
) -> None:
    """Run a case; exits with 1 if the rule was broken, 0 if not, else 2."""
    record = Record(folder)
    work = pathlib.Path(tempfile.mkdtemp(prefix='review2-'))

    async def limited() -> bool:
        async with asyncio.timeout(110):
            return await scenario(record, work)

    code = NOT_RUN
    try:
        code = BROKEN if asyncio.run(limited()) else HELD
    except Exception as error:  # The case could not run.
        record.result(f'could not run: {error!r}')
    finally:
        record.close()
        shutil.rmtree(work, ignore_errors=True)
    sys.exit(code)
