"""Parts in which large bodies are written.

A transport copies what it cannot send at once, so each part is written after
most of those before were sent.
"""

from collections.abc import Iterator
from typing import Final

PART_BYTES: Final = 64 * 1024


def body_parts(body: bytes | bytearray) -> Iterator[memoryview]:
    """Yield a body in parts of up to `PART_BYTES`, none of an empty body."""
    with memoryview(body) as view:
        for start in range(0, len(view), PART_BYTES):
            yield view[start : start + PART_BYTES]
