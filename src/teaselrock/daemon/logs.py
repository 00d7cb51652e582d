"""Structured logs of numbered events, as JSON lines on standard error.

Implements the `Events` port. A separate thread writes the lines, so that a
slow reader of the log does not block the event loop.
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
LINE_LIMIT_INTERVAL_S: Final = 1.0
# Limit of each wait at stop for a slow reader of the log; it counts against
# the time in which the process has to exit.
STOP_WAIT_S: Final = 0.25
# Lines of one event within `LINE_LIMIT_INTERVAL_S`; events that are not listed
# get one. `teaselrock explain` needs the line of each request, so the limits
# of these lines are the highest.
MAX_LINES_PER_INTERVAL: Final[dict[Event, int]] = {
    Event.REQUEST_ENDED: 200,
    Event.REQUEST_REFUSED: 100,
    Event.REQUEST_REJECTED: 20,
    Event.CALLER_LIMITED: 20,
    Event.ROUTES_IN_FORCE: 20,
    Event.ZONES_OUT: 20,
    Event.WATCH_STARTED: 5,
    Event.WATCH_ENDED: 5,
    Event.SERVER_REGISTERED: 50,
    Event.SERVER_DRAINS: 50,
    Event.SERVER_GONE: 50,
    Event.SERVER_RATE_LIMITED: 50,
    Event.SERVER_RATE_LIMIT_ENDED: 50,
    Event.SERVER_LEAVES: 50,
    Event.SERVER_PAUSES: 50,
    Event.STORE_LOST: 5,
    Event.STORE_REGAINED: 5,
    Event.STORE_RESTORED: 5,
}
# Fields are names, counts and error details of this system; a longer text is
# cut.
MAX_FIELD_CHARS: Final = 400

# Events that are not of level INFO.
LEVELS: Final[dict[Event, int]] = dict.fromkeys(
    (
        Event.PEER_FRAME_INVALID,
        Event.CALLER_LIMITED,
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
        Event.STORE_RESTORED,
        Event.RELAY_FAILED,
        Event.REQUEST_REJECTED,
    ),
    logging.WARNING,
)


class _LineCounts(NamedTuple):
    """Lines of an event written and left out since `interval_start`."""

    interval_start: float
    written: int
    left_out: int


class _DroppingHandler(logging.handlers.QueueHandler):
    """Drops lines when the queue is full."""

    def __init__(
        self, line_queue: queue.Queue[Any], on_dropped: Callable[[], None]
    ) -> None:
        super().__init__(line_queue)
        self._on_dropped = on_dropped

    def handleError(  # noqa: N802
        self, record: logging.LogRecord
    ) -> None:
        self._on_dropped()


class _TimeLimitedWriter(logging.handlers.QueueListener):
    """Stops within a time limit even if nobody reads the output."""

    def __init__(
        self, line_queue: queue.Queue[Any], writer: logging.Handler
    ) -> None:
        super().__init__(line_queue, writer)
        self._line_queue = line_queue

    def stop(self) -> None:
        """Write the queued lines, unless the reader is too slow."""
        thread = self._thread
        if thread is None:
            return
        try:
            self._line_queue.put(None, timeout=STOP_WAIT_S)
        except queue.Full:
            return
        thread.join(timeout=STOP_WAIT_S)
        self._thread = None


class EventLog:
    """Writes events, with a limit on the lines of each event.

    `on_event` is called for each event, lines left out included;
    `on_dropped` for each line dropped because the queue is full.
    """

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
        self._line_counts: dict[Event, _LineCounts] = {}
        line_queue: queue.Queue[Any] = queue.Queue(MAX_QUEUED_LINES)
        self._logger = logging.Logger('teaselrock', level.upper())
        self._logger.addHandler(_DroppingHandler(line_queue, on_dropped))
        writer = logging.StreamHandler(stream)
        writer.setFormatter(
            JsonFormatter(
                '%(levelname)s %(message)s',
                # In UTC, written with the offset.
                timestamp='time',
                rename_fields={'levelname': 'level', 'message': 'event'},
            )
        )
        self._listener = _TimeLimitedWriter(line_queue, writer)

    def start(self) -> None:
        """Start the thread that writes."""
        self._listener.start()

    def stop(self) -> None:
        """Write the queued lines and end the thread."""
        self._listener.stop()

    def emit(self, *, event: Event, **fields: str | int | float) -> None:
        """Queue an event, unless it reached its limit in this interval.

        The next line of the event holds the number left out as `left_out`.
        """
        self._on_event(event)
        now = self._clock()
        counts = self._line_counts.get(event)
        if (
            counts is None
            or now >= counts.interval_start + LINE_LIMIT_INTERVAL_S
        ):
            self._line_counts[event] = _LineCounts(now, 1, 0)
        elif counts.written >= MAX_LINES_PER_INTERVAL.get(event, 1):
            self._line_counts[event] = counts._replace(
                left_out=counts.left_out + 1
            )
            return
        else:
            self._line_counts[event] = counts._replace(
                written=counts.written + 1, left_out=0
            )
        extra: dict[str, str | int | float] = {
            'number': event.value,
            'instance': self._instance_id,
        }
        if counts is not None and counts.left_out:
            extra['left_out'] = counts.left_out
        for name, value in fields.items():
            # `logging` refuses fields named like attributes of a record,
            # such as `name`.
            extra[f'{name}_' if name in _RESERVED_FIELDS else name] = (
                value[:MAX_FIELD_CHARS] if isinstance(value, str) else value
            )
        name = event.name.lower().replace('_', '-')
        self._logger.log(LEVELS.get(event, logging.INFO), name, extra=extra)


_RESERVED_FIELDS: Final = frozenset(
    {*vars(logging.makeLogRecord({})), 'message', 'asctime'}
    | {'number', 'instance', 'left_out', 'time', 'level', 'event'}
)
