"""HTTP front end of instances with customers, on aiohttp.

`routed_front_end` is that of instances with routes.

Parses and authenticates a request, passes it to the `Dispatcher` in the task
of the caller's connection, and writes the response or the refusal.
`caller_server` accepts the connections; `lookup` finds customer and service.
"""

import asyncio
import hashlib
import hmac
import re
from typing import Final

from aiohttp import ClientPayloadError
from aiohttp import http_exceptions
from aiohttp import HttpVersion11
from aiohttp import web
from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination.dispatch import Dispatcher
from teaselrock.coordination.dispatch import NOT_READY
from teaselrock.coordination.events import NoEvents
from teaselrock.coordination.events import RequestObserver
from teaselrock.coordination.ports import Directory
from teaselrock.protocol import fields
from teaselrock.protocol import problem
from teaselrock.state import BackendResponse
from teaselrock.state import Refusal
from teaselrock.state import RefusalCode
from teaselrock.state import Request
from teaselrock.state import RequestContent
from teaselrock.state import Verdict
from teaselrock.state.configuration import ServiceEntry
from teaselrock.transport import lookup
from teaselrock.transport.body_parts import PART_BYTES
from teaselrock.transport.caller_limits import CallerLimit
from teaselrock.transport.caller_limits import CallerLimitObserver
from teaselrock.transport.caller_limits import NoCallerLimitObserver
from teaselrock.transport.caller_server import count_read_ahead
from teaselrock.transport.caller_server import LargeBody
from teaselrock.transport.caller_server import refusal_response
from teaselrock.transport.lookup import LookupTables
from teaselrock.transport.request_memory import FIELD_BYTES
from teaselrock.transport.request_memory import HeldRequest
from teaselrock.transport.request_memory import RequestMemory

DEFAULT_MAX_BODY_BYTES: Final = 1024 * 1024
MAX_IDEMPOTENCY_KEY_CHARS: Final = 255
# Reported as the refusal code of a request whose caller disconnected before
# the response.
CALLER_DISCONNECTED: Final = 'caller-gone'
# Retry-After of a request for which the memory has no room. Other instances
# may have room at once, and a caller with a deadline cannot wait for long.
MEMORY_RETRY_AFTER_S: Final = 1.0
_BEARER_PREFIX: Final = 'bearer '
_DECIMAL: Final = re.compile(r'[0-9]{1,9}')
_SINGLETON_FIELDS: Final = (
    'Authorization',
    fields.IDEMPOTENCY_KEY,
    fields.DEADLINE_MS,
    fields.DEPTH,
    fields.ATTEMPT,
)


def _refusal(code: RefusalCode, detail: str) -> Refusal:
    return Refusal(code, Verdict.DID_NOT_RUN, detail)


_NO_MEMORY: Final = Refusal(
    RefusalCode.OVERLOADED,
    Verdict.DID_NOT_RUN,
    'requests of all callers exceed the memory for them',
    retry_after=MEMORY_RETRY_AFTER_S,
)


class FrontEnd:
    """Handles callers' requests."""

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        directory: Directory,
        digest_key: bytes,
        observer: RequestObserver = NoEvents(),
        memory: RequestMemory | None = None,
        limit_observer: CallerLimitObserver = NoCallerLimitObserver(),
    ) -> None:
        self._dispatcher = dispatcher
        self._directory = directory
        self._digest_key = digest_key
        self._observer = observer
        self._memory = memory or RequestMemory()
        self._limit_observer = limit_observer
        self._tables = LookupTables(document=directory.document)
        self._is_closing = False

    def close_connections(self) -> None:
        """Close each caller's connection after its next response."""
        self._is_closing = True

    async def handle(
        self, http_request: web.BaseRequest
    ) -> web.StreamResponse:
        """Serve one HTTP request and report its outcome to the observer."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        customer = service = ''
        verdict, code = Verdict.MAY_HAVE_RUN.value, CALLER_DISCONNECTED
        held = self._memory.open()
        try:
            parsed = self._parse_head(http_request)
            if parsed.is_ok():
                customer, service = parsed.ok.customer, parsed.ok.service
                result = await self._read_body_and_dispatch(
                    http_request, parsed.ok, held
                )
            else:
                result = Error(parsed.error)
            verdict, code = _outcome(result)
        finally:
            held.release()
            self._observer.on_request(
                customer=customer,
                service=service,
                seconds=loop.time() - started,
                verdict=verdict,
                code=code,
            )
        response = (
            _success_response(http_request.method, result.ok)
            if result.is_ok()
            else refusal_response(result.error)
        )
        # Unread bytes of a body would be parsed as the next request.
        if self._is_closing or not http_request.content.is_eof():
            response.force_close()
        return response

    async def _read_body_and_dispatch(
        self,
        http_request: web.BaseRequest,
        request: Request,
        held: HeldRequest,
    ) -> Result[BackendResponse, Refusal]:
        entry = self._current_tables().document['services'][request.service]
        checked = self._dispatcher.check(request=request)
        if checked.is_error():
            return self._dispatcher.refuse(
                request=request, refusal=checked.error
            )
        read = await _read_body(http_request, entry, request.deadline, held)
        if read.is_error():
            if read.error is _NO_MEMORY:
                self._limit_observer.on_caller_limit(
                    limit=CallerLimit.MEMORY, detail=_NO_MEMORY.detail
                )
            return self._dispatcher.refuse(request=request, refusal=read.error)
        count_read_ahead(http_request)
        content = request.content._replace(body=read.ok)
        return await self._dispatcher.dispatch(
            request=request._replace(content=content, hold=held)
        )

    def _current_tables(self) -> LookupTables:
        """Lookup tables of the configuration in force."""
        document = self._directory.document
        if self._tables.document is not document:
            self._tables = LookupTables(document=document)
        return self._tables

    def _parse_head(
        self, http_request: web.BaseRequest
    ) -> Result[Request, Refusal]:
        tables = self._current_tables()
        detail = _head_error(http_request)
        if detail is not None:
            return Error(_refusal(RefusalCode.BAD_REQUEST, detail))
        customer = _authenticate(http_request, tables)
        if customer is None:
            return Error(
                self._denial(
                    RefusalCode.UNKNOWN_CUSTOMER,
                    'the header Authorization holds no valid API key',
                )
            )
        service = tables.service(target=http_request.raw_path)
        if service is None:
            return Error(
                self._denial(
                    RefusalCode.UNKNOWN_SERVICE, 'no service has this path'
                )
            )
        entry = tables.document['services'][service]
        key_digest = self._key_digest(http_request, customer, service, entry)
        if key_digest.is_error():
            return Error(key_digest.error)
        numeric_fields = _parse_numeric_fields(http_request, entry)
        if numeric_fields is None:
            return Error(
                _refusal(
                    RefusalCode.BAD_REQUEST,
                    f'the headers {fields.DEADLINE_MS}, {fields.DEPTH} and '
                    f'{fields.ATTEMPT} must be decimal numbers of up to 9 '
                    'digits, the attempt at least 1',
                )
            )
        deadline_ms, depth, attempt = numeric_fields
        now = asyncio.get_running_loop().time()
        forwarded = fields.filter_headers(
            http_request.headers.items(), fields.DROPPED_REQUEST_FIELDS
        )
        added = (
            (fields.DEPTH, str(depth + 1)),
            (fields.ATTEMPT, str(attempt)),
        )
        return Ok(
            Request(
                customer=customer,
                service=service,
                content=RequestContent(
                    http_request.method,
                    http_request.raw_path,
                    forwarded + added,
                    b'',
                ),
                deadline=now + deadline_ms / 1000,
                key_digest=key_digest.ok,
                depth=depth,
                caller_attempt=attempt,
            )
        )

    def _denial(self, code: RefusalCode, detail: str) -> Refusal:
        """Refusal by the configuration, which is missing or old if not ready.

        Callers repeat `NOT_READY` at another instance.
        """
        if not self._directory.is_ready:
            return NOT_READY
        return _refusal(code, detail)

    def _key_digest(
        self,
        http_request: web.BaseRequest,
        customer: str,
        service: str,
        entry: ServiceEntry,
    ) -> Result[bytes | None, Refusal]:
        """Compute the keyed digest of the idempotency key.

        None for a method that needs no key. Only the digest is stored.
        """
        if http_request.method not in entry['non_idempotent_methods']:
            return Ok(None)
        key = http_request.headers.get(fields.IDEMPOTENCY_KEY, '')
        if not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_CHARS:
            return Error(
                self._denial(
                    RefusalCode.KEY_REQUIRED,
                    f'{http_request.method} needs an {fields.IDEMPOTENCY_KEY} '
                    f'header of 1 to {MAX_IDEMPOTENCY_KEY_CHARS} characters',
                )
            )
        text = '\0'.join((customer, service, key))
        return Ok(
            hmac.new(
                self._digest_key,
                text.encode(errors='surrogateescape'),
                hashlib.sha256,
            ).digest()[:16]
        )


def _outcome(result: Result[BackendResponse, Refusal]) -> tuple[str, str]:
    """Verdict and refusal code for the observer; '' without a refusal."""
    if result.is_ok():
        return Verdict.RAN.value, ''
    return result.error.verdict.value, result.error.code.value


def _success_response(
    method: str, backend_response: BackendResponse
) -> web.Response:
    body = backend_response.body
    response = web.Response(
        status=backend_response.status,
        body=LargeBody(body) if len(body) > PART_BYTES else body or None,
    )
    for name, value in backend_response.headers:
        lower = name.lower()
        if lower in ('content-type', 'date', 'server'):
            # aiohttp sets these itself; adding them would repeat them.
            response.headers[name] = value
        elif lower == 'content-length':
            # For HEAD, the length of the body that GET would return.
            if method == 'HEAD':
                response.headers[name] = value
        else:
            response.headers.add(name, value)
    response.headers[problem.VERDICT_HEADER] = Verdict.RAN.value
    return response


def _head_error(http_request: web.BaseRequest) -> str | None:
    """Reason to refuse a well-formed head, None if it is accepted."""
    for name in _SINGLETON_FIELDS:
        if len(http_request.headers.getall(name, ())) > 1:
            return f'the header {name} occurs more than once'
    if http_request.method == 'CONNECT':
        return 'CONNECT is not supported'
    return lookup.target_error(http_request.raw_path)


def _authenticate(
    http_request: web.BaseRequest, tables: LookupTables
) -> str | None:
    """Name of the customer that owns the API key, None if there is none."""
    header = http_request.headers.get('Authorization', '')
    if not header.lower().startswith(_BEARER_PREFIX):
        return None
    return tables.customer(key=header[len(_BEARER_PREFIX) :].strip())


def _parse_numeric_fields(
    http_request: web.BaseRequest, service: ServiceEntry
) -> tuple[int, int, int] | None:
    """Deadline in ms, depth and attempt; None if one is not a number."""
    limit = service['deadline_ms']
    texts = (
        http_request.headers.get(fields.DEADLINE_MS, str(limit)),
        http_request.headers.get(fields.DEPTH, '0'),
        http_request.headers.get(fields.ATTEMPT, '1'),
    )
    if not all(_DECIMAL.fullmatch(text) for text in texts):
        return None
    deadline_ms, depth, attempt = (int(text) for text in texts)
    if attempt < 1:
        return None
    return min(deadline_ms, limit), depth, attempt


async def _read_body(
    http_request: web.BaseRequest,
    service: ServiceEntry,
    deadline: float,
    held: HeldRequest,
) -> Result[bytes | bytearray, Refusal]:
    max_bytes = service.get('max_body_bytes', DEFAULT_MAX_BODY_BYTES)
    too_large = Error(
        _refusal(
            RefusalCode.BODY_TOO_LARGE,
            f'the request body exceeds {max_bytes} bytes',
        )
    )
    if (http_request.content_length or 0) > max_bytes:
        return too_large
    head_bytes = _head_bytes(http_request)
    if not held.resize(head_bytes + (http_request.content_length or 0)):
        return Error(_NO_MEMORY)
    body = bytearray()
    try:
        async with asyncio.timeout_at(deadline):
            await _send_continue(http_request)
            async for chunk in http_request.content.iter_any():
                body += chunk
                if len(body) > max_bytes:
                    return too_large
                if not held.grow(head_bytes + len(body)):
                    return Error(_NO_MEMORY)
                # It would take its size again until the next one arrives.
                del chunk
    except TimeoutError:
        return Error(
            _refusal(
                RefusalCode.DEADLINE_EXCEEDED,
                'the request body was not complete before the deadline',
            )
        )
    except (
        ClientPayloadError,
        http_exceptions.BadHttpMessage,
        web.RequestPayloadError,
    ):
        return Error(
            _refusal(RefusalCode.BAD_REQUEST, 'malformed request body')
        )
    return Ok(body)


def _head_bytes(http_request: web.BaseRequest) -> int:
    """What a head takes in memory, as objects."""
    return sum(
        len(name) + len(value) + FIELD_BYTES
        for name, value in http_request.headers.items()
    )


async def _send_continue(http_request: web.BaseRequest) -> None:
    """Send 100 Continue if the caller expects it before the body."""
    expected = http_request.headers.get('Expect', '').lower() == '100-continue'
    if expected and http_request.version == HttpVersion11:
        await http_request.writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        # aiohttp counts these bytes in `output_size`, from which
        # `caller_server` tells whether the final response has begun.
        http_request.writer.output_size = 0
