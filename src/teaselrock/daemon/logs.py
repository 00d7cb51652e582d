"""Structured logs of numbered events, as JSON lines on standard error.

Implements the `Events` port. A thread of its own writes the lines, so that
a slow reader of the log never holds up the event loop.
"""

from collections.abc import Callable
import logging
import logging.handlers
import queue
import sys
import time
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from teaselrock.coordination.events import Event

MAX_QUEUED_LINES: Final = 1000
REPEAT_INTERVAL_S: Final = 1.0
# Longest wait at the end for a reader that is too slow; it is part of the
# grace in which a process has to end.
STOP_WAIT_S: Final = 0.25
# Lines of one event within `REPEAT_INTERVAL_S`; other events get one. One
# line for each request is needed to explain it, up to what a log can take.
MAX_LINES_PER_INTERVAL: Final[dict[Event, int]] = {
    Event.REQUEST_ENDED: 200,
    Event.REQUEST_REFUSED: 100,
    Event.ROUTES_IN_FORCE: 20,
    Event.ZONES_OUT: 20,
    Event.WATCH_STARTED: 5,
    Event.WATCH_ENDED: 5,
    Event.SERVER_REGISTERED: 50,
    Event.SERVER_DRAINS: 50,
    Event.SERVER_GONE: 50,
    Event.STORE_LOST: 5,
    Event.STORE_REGAINED: 5,
}
# Fields are names, counts and error details of this system.
MAX_FIELD_CHARS: Final = 400

# Events that are not of level INFO.
LEVELS: Final[dict[Event, int]] = dict.fromkeys(
    (
        Event.PEER_FRAME_INVALID,
        Event.MEMBER_FAILED,
        Event.ISOLATED,
        Event.CONFIGURATION_SOURCE_LOST,
        Event.SNAPSHOT_UNREADABLE,
        Event.SERVER_LIMIT_CUT,
        Event.SERVER_EJECTED,
        Event.RECORD_UNAVAILABLE,
        Event.SHARD_FULL,
        Event.ALLOWANCE_UNAVAILABLE,
        Event.KEEPER_UNCONFIRMED,
        Event.SEGMENT_FLUSH_FAILED,
        Event.REPORT_FULL,
        Event.FAILED_WRITER_FLUSHED,
        Event.SETTINGS_INVALID,
        Event.STORE_LOST,
        Event.OBJECT_UNREADABLE,
        Event.CHECK_FAILED,
    ),
    logging.WARNING,
)


class _Repeats(NamedTuple):
    """Lines of an event since `since`, and those that were left out."""

    since: float
    written: int
    dropped: int


class _DroppingHandler(logging.handlers.QueueHandler):
    """Drops lines when the queue is full."""

    def __init__(
        self, lines: queue.Queue[Any], on_dropped: Callable[[], None]
    ) -> None:
        super().__init__(lines)
        self._on_dropped = on_dropped

    def handleError(  # noqa: N802
        self, record: logging.LogRecord
    ) -> None:
        self._on_dropped()


class _BoundedListener(logging.handlers.QueueListener):
    """Ends in time even if nobody reads the output."""

    def __init__(
        self, lines: queue.Queue[Any], writer: logging.Handler
    ) -> None:
        super().__init__(lines, writer)
        self._lines = lines

    def stop(self) -> None:
        """Write what is queued, as far as the reader takes it."""
        thread = self._thread
        if thread is None:
            return
        try:
            self._lines.put(None, timeout=STOP_WAIT_S)
        except queue.Full:
            return
        thread.join(timeout=STOP_WAIT_S)
        self._thread = None


class EventLog:
    """Writes events; repeated ones at most once a second each."""

    def __init__(
        self,
        *,
        instance_id: str,
        level: str,
        on_event: Callable[[Event], None],
        on_dropped: Callable[[], None],
        stream: TextIO = sys.stderr,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._instance_id = instance_id
        self._on_event = on_event
        self._clock = clock
        self._repeats: dict[Event, _Repeats] = {}
        lines: queue.Queue[Any] = queue.Queue(MAX_QUEUED_LINES)
        self._logger = logging.Logger('teaselrock', level.upper())
        self._logger.addHandler(_DroppingHandler(lines, on_dropped))
        writer = logging.StreamHandler(stream)
        writer.setFormatter(
            JsonFormatter(
                '%(levelname)s %(message)s',
                # UTC, with the offset.
                timestamp='time',
                rename_fields={'levelname': 'level', 'message': 'event'},
            )
        )
        self._listener = _BoundedListener(lines, writer)

    def start(self) -> None:
        """Start the writing thread."""
        self._listener.start()

    def stop(self) -> None:
        """Write what is queued and end the thread."""
        self._listener.stop()

    def emit(self, *, event: Event, **fields: str | int | float) -> None:
        """Queue an event, unless its lines of this second are used up.

        The next line of the event tells how many were left out.
        """
        self._on_event(event)
        now = self._clock()
        repeats = self._repeats.get(event)
        if repeats is None or now >= repeats.since + REPEAT_INTERVAL_S:
            self._repeats[event] = _Repeats(now, 1, 0)
        elif repeats.written >= MAX_LINES_PER_INTERVAL.get(event, 1):
            self._repeats[event] = repeats._replace(
                dropped=repeats.dropped + 1
            )
            return
        else:
            self._repeats[event] = repeats._replace(
                written=repeats.written + 1, dropped=0
            )
        extra: dict[str, str | int | float] = {
            'number': event.value,
            'instance': self._instance_id,
        }
        if repeats is not None and repeats.dropped:
            extra['left_out'] = repeats.dropped
        for name, value in fields.items():
            # Names of log records, such as `name`, cannot be overwritten.
            extra[f'{name}_' if name in _RESERVED else name] = (
                value[:MAX_FIELD_CHARS] if isinstance(value, str) else value
            )
        name = event.name.lower().replace('_', '-')
        self._logger.log(LEVELS.get(event, logging.INFO), name, extra=extra)


_RESERVED: Final = frozenset(
    {*vars(logging.makeLogRecord({})), 'message', 'asctime'}
    | {'number', 'instance', 'left_out', 'time', 'level', 'event'}
)
