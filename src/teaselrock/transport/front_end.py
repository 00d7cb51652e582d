"""HTTP front end for callers, on aiohttp.

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
from teaselrock.coordination.events import NoEvents
from teaselrock.coordination.events import RequestObserver
from teaselrock.coordination.ports import Directory
from teaselrock.protocol import fields
from teaselrock.protocol import problem
from teaselrock.state import Answer
from teaselrock.state import Content
from teaselrock.state import Refusal
from teaselrock.state import RefusalCode
from teaselrock.state import Request
from teaselrock.state import Verdict
from teaselrock.state.configuration import ServiceEntry
from teaselrock.transport import lookup
from teaselrock.transport.caller_server import refusal_response
from teaselrock.transport.lookup import LookupTables

DEFAULT_MAX_BODY_BYTES: Final = 1024 * 1024
MAX_KEY_CHARS: Final = 255
# Code of a measurement whose caller went away before the answer.
CALLER_GONE: Final = 'caller-gone'
_BEARER: Final = 'bearer '
_NUMBER: Final = re.compile(r'[0-9]{1,9}')
_SINGLE: Final = (
    'Authorization',
    fields.IDEMPOTENCY_KEY,
    fields.DEADLINE,
    fields.DEPTH,
    fields.ATTEMPT,
)


def _refuse(code: RefusalCode, detail: str) -> Refusal:
    return Refusal(code, Verdict.DID_NOT_RUN, detail)


class FrontEnd:
    """Handler of callers' requests."""

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        directory: Directory,
        digest_key: bytes,
        observer: RequestObserver = NoEvents(),
    ) -> None:
        self._dispatcher = dispatcher
        self._directory = directory
        self._digest_key = digest_key
        self._observer = observer
        self._lookup = LookupTables(document=directory.document)
        self._is_closing = False

    def close_connections(self) -> None:
        """End each caller's connection with its next answer."""
        self._is_closing = True

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Serve one HTTP request."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        customer = service = ''
        verdict, code = Verdict.MAY_HAVE_RUN.value, CALLER_GONE
        try:
            parsed = self._parse_head(http)
            if parsed.is_ok():
                customer, service = parsed.ok.customer, parsed.ok.service
                result = await self._serve(http, parsed.ok)
            else:
                result = Error(parsed.error)
            verdict, code = _outcome(result)
        finally:
            self._observer.on_request(
                customer=customer,
                service=service,
                seconds=loop.time() - started,
                verdict=verdict,
                code=code,
            )
        response = (
            _answer(http.method, result.ok)
            if result.is_ok()
            else refusal_response(result.error)
        )
        # After a body that was not read, the connection cannot be reused.
        if self._is_closing or not http.content.is_eof():
            response.force_close()
        return response

    async def _serve(
        self, http: web.BaseRequest, request: Request
    ) -> Result[Answer, Refusal]:
        entry = self._current().document['services'][request.service]
        checked = self._dispatcher.check(request=request)
        if checked.is_error():
            return self._dispatcher.refuse(
                request=request, refusal=checked.error
            )
        read = await _read_body(http, entry, request.deadline)
        if read.is_error():
            return self._dispatcher.refuse(request=request, refusal=read.error)
        content = request.content._replace(body=read.ok)
        return await self._dispatcher.dispatch(
            request=request._replace(content=content)
        )

    def _current(self) -> LookupTables:
        """Tables of the configuration in force."""
        document = self._directory.document
        if self._lookup.document is not document:
            self._lookup = LookupTables(document=document)
        return self._lookup

    def _parse_head(self, http: web.BaseRequest) -> Result[Request, Refusal]:
        tables = self._current()
        detail = _head_problem(http)
        if detail is not None:
            return Error(_refuse(RefusalCode.BAD_REQUEST, detail))
        customer = _authenticate(http, tables)
        if customer is None:
            return Error(
                _refuse(RefusalCode.UNKNOWN_CUSTOMER, 'no valid API key')
            )
        service = tables.service(target=http.raw_path)
        if service is None:
            return Error(
                _refuse(RefusalCode.UNKNOWN_SERVICE, 'no service at this path')
            )
        entry = tables.document['services'][service]
        keyed = self._key_digest(http, customer, service, entry)
        if keyed.is_error():
            return Error(keyed.error)
        numbers = _parse_numbers(http, entry)
        if numbers is None:
            return Error(
                _refuse(
                    RefusalCode.BAD_REQUEST,
                    'deadline, depth and attempt headers must be numbers',
                )
            )
        deadline_ms, depth, attempt = numbers
        now = asyncio.get_running_loop().time()
        forwarded = fields.filter_headers(
            http.headers.items(), fields.DROPPED_REQUEST_FIELDS
        )
        counted = (
            (fields.DEPTH, str(depth + 1)),
            (fields.ATTEMPT, str(attempt)),
        )
        return Ok(
            Request(
                customer=customer,
                service=service,
                content=Content(
                    http.method, http.raw_path, forwarded + counted, b''
                ),
                deadline=now + deadline_ms / 1000,
                key_digest=keyed.ok,
                depth=depth,
                attempt=attempt,
            )
        )

    def _key_digest(
        self,
        http: web.BaseRequest,
        customer: str,
        service: str,
        entry: ServiceEntry,
    ) -> Result[bytes | None, Refusal]:
        """Keyed digest of the idempotency key; the key itself is not kept.

        None for a method that needs no key.
        """
        if http.method not in entry['non_idempotent_methods']:
            return Ok(None)
        key = http.headers.get(fields.IDEMPOTENCY_KEY, '')
        if not 0 < len(key) <= MAX_KEY_CHARS:
            return Error(
                _refuse(
                    RefusalCode.KEY_REQUIRED,
                    f'{http.method} needs an {fields.IDEMPOTENCY_KEY} '
                    f'header of 1 to {MAX_KEY_CHARS} characters',
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


def _outcome(result: Result[Answer, Refusal]) -> tuple[str, str]:
    """Verdict and code for the observer."""
    if result.is_ok():
        return Verdict.RAN.value, ''
    return result.error.verdict.value, result.error.code.value


def _answer(method: str, answer: Answer) -> web.Response:
    response = web.Response(status=answer.status, body=answer.body or None)
    for name, value in answer.headers:
        lower = name.lower()
        if lower in ('content-type', 'date', 'server'):
            # aiohttp would add its own or repeat them.
            response.headers[name] = value
        elif lower == 'content-length':
            # Kept by `backend` for HEAD alone: the length of GET's body.
            if method == 'HEAD':
                response.headers[name] = value
        else:
            response.headers.add(name, value)
    response.headers[problem.VERDICT_HEADER] = Verdict.RAN.value
    return response


def _head_problem(http: web.BaseRequest) -> str | None:
    """Why a well-formed head is refused, None if it is not."""
    for name in _SINGLE:
        if len(http.headers.getall(name, ())) > 1:
            return f'the header {name} occurs more than once'
    if http.method == 'CONNECT':
        return 'CONNECT is not supported'
    return lookup.target_problem(http.raw_path)


def _authenticate(http: web.BaseRequest, tables: LookupTables) -> str | None:
    """Name of the customer that owns the API key."""
    header = http.headers.get('Authorization', '')
    if not header.lower().startswith(_BEARER):
        return None
    return tables.customer(key=header[len(_BEARER) :].strip())


def _parse_numbers(
    http: web.BaseRequest, service: ServiceEntry
) -> tuple[int, int, int] | None:
    """Deadline in ms, depth and attempt of the request."""
    limit = service['deadline_ms']
    texts = (
        http.headers.get(fields.DEADLINE, str(limit)),
        http.headers.get(fields.DEPTH, '0'),
        http.headers.get(fields.ATTEMPT, '1'),
    )
    if not all(_NUMBER.fullmatch(text) for text in texts):
        return None
    deadline_ms, depth, attempt = (int(text) for text in texts)
    if attempt < 1:
        return None
    return min(deadline_ms, limit), depth, attempt


async def _read_body(
    http: web.BaseRequest, service: ServiceEntry, deadline: float
) -> Result[bytes, Refusal]:
    limit = service.get('max_body_bytes', DEFAULT_MAX_BODY_BYTES)
    too_large = Error(
        _refuse(RefusalCode.BODY_TOO_LARGE, f'the body exceeds {limit} bytes')
    )
    if (http.content_length or 0) > limit:
        return too_large
    body = bytearray()
    try:
        async with asyncio.timeout_at(deadline):
            await _continue(http)
            async for chunk in http.content.iter_any():
                body += chunk
                if len(body) > limit:
                    return too_large
    except TimeoutError:
        return Error(
            _refuse(
                RefusalCode.DEADLINE_EXCEEDED,
                'the body was not complete before the deadline',
            )
        )
    except (
        ClientPayloadError,
        http_exceptions.BadHttpMessage,
        web.RequestPayloadError,
    ):
        return Error(_refuse(RefusalCode.BAD_REQUEST, 'malformed body'))
    return Ok(bytes(body))


async def _continue(http: web.BaseRequest) -> None:
    """Ask for a body that the caller holds back until it is wanted."""
    expected = http.headers.get('Expect', '').lower() == '100-continue'
    if expected and http.version == HttpVersion11:
        await http.writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        # The answer proper has not begun.
        http.writer.output_size = 0
