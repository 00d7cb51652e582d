"""Decodes log lines of gateways for `cli.explain`.

`daemon.logs` writes them as JSON objects. A log collector may put a prefix
before the object.
"""

from typing import Any
from typing import Final
from typing import NamedTuple

import msgspec

from teaselrock.protocol.decode_errors import DECODE_ERRORS

_COMMON_FIELDS: Final = frozenset(
    {'time', 'level', 'event', 'number', 'instance'}
)


class LogLine(NamedTuple):
    """One logged event of an instance; `time` is ISO 8601 in UTC."""

    time: str
    instance: str
    event: str
    number: int
    fields: dict[str, Any]


class LoggedAttempt(NamedTuple):
    """One attempt of a `request-ended` line.

    `ms` is its duration in milliseconds. `evidence` holds the values that
    the choice of the server was based on.
    """

    server: str
    zone: str
    reason: str
    end: str
    ms: str
    evidence: str


def decode_line(line: bytes) -> LogLine | None:
    """Decode a line; None if it is not an event of a gateway."""
    start = line.find(b'{')
    if start < 0:
        return None
    try:
        decoded = msgspec.json.decode(line[start:])
    except DECODE_ERRORS:
        return None
    if not isinstance(decoded, dict):
        return None
    number = decoded.get('number')
    values = [decoded.get(name) for name in ('time', 'instance', 'event')]
    if not isinstance(number, int) or not all(
        isinstance(value, str) for value in values
    ):
        return None
    time, instance, event = (str(value) for value in values)
    fields = {
        name: value
        for name, value in decoded.items()
        if name not in _COMMON_FIELDS
    }
    return LogLine(time, instance, event, number, fields)


def decode_attempts(text: str) -> list[LoggedAttempt]:
    """Decode the attempts of a `request-ended` line.

    Attempts are separated by blanks, their parts by slashes; missing parts
    are empty.
    """
    attempts = []
    for attempt in text.split():
        parts = [*attempt.split('/', 5), '', '', '', '', ''][:6]
        attempts.append(LoggedAttempt(*parts))
    return attempts
