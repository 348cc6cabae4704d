"""Concurrency limit of one target, adapted to its response times."""

from typing import Final

import msgspec

_INFINITE_S: Final = float('inf')


class ConcurrencySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of the adaptive limit.

    :param initial_limit: limit before the first adaptation.
    :param min_interval_s: minimum length of the interval that one adaptation evaluates, in
        seconds.
    :param min_samples: minimum number of response times that one adaptation evaluates.
    :param latency_tolerance: the limit is reduced when even the fastest response of an interval
        took longer than this multiple of the minimum response time, plus ``latency_slack_s``.
    :param latency_slack_s: seconds by which response times vary without any queueing.
    :param decrease_factor: factor that a reduction multiplies the limit by.
    :param min_latency_window_s: seconds after which a new window for the minimum response time
        begins. A minimum is dropped after at most two windows, so that a target that has become
        permanently slower is not throttled forever.
    """

    initial_limit: int = 4
    min_interval_s: float = 0.1
    min_samples: int = 8
    latency_tolerance: float = 1.5
    latency_slack_s: float = 0.001
    decrease_factor: float = 0.8
    min_latency_window_s: float = 10.0


class ConcurrencyLimit:
    """Limit on the statements that run at one target at the same time.

    An adaptation evaluates the fastest response of an interval, not the mean: statements
    differ in duration, but a standing queue inside the target delays all of them.
    """

    __slots__ = (
        '_previous_min_latency_s',
        '_in_flight',
        '_interval_samples',
        '_interval_min_latency_s',
        '_interval_start',
        '_limit',
        '_min_latency_s',
        '_window_start',
        '_quota',
        '_settings',
        '_limit_was_reached',
    )

    def __init__(self, now: float, quota: int, settings: ConcurrencySettings) -> None:
        """Start at the initial limit.

        :param now: current time in seconds.
        :param quota: connection quota, which the limit never exceeds.
        :param settings: parameters of the adaptation.
        """
        self._settings = settings
        self._quota = max(quota, 1)
        self._limit = float(settings.initial_limit)
        self._in_flight = 0
        self._min_latency_s = _INFINITE_S
        self._previous_min_latency_s = _INFINITE_S
        self._window_start = now
        self._start_interval(now)

    @property
    def limit(self) -> int:
        """Maximum number of statements in flight, from 1 to the quota."""
        return max(1, min(int(self._limit), self._quota))

    @property
    def in_flight(self) -> int:
        """Number of statements in flight."""
        return self._in_flight

    @property
    def has_capacity(self) -> bool:
        """Whether another statement may start."""
        return self._in_flight < self.limit

    def change_quota(self, quota: int) -> None:
        """Replace the connection quota and reduce the limit to it."""
        self._quota = max(quota, 1)
        self._limit = min(self._limit, float(self._quota))

    def try_acquire(self) -> bool:
        """Count a statement that is about to be sent.

        :returns: ``False`` if the limit is reached.
        """
        if not self.has_capacity:
            return False
        self._in_flight += 1
        self._limit_was_reached = self._limit_was_reached or self._in_flight >= self.limit
        return True

    def release(self, now: float, response_s: float | None) -> None:
        """Stop counting a statement, and adapt the limit once an interval is complete.

        :param now: current time in seconds.
        :param response_s: response time in seconds; ``None`` if there was no response or its time
            does not reflect the target's load, as with a wait for replication.
        """
        self._in_flight -= 1
        if response_s is None:
            return
        self._rotate_window(now)
        self._min_latency_s = min(self._min_latency_s, response_s)
        self._interval_min_latency_s = min(self._interval_min_latency_s, response_s)
        self._interval_samples += 1
        interval_complete = now >= self._interval_start + self._settings.min_interval_s
        if interval_complete and self._interval_samples >= self._settings.min_samples:
            self._adapt_limit()
            self._start_interval(now)

    def _adapt_limit(self) -> None:
        settings = self._settings
        min_latency_s = min(self._min_latency_s, self._previous_min_latency_s)
        if (
            self._interval_min_latency_s
            > min_latency_s * settings.latency_tolerance + settings.latency_slack_s
        ):
            self._limit = max(self._limit * settings.decrease_factor, float(1))
        elif self._limit_was_reached:
            # Fast responses justify a higher limit only if the present one was reached.
            self._limit = min(self._limit + 1, float(self._quota))

    def _rotate_window(self, now: float) -> None:
        if now >= self._window_start + self._settings.min_latency_window_s:
            self._previous_min_latency_s = self._min_latency_s
            self._min_latency_s = _INFINITE_S
            self._window_start = now

    def _start_interval(self, now: float) -> None:
        self._interval_start = now
        self._interval_min_latency_s = _INFINITE_S
        self._interval_samples = 0
        self._limit_was_reached = self._in_flight >= self.limit
