"""Content and rules of an allowance ledger, and calendar windows.

A ledger is one store object for each customer, service and window, from
which instances draw blocks of units. The sum drawn never exceeds the plan.
Units that a failed instance drew and did not spend stay drawn until the
window ends.
"""

import calendar
import time
from typing import Final
from typing import NamedTuple

# Latest draws that a ledger keeps. An instance that lost the response to its
# write finds out from them whether the draw was made.
MAX_KEPT_DRAWS: Final = 256
# A block is the remaining units divided by this.
BLOCK_DIVISOR: Final = 64
MINUTE_S: Final = 60
HOUR_S: Final = 3600
DAY_S: Final = 86400


class Draw(NamedTuple):
    """A block of units that was drawn, or returned if `units` is negative."""

    draw_id: str
    units: int


class LedgerContent(NamedTuple):
    """The stored object: units drawn in the window and the latest draws."""

    drawn: int = 0
    draws: tuple[Draw, ...] = ()


class Window(NamedTuple):
    """A calendar window in UTC; names sort by time, `end` is Unix time."""

    name: str
    end: float


def window_at(*, kind: str, now: float) -> Window:
    """Return the window at Unix time `now`.

    `kind` is minute, hour, day or month.
    """
    date = time.gmtime(now)
    if kind == 'month':
        year, month = divmod(date.tm_year * 12 + date.tm_mon, 12)
        end = calendar.timegm((year, month + 1, 1, 0, 0, 0))
        return Window(time.strftime('%Y-%m', date), float(end))
    length, date_format = {
        'minute': (MINUTE_S, '%Y-%m-%dT%H:%M'),
        'hour': (HOUR_S, '%Y-%m-%dT%H'),
        'day': (DAY_S, '%Y-%m-%d'),
    }[kind]
    start = int(now) // length * length
    return Window(time.strftime(date_format, date), float(start + length))


def ledger_key(*, customer: str, service: str, window: str) -> str:
    """Return the store key of a ledger."""
    return f'allowances/{customer}/{service}/{window}'


def find_draw(*, content: LedgerContent, draw_id: str) -> Draw | None:
    """Return a recent draw; None if it is not among those kept."""
    for draw in content.draws:
        if draw.draw_id == draw_id:
            return draw
    return None


def block_size(*, content: LedgerContent, plan_units: int, need: int) -> int:
    """Return the units to draw; 0 if less than `need` is available."""
    remaining = plan_units - content.drawn
    if remaining < need:
        return 0
    return max(need, remaining // BLOCK_DIVISOR, min(1, remaining))


def add_draw(*, content: LedgerContent, draw: Draw) -> LedgerContent:
    """Return the ledger after a draw or a return."""
    return LedgerContent(
        content.drawn + draw.units, (*content.draws, draw)[-MAX_KEPT_DRAWS:]
    )
