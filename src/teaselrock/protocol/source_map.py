"""Maps the members of a JSON text with comments to their lines.

`checker` reports the line of each error with it. The text is only scanned,
since `checker` has parsed it before.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import json
import re
from typing import Final
from typing import NamedTuple

MemberPath = tuple[str | int, ...]

_TOKEN: Final = re.compile(
    r"""(?P<skip>\s+|//[^\n]*|/\*.*?\*/)
    |(?P<string>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')
    |(?P<punctuation>[{}\[\]:,])
    |(?P<word>[^\s{}\[\]:,"'/]+|/)""",
    re.VERBOSE | re.DOTALL,
)


class _Token(NamedTuple):
    kind: str
    text: str
    line: int


class _Container:
    """An object or array that is open at the current token."""

    def __init__(self, path: MemberPath, *, is_array: bool) -> None:
        self.path = path
        self.is_array = is_array
        self.index = 0
        self.key: str | None = None
        self.keys: set[str] = set()

    @property
    def member(self) -> MemberPath:
        """Path of the current member."""
        if self.is_array:
            return (*self.path, self.index)
        return (*self.path, self.key or '')


class SourceMap(NamedTuple):
    """Line of each member, from 1, and members with a repeated key."""

    lines: Mapping[MemberPath, int]
    duplicates: tuple[tuple[MemberPath, int], ...]

    def line(self, path: MemberPath) -> int:
        """Line of the member, or of its nearest parent that has a line."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


def without_comments(text: str) -> str:
    """Replace comments by blanks; the line numbers stay the same."""

    def blank(match: re.Match[str]) -> str:
        if match['skip'] is None:
            return match[0]
        return re.sub(r'\S', ' ', match[0])

    return _TOKEN.sub(blank, text)


def _tokens(text: str) -> Iterator[_Token]:
    line = 1
    for match in _TOKEN.finditer(text):
        kind = match.lastgroup or 'skip'
        if kind != 'skip':
            yield _Token(kind, match[0], line)
        line += match[0].count('\n')


def _unquote(token: _Token) -> str:
    if token.kind != 'string':
        return token.text
    if token.text.startswith('"'):
        try:
            return str(json.loads(token.text, strict=False))
        except ValueError:
            # The escape sequence exists only in JSON5.
            pass
    return re.sub(r'\\(.)', r'\1', token.text[1:-1])


def read(text: str) -> SourceMap:
    """Map each member's path to the line of its key or value."""
    lines: dict[MemberPath, int] = {}
    duplicates: list[tuple[MemberPath, int]] = []
    containers: list[_Container] = []
    for token in _tokens(text):
        container = containers[-1] if containers else None
        if token.text in '}]' and token.kind == 'punctuation':
            if containers:
                containers.pop()
        elif token.text in ':,' and token.kind == 'punctuation':
            if token.text == ',' and container is not None:
                container.index += 1
                container.key = None
        elif (
            container is not None
            and not container.is_array
            and container.key is None
        ):
            container.key = _unquote(token)
            if container.key in container.keys:
                duplicates.append((container.member, token.line))
            container.keys.add(container.key)
            lines[container.member] = token.line
        else:
            path: MemberPath = () if container is None else container.member
            lines.setdefault(path, token.line)
            if token.kind == 'punctuation':
                containers.append(_Container(path, is_array=token.text == '['))
    return SourceMap(lines, tuple(duplicates))
