"""Stand-ins of the platform's store and backend servers, on loopback."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
from typing import Any
from typing import NamedTuple
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from teaselrock.platform import headers
from teaselrock.state.routes import CallerLimits
from teaselrock.transport.request_parser import CallerRequest
from teaselrock.transport.request_parser import RequestParser

Response = tuple[int, dict[str, str], bytes]
Handler = Callable[[CallerRequest], Awaitable[Response | None]]
# Below the limit of a response, 16 MiB.
LARGE_BODY = b'l' * (15 * 1024 * 1024)


class LoopbackListener:
    """Listens on a free port; subclasses serve the connections."""

    def __init__(self) -> None:
        self.address = ''
        self.server: asyncio.Server | None = None

    async def start(self) -> str:
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        return self.address

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        raise NotImplementedError


class Pace(NamedTuple):
    """Sends each response in parts, with a pause before each one."""

    parts: int = 1
    pause_s: float = 0.0
    # Number of parts after which nothing more is sent, None to send all.
    sent_parts: int | None = None


class HttpStandin(LoopbackListener):
    """An HTTP server; closes the connection if the handler returns None."""

    def __init__(self, handler: Handler) -> None:
        super().__init__()
        self.handler = handler
        self.limits = CallerLimits()
        self.pace = Pace()
        self.writers: set[asyncio.StreamWriter] = set()

    def stop(self) -> None:
        super().stop()
        for writer in tuple(self.writers):
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        parser = RequestParser(limits=self.limits)
        self.writers.add(writer)
        try:
            while data := await reader.read(65536):
                for request in parser.feed(data):
                    response = await self.handler(request)
                    if response is None:
                        return
                    status, fields, body = response
                    lines = [f'HTTP/1.1 {status} X']
                    lines += [f'{k}: {v}' for k, v in fields.items()]
                    lines.append(f'Content-Length: {len(body)}')
                    head = '\r\n'.join(lines) + '\r\n\r\n'
                    await self._send(writer, head.encode() + body)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if self.pace == Pace():
            writer.write(data)
            return
        part_bytes = -(-len(data) // self.pace.parts)
        starts = range(0, len(data), part_bytes)
        for start in starts[: self.pace.sent_parts]:
            await asyncio.sleep(self.pace.pause_s)
            writer.write(data[start : start + part_bytes])


class StoreCopy(NamedTuple):
    """Content of a store at one moment."""

    objects: dict[tuple[str, str], dict[str, Any]]
    history: list[tuple[int, str, dict[str, Any], bool]]
    revision: int


class PlatformStore:
    """Store of objects by kind and name, with long polling for changes."""

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.revision = 1
        self.first_revision = 0
        self.era = 1
        self.changed = asyncio.Event()
        self.forced_status: int | None = None
        self.drops_connections = False
        self.page_items = 2
        # Called after a page of a list has been read.
        self.on_page_sent: Callable[[], None] = lambda: None
        self.calls: list[str] = []
        self.http = HttpStandin(self._handle)

    def put(self, kind: str, name: str, spec: Any) -> None:
        self._append(kind, name, spec, False)

    def delete(self, kind: str, name: str) -> None:
        self._append(kind, name, None, True)

    def names(self, kind: str) -> set[str]:
        return {name for stored, name in self.objects if stored == kind}

    def copy(self) -> StoreCopy:
        return StoreCopy(dict(self.objects), list(self.history), self.revision)

    def restore(self, copy: StoreCopy) -> None:
        """Return to a copy: later writes are lost, waiting calls are cut."""
        self.objects = dict(copy.objects)
        self.history = list(copy.history)
        self.revision = copy.revision
        self.era += 1
        for writer in tuple(self.http.writers):
            writer.close()

    def _append(self, kind: str, name: str, spec: Any, deleted: bool) -> None:
        self.revision += 1
        stored = {
            'metadata': {'name': name, 'revision': self.revision},
            'spec': spec,
        }
        if deleted:
            self.objects.pop((kind, name), None)
        else:
            self.objects[kind, name] = stored
        self.history.append((self.revision, kind, stored, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _handle(self, request: CallerRequest) -> Response | None:
        response = await self._respond(request)
        if response is None:
            return None
        status, fields, body = response
        return status, {**fields, 'Store-Era': str(self.era)}, body

    async def _respond(self, request: CallerRequest) -> Response | None:
        self.calls.append(f'{request.method} {request.target}')
        if self.drops_connections:
            return None
        if self.forced_status is not None:
            return self.forced_status, {}, b'{}'
        parts = urlsplit(request.target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        kind, _, name = parts.path.removeprefix('/objects/').partition('/')
        if request.method == 'GET':
            if 'watch' in query:
                return await self._watch(kind, query)
            page = self._list(kind, query.get('after', ''))
            self.on_page_sent()
            return _json_response(200, page)
        body = json.loads(request.body)
        name = name or body['metadata']['name']
        exists = (kind, name) in self.objects
        if exists == (request.method == 'POST'):
            return _json_response(409 if exists else 404, {})
        self.put(kind, name, body['spec'])
        return _json_response(200, self.objects[kind, name])

    def _list(self, kind: str, after: str) -> dict[str, Any]:
        names = sorted(
            name
            for stored_kind, name in self.objects
            if stored_kind == kind and name > after
        )
        return {
            'items': [
                self.objects[kind, name] for name in names[: self.page_items]
            ],
            'has_more': len(names) > self.page_items,
            'store_revision': self.revision,
        }

    async def _watch(self, kind: str, query: dict[str, str]) -> Response:
        after = int(query['watch'])
        if not self.first_revision <= after <= self.revision:
            return _json_response(410, {})
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + int(query['wait_ms']) / 1000
        while True:
            events = [
                {'object': stored, 'deleted': is_deleted}
                for revision, stored_kind, stored, is_deleted in self.history
                if revision > after and stored_kind == kind
            ]
            remaining = ends_at - loop.time()
            if events or remaining <= 0:
                return _json_response(
                    200, {'events': events, 'store_revision': self.revision}
                )
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except TimeoutError:
                continue


class RawJson(NamedTuple):
    """Text that a writer has stored, whether it is JSON or not."""

    text: str


def _json_response(status: int, value: Any) -> Response:
    raw_texts: list[str] = []

    def replace(part: Any) -> Any:
        if isinstance(part, RawJson):
            raw_texts.append(part.text)
            return f'@raw{len(raw_texts) - 1}@'
        if isinstance(part, dict):
            return {name: replace(member) for name, member in part.items()}
        if isinstance(part, list):
            return [replace(element) for element in part]
        return part

    text = json.dumps(replace(value))
    for index, raw in enumerate(raw_texts):
        text = text.replace(f'"@raw{index}@"', raw)
    return status, {'Content-Type': 'application/json'}, text.encode()


class PlatformServer:
    """Backend server that uses the platform's dialect."""

    def __init__(self, server_id: str) -> None:
        self.server_id = server_id
        self.load = '0,0,3,100'
        self.cold_left_ms = 0
        self.is_leaving = False
        self.received: list[CallerRequest] = []
        self.responses: list[Response | None] = []
        self.delay_s = 0.0
        self.load_checks = 0
        # Called before a load check is answered.
        self.on_load_check: Callable[[], None] = lambda: None
        self.http = HttpStandin(self._handle)

    def entry(self, **changes: Any) -> dict[str, Any]:
        return {
            'service': 'desk',
            'address': self.http.address,
            'zone': 'east-a',
            'version': 'v1',
            'slots': 3,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq': 1,
            **changes,
        }

    async def _handle(self, request: CallerRequest) -> Response | None:
        if request.target == '/health':
            self.load_checks += 1
            self.on_load_check()
            fields = {
                headers.SERVER_ID: self.server_id,
                headers.SERVER_LOAD: self.load,
                headers.COLD_LEFT_MS: str(self.cold_left_ms),
                **self._notice_fields(),
            }
            return 200, fields, b''
        self.received.append(request)
        await asyncio.sleep(self.delay_s)
        if self.responses:
            return self.responses.pop(0)
        return 200, self.response_fields(request), b'done'

    def response_fields(self, request: CallerRequest) -> dict[str, str]:
        return {
            headers.REQUEST_ID: request.field(headers.REQUEST_ID.lower())
            or '',
            headers.SIGNATURE: f'{self.server_id}.1',
            headers.SERVER_LOAD: self.load,
            **self._notice_fields(),
        }

    def refusal(
        self, request_id: str, *, retry_after: str | None = None
    ) -> Response:
        """A 503 that states that the request was not run."""
        fields = {
            headers.NOT_EXECUTED: '1',
            headers.REQUEST_ID: request_id,
            **self._notice_fields(),
        }
        if retry_after is not None:
            fields[headers.RETRY_AFTER] = retry_after
        return 503, fields, b''

    def _notice_fields(self) -> dict[str, str]:
        return {headers.LEAVING: '1'} if self.is_leaving else {}


class LargeServer(PlatformServer):
    """Server with large responses."""

    async def _handle(self, request: CallerRequest) -> Response | None:
        response = await super()._handle(request)
        if response is None or request.target == '/health':
            return response
        status, fields, _ = response
        return status, fields, LARGE_BODY
