"""Messages between the writer of report rows and their keepers."""

from typing import NamedTuple

from teaselrock.state.report import Row


class RowCopy(NamedTuple):
    """Copies a row at admission."""

    row: Row


class RowAck(NamedTuple):
    """The keeper holds the row."""

    incarnation: int
    sequence: int


class EndedRows(NamedTuple):
    """Rows that ended together."""

    rows: tuple[Row, ...]


class EndedRowsAck(NamedTuple):
    """The keeper holds the ends of these rows."""

    incarnation: int
    sequences: tuple[int, ...]


class HeldRowsQuery(NamedTuple):
    """The keeper has held rows of this incarnation for long."""

    incarnation: int


class RowsStored(NamedTuple):
    """Rows that the keeper may drop: those listed and all `below`."""

    incarnation: int
    below: int
    sequences: tuple[int, ...]
