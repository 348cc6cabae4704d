"""Timers of the entry engine."""

import heapq
import itertools
from collections.abc import Callable


class Timer:
    """A callback that is due at a time, unless it is cancelled.

    :param due: time at which the callback runs, in seconds.
    :param callback: function to run, or ``None`` once it has run or was cancelled.
    """

    __slots__ = ('callback', 'due')

    def __init__(self, due: float, callback: Callable[[], None]) -> None:
        """Create a timer; ``Timers.schedule`` also queues it."""
        self.due = due
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Prevent the callback from running."""
        self.callback = None


class Timers:
    """Queue of all timers, ordered by due time."""

    __slots__ = ('_heap', '_sequence')

    def __init__(self) -> None:
        """Create an empty queue."""
        self._heap: list[tuple[float, int, Timer]] = []
        self._sequence = itertools.count()

    @property
    def next_due(self) -> float:
        """Due time of the next timer, in seconds, or infinity if there is none."""
        heap = self._heap
        while heap and heap[0][2].callback is None:
            heapq.heappop(heap)
        return heap[0][0] if heap else float('inf')

    def schedule(self, due: float, callback: Callable[[], None]) -> Timer:
        """Schedule a callback.

        :param due: time at which it runs, in seconds.
        :returns: timer, which can be cancelled.
        """
        timer = Timer(due, callback)
        heapq.heappush(self._heap, (due, next(self._sequence), timer))
        return timer

    def run_due(self, now: float) -> None:
        """Run the callbacks that are due, in order of their due times.

        :param now: current time, in seconds.
        """
        due: list[Timer] = []
        while self.next_due <= now:
            due.append(heapq.heappop(self._heap)[2])
        for timer in due:
            callback = timer.callback
            if callback is not None:
                timer.callback = None
                callback()
