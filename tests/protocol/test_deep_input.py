"""Foreign input that is nested more deeply than the decoders allow."""

import pathlib

from teaselrock.platform import settings
from teaselrock.protocol.document_codec import JsonDocumentCodec
from teaselrock.protocol.log_lines import decode_line
from teaselrock.state import BackendServer

DEEP = b'[' * 20_000 + b']' * 20_000


def test_deep_settings_are_invalid(tmp_path: pathlib.Path) -> None:
    """Guards against a settings file that ends the task which reloads it."""
    path = tmp_path / 'settings.json'
    path.write_bytes(b'{"node_name": ' + DEEP + b'}')
    loaded = settings.load(path)
    assert loaded.is_error()
    assert 'cannot read' in loaded.error.reason


def test_deep_document_is_unreadable() -> None:
    """Guards against an object of the store that ends the task reading it."""
    decoded = JsonDocumentCodec().decode(
        data=b'[' + DEEP + b']', value_type=BackendServer
    )
    assert decoded.is_error()
    skipped = JsonDocumentCodec().decode(
        data=b'["s1", "desk", ["e", "a"], "1:1", 1, false, 0, ' + DEEP + b']',
        value_type=BackendServer,
    )
    assert skipped.is_error()


def test_deep_log_line_is_skipped() -> None:
    """Guards against a line of another program that ends `explain`."""
    assert decode_line(b'host {"number": ' + DEEP + b'}') is None
