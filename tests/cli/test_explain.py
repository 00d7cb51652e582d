"""The story of a request from logs that the product itself writes."""

import io
import json
import pathlib
import tracemalloc

import pytest

from teaselrock.cli import explain
from teaselrock.cli import main as cli
from teaselrock.coordination.events import Event
from teaselrock.daemon.logs import EventLog

WANTED = 'a1b2c3'


def _log(instance: str) -> tuple[EventLog, io.StringIO]:
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


def _row(log: EventLog, request: str, **fields: str | int | float) -> None:
    known: dict[str, str | int | float] = {
        'route': 'r',
        'service': 'desk',
        'verdict': 'ran',
        'code': '',
        'detail': '',
        'ms': 12.5,
        'left_ms': 900,
        'attempts': '',
    }
    known.update(fields)
    log.emit(event=Event.REQUEST_ENDED, request=request, **known)


def _saved(path: pathlib.Path, log: EventLog, stream: io.StringIO) -> str:
    log.stop()
    # A collector adds its own prefix.
    lines = [f'  1.5 host-1 {one}\n' for one in stream.getvalue().split('\n')]
    path.write_text(''.join(lines), 'utf-8')
    return str(path)


@pytest.fixture
def logs(tmp_path: pathlib.Path) -> list[str]:
    """Logs of two instances; the caller tried both."""
    first, first_stream = _log('gw-1')
    first.emit(event=Event.ROUTES_IN_FORCE, version=7)
    first.emit(event=Event.STORE_LOST, kind='routes', detail='timeout')
    _row(first, 'other')
    _row(
        first,
        WANTED,
        verdict='did-not-run',
        code='overloaded',
        detail='expected 2.000 s, limit 0.500 s',
    )
    second, second_stream = _log('gw-2')
    second.emit(event=Event.ROUTES_IN_FORCE, version=8)
    second.emit(event=Event.SERVER_DRAINS, server='i-1', service='desk')
    second.emit(event=Event.SERVER_DRAINS, server='i-2', service='desk')
    _row(
        second,
        WANTED,
        verdict='may-have-run',
        code='deadline-exceeded',
        detail='deadline passed',
        attempts='i-1/east-a/local/timeout/800/120ms,2+0of3x1.5,4ms,5',
    )
    second.emit(event=Event.ROUTES_IN_FORCE, version=9)
    return [
        _saved(tmp_path / 'second.log', second, second_stream),
        _saved(tmp_path / 'first.log', first, first_stream),
    ]


def test_story_in_order(
    logs: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a story without the evidence of its decisions."""
    assert cli.main(['explain', WANTED, *logs]) == 0
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


def test_story_as_json(
    logs: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a format that programs cannot read."""
    assert cli.main(['explain', '--format', 'json', WANTED, *logs]) == 0
    story = json.loads(capsys.readouterr().out)
    assert [one['instance'] for one in story] == ['gw-1', 'gw-2']
    assert story[1]['attempts'][0]['server'] == 'i-1'
    assert story[1]['known'][0]['fields'] == {'version': 8}


def test_unknown_request_and_unreadable_file(
    logs: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against success without a story."""
    assert cli.main(['explain', 'unknown', *logs]) == 1
    assert cli.main(['explain', WANTED, '/nowhere.log']) == 4
    assert 'cannot read' in capsys.readouterr().err


def test_lines_of_other_programs_are_skipped() -> None:
    """Guards against a collector's own lines that end the reading."""
    lines = (
        b'starting up\n',
        b'{"request": "a1b2c3", "number": "x"}\n',
        b'{"a1b2c3": [}\n',
        b'\xff\xfe a1b2c3 {"number": 1700}\n',
        b'[1] a1b2c3\n',
    )
    assert not list(
        explain.request_entries(WANTED, io.BytesIO(b''.join(lines)))
    )


class _Repeated(io.RawIOBase):
    """A log of many rows that is not held anywhere."""

    def __init__(self, line: bytes, count: int) -> None:
        self._line = line
        self._count = count

    def readline(self, size: int | None = -1, /) -> bytes:
        self._count -= 1
        return self._line if self._count >= 0 else b''


def test_large_log_is_not_held() -> None:
    """Guards against memory that grows with the log."""
    log, stream = _log('gw-1')
    _row(log, 'other')
    log.stop()
    line = stream.getvalue().encode()
    tracemalloc.start()
    try:
        assert not list(
            explain.request_entries(WANTED, _Repeated(line, 100_000))
        )
        assert tracemalloc.get_traced_memory()[1] < 1_000_000
    finally:
        tracemalloc.stop()
