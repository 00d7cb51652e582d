"""`teaselrock explain`: the story of one request from the gateways' logs.

Reads the logs of several instances line by line and keeps only what explains
the request: its rows, and for each instance the version of the routes, the
contact to the store and the last change of each server at that moment.
"""

import argparse
from collections import OrderedDict
from collections.abc import Iterator
from collections.abc import Sequence
import json
import sys
from typing import BinaryIO
from typing import Final
from typing import NamedTuple

from teaselrock.cli import console
from teaselrock.cli.admin import CliServices
from teaselrock.coordination.events import Event
from teaselrock.protocol.log_lines import decode_attempts
from teaselrock.protocol.log_lines import decode_line
from teaselrock.protocol.log_lines import LoggedAttempt
from teaselrock.protocol.log_lines import LogLine

STDIN: Final = '-'
# Longer lines are no events of a gateway.
MAX_LINE_BYTES: Final = 65536
# Servers of one instance whose last change is kept.
MAX_SERVERS: Final = 10_000

_REQUEST: Final = frozenset({Event.REQUEST_ENDED, Event.REQUEST_REFUSED})
_SERVER: Final = frozenset(
    {Event.SERVER_REGISTERED, Event.SERVER_DRAINS, Event.SERVER_GONE}
)
_STORE: Final = frozenset({Event.STORE_LOST, Event.STORE_REGAINED})
_CONTEXT: Final = (
    _SERVER
    | _STORE
    | {
        Event.GATEWAY_STARTED,
        Event.GATEWAY_STOPPING,
        Event.ROUTES_IN_FORCE,
        Event.ZONES_OUT,
        Event.WATCH_STARTED,
        Event.WATCH_ENDED,
    }
)
# Most lines are rows of other requests; they are not decoded.
_MARKS: Final = tuple(
    f'"number": {event.value},'.encode() for event in sorted(_CONTEXT)
)


class RequestLogEntry(NamedTuple):
    """One row of the request, and what its instance knew then.

    `known` are the lines that were in force at the instance, oldest first.
    """

    row: LogLine
    attempts: Sequence[LoggedAttempt]
    known: Sequence[LogLine]


class _Knowledge:
    """The last lines of one instance that tell what it knows."""

    def __init__(self) -> None:
        self._last: dict[str, LogLine] = {}
        self._servers: OrderedDict[str, LogLine] = OrderedDict()

    def add(self, line: LogLine) -> None:
        """Note a line; a start of the process replaces all."""
        if line.number == Event.GATEWAY_STARTED:
            self._last.clear()
            self._servers.clear()
        if line.number in _SERVER:
            name = str(line.fields.get('server', ''))
            self._servers[name] = line
            self._servers.move_to_end(name)
            if len(self._servers) > MAX_SERVERS:
                self._servers.popitem(last=False)
        elif line.number in _STORE:
            self._last[f'store {line.fields.get("kind", "")}'] = line
        elif line.number in (Event.WATCH_STARTED, Event.WATCH_ENDED):
            self._last['watch'] = line
        else:
            self._last[line.event] = line

    def at(self, attempts: Sequence[LoggedAttempt]) -> list[LogLine]:
        """What the instance knows, with the servers of the attempts."""
        found = list(self._last.values())
        for name in dict.fromkeys(one.server for one in attempts):
            if name in self._servers:
                found.append(self._servers[name])
        return sorted(found, key=lambda line: line.time)


def add(parser: argparse.ArgumentParser) -> None:
    """Add the arguments."""
    parser.add_argument('request', help='id of the request')
    parser.add_argument(
        'files', nargs='+', metavar='FILE', help='logs; - for standard input'
    )
    parser.add_argument('--format', choices=('text', 'json'), default='text')


def request_entries(
    request_id: str, stream: BinaryIO
) -> Iterator[RequestLogEntry]:
    """Rows of a request in one log, in the order of the log."""
    wanted = request_id.encode()
    known: dict[str, _Knowledge] = {}
    while data := stream.readline(MAX_LINE_BYTES):
        is_wanted = wanted in data
        if not is_wanted and not any(mark in data for mark in _MARKS):
            continue
        line = decode_line(data)
        if line is None:
            continue
        knowledge = known.setdefault(line.instance, _Knowledge())
        if line.number in _CONTEXT:
            knowledge.add(line)
        elif (
            line.number in _REQUEST
            and line.fields.get('request') == request_id
        ):
            attempts = decode_attempts(str(line.fields.get('attempts', '')))
            yield RequestLogEntry(line, attempts, knowledge.at(attempts))


def run(options: argparse.Namespace, services: CliServices) -> int:
    """Print the story; 1 if no file has a row of the request."""
    found: list[RequestLogEntry] = []
    for name in options.files:
        try:
            if name == STDIN:
                found += request_entries(options.request, sys.stdin.buffer)
            else:
                with open(name, 'rb') as stream:
                    found += request_entries(options.request, stream)
        except OSError as error:
            console.print_message(f'{name}: cannot read the log: {error}')
            return console.EXIT_UNAVAILABLE
    found.sort(key=lambda step: step.row.time)
    if not found:
        console.print_message(
            f'no row of request {options.request}; the line may have been '
            'left out under load (left_out), or the request went elsewhere'
        )
        return console.EXIT_REFUSED
    if options.format == 'json':
        console.print_result(
            json.dumps([_as_json(step) for step in found], indent=2)
        )
    else:
        for step in found:
            console.print_result('\n'.join(_as_text(step)))
    return console.EXIT_OK


def _as_json(step: RequestLogEntry) -> dict[str, object]:
    return {
        **step.row._asdict(),
        'attempts': [one._asdict() for one in step.attempts],
        'known': [line._asdict() for line in step.known],
    }


def _as_text(step: RequestLogEntry) -> Iterator[str]:
    row = step.row
    fields = row.fields
    verdict = fields.get('verdict', 'did-not-run')
    yield (
        f'{row.time} {row.instance}: {row.event}, service '
        f'{fields.get("service") or "none"}, route '
        f'{fields.get("route") or "none"}'
    )
    yield f'  verdict: {verdict}'
    if fields.get('code'):
        yield f'  refused: {fields["code"]}: {fields.get("detail", "")}'
    if 'ms' in fields:
        yield (
            f'  took {fields["ms"]} ms, {fields.get("left_ms")} ms were left '
            'of the deadline'
        )
    for number, one in enumerate(step.attempts, start=1):
        yield (
            f'  attempt {number}: server {one.server} in {one.zone} '
            f'({one.reason}), {one.end} after {one.ms} ms'
        )
        if one.evidence:
            yield f'    chosen by: {one.evidence}'
    for line in step.known:
        details = ', '.join(
            f'{name} {value}'
            for name, value in line.fields.items()
            if value != ''
        )
        yield f'  known since {line.time}: {line.event} {details}'.rstrip()
