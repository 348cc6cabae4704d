"""Measurement of an engine's processor time and memory."""

import gc
import time
import tracemalloc
from collections.abc import Iterator
from contextlib import contextmanager

_MEGABYTE = 1_000_000


class Meter:
    """Sums the processor time of the engine, without that of the synthetic peers."""

    __slots__ = ('cpu_s',)

    def __init__(self) -> None:
        """Start at zero."""
        self.cpu_s = 0.0

    @contextmanager
    def running(self) -> Iterator[None]:
        """Add the processor time of a block."""
        started = time.process_time()
        try:
            yield
        finally:
            self.cpu_s += time.process_time() - started


class TracedMemory:
    """Measures the memory that is allocated after its creation and still in use at the end."""

    __slots__ = ()

    def __init__(self) -> None:
        """Start tracing allocations."""
        gc.collect()
        tracemalloc.start()

    def stop(self) -> float:
        """Stop tracing and return the megabytes (10^6 bytes) in use."""
        gc.collect()
        in_use, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return in_use / _MEGABYTE
