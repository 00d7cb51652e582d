"""Splits JSON texts into their parts without decoding these.

A decoder rejects a whole document for one part that is nested too deeply, has
a number out of range or is not JSON. The parts can be decoded one by one.
"""

import re
from typing import Final

_STRING: Final = rb'"[^"\\]*(?:\\.[^"\\]*)*"'
_TOKEN: Final = re.compile(_STRING + rb'|[\[\]{},:]', re.DOTALL)
_OPENING: Final = frozenset({b'[', b'{'})
_CLOSING: Final = frozenset({b']', b'}'})


class SplitError(ValueError):
    """A text without the expected brackets."""


def split_array(text: bytes) -> list[bytes]:
    """Texts of the elements of an array; raises `SplitError`."""
    return [value for _, value in _split(text, b'[')]


def split_object(text: bytes) -> dict[bytes, bytes]:
    """Texts of the members of an object by name; raises `SplitError`.

    Names are the bytes between the quotes, with their escapes.
    """
    return {name.strip()[1:-1]: value for name, value in _split(text, b'{')}


def _split(text: bytes, opening: bytes) -> list[tuple[bytes, bytes]]:
    """Names and values of the parts; names are empty in an array."""
    text = text.strip()
    if not text.startswith(opening):
        raise SplitError(f'the text does not begin with {opening.decode()}')
    parts: list[tuple[bytes, bytes]] = []
    depth = 0
    start = 1
    name = b''
    for match in _TOKEN.finditer(text):
        token = match.group()
        if token in _OPENING:
            depth += 1
        elif token in _CLOSING:
            depth -= 1
        if depth == 1 and token == b':' and opening == b'{':
            name = text[start : match.start()]
            start = match.end()
        elif (depth == 1 and token == b',') or depth == 0:
            value = text[start : match.start()].strip()
            if value:
                parts.append((name, value))
            start = match.end()
            name = b''
        if depth == 0:
            return parts
    raise SplitError('the text ends within a bracket')
