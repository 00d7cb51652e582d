"""`explain` on logs that are written by the gateway's own `EventLog`."""

import io
import json
import pathlib
import tracemalloc

import pytest

from teaselrock.cli import explain
from teaselrock.cli import main as cli
from teaselrock.coordination.events import Event
from teaselrock.daemon.logs import EventLog

REQUEST_ID = 'a1b2c3'


def _start_log(instance: str) -> tuple[EventLog, io.StringIO]:
    stream = io.StringIO()
    log = EventLog(
        instance_id=instance,
        level='info',
        on_event=lambda event: None,
        on_dropped=lambda: None,
        stream=stream,
    )
    log.start()
    return log, stream


def _log_request(
    log: EventLog, request: str, **fields: str | int | float
) -> None:
    all_fields: dict[str, str | int | float] = {
        'route': 'r',
        'service': 'desk',
        'verdict': 'ran',
        'code': '',
        'detail': '',
        'ms': 12.5,
        'left_ms': 900,
        'attempts': '',
    }
    all_fields.update(fields)
    log.emit(event=Event.REQUEST_ENDED, request=request, **all_fields)


def _save(path: pathlib.Path, log: EventLog, stream: io.StringIO) -> str:
    log.stop()
    # Log collectors add their own prefix.
    lines = [
        f'  1.5 host-1 {line}\n' for line in stream.getvalue().split('\n')
    ]
    path.write_text(''.join(lines), 'utf-8')
    return str(path)


@pytest.fixture
def logs(tmp_path: pathlib.Path) -> list[str]:
    """Logs of two instances that have got the request one after the other."""
    first, first_stream = _start_log('gw-1')
    first.emit(event=Event.ROUTES_IN_FORCE, version=7)
    first.emit(event=Event.STORE_LOST, kind='routes', detail='timeout')
    _log_request(first, 'other')
    _log_request(
        first,
        REQUEST_ID,
        verdict='did-not-run',
        code='overloaded',
        detail='expected 2.000 s, limit 0.500 s',
    )
    second, second_stream = _start_log('gw-2')
    second.emit(event=Event.ROUTES_IN_FORCE, version=8)
    second.emit(event=Event.SERVER_DRAINS, server='i-1', service='desk')
    second.emit(event=Event.SERVER_DRAINS, server='i-2', service='desk')
    _log_request(
        second,
        REQUEST_ID,
        verdict='may-have-run',
        code='deadline-exceeded',
        detail='deadline passed',
        attempts='i-1/east-a/local/timeout/800/120ms,2+0of3x1.5,4ms,5',
    )
    second.emit(event=Event.ROUTES_IN_FORCE, version=9)
    return [
        _save(tmp_path / 'second.log', second, second_stream),
        _save(tmp_path / 'first.log', first, first_stream),
    ]


def test_explanation_is_ordered(
    logs: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against an explanation without the evidence of decisions.

    It must not contain lines of other requests, servers or later changes.
    """
    assert cli.main(['explain', REQUEST_ID, *logs]) == 0
    text = capsys.readouterr().out
    assert text.index('gw-1') < text.index('gw-2')
    assert 'refused: overloaded: expected 2.000 s, limit 0.500 s' in text
    assert 'store-lost kind routes, detail timeout' in text
    assert 'attempt 1: server i-1 in east-a (local), timeout' in text
    assert 'chosen by: 120ms,2+0of3x1.5,4ms,5' in text
    assert 'server-drains server i-1' in text
    assert 'i-2' not in text
    assert 'version 8' in text
    assert 'version 9' not in text
    assert 'other' not in text


def test_explanation_as_json(
    logs: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against output that programs cannot read."""
    assert cli.main(['explain', '--format', 'json', REQUEST_ID, *logs]) == 0
    entries = json.loads(capsys.readouterr().out)
    assert [entry['instance'] for entry in entries] == ['gw-1', 'gw-2']
    assert entries[1]['attempts'][0]['server'] == 'i-1'
    assert entries[1]['known'][0]['fields'] == {'version': 8}


def test_rate_limits_are_explained(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a limited server that looks like a slow one.

    The first request was refused before any attempt; only its detail names
    the server. The second one was sent after the limit had ended.
    """
    log, stream = _start_log('gw-1')
    for server in ('i-1', 'i-2'):
        log.emit(
            event=Event.SERVER_RATE_LIMITED,
            server=server,
            service='desk',
            rate=3.8,
            source='check',
        )
    _log_request(
        log,
        'refused',
        verdict='did-not-run',
        code='overloaded',
        detail='server i-1 takes 3.8 requests/s from all instances '
        '(announced for 1.2 s); others: no other server may take the request',
    )
    log.emit(
        event=Event.SERVER_RATE_LIMIT_ENDED,
        server='i-1',
        service='desk',
        rate=3.8,
        seconds=9.5,
    )
    _log_request(
        log, 'sent', attempts='i-1/east-a/local/ok/80/120ms,2+0of3x1.5,4ms,5'
    )
    path = _save(tmp_path / 'first.log', log, stream)
    assert cli.main(['explain', 'refused', path]) == 0
    text = capsys.readouterr().out
    assert 'server-rate-limited server i-1, service desk, rate 3.8' in text
    assert 'i-2' not in text
    assert cli.main(['explain', 'sent', path]) == 0
    text = capsys.readouterr().out
    assert 'server-rate-limit-ended server i-1' in text
    assert 'server-rate-limited' not in text


def test_excess_attempts_are_explained(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a request over its route's limit that looks regular."""
    log, stream = _start_log('gw-1')
    _log_request(
        log,
        REQUEST_ID,
        max_attempts=2,
        attempts=' '.join(
            f'{name}/east-a/{reason}/{end}/10/'
            for name, reason, end in (
                ('i-1', 'local', 'server-error'),
                ('i-2', 'hedge', 'cancelled'),
                ('i-3', 'retry', 'ok'),
            )
        ),
    )
    path = _save(tmp_path / 'gw.log', log, stream)
    assert cli.main(['explain', REQUEST_ID, path]) == 0
    assert '3 attempts, although the route allows 2' in capsys.readouterr().out


def test_unknown_request_and_unreadable_file(
    logs: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against exit code 0 without an explanation.

    The request is in none of the logs, or a log cannot be read.
    """
    assert cli.main(['explain', 'unknown', *logs]) == 1
    assert cli.main(['explain', REQUEST_ID, '/nowhere.log']) == 4
    assert 'cannot read' in capsys.readouterr().err


def test_lines_of_other_programs_are_skipped() -> None:
    """Guards against lines of other programs that end the reading.

    They may contain the request id without being valid log lines.
    """
    lines = (
        b'starting up\n',
        b'{"request": "a1b2c3", "number": "x"}\n',
        b'{"a1b2c3": [}\n',
        b'\xff\xfe a1b2c3 {"number": 1700}\n',
        b'[1] a1b2c3\n',
    )
    assert not list(
        explain.request_entries(REQUEST_ID, io.BytesIO(b''.join(lines)))
    )


class _RepeatedLine(io.RawIOBase):
    """A log that repeats one line `count` times."""

    def __init__(self, line: bytes, count: int) -> None:
        self._line = line
        self._count = count

    def readline(self, size: int | None = -1, /) -> bytes:
        self._count -= 1
        return self._line if self._count >= 0 else b''


def test_large_log_is_not_kept_in_memory() -> None:
    """Guards against memory use that grows with the log."""
    log, stream = _start_log('gw-1')
    _log_request(log, 'other')
    log.stop()
    line = stream.getvalue().encode()
    tracemalloc.start()
    try:
        assert not list(
            explain.request_entries(REQUEST_ID, _RepeatedLine(line, 100_000))
        )
        assert tracemalloc.get_traced_memory()[1] < 1_000_000
    finally:
        tracemalloc.stop()
