"""Reconnecting to a target that counts connections of dead processes as open."""

import random
from typing import Final

# Time of a slot that a target needs to open a connection.
_OPENING_S: Final = 0.012
# Instances notice after 3 s that the machine of a caller is gone. After that, connections are refused
# because living processes hold them, and trying again often would only take slots in a crowd.
_DEAD_CONNECTIONS_S: Final = 4.0
# Below the lower bound, refused connections would keep an entry busy; above the upper one, free
# connections would stay unused.
_MIN_INTERVAL_S: Final = 0.05
_MAX_INTERVAL_S: Final = 0.4
# Part by which a pause differs from the interval, so that entries that were refused at the same
# time do not try again at the same time.
_SPREAD: Final = 0.5


class Reconnecting:
    """Decides when to open connections to one target, and how many at once.

    This answers a restart or a loss of power: all entries connect at the same time, to targets that
    accept few connections until they notice that the former processes are gone. A refused attempt
    costs a target little, but an accepted one occupies a slot. The entries therefore try again at
    intervals in which the slots can open one connection for each of them, and none opens a second
    connection before its first one has served a statement.
    """

    __slots__ = ('_has_connected', '_is_careful', '_is_refused', '_started_at')

    def __init__(self, now: float) -> None:
        """Start as a process that has not connected to the target yet.

        :param now: time in seconds at which the process learnt of the target.
        """
        self._started_at = now
        self._has_connected = False
        self._is_careful = True
        self._is_refused = False

    @property
    def has_connected(self) -> bool:
        """Whether a statement has been served since the start."""
        return self._has_connected

    def may_open(self, opening: int) -> bool:
        """Tell whether another connection may be opened.

        :param opening: number of connections that are being opened.
        """
        return not (self._is_careful and opening > 0)

    def is_expected(self, now: float) -> bool:
        """Tell whether connections are refused, but are likely to be accepted soon.

        :param now: current time in seconds.
        """
        return self._is_refused and now < self._started_at + _DEAD_CONNECTIONS_S

    def record_refusal(self) -> None:
        """Record that the target refused a connection."""
        self._is_careful = True
        self._is_refused = True

    def record_answer(self) -> None:
        """Record that the target has served a statement."""
        self._has_connected = True
        self._is_careful = False
        self._is_refused = False

    def pause_s(self, entry_count: int, slots: int, rng: random.Random) -> float:
        """Return the seconds until the next attempt after a refusal.

        :param entry_count: number of entries that may connect to the target.
        :param slots: slots of the target.
        :param rng: spreads the attempts of the entries.
        """
        interval_s = max(entry_count, 1) * _OPENING_S / max(slots, 1)
        interval_s = min(max(interval_s, _MIN_INTERVAL_S), _MAX_INTERVAL_S)
        return interval_s * rng.uniform(1 - _SPREAD, 1 + _SPREAD)
