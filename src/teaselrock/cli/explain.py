"""`teaselrock explain`: explains one request from the gateways' logs.

Reads the logs of several instances line by line and keeps only the lines of
the request and, for each instance, the latest lines before them on the
routes, the zones, the connection to the store and each server.
"""

import argparse
from collections import OrderedDict
from collections.abc import Iterator
from collections.abc import Sequence
import json
import re
import sys
from typing import BinaryIO
from typing import Final
from typing import NamedTuple

from teaselrock.cli import console
from teaselrock.cli.admin import CliImplementations
from teaselrock.coordination.events import Event
from teaselrock.protocol.log_lines import decode_attempts
from teaselrock.protocol.log_lines import decode_line
from teaselrock.protocol.log_lines import LoggedAttempt
from teaselrock.protocol.log_lines import LogLine

STDIN_ARGUMENT: Final = '-'
# Lines of a gateway are shorter; a longer line is read in pieces.
MAX_LINE_BYTES: Final = 65536
# How the details of refusals and failures name a server.
_SERVER_NAME: Final = re.compile(r'\bserver (\S+)')
# Limit of the servers of one instance whose latest line is kept.
MAX_SERVERS: Final = 10_000

_REQUEST_EVENTS: Final = frozenset(
    {Event.REQUEST_ENDED, Event.REQUEST_REFUSED, Event.REQUEST_REJECTED}
)
_SERVER_EVENTS: Final = frozenset(
    {Event.SERVER_REGISTERED, Event.SERVER_DRAINS, Event.SERVER_GONE}
)
_RATE_LIMIT_EVENTS: Final = frozenset(
    {Event.SERVER_RATE_LIMITED, Event.SERVER_RATE_LIMIT_ENDED}
)
_NOTICE_EVENTS: Final = frozenset({Event.SERVER_LEAVES, Event.SERVER_PAUSES})
_STORE_EVENTS: Final = frozenset({Event.STORE_LOST, Event.STORE_REGAINED})
_CONTEXT_EVENTS: Final = (
    _SERVER_EVENTS
    | _RATE_LIMIT_EVENTS
    | _NOTICE_EVENTS
    | _STORE_EVENTS
    | {
        Event.GATEWAY_STARTED,
        Event.GATEWAY_STOPPING,
        Event.ROUTES_IN_FORCE,
        Event.ZONES_OUT,
        Event.WATCH_STARTED,
        Event.WATCH_ENDED,
    }
)
# Most lines belong to other requests. They have none of these markers and are
# skipped without decoding them.
_CONTEXT_MARKERS: Final = tuple(
    f'"number": {event.value},'.encode() for event in sorted(_CONTEXT_EVENTS)
)


class RequestLogEntry(NamedTuple):
    """A log line of the request, and the state of its instance at that time.

    `context` holds the lines that describe this state, oldest first.
    """

    line: LogLine
    attempts: Sequence[LoggedAttempt]
    context: Sequence[LogLine]


class _InstanceContext:
    """The latest lines that describe the state of one instance."""

    def __init__(self) -> None:
        self._latest: dict[str, LogLine] = {}
        self._servers: OrderedDict[str, LogLine] = OrderedDict()
        self._rate_limits: OrderedDict[str, LogLine] = OrderedDict()
        self._notices: OrderedDict[str, LogLine] = OrderedDict()

    def record(self, line: LogLine) -> None:
        """Record a line; a start of the process discards earlier lines."""
        if line.number == Event.GATEWAY_STARTED:
            self._latest.clear()
            self._servers.clear()
            self._rate_limits.clear()
            self._notices.clear()
        if line.number in _SERVER_EVENTS:
            _record_server_line(self._servers, line)
        elif line.number in _RATE_LIMIT_EVENTS:
            _record_server_line(self._rate_limits, line)
        elif line.number in _NOTICE_EVENTS:
            _record_server_line(self._notices, line)
        elif line.number in _STORE_EVENTS:
            self._latest[f'store {line.fields.get("kind", "")}'] = line
        elif line.number in (Event.WATCH_STARTED, Event.WATCH_ENDED):
            self._latest['watch'] = line
        else:
            self._latest[line.event] = line

    def lines_for(
        self, attempts: Sequence[LoggedAttempt], detail: str
    ) -> list[LogLine]:
        """Latest lines, of the servers only those that the request concerns.

        These are the servers of the attempts and the one that `detail` of a
        refusal names.
        """
        names = dict.fromkeys(attempt.server for attempt in attempts)
        names.update(dict.fromkeys(_SERVER_NAME.findall(detail)))
        lines = list(self._latest.values())
        for name in names:
            for server_lines in (
                self._servers,
                self._rate_limits,
                self._notices,
            ):
                if name in server_lines:
                    lines.append(server_lines[name])
        return sorted(lines, key=lambda line: line.time)


def _record_server_line(
    latest: OrderedDict[str, LogLine], line: LogLine
) -> None:
    name = str(line.fields.get('server', ''))
    latest[name] = line
    latest.move_to_end(name)
    if len(latest) > MAX_SERVERS:
        latest.popitem(last=False)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command."""
    parser.add_argument('request', help='id of the request')
    parser.add_argument(
        'files', nargs='+', metavar='FILE', help='logs; - for standard input'
    )
    parser.add_argument('--format', choices=('text', 'json'), default='text')


def request_entries(
    request_id: str, stream: BinaryIO
) -> Iterator[RequestLogEntry]:
    """Log lines of a request in one log, in the order of the log."""
    id_bytes = request_id.encode()
    contexts: dict[str, _InstanceContext] = {}
    while data := stream.readline(MAX_LINE_BYTES):
        has_id = id_bytes in data
        if not has_id and not any(
            marker in data for marker in _CONTEXT_MARKERS
        ):
            continue
        line = decode_line(data)
        if line is None:
            continue
        context = contexts.setdefault(line.instance, _InstanceContext())
        if line.number in _CONTEXT_EVENTS:
            context.record(line)
        elif (
            line.number in _REQUEST_EVENTS
            and line.fields.get('request') == request_id
        ):
            attempts = decode_attempts(str(line.fields.get('attempts', '')))
            detail = str(line.fields.get('detail', ''))
            yield RequestLogEntry(
                line, attempts, context.lines_for(attempts, detail)
            )


def run(
    options: argparse.Namespace, implementations: CliImplementations
) -> int:
    """Print the entries; exit code 1 if no log has a line of the request."""
    entries: list[RequestLogEntry] = []
    for name in options.files:
        try:
            if name == STDIN_ARGUMENT:
                entries += request_entries(options.request, sys.stdin.buffer)
            else:
                with open(name, 'rb') as stream:
                    entries += request_entries(options.request, stream)
        except OSError as error:
            console.print_message(f'{name}: cannot read the log: {error}')
            return console.EXIT_UNAVAILABLE
    entries.sort(key=lambda entry: entry.line.time)
    if not entries:
        console.print_message(
            f'no log line of request {options.request}; it may have been left '
            'out under load (left_out), or another gateway handled the request'
        )
        return console.EXIT_FAILED
    if options.format == 'json':
        console.print_result(
            json.dumps([_as_json(entry) for entry in entries], indent=2)
        )
    else:
        for entry in entries:
            console.print_result('\n'.join(_as_text(entry)))
    return console.EXIT_OK


def _as_json(entry: RequestLogEntry) -> dict[str, object]:
    return {
        **entry.line._asdict(),
        'attempts': [attempt._asdict() for attempt in entry.attempts],
        'known': [line._asdict() for line in entry.context],
    }


def _as_text(entry: RequestLogEntry) -> Iterator[str]:
    line = entry.line
    fields = line.fields
    verdict = fields.get('verdict', 'did-not-run')
    yield (
        f'{line.time} {line.instance}: {line.event}, service '
        f'{fields.get("service") or "none"}, route '
        f'{fields.get("route") or "none"}'
    )
    yield f'  verdict: {verdict}'
    if fields.get('code'):
        yield f'  refused: {fields["code"]}: {fields.get("detail", "")}'
    if 'status' in fields:
        yield (
            f'  status {fields["status"]}: {fields.get("detail", "")}; host '
            f'{fields.get("host")}, prefix {fields.get("prefix")}, '
            f'{fields.get("host_routes")} routes of this host in version '
            f'{fields.get("version")}, from {fields.get("source")}, in force '
            f'for {fields.get("table_age_s")} s'
        )
    if 'ms' in fields:
        yield (
            f'  took {fields["ms"]} ms, {fields.get("left_ms")} ms were left '
            'of the deadline'
        )
    allowed = fields.get('max_attempts')
    if isinstance(allowed, int) and 0 < allowed < len(entry.attempts):
        yield (
            f'  {len(entry.attempts)} attempts, although the route allows '
            f'{allowed}'
        )
    for number, attempt in enumerate(entry.attempts, start=1):
        yield (
            f'  attempt {number}: server {attempt.server} in {attempt.zone} '
            f'({attempt.reason}), {attempt.end} after {attempt.ms} ms'
        )
        if attempt.evidence:
            yield f'    chosen by: {attempt.evidence}'
    for context_line in entry.context:
        details = ', '.join(
            f'{name} {value}'
            for name, value in context_line.fields.items()
            if value != ''
        )
        yield (
            f'  state since {context_line.time}: '
            f'{context_line.event} {details}'
        ).rstrip()
