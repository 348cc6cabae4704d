"""Concurrency limit of one target, adapted to its answer times."""

from dataclasses import dataclass
from typing import Final

_INFINITE_S: Final = float('inf')


@dataclass(frozen=True, slots=True, kw_only=True)
class ConcurrencySettings:
    """How the limit is adapted.

    :param interval_s: seconds that one adaptation looks at, at least.
    :param samples: answers that one adaptation looks at, at least.
    :param tolerance: the limit shrinks when even the fastest answer of an interval took
        longer than this multiple of the lowest time seen, plus ``slack_s``.
    :param slack_s: seconds by which answer times vary without any queue.
    :param shrink: factor of a reduction.
    :param lowest_kept_s: a lowest time is forgotten after at most twice this long, so that
        a target that has become slower for good is not throttled for ever.
    """

    first_limit: int = 4
    interval_s: float = 0.1
    samples: int = 8
    tolerance: float = 1.5
    slack_s: float = 0.001
    shrink: float = 0.8
    lowest_kept_s: float = 10.0


class ConcurrencyLimit:
    """Number of statements that one target is given at the same time.

    The fastest answer of an interval is compared, not the mean: statements differ in
    length, but a standing queue inside the target delays all of them.
    """

    __slots__ = (
        '_former_lowest_s',
        '_in_flight',
        '_interval_count',
        '_interval_lowest_s',
        '_interval_start',
        '_limit',
        '_lowest_s',
        '_lowest_since',
        '_quota',
        '_settings',
        '_was_full',
    )

    def __init__(self, now: float, quota: int, settings: ConcurrencySettings) -> None:
        """Start at the first limit.

        :param now: current time in seconds.
        :param quota: connection quota, which the limit never exceeds.
        :param settings: how to adapt.
        """
        self._settings = settings
        self._quota = max(quota, 1)
        self._limit = float(settings.first_limit)
        self._in_flight = 0
        self._lowest_s = _INFINITE_S
        self._former_lowest_s = _INFINITE_S
        self._lowest_since = now
        self._start_interval(now)

    @property
    def limit(self) -> int:
        """Greatest number of statements in flight, from 1 to the quota."""
        return max(1, min(int(self._limit), self._quota))

    @property
    def in_flight(self) -> int:
        """Statements in flight."""
        return self._in_flight

    @property
    def has_room(self) -> bool:
        """Whether another statement may start."""
        return self._in_flight < self.limit

    def change_quota(self, quota: int) -> None:
        """Use another connection quota from now on."""
        self._quota = max(quota, 1)
        self._limit = min(self._limit, float(self._quota))

    def start(self) -> bool:
        """Start a statement.

        :returns: ``False`` if there is no room.
        """
        if not self.has_room:
            return False
        self._in_flight += 1
        self._was_full = self._was_full or self._in_flight >= self.limit
        return True

    def finish(self, now: float, answer_s: float | None) -> None:
        """End a statement, and adapt the limit after enough of them.

        :param now: current time in seconds.
        :param answer_s: seconds from sending to the answer; ``None`` if there was no
            answer or its time says nothing, as with a wait for replication.
        """
        self._in_flight -= 1
        if answer_s is None:
            return
        self._age_lowest(now)
        self._lowest_s = min(self._lowest_s, answer_s)
        self._interval_lowest_s = min(self._interval_lowest_s, answer_s)
        self._interval_count += 1
        long_enough = now >= self._interval_start + self._settings.interval_s
        if long_enough and self._interval_count >= self._settings.samples:
            self._adapt()
            self._start_interval(now)

    def _adapt(self) -> None:
        settings = self._settings
        lowest_s = min(self._lowest_s, self._former_lowest_s)
        if self._interval_lowest_s > lowest_s * settings.tolerance + settings.slack_s:
            self._limit = max(self._limit * settings.shrink, float(1))
        elif self._was_full:
            # Without full use, good answer times say nothing about a higher limit.
            self._limit = min(self._limit + 1, float(self._quota))

    def _age_lowest(self, now: float) -> None:
        if now >= self._lowest_since + self._settings.lowest_kept_s:
            self._former_lowest_s = self._lowest_s
            self._lowest_s = _INFINITE_S
            self._lowest_since = now

    def _start_interval(self, now: float) -> None:
        self._interval_start = now
        self._interval_lowest_s = _INFINITE_S
        self._interval_count = 0
        self._was_full = self._in_flight >= self.limit
