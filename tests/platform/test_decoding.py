"""Decoding of settings, routes, registrations and header fields."""

import copy
import json
import pathlib
from typing import Any
from typing import NamedTuple

import pytest

from teaselrock.platform import documents
from teaselrock.platform import headers
from teaselrock.platform import settings
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer
from teaselrock.state import FailureKind
from teaselrock.state import RequestContent
from teaselrock.state import Verdict
from teaselrock.transport.request_parser import CallerRequest
from teaselrock.transport.response_parser import ResponseParser

ZONES = {'east-a': 'east'}
SETTINGS: dict[str, Any] = {
    'node_name': 'edge-east-a-1',
    'ip': '10.1.0.35',
    'zone': 'east-a',
    'region': 'east',
    'zones': ZONES,
    'listen': {
        'front': '10.1.0.35:8144',
        'readiness_addr': '10.1.0.35:8140',
    },
    'port_range': [7660, 7675],
    'bounds': [
        'retry_budget_ratio=0.2',
        'budget_window_s=10',
        'cold_overshoot=1.5',
        'cold_slack=5',
        'grace_s=6',
        'some_flag=true',
    ],
    'bootstrap': True,
    'platform': {'address': '10.200.1.7:8142'},
    'a_new_field': 1,
}
SERVER_SPEC: dict[str, Any] = {
    'service': 'desk',
    'address': '10.128.0.9:8080',
    'zone': 'east-a',
    'version': 'v1',
    'slots': 6,
    'state': 'ready',
    'cold_left_ms': 0,
    'seq': 4,
    'born': 1764856200000,
}
ROUTES_SPEC: dict[str, Any] = {
    'version': '0000001c',
    'services': [
        {'name': 'desk', 'health_path': '/health', 'cold_per_s': 6.3}
    ],
    'limits': {'max_header_bytes': 4096, 'idle_timeout_ms': 15000},
    'virtual_hosts': [
        {
            'host': 'a.example',
            'paths': [
                {
                    'name': 'r1',
                    'path_prefix': '/x/',
                    'kind': 'non_idempotent',
                    'timeout_ms': 1200,
                    'target_latency_ms': 800,
                    'priority': 1,
                    'service': 'desk',
                    'max_attempts': 2,
                    'allowed_regions': ['east'],
                },
                {
                    'name': 'r2',
                    'path_prefix': '/y/',
                    'kind': 'idempotent',
                    'timeout_ms': 1500,
                    'priority': 2,
                    'traffic_split': [
                        {'service': 'desk', 'weight': 90},
                        {'service': 'new', 'weight': 10},
                    ],
                },
            ],
        }
    ],
}


def test_settings(tmp_path: pathlib.Path) -> None:
    """Guards against settings that are read under a wrong name."""
    path = tmp_path / 'local.json'
    path.write_text(json.dumps(SETTINGS), 'utf-8')
    loaded = settings.load(path).ok
    assert loaded.instance_id == 'edge-east-a-1'
    assert loaded.caller_address == ('10.1.0.35', 8144)
    assert loaded.operators_address == ('10.1.0.35', 8140)
    assert loaded.store_address == ('10.200.1.7', 8142)
    assert loaded.peer_ports == (7660, 7675)
    assert loaded.is_first_start
    assert loaded.limits == settings.PlatformLimits(
        retry_share=0.2,
        retry_window_s=10.0,
        stop_grace_s=6.0,
    )


@pytest.mark.parametrize(
    ('field', 'value', 'expected_field'),
    [
        ('node_name', None, 'node_name'),
        ('zones', ['east-a'], 'zones'),
        ('listen', {'front': '10.1.0.35'}, 'listen.front'),
        ('listen', {'front': 'h:1'}, 'listen.readiness_addr'),
        ('platform', {}, 'platform.address'),
        ('platform', {'address': 'h:x'}, 'platform.address'),
        ('port_range', [1], 'port_range'),
        ('bounds', 5, 'bounds'),
        ('limits', {'memory_mb': 0}, 'limits.memory_mb'),
        ('limits', {'memory_mb': 'x'}, 'limits.memory_mb'),
        ('limits', {'max_fds': 0}, 'limits.max_fds'),
        ('limits', {'max_fds': 'x'}, 'limits.max_fds'),
    ],
)
def test_bad_settings_name_the_field(
    field: str, value: Any, expected_field: str
) -> None:
    """Guards against an error that does not name the invalid field."""
    decoded = settings.decode({**SETTINGS, field: value})
    assert decoded.is_error()
    assert decoded.error.field == expected_field
    assert decoded.error.reason


def test_unreadable_settings_file(tmp_path: pathlib.Path) -> None:
    """Guards against an exception for a missing or half-written file.

    A half-written file contains incomplete JSON.
    """
    path = tmp_path / 'local.json'
    assert settings.load(path).is_error()
    path.write_text('{"node_name": ', 'utf-8')
    assert settings.load(path).is_error()


def test_routing_table() -> None:
    """Guards against routes that lose a limit or a weight."""
    table = documents.decode_table('main', ROUTES_SPEC)
    assert table is not None
    assert table.version == 28
    first, second = table.routes
    assert not first.is_idempotent
    assert second.is_idempotent
    assert first.home_regions == {'east'}
    assert (first.timeout, first.target_latency) == (1.2, 0.8)
    assert (first.priority, first.max_attempts) == (1, 2)
    assert second.shares == (('desk', 90.0), ('new', 10.0))
    assert table.services['desk'].cold_rate == 6.3
    assert table.limits.max_head_bytes == 4096
    assert documents.decode_table('other', ROUTES_SPEC) is None


@pytest.mark.parametrize('name', ['version', 'services', 'virtual_hosts'])
def test_broken_table_is_not_used(name: str) -> None:
    """Guards against a partly decoded routing table in force.

    A table without one of its members must be ignored as a whole.
    """
    broken = copy.deepcopy(ROUTES_SPEC)
    del broken[name]
    assert documents.decode_table('main', broken) is None
    assert documents.decode_table('main', None) is None


def test_server() -> None:
    """Guards against registrations that are read under wrong names."""
    expected = BackendServer(
        'i-1',
        'desk',
        AvailabilityZone('east', 'east-a'),
        '10.128.0.9:8080',
        6,
        started_at=1764856200000,
    )
    assert documents.decode_server('i-1', SERVER_SPEC, ZONES) == expected
    draining = {**SERVER_SPEC, 'state': 'draining'}
    server = documents.decode_server('i-1', draining, ZONES)
    assert server == expected._replace(is_draining=True)


@pytest.mark.parametrize(
    ('field', 'value'),
    [
        ('state', 'gone'),
        ('state', None),
        ('service', 7),
        ('zone', 'mars'),
        ('slots', '6'),
        ('slots', True),
        ('slots', 0),
        ('born', '7'),
        ('born', 1.5),
        ('born', -1),
        ('address', '10.128.0.9'),
        ('address', '10.128.0.9:x'),
        ('address', '10.128.0.9:0'),
    ],
)
def test_invalid_registration_is_ignored(field: str, value: Any) -> None:
    """Guards against requests to an invalid registration.

    Other writers of the store may register entries with other values.
    """
    entry = {**SERVER_SPEC, field: value}
    assert documents.decode_server('i-1', entry, ZONES) is None


@pytest.mark.parametrize('entry', [None, 'text', 7, [], {}])
def test_registration_of_wrong_type_is_ignored(entry: Any) -> None:
    """Guards against an exception for a value that is no registration."""
    assert documents.decode_server('i-1', entry, ZONES) is None


BACKEND = documents.decode_server('i-1', SERVER_SPEC, ZONES)
CONTENT = RequestContent(
    'GET', '/x/', (('Host', 'a.example'), (headers.REQUEST_ID, 'id1')), b''
)
OWN_ID_LINE = f'{headers.REQUEST_ID}: id1\r\n'
SIGNATURE_LINE = f'{headers.SIGNATURE}: s\r\n'


class ResponseCase(NamedTuple):
    """A response of a server, and what it means for the request."""

    name: str
    head: str
    kind: FailureKind | None
    verdict: Verdict | None = None
    is_late: bool = False


RESPONSE_CASES = (
    ResponseCase(
        'signed success', f'200 OK\r\n{SIGNATURE_LINE}{OWN_ID_LINE}', None
    ),
    ResponseCase(
        'server failure', f'500 E\r\n{SIGNATURE_LINE}{OWN_ID_LINE}', None
    ),
    *(
        ResponseCase(
            f'{status} without an id',
            f'{status} S\r\n{SIGNATURE_LINE}',
            FailureKind.INVALID_RESPONSE,
            Verdict.MAY_HAVE_RUN,
        )
        for status in (200, 500)
    ),
    ResponseCase(
        'full',
        f'503 S\r\n{headers.NOT_EXECUTED}: 1\r\n{OWN_ID_LINE}',
        FailureKind.NOT_ACCEPTED,
        Verdict.DID_NOT_RUN,
    ),
    ResponseCase(
        'refusal without an id',
        f'503 S\r\n{headers.NOT_EXECUTED}: 1\r\n',
        FailureKind.INVALID_RESPONSE,
        Verdict.MAY_HAVE_RUN,
    ),
    ResponseCase(
        'earlier refusal',
        f'503 S\r\n{headers.NOT_EXECUTED}: 1\r\n{headers.REQUEST_ID}: id0\r\n',
        FailureKind.NO_RESPONSE,
        Verdict.MAY_HAVE_RUN,
        True,
    ),
    *(
        ResponseCase(
            f'{status} of a server that ran the request',
            f'{status} S\r\n{SIGNATURE_LINE}{OWN_ID_LINE}',
            FailureKind.INVALID_RESPONSE,
            Verdict.MAY_HAVE_RUN,
        )
        for status in (408, 429, 503)
    ),
    ResponseCase(
        'earlier load check',
        f'503 S\r\n{headers.SERVER_ID}: i-1\r\n',
        FailureKind.INVALID_RESPONSE,
        Verdict.MAY_HAVE_RUN,
    ),
    ResponseCase(
        'another server',
        f'421 M\r\n{headers.SERVER_ID}: i-2\r\n{OWN_ID_LINE}',
        FailureKind.SERVER_CHANGED,
        Verdict.DID_NOT_RUN,
    ),
    ResponseCase(
        'another server, without an id',
        f'421 M\r\n{headers.SERVER_ID}: i-2\r\n',
        FailureKind.INVALID_RESPONSE,
        Verdict.MAY_HAVE_RUN,
    ),
    ResponseCase(
        'unsigned success',
        f'200 OK\r\n{OWN_ID_LINE}',
        FailureKind.INVALID_RESPONSE,
        Verdict.MAY_HAVE_RUN,
    ),
    ResponseCase(
        'coded body',
        f'200 OK\r\n{SIGNATURE_LINE}{OWN_ID_LINE}Content-Encoding: gzip\r\n',
        FailureKind.INVALID_RESPONSE,
        Verdict.MAY_HAVE_RUN,
    ),
    ResponseCase(
        'late response to another request',
        f'200 OK\r\n{SIGNATURE_LINE}{headers.REQUEST_ID}: id0\r\n',
        FailureKind.NO_RESPONSE,
        Verdict.MAY_HAVE_RUN,
        True,
    ),
)


def _parse_response(head: str) -> ResponseParser:
    parser = ResponseParser(method='GET')
    parser.feed(f'HTTP/1.1 {head}Content-Length: 0\r\n\r\n'.encode())
    assert parser.is_complete
    return parser


@pytest.mark.parametrize(
    'case', RESPONSE_CASES, ids=[case.name for case in RESPONSE_CASES]
)
def test_response_meaning(case: ResponseCase) -> None:
    """Guards against unfounded verdicts and mismatched responses.

    Without the server's signature a request may have run or not, and a late
    response may belong to an earlier request on the connection.
    """
    dialect = headers.PlatformBackendDialect(health_target=lambda name: '/h')
    assert BACKEND is not None
    info = dialect.interpret(
        server=BACKEND,
        content=CONTENT,
        response=_parse_response(case.head),
        number=1,
    )
    failure = info.failure
    assert (failure.kind if failure else None) == case.kind
    assert (failure.verdict if failure else None) == case.verdict
    assert info.is_late == case.is_late


def test_load_check() -> None:
    """Guards against a load check that accepts any response.

    The address may belong to another server, or the response to an earlier
    request.
    """
    dialect = headers.PlatformBackendDialect(health_target=lambda name: '/h')
    assert BACKEND is not None
    check = dialect.load_check(server=BACKEND)
    own_id = f'200 OK\r\n{headers.SERVER_ID}: i-1\r\n'
    loaded = (
        f'{own_id}{headers.SERVER_LOAD}: 3,2,6,150\r\n'
        f'{headers.COLD_LEFT_MS}: 1500\r\nKeep-Alive: timeout=10\r\n'
    )
    info = dialect.interpret(
        server=BACKEND,
        content=check,
        response=_parse_response(loaded),
        number=1,
    )
    assert info.failure is None
    assert info.idle_timeout == 10.0
    assert info.load is not None
    assert (info.load.in_flight, info.load.queued) == (3, 2)
    assert (info.load.capacity, info.load.work_factor) == (6, 1.5)
    assert (info.load.cold_remaining, info.load.is_healthy) == (1.5, True)
    unhealthy = own_id.replace('200 OK', '503 S')
    info = dialect.interpret(
        server=BACKEND,
        content=check,
        response=_parse_response(unhealthy),
        number=1,
    )
    assert info.load is not None
    assert not info.load.is_healthy
    other = own_id.replace('i-1', 'i-2')
    info = dialect.interpret(
        server=BACKEND,
        content=check,
        response=_parse_response(other),
        number=1,
    )
    assert info.failure is not None
    for field in (SIGNATURE_LINE, OWN_ID_LINE):
        late = f'200 OK\r\n{field}{headers.SERVER_ID}: i-1\r\n'
        info = dialect.interpret(
            server=BACKEND,
            content=check,
            response=_parse_response(late),
            number=1,
        )
        assert info.is_late


def test_response_with_an_id_is_not_for_a_request_without_one() -> None:
    """Guards against another caller's late response."""
    dialect = headers.PlatformBackendDialect(health_target=lambda name: '/h')
    assert BACKEND is not None
    info = dialect.interpret(
        server=BACKEND,
        content=RequestContent('GET', '/x/', (('Host', 'a.example'),), b''),
        response=_parse_response(f'200 OK\r\n{SIGNATURE_LINE}{OWN_ID_LINE}'),
        number=1,
    )
    assert info.is_late


@pytest.mark.parametrize(
    ('text', 'rate'),
    [
        ('3.1', 3.1),
        ('12', 12.0),
        ('0', 0.0),
        ('-1', None),
        ('nan', None),
        ('1e3', None),
        ('', None),
    ],
)
def test_rate_limit_of_a_response(text: str, rate: float | None) -> None:
    """Guards against a limit that is overlooked or read from garbage."""
    dialect = headers.PlatformBackendDialect(health_target=lambda name: '/h')
    assert BACKEND is not None
    limit = f'{headers.RATE_LIMIT}: {text}\r\n'
    for content, head in (
        (CONTENT, f'200 OK\r\n{SIGNATURE_LINE}{OWN_ID_LINE}{limit}'),
        (
            CONTENT,
            f'503 S\r\n{headers.NOT_EXECUTED}: 1\r\n{OWN_ID_LINE}{limit}',
        ),
        (
            dialect.load_check(server=BACKEND),
            f'200 OK\r\n{headers.SERVER_ID}: i-1\r\n{limit}',
        ),
    ):
        info = dialect.interpret(
            server=BACKEND,
            content=content,
            response=_parse_response(head),
            number=1,
        )
        assert info.load is not None
        assert info.load.rate_limit == rate


@pytest.mark.parametrize(
    ('status', 'line', 'expected'),
    [
        pytest.param('503 S', 'Retry-After: 1.5', 1.5, id='refusal'),
        pytest.param('200 OK', 'Retry-After: 1.5', None, id='success'),
        pytest.param('503 S', 'Retry-After: soon', None, id='text'),
        pytest.param('503 S', 'Retry-After: -1', None, id='negative'),
        pytest.param('503 S', 'X-Other: 1', None, id='none'),
    ],
)
def test_pause_of_a_response(
    status: str, line: str, expected: float | None
) -> None:
    """Guards against a pause that is overlooked or read from garbage."""
    dialect = headers.PlatformBackendDialect(health_target=lambda name: '/h')
    assert BACKEND is not None
    refused = f'{headers.NOT_EXECUTED}: 1\r\n' if status[0] == '5' else ''
    info = dialect.interpret(
        server=BACKEND,
        content=CONTENT,
        response=_parse_response(
            f'{status}\r\n{refused}{SIGNATURE_LINE}{OWN_ID_LINE}{line}\r\n'
        ),
        number=1,
    )
    assert info.load is not None
    assert info.load.retry_after == expected
    if refused:
        assert info.failure is not None
        assert info.failure.load == info.load


def test_leaving_server_is_read_from_every_response() -> None:
    """Guards against a departure that only some responses tell."""
    dialect = headers.PlatformBackendDialect(health_target=lambda name: '/h')
    assert BACKEND is not None
    check = dialect.load_check(server=BACKEND)
    for content, head in (
        (CONTENT, f'200 OK\r\n{SIGNATURE_LINE}{OWN_ID_LINE}'),
        (CONTENT, f'500 E\r\n{SIGNATURE_LINE}{OWN_ID_LINE}'),
        (CONTENT, f'503 S\r\n{headers.NOT_EXECUTED}: 1\r\n{OWN_ID_LINE}'),
        (check, f'503 S\r\n{headers.SERVER_ID}: i-1\r\n'),
    ):
        for value in ('1', '0'):
            info = dialect.interpret(
                server=BACKEND,
                content=content,
                response=_parse_response(
                    f'{head}{headers.LEAVING}: {value}\r\n'
                ),
                number=1,
            )
            assert info.load is not None
            assert info.load.is_leaving == (value == '1')


def test_request_fields() -> None:
    """Guards against requests without deadline, id or expected server."""
    dialect = headers.PlatformBackendDialect(health_target=lambda name: '/h')
    assert BACKEND is not None
    fields = dialect.request_fields(
        server=BACKEND, content=CONTENT, remaining=0.7514, number=1
    )
    assert fields == (
        ('Host', 'a.example'),
        (headers.REQUEST_ID, 'id1'),
        (headers.DEADLINE_MS, '751'),
        (headers.EXPECTED_SERVER_ID, 'i-1'),
    )


@pytest.mark.parametrize(
    ('text', 'remaining'),
    [('1200', 1.2), (None, None), ('x', None), ('-5', None), ('1e3', None)],
)
def test_caller_fields(text: str | None, remaining: float | None) -> None:
    """Guards against invalid deadlines that are accepted.

    Only a whole number of milliseconds is valid.
    """
    fields = [(headers.REQUEST_ID, 'id1')]
    if text is not None:
        fields.append((headers.DEADLINE_MS.lower(), text))
    request = CallerRequest('GET', '/', tuple(fields), b'', True)
    decoded = headers.PlatformCallerDialect().read(request)
    assert decoded == ('id1', remaining)
