"""Bounded queue of one group, fair between callers and shed by deadline."""

import heapq
from collections import OrderedDict, deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Waiter:
    """A request that waits.

    :param deadline: time in seconds from which it is no longer worth running.
    """

    request_id: int
    caller: str
    deadline: float


class FairQueue:
    """Requests that wait for a connection or a slot of one group."""

    __slots__ = ('_by_caller', '_capacity', '_deadlines', '_waiters')

    def __init__(self, capacity: int) -> None:
        """Start empty.

        :param capacity: greatest number of waiters.
        """
        self._capacity = capacity
        self._waiters: dict[int, Waiter] = {}
        # Callers in the order of their next turn, each with its requests, oldest first.
        self._by_caller: OrderedDict[str, deque[int]] = OrderedDict()
        self._deadlines: list[tuple[float, int]] = []

    def __len__(self) -> int:
        """Number of waiters."""
        return len(self._waiters)

    @property
    def next_deadline(self) -> float | None:
        """Earliest deadline in seconds; a request that has left may still set it."""
        return self._deadlines[0][0] if self._deadlines else None

    def offer(self, waiter: Waiter) -> Waiter | None:
        """Add a request.

        A caller that floods a full queue must not keep the others out: the newest request
        of the caller with the most waiters gives way to one of a caller that then has no
        more than that one.

        :param waiter: the request.
        :returns: the request that has no place, which may be another one; ``None`` if all have.
        """
        refused = None
        if len(self._waiters) >= self._capacity:
            refused = self._find_displaceable(waiter)
            if refused is None:
                return waiter
            self.remove(refused.request_id)
        self._waiters[waiter.request_id] = waiter
        self._by_caller.setdefault(waiter.caller, deque()).append(waiter.request_id)
        heapq.heappush(self._deadlines, (waiter.deadline, waiter.request_id))
        return refused

    def take(self) -> Waiter | None:
        """Remove and return the oldest request of the caller whose turn it is.

        :returns: the request, or ``None`` if the queue is empty.
        """
        while self._by_caller:
            caller, request_ids = self._by_caller.popitem(last=False)
            waiter = self._take_oldest(request_ids)
            if request_ids:
                self._by_caller[caller] = request_ids
            if waiter:
                return waiter
        return None

    def remove(self, request_id: int) -> Waiter | None:
        """Remove a request, for instance of a caller that went away.

        :param request_id: identifier of the request.
        :returns: the request, or ``None`` if it does not wait.
        """
        waiter = self._waiters.pop(request_id, None)
        if waiter:
            request_ids = self._by_caller[waiter.caller]
            request_ids.remove(request_id)
            if not request_ids:
                self._by_caller.pop(waiter.caller)
        return waiter

    def expire(self, now: float) -> tuple[Waiter, ...]:
        """Remove and return the requests whose deadline has come.

        :param now: current time in seconds.
        """
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            waiter = self.remove(heapq.heappop(self._deadlines)[1])
            if waiter:
                expired.append(waiter)
        return tuple(expired)

    def _take_oldest(self, request_ids: deque[int]) -> Waiter:
        return self._waiters.pop(request_ids.popleft())

    def _find_displaceable(self, waiter: Waiter) -> Waiter | None:
        present = len(self._by_caller.get(waiter.caller, ()))
        longest = max(self._by_caller.values(), key=len, default=deque())
        if len(longest) < present + 2:
            return None
        return self._waiters[longest[-1]]
