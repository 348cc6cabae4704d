"""Pacing of the reads that fall back to the primary."""

import random
from typing import Final

# Bounds of the interval between two reads once the primary has refused statements.
_MIN_INTERVAL_S: Final = 0.4
_MAX_INTERVAL_S: Final = 3.2
_GROWTH_FACTOR: Final = 2.0
# Without refusals, the interval shrinks by this factor each second.
_DECAY_PER_S: Final = 0.9
# Below this interval, reads are no longer paced.
_NEGLIGIBLE_INTERVAL_S: Final = 0.2


class ReadPacer:
    """Spaces the reads of one entry at a full primary, so that other statements find free slots.

    The interval doubles when the primary refuses a statement and shrinks slowly, so all entries
    together converge on the rate that the primary can bear, without messages between them.
    """

    __slots__ = ('_interval_s', '_grown_at', '_next_read_at', '_updated_at')

    def __init__(self) -> None:
        """Start without pacing."""
        self._interval_s = 0.0
        self._grown_at = float('-inf')
        self._next_read_at = float('-inf')
        self._updated_at = 0.0

    def record_refusal(self, now: float) -> None:
        """Slow down after a refusal; further ones in the same interval count as the same one.

        :param now: current time in seconds.
        """
        self._decay(now)
        if now < self._grown_at + self._interval_s:
            return
        grown_s = max(self._interval_s * _GROWTH_FACTOR, _MIN_INTERVAL_S)
        self._interval_s = min(grown_s, _MAX_INTERVAL_S)
        self._grown_at = now
        self._next_read_at = now + self._interval_s

    def delay_s(self, now: float) -> float:
        """Return the seconds until the next read may be sent; 0 if it may be sent now.

        :param now: current time in seconds.
        """
        self._decay(now)
        return max(self._next_read_at - now, 0.0) if self._interval_s else 0.0

    def record_read(self, now: float, rng: random.Random) -> None:
        """Record a read that is sent to the primary.

        :param now: current time in seconds.
        :param rng: spreads the reads of entries that slowed down at the same time.
        """
        self._decay(now)
        self._next_read_at = now + rng.uniform(0.5, 1.5) * self._interval_s

    def _decay(self, now: float) -> None:
        elapsed_s = max(now - self._updated_at, 0.0)
        self._updated_at = now
        self._interval_s *= _DECAY_PER_S**elapsed_s
        if self._interval_s < _NEGLIGIBLE_INTERVAL_S:
            self._interval_s = 0.0
