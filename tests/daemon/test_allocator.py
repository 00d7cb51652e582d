"""Memory that a process returns to the system."""

import os
import pathlib
import subprocess
import sys

SOURCE = pathlib.Path(__file__).parents[2] / 'src'
# Frees a block that raises glibc's threshold, then blocks below it that are
# kept apart by small ones; prints what the process holds afterwards.
SCRIPT = """
import resource
import sys
from teaselrock.daemon import allocator

def resident_bytes():
    with open('/proc/self/statm') as file:
        return int(file.read().split()[1]) * resource.getpagesize()

if sys.argv[1] == 'set':
    assert allocator.return_large_blocks()
before = resident_bytes()
block = b'x' * 20_000_000
del block
small, large = [], []
for _ in range(40):
    large.append(bytearray(1_000_000))
    small.append(bytearray(2_000))
large.clear()
print(resident_bytes() - before)
"""
BLOCK_BYTES = 1_000_000


def _held_bytes(argument: str) -> int:
    result = subprocess.run(
        (sys.executable, '-c', SCRIPT, argument),
        capture_output=True,
        check=True,
        env={**os.environ, 'PYTHONPATH': str(SOURCE)},
    )
    return int(result.stdout)


def test_large_blocks_are_returned() -> None:
    """Guards against freed bodies that stay in the process's memory."""
    assert _held_bytes('set') < 5 * BLOCK_BYTES
    # Without the setting they stay, so the script shows what it is for.
    assert _held_bytes('unset') > 20 * BLOCK_BYTES
