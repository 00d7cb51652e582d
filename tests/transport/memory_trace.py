"""Tracing of memory that is released without the garbage collector."""

import asyncio
from collections.abc import Iterator
import contextlib
import gc
import tracemalloc

# Ends a test whose memory is not released.
TIMEOUT_S = 20


@contextlib.contextmanager
def traced_without_collector() -> Iterator[None]:
    """Trace memory from now on, with the collector off."""
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        yield
    finally:
        tracemalloc.stop()
        gc.enable()


async def wait_released(limit_bytes: int) -> None:
    """Wait until less than `limit_bytes` are in use."""
    async with asyncio.timeout(TIMEOUT_S):
        while tracemalloc.get_traced_memory()[0] >= limit_bytes:
            await asyncio.sleep(0.01)
