"""Expected wait in a queue, and the times at which refused callers may come back."""

import random
from typing import Final

# Departures before the mean interval between them says how fast the queue is served.
_MIN_DEPARTURES: Final = 8
# Number of departures over which the interval is averaged.
_AVERAGED_DEPARTURES: Final = 32
# Longest counted interval, relative to the mean. A primary that is replaced serves nothing for a
# second or two, which says nothing about the rate before and after.
_MAX_DEVIATION: Final = 4.0
# Intervals between departures for each caller that comes back.
_RETURN_SPACING: Final = 2
# Part of its objective that a request may wait in a queue that has been long for some time. The rest
# is left for the statement itself and for waits that are longer than expected.
_STANDING_SHARE: Final = 0.5
# Intervals between departures without a late request that end an overload, if they are longer than
# the objective. An entry with few requests gets none for so long during an overload.
_QUIET_INTERVALS: Final = 4
# After a pause of this length, in seconds, the queue may be served at another rate.
_FORGET_AFTER_S: Final = 10.0


class _Lateness:
    """Tells a peak of requests of one kind, which drains by itself, from a queue that stays long.

    :ivar since: time in seconds at which they began to be late, or ``None``.
    :ivar last_at: time in seconds at which one was last late.
    """

    __slots__ = ('last_at', 'since')

    def __init__(self) -> None:
        self.since: float | None = None
        self.last_at = float('-inf')

    def is_standing(self, now: float, wait_s: float, objective_s: float, interval_s: float) -> bool:
        if now >= self.last_at + max(objective_s, interval_s * _QUIET_INTERVALS):
            # One request in time does not end an overload: if it did, all callers would be admitted
            # for another objective, and the queue would again become as long as at the beginning.
            self.since = None
        is_standing = self.since is not None and now >= self.since + objective_s
        longest_wait_s = objective_s * _STANDING_SHARE if is_standing else objective_s
        # With one request ahead, the server is not idle before the next one arrives.
        if wait_s <= max(longest_wait_s, interval_s):
            return False
        self.last_at = now
        if self.since is None:
            self.since = now
        return is_standing


class QueuePace:
    """Measures how fast a queue is served.

    This answers a crowd: more requests than a target can serve for some seconds. A request that
    would only reach its deadline in the queue is refused at once, and refused callers come back one
    after the other, at the rate at which the queue is served, instead of all together.
    """

    __slots__ = (
        '_count',
        '_interval_s',
        '_is_draining',
        '_last_at',
        '_last_return_at',
        '_lateness',
    )

    def __init__(self) -> None:
        """Start without an estimate."""
        self._count = 0
        self._interval_s = 0.0
        self._is_draining = False
        self._last_at = float('-inf')
        self._last_return_at = float('-inf')
        # By priority and objective, since those of a higher priority do not wait for the others.
        self._lateness: dict[tuple[int, float], _Lateness] = {}

    def record_arrival(self, now: float) -> None:
        """Record that a request has entered the empty queue.

        :param now: current time in seconds.
        """
        if now > self._last_at + _FORGET_AFTER_S:
            self._count = 0
        self._is_draining = False

    def record_departure(self, now: float) -> None:
        """Record that a request was sent from the queue.

        :param now: current time in seconds.
        """
        interval_s = now - self._last_at
        self._last_at = now
        if not self._is_draining:
            # How long the first request has waited depends on when it arrived.
            self._is_draining = True
            return
        if self._count >= _MIN_DEPARTURES:
            interval_s = min(interval_s, self._interval_s * _MAX_DEVIATION)
        self._count = min(self._count + 1, _AVERAGED_DEPARTURES)
        self._interval_s += (interval_s - self._interval_s) / self._count

    def expected_wait_s(self, ahead: int) -> float | None:
        """Return the expected wait of a request in seconds, or ``None`` without an estimate.

        :param ahead: number of requests that are served before it.
        """
        return None if self._count < _MIN_DEPARTURES else ahead * self._interval_s

    def is_standing(self, now: float, wait_s: float, objective_s: float, priority: int = 0) -> bool:
        """Tell whether new requests have been late for longer than their objective.

        Such a queue is no peak that drains by itself: it makes every request late, while the rate
        of answers is the same with a queue that lets them be in time. It ends when none has been
        late for as long as the objective, and for some intervals between departures.

        :param now: current time in seconds.
        :param wait_s: expected wait of a new request, in seconds.
        :param objective_s: time within which it should be served, in seconds, or 0 for none.
        :param priority: priority of the request.
        """
        if objective_s <= 0:
            return False
        lateness = self._lateness.setdefault((priority, objective_s), _Lateness())
        return lateness.is_standing(now, wait_s, objective_s, self._interval_s)

    def return_after_s(
        self, now: float, wait_s: float, objective_s: float, limit_s: float, rng: random.Random
    ) -> float:
        """Return the seconds after which a refused caller may come back.

        The queue will then have drained so far that a new request is served within its objective.
        Callers that are refused one after the other get later times in the same order. They come
        back at half the rate at which the queue is served, since others arrive as well.

        :param now: current time in seconds.
        :param wait_s: expected wait of a request that arrives now, in seconds.
        :param objective_s: time within which a request should be served, in seconds.
        :param limit_s: longest time that is of use to the caller, in seconds.
        :param rng: spreads the callers for which no time within the limit is left.
        """
        drained_at = now + max(wait_s - objective_s, self._interval_s)
        return_at = max(drained_at, self._last_return_at + self._interval_s * _RETURN_SPACING)
        if return_at > now + limit_s:
            # Without its objective left, a caller would come back only to be late again, and add to
            # the load after the overload.
            latest_s = max(limit_s - objective_s, limit_s / 2)
            return rng.uniform(min(drained_at - now, latest_s), latest_s)
        self._last_return_at = return_at
        return return_at - now
