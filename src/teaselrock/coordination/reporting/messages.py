"""Messages between the writer of report rows and their keepers.

A keeper is a peer in another zone that keeps copies of the writer's rows.
"""

from typing import NamedTuple

from teaselrock.state.report import Row


class RowCopy(NamedTuple):
    """Copies a row to a keeper when its request is admitted."""

    row: Row


class RowAck(NamedTuple):
    """Acknowledges that the keeper has a copy of the row."""

    incarnation: int
    sequence: int


class EndedRows(NamedTuple):
    """Copies a batch of ended rows to a keeper."""

    rows: tuple[Row, ...]


class EndedRowsAck(NamedTuple):
    """Acknowledges that the keeper has copies of these ended rows."""

    incarnation: int
    sequences: tuple[int, ...]


class KeptRowsQuery(NamedTuple):
    """Requests the sequence number below which a writer has stored all rows.

    Sent by a keeper that keeps rows of this incarnation and has received none
    for `QUERY_AFTER_S`; the writer answers with `RowsStored`.
    """

    incarnation: int


class RowsStored(NamedTuple):
    """Rows that the keeper may drop, as the store has them.

    These are the listed sequence numbers and all that are less than `below`.
    """

    incarnation: int
    below: int
    sequences: tuple[int, ...]
