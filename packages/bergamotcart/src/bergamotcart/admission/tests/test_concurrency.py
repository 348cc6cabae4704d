"""Guards the adaptation of the concurrency limit against a simulated target."""

import heapq

from bergamotcart.admission import ConcurrencyLimit, ConcurrencySettings

_SLOTS = 5
_QUOTA = 35


class _Target:
    """Executes statements in a fixed number of slots and queues the others."""

    def __init__(self) -> None:
        self.now = 0.0
        self.limit = ConcurrencyLimit(0, _QUOTA, ConcurrencySettings())
        self._slots = [0.0 for _ in range(_SLOTS)]
        self._answers: list[tuple[float, float]] = []

    def run(self, seconds: float, service_s: float, greatest_in_flight: int = _QUOTA) -> None:
        """Keep the limit in use, as a caller with endless demand does."""
        end = self.now + seconds
        while self.now < end:
            while self.limit.in_flight < greatest_in_flight and self.limit.start():
                done = max(heapq.heappop(self._slots), self.now) + service_s
                heapq.heappush(self._slots, done)
                heapq.heappush(self._answers, (done, self.now))
            done, started = heapq.heappop(self._answers)
            self.now = done
            self.limit.finish(done, done - started)


def test_the_limit_settles_near_the_slots():
    """Below the slots the target idles; far above them every statement queues."""
    target = _Target()
    target.run(5, service_s=0.005)
    assert _SLOTS <= target.limit.limit <= 2 * _SLOTS + 1


def test_an_unused_limit_does_not_grow():
    """Good answer times at low load say nothing about a high limit."""
    target = _Target()
    target.run(5, service_s=0.005, greatest_in_flight=2)
    assert target.limit.limit == ConcurrencySettings().first_limit


def test_a_target_that_is_slower_for_good_recovers():
    """A lowest time from the past must not hold the limit at 1 for ever."""
    target = _Target()
    target.run(5, service_s=0.005)
    target.run(5, service_s=0.05)
    assert target.limit.limit == 1
    target.run(30, service_s=0.05)
    assert target.limit.limit >= _SLOTS


def test_the_limit_stays_within_one_and_the_quota():
    """Connections beyond the quota are refused by the target."""
    limit = ConcurrencyLimit(0, 2, ConcurrencySettings())
    assert [limit.start() for _ in range(3)] == [True, True, False]
    limit.change_quota(0)
    assert (limit.limit, limit.has_room) == (1, False)
    limit.finish(0, None)
    limit.finish(0, None)
    assert limit.has_room
