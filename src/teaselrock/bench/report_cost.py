"""Cost of report rows: bytes, elapsed time and memory for each row.

Prints a table for several numbers of rows; docs/CAPACITY.md uses it.
"""

import argparse
from collections.abc import Sequence
import time
import tracemalloc
from typing import Final
from typing import NamedTuple

from teaselrock.coordination.reporting import EndedRows
from teaselrock.coordination.reporting import RowCopy
from teaselrock.protocol import MessageCodec
from teaselrock.protocol.document_codec import JsonDocumentCodec
from teaselrock.protocol.messages import KINDS
from teaselrock.state import AttemptReason
from teaselrock.state import Verdict
from teaselrock.state.report import merge_rows
from teaselrock.state.report import Row
from teaselrock.state.report import RowAttempt
from teaselrock.state.report import Segment
from teaselrock.state.report import SegmentCoverage

SIZES: Final = (100, 1000, 10_000)
ARRIVED_S: Final = 1_767_225_600.0


class RowCost(NamedTuple):
    """Cost of one row in a segment of `rows` rows."""

    rows: int
    copied_bytes: float
    stored_bytes: float
    encode_us: float
    merge_us: float
    memory_bytes: float


def _row(number: int) -> Row:
    attempt = RowAttempt(
        f'server-{number % 15}',
        'east',
        'a',
        AttemptReason.LOCAL,
        '',
        Verdict.RAN,
        20.125,
    )
    return Row(
        'gw-1',
        1_767_225_600_000,
        number,
        'shannon-press',
        'publisher',
        'catalogue',
        'east',
        'a',
        ARRIVED_S + number / 100,
        (attempt,),
        Verdict.RAN,
        '',
        ARRIVED_S + number / 100 + 0.02,
        1,
    )


def measure(rows: int) -> RowCost:
    """Measure a segment of `rows` rows."""
    tracemalloc.start()
    built = [_row(number) for number in range(rows)]
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    codec = MessageCodec(kinds=KINDS)
    admitted = built[0]._replace(attempts=(), verdict=None, ended=0.0)
    copied = len(codec.encode(RowCopy(admitted)))
    copied += len(codec.encode(EndedRows((built[0],))))
    cover = SegmentCoverage('gw-1', 1, 0, ARRIVED_S)
    started = time.perf_counter()
    stored = JsonDocumentCodec().encode(value=Segment((cover,), tuple(built)))
    encoded = time.perf_counter()
    merge_rows(built)
    merged = time.perf_counter()
    return RowCost(
        rows,
        copied,
        len(stored) / rows,
        (encoded - started) / rows * 1e6,
        (merged - encoded) / rows * 1e6,
        memory / rows,
    )


def main(arguments: Sequence[str] | None = None) -> int:
    """Print the table."""
    parser = argparse.ArgumentParser(prog='report_cost')
    parser.add_argument('--rows', type=int, nargs='+', default=list(SIZES))
    options = parser.parse_args(arguments)
    print('  '.join(RowCost._fields))
    for rows in options.rows:
        cost = measure(rows)
        print('  '.join(f'{value:.1f}' for value in cost))
    return 0


if __name__ == '__main__':
    raise SystemExit(main())
