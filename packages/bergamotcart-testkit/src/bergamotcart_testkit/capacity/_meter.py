"""Measurement of an engine's processor time and memory."""

import gc
import time
import tracemalloc
from collections.abc import Iterator
from contextlib import contextmanager

_MEGABYTE = 1_000_000


class Meter:
    """Processor time of the engine alone, without the synthetic peers around it."""

    __slots__ = ('cpu_s',)

    def __init__(self) -> None:
        """Start at zero."""
        self.cpu_s = 0.0

    @contextmanager
    def running(self) -> Iterator[None]:
        """Count the processor time of a block."""
        started = time.process_time()
        try:
            yield
        finally:
            self.cpu_s += time.process_time() - started


class TracedMemory:
    """Counts the allocations from its creation on that are still in use at the end."""

    __slots__ = ()

    def __init__(self) -> None:
        """Begin to trace."""
        gc.collect()
        tracemalloc.start()

    def stop(self) -> float:
        """Stop and return the megabytes (10^6 bytes) in use."""
        gc.collect()
        in_use, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return in_use / _MEGABYTE
