"""Sends ended rows to keepers until they are acknowledged.

`SegmentReportWriter` adds each ended row. A row is sent at once, so that its
keeper has the outcome even if the writer fails right after the response. It
is sent again, to its keepers in turn, until one acknowledges it, the store
holds it, or `MAX_SENDS` is reached.
"""

import asyncio
from collections import defaultdict
from collections.abc import Iterable
from typing import Final
from typing import NamedTuple

from teaselrock.coordination.ports import Peers
from teaselrock.coordination.reporting.messages import EndedRows
from teaselrock.state.report import Row

RESEND_INTERVAL_S: Final = 0.2
# Keeps a batch well below the 64 KiB limit of a message.
MAX_BATCH_ROWS: Final = 60
# Each resend costs a message, and the next flush stores the row in any case.
MAX_SENDS: Final = 5


class _OutgoingRow(NamedTuple):
    """A row, its keepers in order of use, and how often it was sent."""

    row: Row
    keepers: tuple[str, ...]
    send_count: int = 0

    @property
    def keeper(self) -> str:
        """The keeper to send to next."""
        return self.keepers[self.send_count % len(self.keepers)]


class EndedRowOutbox:
    """Ended rows that no keeper has acknowledged, to be sent or resent."""

    def __init__(self, *, peers: Peers) -> None:
        self._peers = peers
        self._unsent: list[_OutgoingRow] = []
        self._sent: dict[int, _OutgoingRow] = {}
        self._sent_before: set[int] = set()

    def add(self, *, keepers: tuple[str, ...], row: Row) -> None:
        """Send a row in a batch with others of this event loop iteration."""
        if not keepers:
            return
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self._send_unsent)
        self._unsent.append(_OutgoingRow(row, keepers))

    def drop(self, sequences: Iterable[int]) -> None:
        """Remove rows that a keeper has acknowledged or the store holds."""
        for sequence in sequences:
            self._sent.pop(sequence, None)

    async def resend_periodically(self) -> None:
        """Resend rows that were not acknowledged for `RESEND_INTERVAL_S`."""
        while True:
            await asyncio.sleep(RESEND_INTERVAL_S)
            self._resend()

    def _send_unsent(self) -> None:
        unsent, self._unsent = self._unsent, []
        self._send(unsent)

    def _resend(self) -> None:
        due = [
            self._sent[sequence]
            for sequence in sorted(self._sent_before & self._sent.keys())
        ]
        for item in due:
            del self._sent[item.row.sequence]
        self._sent_before = set(self._sent)
        self._send([item for item in due if item.send_count < MAX_SENDS])

    def _send(self, items: list[_OutgoingRow]) -> None:
        batches: dict[str, list[Row]] = defaultdict(list)
        for item in items:
            batches[item.keeper].append(item.row)
            self._sent[item.row.sequence] = item._replace(
                send_count=item.send_count + 1
            )
        for keeper, rows in batches.items():
            for first in range(0, len(rows), MAX_BATCH_ROWS):
                batch = tuple(rows[first : first + MAX_BATCH_ROWS])
                self._peers.send(to=keeper, message=EndedRows(batch))
