"""Setting of the C library's memory allocator."""

import ctypes
from typing import Final

# Parameter of `mallopt` in glibc's malloc.h.
_M_MMAP_THRESHOLD: Final = -3
# Blocks of at least this size are mapped on their own and returned to the
# system when they are freed. The parts of bodies, up to 64 KiB as they are
# received, have to be among them: freed ones in the heap are not used again
# for larger bodies. Smaller blocks are not, since mapping takes time.
LARGE_BLOCK_BYTES: Final = 32 * 1024


def return_large_blocks() -> bool:
    """Return large blocks to the system as soon as they are freed.

    By default glibc raises its threshold to the size of freed blocks, up to
    32 MiB, and keeps later blocks below it in the heap, so that a process
    holds much more than its requests and responses. False if the C library
    has no such setting.
    """
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    if mallopt is None:
        return False
    return bool(mallopt(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES))
