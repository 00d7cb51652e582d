"""Ended rows on their way to their keepers.

`SegmentReportWriter` adds each ended row. It is sent at once, so that a
writer that fails after the answer does not leave the row without its end, and
again, to the keepers in turn, until one acknowledges it or the store holds
it.
"""

import asyncio
from collections import defaultdict
from collections.abc import Iterable
from typing import Final
from typing import NamedTuple

from teaselrock.coordination.ports import Peers
from teaselrock.coordination.reporting.messages import EndedRows
from teaselrock.state.report import Row

REPEAT_S: Final = 0.2
# Rows of a batch stay well below the 64 KiB of a message.
BATCH_ROWS: Final = 60
# Each repeat costs a message; the next flush stores the row in any case.
MAX_SENDS: Final = 5


class _Sent(NamedTuple):
    """A row, the keepers to ask in turn and how often it was sent."""

    row: Row
    keepers: tuple[str, ...]
    sends: int = 0

    @property
    def keeper(self) -> str:
        """The keeper whose turn it is."""
        return self.keepers[self.sends % len(self.keepers)]


class EndOutbox:
    """Ends until they are acknowledged."""

    def __init__(self, *, peers: Peers) -> None:
        self._peers = peers
        self._fresh: list[_Sent] = []
        self._sent: dict[int, _Sent] = {}
        self._last: set[int] = set()

    def add(self, *, keepers: tuple[str, ...], row: Row) -> None:
        """Send a row with the others that end in this step of the loop."""
        if not keepers:
            return
        if not self._fresh:
            asyncio.get_running_loop().call_soon(self._send_fresh)
        self._fresh.append(_Sent(row, keepers))

    def drop(self, sequences: Iterable[int]) -> None:
        """Forget rows that a keeper has acknowledged or the store holds."""
        for sequence in sequences:
            self._sent.pop(sequence, None)

    async def repeat_regularly(self) -> None:
        """Send rows again that were not acknowledged for `REPEAT_S`."""
        while True:
            await asyncio.sleep(REPEAT_S)
            self._repeat()

    def _send_fresh(self) -> None:
        fresh, self._fresh = self._fresh, []
        self._send(fresh)

    def _repeat(self) -> None:
        due = [self._sent[x] for x in sorted(self._last & self._sent.keys())]
        for item in due:
            del self._sent[item.row.sequence]
        self._last = set(self._sent)
        self._send([item for item in due if item.sends < MAX_SENDS])

    def _send(self, items: list[_Sent]) -> None:
        batches: dict[str, list[Row]] = defaultdict(list)
        for item in items:
            batches[item.keeper].append(item.row)
            self._sent[item.row.sequence] = item._replace(sends=item.sends + 1)
        for keeper, rows in batches.items():
            for first in range(0, len(rows), BATCH_ROWS):
                batch = tuple(rows[first : first + BATCH_ROWS])
                self._peers.send(to=keeper, message=EndedRows(batch))
