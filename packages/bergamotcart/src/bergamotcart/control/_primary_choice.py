"""Choice of the instance that becomes the primary of a group."""

from collections import Counter

import msgspec

from bergamotcart import messages
from bergamotcart.control._events import InstanceStatus
from bergamotcart.discovery import Position


class Candidate(msgspec.Struct, frozen=True):
    """An instance that has stopped following, with its final position.

    :param status: its answer with the position.
    :param announcement: its newest announcement.
    :param is_recently_announced: whether that is recent, so that entries send requests to it.
    """

    status: InstanceStatus
    announcement: messages.Announcement
    is_recently_announced: bool

    @property
    def receives_requests(self) -> bool:
        """Whether entries would send requests to it, and go on doing so as it is not leaving."""
        return self.is_recently_announced and not self.announcement.leaving

    @property
    def position(self) -> Position:
        """Position of its last record."""
        return Position(self.status.log_term, self.status.position)


def count_required_answers(instances: int) -> int:
    """Return how many instances must answer so that no acknowledged write is missed.

    A write is acknowledged once two instances have it. Any set of all instances but one contains
    at least one of these two. With more than three instances, this is more than a majority.

    :param instances: number of instances of the group.
    """
    return max(instances // 2 + 1, instances - 1)


def choose_primary(
    candidates: list[Candidate],
    required_position: Position | None,
    primaries_by_zone: Counter[str],
) -> Candidate:
    """Choose the new primary among the instances that have answered.

    :param candidates: at least one.
    :param required_position: in a switchover, the former primary's position at a time at
        which no write could be acknowledged any more. An instance that is not leaving and has
        reached this position is preferred to a leaving one with a higher position.
    :param primaries_by_zone: number of primaries in each availability zone. Among instances that
        are otherwise equal, the one in the zone with the fewest is chosen.
    :returns: the chosen instance.
    """
    if required_position is not None:
        caught_up = [
            candidate
            for candidate in candidates
            if candidate.receives_requests and candidate.position >= required_position
        ]
        candidates = caught_up or candidates
    return max(candidates, key=lambda candidate: _rank_candidate(candidate, primaries_by_zone))


def _rank_candidate(candidate: Candidate, primaries_by_zone: Counter[str]) -> tuple[object, ...]:
    announcement = candidate.announcement
    return (
        candidate.position,
        candidate.receives_requests,
        -primaries_by_zone[announcement.availability_zone],
        announcement.instance,
    )
