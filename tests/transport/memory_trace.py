"""Tracing of memory that is released without the garbage collector."""

from collections.abc import Iterator
import contextlib
import gc
import tracemalloc


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
