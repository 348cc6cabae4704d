"""Bounded queue of one group that is fair between callers and drops expired requests."""

import heapq
from collections import OrderedDict, deque

import msgspec

from bergamotcart.admission._queue_pace import QueuePace


class Waiter(msgspec.Struct, frozen=True):
    """A queued request.

    :param deadline: time in seconds at which the request expires.
    """

    request_id: int
    caller: str
    deadline: float


class FairQueue:
    """Requests that wait for a connection or a slot of one group, served round-robin by caller.

    :ivar pace: how fast the requests are served.
    """

    __slots__ = ('_request_ids_by_caller', '_capacity', '_deadlines', '_waiters', 'pace')

    def __init__(self, capacity: int) -> None:
        """Initialize an empty queue.

        :param capacity: maximum number of queued requests.
        """
        self._capacity = capacity
        self.pace = QueuePace()
        self._waiters: dict[int, Waiter] = {}
        # Callers in round-robin order, each with its queued requests, oldest first.
        self._request_ids_by_caller: OrderedDict[str, deque[int]] = OrderedDict()
        self._deadlines: list[tuple[float, int]] = []

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._waiters)

    @property
    def next_deadline(self) -> float | None:
        """Earliest deadline in seconds; it may belong to a request that was already removed."""
        return self._deadlines[0][0] if self._deadlines else None

    def push(self, waiter: Waiter) -> Waiter | None:
        """Add a request.

        A caller that floods a full queue must not keep the others out: the newest request of
        the caller with the most queued requests is evicted, provided that the caller of the added
        request has no more queued requests than that caller afterwards.

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
        self._request_ids_by_caller.setdefault(waiter.caller, deque()).append(waiter.request_id)
        heapq.heappush(self._deadlines, (waiter.deadline, waiter.request_id))
        return rejected

    def pop(self) -> Waiter | None:
        """Remove and return the oldest request of the next caller in round-robin order.

        :returns: the request, or ``None`` if the queue is empty.
        """
        while self._request_ids_by_caller:
            caller, request_ids = self._request_ids_by_caller.popitem(last=False)
            waiter = self._pop_oldest(request_ids)
            if request_ids:
                self._request_ids_by_caller[caller] = request_ids
            if waiter:
                return waiter
        return None

    def remove(self, request_id: int) -> Waiter | None:
        """Remove a request, for instance of a caller that disconnected.

        :param request_id: identifier of the request.
        :returns: the request, or ``None`` if it is not queued.
        """
        waiter = self._waiters.pop(request_id, None)
        if waiter:
            request_ids = self._request_ids_by_caller[waiter.caller]
            request_ids.remove(request_id)
            if not request_ids:
                self._request_ids_by_caller.pop(waiter.caller)
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

    def _pop_oldest(self, request_ids: deque[int]) -> Waiter:
        return self._waiters.pop(request_ids.popleft())

    def _find_request_to_evict(self, waiter: Waiter) -> Waiter | None:
        own_count = len(self._request_ids_by_caller.get(waiter.caller, ()))
        longest_queue = max(self._request_ids_by_caller.values(), key=len, default=deque())
        if len(longest_queue) < own_count + 2:
            return None
        return self._waiters[longest_queue[-1]]
