"""Log lines of gateways, as `daemon.logs` writes them.

A collector may put a prefix before the JSON object. `cli.explain` reads them.
"""

from typing import Any
from typing import Final
from typing import NamedTuple

import msgspec

_KNOWN: Final = frozenset({'time', 'level', 'event', 'number', 'instance'})


class LogLine(NamedTuple):
    """One event of one instance; `time` is ISO 8601 in UTC."""

    time: str
    instance: str
    event: str
    number: int
    fields: dict[str, Any]


class LoggedAttempt(NamedTuple):
    """One attempt of a `request-ended` line; `ms` is its time.

    `evidence` is what the choice of the server was based on.
    """

    server: str
    zone: str
    reason: str
    end: str
    ms: str
    evidence: str


def decode_line(line: bytes) -> LogLine | None:
    """Decode a line; None if it is no event of a gateway."""
    start = line.find(b'{')
    if start < 0:
        return None
    try:
        read = msgspec.json.decode(line[start:])
    except msgspec.DecodeError:
        return None
    if not isinstance(read, dict):
        return None
    number = read.get('number')
    names = [read.get(name) for name in ('time', 'instance', 'event')]
    if not isinstance(number, int) or not all(
        isinstance(name, str) for name in names
    ):
        return None
    time, instance, event = (str(name) for name in names)
    fields = {
        name: value for name, value in read.items() if name not in _KNOWN
    }
    return LogLine(time, instance, event, number, fields)


def decode_attempts(text: str) -> list[LoggedAttempt]:
    """Attempts of a row; parts that are missing are empty."""
    found = []
    for one in text.split():
        parts = [*one.split('/', 5), '', '', '', '', ''][:6]
        found.append(LoggedAttempt(*parts))
    return found
