"""`teaselrock status` with a gateway that responds with scripted bytes."""

from collections.abc import Iterator
import contextlib
import json
import socket
import threading

import pytest

from teaselrock.cli import main as cli
from teaselrock.cli.admin import CliImplementations

STATUS = json.dumps(
    {
        'instance': 'gw-a',
        'region': 'east',
        'zone': 'east/a',
        'version': 3,
        'ready': True,
        'in_flight': 0,
        'members': [],
        'slots_held': 0,
        'slots_lent': 0,
        'rows_unconfirmed': 0,
        'control_bytes': 0,
    }
)
CONTENT_LENGTH = f'Content-Length: {len(STATUS)}\r\n'


@contextlib.contextmanager
def _responding(response: bytes) -> Iterator[str]:
    """A listener that answers one request; returns its address."""

    def serve() -> None:
        connection, _ = listener.accept()
        with connection:
            connection.recv(65536)
            connection.sendall(response)

    with socket.create_server(('127.0.0.1', 0)) as listener:
        thread = threading.Thread(target=serve)
        thread.start()
        yield f'127.0.0.1:{listener.getsockname()[1]}'
        thread.join()


def _run(head: str) -> int:
    response = f'HTTP/1.1 {head}\r\n{STATUS}'.encode()
    with _responding(response) as address:
        code: int = cli.main(
            ['status', '--operators', address], CliImplementations()
        )
    return code


def test_status(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a status that is not printed."""
    assert _run(f'200 OK\r\n{CONTENT_LENGTH}') == 0
    assert 'gw-a\teast' in capsys.readouterr().out


@pytest.mark.parametrize(
    'head',
    [
        pytest.param(f'000 X\r\n{CONTENT_LENGTH}', id='status 000'),
        pytest.param(f'042 X\r\n{CONTENT_LENGTH}', id='status 042'),
        pytest.param(f'600 X\r\n{CONTENT_LENGTH}', id='status 600'),
        pytest.param(
            f'200 OK\r\nA B: x\r\n{CONTENT_LENGTH}', id='blank in a name'
        ),
        pytest.param(
            f'200 OK\r\nA\x01B: x\r\n{CONTENT_LENGTH}',
            id='control byte in a name',
        ),
        pytest.param(
            f'200 OK\r\nA : x\r\n{CONTENT_LENGTH}', id='blank before the colon'
        ),
    ],
)
def test_broken_head_is_no_status(
    head: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a status from a response that is none."""
    assert _run(head) == 4
    output = capsys.readouterr()
    assert 'gw-a' not in output.out
    assert 'no usable status' in output.err
