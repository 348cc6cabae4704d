"""Tests the adaptation of the concurrency limit against a simulated target."""

import heapq

from bergamotcart.admission import ConcurrencyLimit, ConcurrencySettings

_SLOTS = 5
_QUOTA = 35


class _SimulatedTarget:
    """Runs statements in a fixed number of slots and queues the others."""

    def __init__(self) -> None:
        self.now = 0.0
        self.limit = ConcurrencyLimit(0, _QUOTA, ConcurrencySettings())
        self._slot_free_at = [0.0 for _ in range(_SLOTS)]
        self._responses: list[tuple[float, float]] = []

    def run(self, seconds: float, service_s: float, max_in_flight: int = _QUOTA) -> None:
        """Always start as many statements as the limit and ``max_in_flight`` allow."""
        end = self.now + seconds
        while self.now < end:
            while self.limit.in_flight < max_in_flight and self.limit.try_acquire():
                ends_at = max(heapq.heappop(self._slot_free_at), self.now) + service_s
                heapq.heappush(self._slot_free_at, ends_at)
                heapq.heappush(self._responses, (ends_at, self.now))
            ends_at, started_at = heapq.heappop(self._responses)
            self.now = ends_at
            self.limit.release(ends_at, ends_at - started_at)


def test_limit_converges_to_slot_count():
    """With a limit below the slot count slots are idle; far above it every statement queues."""
    target = _SimulatedTarget()
    target.run(5, service_s=0.005)
    assert _SLOTS <= target.limit.limit <= 2 * _SLOTS + 1


def test_limit_does_not_grow_below_full_use():
    """Fast responses at low load do not justify a higher limit."""
    target = _SimulatedTarget()
    target.run(5, service_s=0.005, max_in_flight=2)
    assert target.limit.limit == ConcurrencySettings().initial_limit


def test_limit_recovers_after_permanent_slowdown():
    """A minimum response time from before the slowdown must not keep the limit at 1 forever."""
    target = _SimulatedTarget()
    target.run(5, service_s=0.005)
    target.run(5, service_s=0.05)
    assert target.limit.limit == 1
    target.run(30, service_s=0.05)
    assert target.limit.limit >= _SLOTS


def test_limit_stays_between_one_and_quota():
    """The target refuses connections beyond the quota."""
    limit = ConcurrencyLimit(0, 2, ConcurrencySettings())
    assert [limit.try_acquire() for _ in range(3)] == [True, True, False]
    limit.change_quota(0)
    assert (limit.limit, limit.has_capacity) == (1, False)
    limit.release(0, None)
    limit.release(0, None)
    assert limit.has_capacity
