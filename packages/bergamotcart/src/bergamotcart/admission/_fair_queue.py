"""Bounded queue of one group, by priority and fair between callers."""

import heapq
from typing import Final

from bergamotcart.admission._queue_pace import QueuePace
from bergamotcart.admission._waiting_level import Waiter, WaitingLevel

# One of this number of turns goes to requests of a lower priority that have waited beyond their
# objective, so that they are served in the end however many others arrive.
_TURNS_PER_OVERDUE: Final = 4


class FairQueue:
    """Requests that wait for a connection or a slot of one group.

    Those of the highest priority are served first, and round-robin by caller within a priority.
    This answers writes and transactions behind a crowd of reads, which would otherwise wait until
    the reads that arrived before them are served.

    :ivar pace: how fast the requests are served.
    """

    __slots__ = ('_capacity', '_deadlines', '_levels', '_turns', '_waiters', 'pace')

    def __init__(self, capacity: int) -> None:
        """Initialize an empty queue.

        :param capacity: maximum number of queued requests.
        """
        self._capacity = capacity
        self.pace = QueuePace()
        self._waiters: dict[int, Waiter] = {}
        # Only priorities with requests.
        self._levels: dict[int, WaitingLevel] = {}
        self._turns = 0
        self._deadlines: list[tuple[float, int]] = []

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._waiters)

    @property
    def next_deadline(self) -> float | None:
        """Earliest deadline in seconds; it may belong to a request that was already removed."""
        return self._deadlines[0][0] if self._deadlines else None

    def count_ahead(self, priority: int) -> int:
        """Return the number of requests that are served before a new one of a priority."""
        return sum(len(level) for each, level in self._levels.items() if each <= priority)

    def push(self, waiter: Waiter) -> Waiter | None:
        """Add a request.

        A full queue evicts a request of the lowest priority. A caller that floods it must not keep
        the others out: the newest request of the caller with the most requests of this priority is
        evicted, provided that the caller of the added request has no more requests than that caller
        afterwards or that the added request has a higher priority.

        :param waiter: the request.
        :returns: the rejected or evicted request, or ``None`` if there was capacity left.
        """
        rejected = None
        if not self._waiters:
            # The deadlines of removed requests are of no use any more.
            self._deadlines.clear()
        if len(self._waiters) >= self._capacity:
            rejected = self._find_request_to_evict(waiter)
            if rejected is None:
                return waiter
            self.remove(rejected.request_id)
        self._waiters[waiter.request_id] = waiter
        level = self._levels.get(waiter.priority)
        if level is None:
            level = WaitingLevel()
            self._levels[waiter.priority] = level
        level.push(waiter)
        heapq.heappush(self._deadlines, (waiter.deadline, waiter.request_id))
        return rejected

    def pop(self, now: float = 0.0, *, may_pin: bool = True) -> Waiter | None:
        """Remove and return the request whose turn it is.

        :param now: current time in seconds.
        :param may_pin: whether a request that begins a transaction may be returned although half of
            its time is left.
        :returns: the request, or ``None`` if there is none of the allowed kind.
        """
        for priority in self._order_levels(now):
            waiter = self._levels[priority].pop(now, may_pin=may_pin)
            if waiter is not None:
                self._waiters.pop(waiter.request_id)
                self._remove_empty_level(priority)
                return waiter
        return None

    def shed_late(self, now: float) -> Waiter | None:
        """Remove a request of the lowest of several priorities that would reach its deadline here.

        :param now: current time in seconds.
        :returns: the removed request, or ``None`` if there is none.
        """
        wait_s = self.pace.expected_wait_s(len(self._waiters))
        if wait_s is None or len(self._levels) < 2:
            return None
        waiter = self._levels[max(self._levels)].newest_of_longest()[0]
        return self.remove(waiter.request_id) if now + wait_s > waiter.deadline else None

    def remove(self, request_id: int) -> Waiter | None:
        """Remove a request, for instance of a caller that disconnected.

        :param request_id: identifier of the request.
        :returns: the request, or ``None`` if it is not queued.
        """
        waiter = self._waiters.pop(request_id, None)
        if waiter:
            self._levels[waiter.priority].remove(waiter)
            self._remove_empty_level(waiter.priority)
        return waiter

    def remove_expired(self, now: float) -> tuple[Waiter, ...]:
        """Remove and return the requests whose deadline has passed.

        :param now: current time in seconds.
        """
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            waiter = self.remove(heapq.heappop(self._deadlines)[1])
            if waiter:
                expired.append(waiter)
        return tuple(expired)

    def _order_levels(self, now: float) -> list[int]:
        """Return the priorities in the order in which they are served in this turn."""
        if len(self._levels) <= 1:
            return list(self._levels)
        order = sorted(self._levels)
        self._turns += 1
        if self._turns >= _TURNS_PER_OVERDUE:
            most_overdue = max(order[1:], key=lambda priority: self._levels[priority].overdue(now))
            if self._levels[most_overdue].overdue(now) >= 1:
                self._turns = 0
                order.remove(most_overdue)
                order.insert(0, most_overdue)
        return order

    def _remove_empty_level(self, priority: int) -> None:
        if not len(self._levels[priority]):
            self._levels.pop(priority)

    def _find_request_to_evict(self, waiter: Waiter) -> Waiter | None:
        lowest = max(self._levels, default=waiter.priority)
        if waiter.priority > lowest or lowest not in self._levels:
            return None
        level = self._levels[lowest]
        newest, count = level.newest_of_longest()
        if waiter.priority == lowest and count < level.count(waiter.caller) + 2:
            return None
        return newest
