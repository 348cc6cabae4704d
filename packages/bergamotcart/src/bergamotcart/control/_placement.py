"""Choice of the instance that becomes primary."""

from collections import Counter
from dataclasses import dataclass

from bergamotcart import messages
from bergamotcart.control._events import InstanceStatus
from bergamotcart.discovery import Position


@dataclass(frozen=True, slots=True)
class Candidate:
    """An instance that has stopped following, with its final position.

    :param is_heard: entries have heard it recently, so they would send work to it.
    """

    status: InstanceStatus
    announcement: messages.Announcement
    is_heard: bool

    @property
    def takes_work(self) -> bool:
        """Whether entries would send work to it for long."""
        return self.is_heard and not self.announcement.leaving

    @property
    def position(self) -> Position:
        """Place of its last record."""
        return Position(self.status.log_term, self.status.position)


def count_needed(instances: int) -> int:
    """Return how many instances must answer so that no acknowledged write is missed.

    A write is acknowledged once two instances have it, so all but one of the instances
    include at least one of the two. Beyond three instances, that is more than a majority.
    """
    return max(instances // 2 + 1, instances - 1)


def choose_primary(
    candidates: list[Candidate],
    floor: Position | None,
    primaries_by_zone: Counter[str],
) -> Candidate:
    """Choose among the instances that have answered.

    :param candidates: at least one.
    :param floor: in a planned replacement, the former primary's position at a time at
        which no write could be acknowledged any more; an instance that stays and has
        that position is preferred to a leaving one that is further.
    :param primaries_by_zone: number of primaries in each availability zone; among equals,
        the zone with the fewest is chosen.
    """
    if floor is not None:
        staying = [
            candidate
            for candidate in candidates
            if candidate.takes_work and candidate.position >= floor
        ]
        candidates = staying or candidates
    return max(candidates, key=lambda candidate: _rank(candidate, primaries_by_zone))


def _rank(candidate: Candidate, primaries_by_zone: Counter[str]) -> tuple[object, ...]:
    announcement = candidate.announcement
    return (
        candidate.position,
        candidate.takes_work,
        -primaries_by_zone[announcement.availability_zone],
        announcement.instance,
    )
