"""Queued requests of one priority."""

from collections import OrderedDict, deque
from collections.abc import Iterable

import msgspec


class Waiter(msgspec.Struct, frozen=True):
    """A queued request.

    :param deadline: time in seconds at which the request expires.
    :param arrived_at: time in seconds at which the request arrived at the entry.
    :param priority: 0 is served first.
    :param objective_s: seconds within which it should be served, or 0 without an objective.
    :param is_pinning: whether it begins a transaction, which keeps a connection until it ends.
    :param is_returning: whether it has been queued before, so that its caller has had its turn.
    """

    request_id: int
    caller: str
    deadline: float
    arrived_at: float = 0.0
    priority: int = 0
    objective_s: float = 0.0
    is_pinning: bool = False
    is_returning: bool = False


class WaitingLevel:
    """Requests of one priority, round-robin by caller, those of each caller oldest first."""

    __slots__ = ('_by_caller', '_count')

    def __init__(self) -> None:
        """Initialize without requests."""
        # Callers in round-robin order.
        self._by_caller: OrderedDict[str, deque[Waiter]] = OrderedDict()
        self._count = 0

    def __len__(self) -> int:
        """Return the number of requests."""
        return self._count

    def push(self, waiter: Waiter) -> None:
        """Add a request; one that has been queued before is the next one of this level."""
        self._count += 1
        waiters = self._by_caller.setdefault(waiter.caller, deque())
        if waiter.is_returning:
            waiters.appendleft(waiter)
            self._by_caller.move_to_end(waiter.caller, last=False)
        else:
            waiters.append(waiter)

    def pop(self, now: float, *, may_pin: bool) -> Waiter | None:
        """Remove and return the oldest request of the next caller.

        :param now: current time in seconds.
        :param may_pin: whether a request that begins a transaction may be returned although half of
            its time is left.
        :returns: the request, or ``None`` if there is none of the allowed kind.
        """
        for caller, waiters in self._by_caller.items():
            waiter = waiters[0] if may_pin else _find_single(waiters, now)
            if waiter is not None:
                self.remove(waiter)
                if caller in self._by_caller:
                    self._by_caller.move_to_end(caller)
                return waiter
        return None

    def remove(self, waiter: Waiter) -> None:
        """Remove a request, which must be in this level."""
        waiters = self._by_caller[waiter.caller]
        waiters.remove(waiter)
        self._count -= 1
        if not waiters:
            self._by_caller.pop(waiter.caller)

    def count(self, caller: str) -> int:
        """Return the number of requests of a caller."""
        return len(self._by_caller.get(caller, ()))

    def newest_of_longest(self) -> tuple[Waiter, int]:
        """Return the newest request of the caller with the most requests, and their number."""
        longest = max(self._by_caller.values(), key=len)
        return longest[-1], len(longest)

    def overdue(self, now: float) -> float:
        """Return the greatest waiting time of a request, relative to its objective."""
        oldest = (waiters[0] for waiters in self._by_caller.values())
        return max(
            ((now - each.arrived_at) / each.objective_s for each in oldest if each.objective_s > 0),
            default=0.0,
        )


def _find_single(waiters: Iterable[Waiter], now: float) -> Waiter | None:
    allowed = (
        each
        for each in waiters
        if not each.is_pinning or now > (each.arrived_at + each.deadline) / 2
    )
    return next(allowed, None)
