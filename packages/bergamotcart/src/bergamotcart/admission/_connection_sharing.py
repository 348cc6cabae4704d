"""Connections to one target that entries share, where there are too few for each to keep some."""

from typing import Final

# Connections, with the one for probes, that an entry may use at once. The quota shrinks down to the
# minimum while the target refuses connections.
_MAX_QUOTA: Final = 4
_MIN_QUOTA: Final = 2
# Growth of the quota per adjustment without a refusal. It is adjusted four times a second, so it
# grows by one connection per second.
_QUOTA_STEP: Final = 0.25
# Part of the connections that entries keep open for good. The rest serves transactions and peaks.
_KEPT_FRACTION: Final = 0.5
# Bounds of the time for which an unused connection is kept. Opening a connection costs the target as
# much as a short statement.
_MIN_IDLE_S: Final = 0.05
_MAX_IDLE_S: Final = 1.6
_INITIAL_IDLE_S: Final = 0.4
_MAX_IDLE_BESIDE_KEPT_S: Final = 0.8
_IDLE_GROWTH_FACTOR: Final = 1.1
_IDLE_SHRINK_FACTOR: Final = 0.5
# Greatest part of the connections that all entries together should have open. The rest is free for
# entries that have none. The idle time changes with the square of the deviation.
_MAX_INTENDED_OCCUPANCY: Final = 0.85
_OCCUPANCY_EXPONENT: Final = 2
_MIN_OCCUPANCY: Final = 0.05
# The occupancy comes with each lease. After this time without a report, refusals decide again.
_OCCUPANCY_LIFETIME_S: Final = 2.0
# No connection is kept for good while the occupancy allows a shorter idle time only.
_MIN_KEEPING_IDLE_S: Final = 1.0
# With a shorter idle time, most statements would open a connection.
_MIN_SHARED_IDLE_S: Final = 0.1
_MAX_IDLE_REDUCTION: Final = 0.6


class ConnectionSharing:
    """Decides how many connections an entry uses at once, and how long it keeps unused ones.

    This answers callers that are spread over more entries than a target accepts connections: an
    entry that has connections is refused none, so it learns only from the occupancy, which the
    target reports, that others need them. All entries see the same occupancy and converge on the
    same idle time. Without reports, the idle time follows the refusals that the entry sees itself.
    """

    __slots__ = (
        '_idle_s',
        '_intended_occupancy',
        '_occupancy',
        '_quota',
        '_reported_at',
        '_was_refused',
    )

    def __init__(self) -> None:
        """Start with the greatest quota."""
        self._quota = float(_MAX_QUOTA)
        self._idle_s = _INITIAL_IDLE_S
        self._was_refused = False
        self._intended_occupancy = _MAX_INTENDED_OCCUPANCY
        self._occupancy: float | None = None
        self._reported_at = float('-inf')

    @property
    def quota(self) -> int:
        """Connections, with the one for probes, that the entry may use at once."""
        return int(self._quota)

    @property
    def idle_s(self) -> float:
        """Seconds after which an unused connection is closed."""
        return self._idle_s

    @property
    def occupancy(self) -> float | None:
        """Part of its connections that the target last reported as open, or ``None``."""
        return self._occupancy

    @property
    def is_keeping(self) -> bool:
        """Whether the occupancy allows to keep unused connections for good."""
        return self._occupancy is None or self._idle_s >= _MIN_KEEPING_IDLE_S

    def count_kept(self, share: float, rank: float) -> int:
        """Return the number of connections that stay open although they are unused.

        Entries with a low rank keep one connection more, so that the sum over all entries is about
        the intended part, also where there are more entries than connections.

        :param share: connections of the target divided by the number of entries.
        :param rank: number from 0 to 1 that differs between entries.
        """
        return int(share * _KEPT_FRACTION + 1 - rank) if self.is_keeping else 0

    def change_share(self, share: float) -> None:
        """Replace the part of the connections that all entries together should have open.

        It leaves one connection free for each entry, because after a loss of power all entries
        connect anew while the target still counts the former connections. Where connections are too
        few for that, each entry may have one.

        :param share: connections of the target divided by the number of entries.
        """
        one_each = 1 / max(share, 1.0)
        self._intended_occupancy = min(max(one_each, 1 - one_each), _MAX_INTENDED_OCCUPANCY)

    def record_refusal(self) -> None:
        """Record that the target refused a connection of this entry."""
        self._was_refused = True

    def idle_s_beside(self, kept: int) -> float:
        """Return the seconds after which an unused connection is closed.

        Those that an entry has beside a kept one serve peaks. After a peak, other entries may have
        none, and entries that have some are not refused, so they close them soon.

        :param kept: number of connections that stay open although they are unused.
        """
        return min(self._idle_s, _MAX_IDLE_BESIDE_KEPT_S) if kept else self._idle_s

    def restore_quota(self) -> None:
        """Return to the greatest quota, which was reduced for refusals that say nothing now."""
        self._quota = float(_MAX_QUOTA)
        self._was_refused = False

    def record_occupancy(self, now: float, occupancy: float) -> None:
        """Record which part of its connections a target has open, those of all entries together.

        :param now: current time in seconds.
        """
        self._occupancy = occupancy
        self._reported_at = now

    def adjust(self, now: float) -> None:
        """Adjust the quota and the idle time; called four times a second.

        :param now: current time in seconds.
        """
        if now > self._reported_at + _OCCUPANCY_LIFETIME_S:
            self._occupancy = None
        was_refused = self._was_refused
        self._was_refused = False
        is_quota_reduced = was_refused and self._quota > _MIN_QUOTA
        if is_quota_reduced:
            self._quota = max(self._quota - 1, float(_MIN_QUOTA))
        elif not was_refused:
            self._quota = min(self._quota + _QUOTA_STEP, float(_MAX_QUOTA))
        if self._occupancy is not None:
            self._approach_intended_occupancy(self._occupancy)
        elif not was_refused:
            self._idle_s = min(self._idle_s * _IDLE_GROWTH_FACTOR, _MAX_IDLE_S)
        elif not is_quota_reduced:
            self._idle_s = max(self._idle_s * _IDLE_SHRINK_FACTOR, _MIN_IDLE_S)

    def _approach_intended_occupancy(self, occupancy: float) -> None:
        ratio = self._intended_occupancy / max(occupancy, _MIN_OCCUPANCY)
        factor = min(max(ratio**_OCCUPANCY_EXPONENT, _MAX_IDLE_REDUCTION), _IDLE_GROWTH_FACTOR)
        self._idle_s = min(max(self._idle_s * factor, _MIN_SHARED_IDLE_S), _MAX_IDLE_S)
