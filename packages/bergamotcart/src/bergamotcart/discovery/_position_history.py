"""History of a primary's log positions, which proves the age of a replica's data."""

import bisect
import operator
from collections.abc import Sequence
from typing import Final, NamedTuple

from bergamotcart.discovery._branches import is_discarded
from bergamotcart.discovery._positions import Position

_MIN_KEPT_POSITIONS: Final = 2048
_get_position: Final = operator.attrgetter('position')
_get_sent_at: Final = operator.attrgetter('sent_at')


class KnownPosition(NamedTuple):
    """Position that a primary had when it answered.

    :param sent_at: time at which it was asked, in seconds.
    :param source: how it was asked, for the log.
    """

    position: Position
    sent_at: float
    source: str


class PrimaryPositionHistory:
    """Log positions of one group's primary, each with the time at which its probe was sent.

    Add only positions that count as proof: the probe was sent to the primary of the open term
    and answered while the lease was valid.
    """

    __slots__ = ('_known',)

    def __init__(self) -> None:
        """Initialize without positions."""
        # Ordered by position and by time.
        self._known: list[KnownPosition] = []

    @property
    def newest(self) -> Position | None:
        """Last position, or ``None`` if there is none."""
        return self._known[-1].position if self._known else None

    @property
    def newest_known(self) -> KnownPosition | None:
        """Last position with its origin, or ``None`` if there is none."""
        return self._known[-1] if self._known else None

    @property
    def newest_sent_at(self) -> float:
        """Time in seconds at which the last probe was sent; minus infinity if there is none."""
        return self._known[-1].sent_at if self._known else float('-inf')

    def add(self, sent_at: float, position: Position, source: str = 'probe of the primary') -> None:
        """Add a position; one that is older than the last is ignored.

        :param sent_at: time at which the probe was sent, in seconds.
        :param position: position of the last record of the primary.
        :param source: how the primary was asked, for the log.
        """
        newest = self.newest
        if newest is not None and (sent_at <= self.newest_sent_at or position < newest):
            return
        if position == newest:
            self._known.pop()
        self._known.append(KnownPosition(position, sent_at, source))
        if len(self._known) > 2 * _MIN_KEPT_POSITIONS:
            self._known = self._known[_MIN_KEPT_POSITIONS:]

    def clear(self) -> None:
        """Remove all positions, because another primary takes over."""
        self._known.clear()

    def first_since(self, sent_since: float) -> KnownPosition | None:
        """Return the lowest position whose probe was sent at or after a time.

        It covers every write that was acknowledged before that time.

        :param sent_since: time in seconds.
        :returns: the position, or ``None`` if no probe was sent since.
        """
        index = bisect.bisect_left(self._known, sent_since, key=_get_sent_at)
        return self._known[index] if index < len(self._known) else None

    def proved_at(
        self,
        position: Position,
        branch_points: Sequence[tuple[int, int]],
    ) -> float | None:
        """Return the last time at which the primary was known to be at or below a position.

        :param position: position of the last record of an instance.
        :param branch_points: branch points of the group.
        :returns: time in seconds; the age of data at the position is at most ``now`` minus this
            time; ``None`` if its age cannot be proved.
        """
        if is_discarded(position, branch_points):
            return None
        # On branches that are not discarded, positions are ordered by (log term, position).
        index = bisect.bisect_right(self._known, position, key=_get_position) - 1
        while index >= 0 and self._known[index].position.position > position.position:
            index -= 1
        return self._known[index].sent_at if index >= 0 else None
