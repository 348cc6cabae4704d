"""Timers of the entry engine."""

import heapq
import itertools
from collections.abc import Callable


class Timer:
    """One callback that is due at a time; it can be cancelled."""

    __slots__ = ('callback', 'due')

    def __init__(self, due: float, callback: Callable[[], None]) -> None:
        """Keep what runs and when."""
        self.due = due
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Make sure that the callback does not run."""
        self.callback = None


class Timers:
    """All timers, in order of their time."""

    __slots__ = ('_count', '_heap')

    def __init__(self) -> None:
        """Start without a timer."""
        self._heap: list[tuple[float, int, Timer]] = []
        self._count = itertools.count()

    @property
    def next_due(self) -> float:
        """Time of the next timer, in seconds, or infinity."""
        heap = self._heap
        while heap and heap[0][2].callback is None:
            heapq.heappop(heap)
        return heap[0][0] if heap else float('inf')

    def schedule(self, due: float, callback: Callable[[], None]) -> Timer:
        """Run a callback at a time.

        :param due: time in seconds.
        """
        timer = Timer(due, callback)
        heapq.heappush(self._heap, (due, next(self._count), timer))
        return timer

    def run_due(self, now: float) -> None:
        """Run the callbacks that are due."""
        due: list[Timer] = []
        while self.next_due <= now:
            due.append(heapq.heappop(self._heap)[2])
        for timer in due:
            callback = timer.callback
            if callback is not None:
                timer.callback = None
                callback()
