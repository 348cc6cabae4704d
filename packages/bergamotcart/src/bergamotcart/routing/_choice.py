"""Replica choice: eligibility, then availability zone, then load; waits against the primary."""

import enum
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from bergamotcart.discovery import Position, TargetKey, satisfies_floor

# A replica of another availability zone is preferred to one of the own availability zone
# only when that one has this many more statements per allowed connection.
_OTHER_ZONE_LOAD: Final = 1.0
# Another zone of the same region takes less than half as long as one of another region.
_OWN_REGION_LOAD: Final = 0.4

# Writes have nowhere else to go, so a read takes the primary only if replicas have this many
# more statements per allowed connection.
_PRIMARY_LOAD: Final = 0.5
# A refused read costs a round trip, which is about as much as the way to another zone.
_UNPROVED_LOAD: Final = 0.75
_FAILED_LOAD: Final = 10.0

# Reasons for a wait: a replica will catch up soon; the reads' share of the primary is used up.
CATCH_UP: Final = 'catch_up'
PRIMARY_BUSY: Final = 'primary_protected'


@dataclass(frozen=True, slots=True)
class Candidate:
    """A replica that takes new work.

    :param proved_at: time from which its data is proved, in seconds, or ``None``.
    :param load: statements running and queued per allowed connection.
    :param catch_up_s: expected time until it has a position that the primary has now.
    """

    key: TargetKey
    own_zone: bool
    position: Position
    proved_at: float | None
    load: float
    catch_up_s: float


@dataclass(frozen=True, slots=True)
class ReadNeed:
    """What a read needs.

    :param floor: position that the session has seen, or ``None``.
    :param oldest: earliest time from which the data may be, in seconds, or ``None``.
    :param wait_left_s: seconds for which the read may still wait for a replica.
    :param only: instance whose position after the last read is not known yet; the read
        may go only there.
    """

    floor: Position | None
    oldest: float | None
    wait_left_s: float
    only: TargetKey | None = None


@enum.unique
class PrimaryState(enum.Enum):
    """Whether a read may go to the primary."""

    free = enum.auto()
    busy = enum.auto()
    unavailable = enum.auto()


@enum.unique
class RouteAction(enum.StrEnum):
    """What happens to a read next."""

    replica = 'send_to_replica'
    primary = 'send_to_primary'
    wait = 'wait_for_replica'


@dataclass(frozen=True, slots=True)
class Route:
    """Decision for one read.

    :param wait_s: seconds after which the read is routed again, for ``wait``.
    """

    action: RouteAction
    reason: str
    target: TargetKey | None = None
    wait_s: float = 0.0


def choose_route(
    need: ReadNeed,
    candidates: Sequence[Candidate],
    primary: PrimaryState,
    branch_points: Sequence[tuple[int, int]],
) -> Route:
    """Choose where a read goes.

    :param need: what the read needs.
    :param candidates: replicas of the group that take new work.
    :param primary: whether the primary may serve the read.
    :param branch_points: branch points of the group.
    """
    best: Candidate | None = None
    best_load = float('inf')
    for candidate in candidates:
        if not _is_eligible(candidate, need, branch_points):
            continue
        load = candidate.load if candidate.own_zone else candidate.load + _OTHER_ZONE_LOAD
        if load < best_load:
            best, best_load = candidate, load
    if best is not None:
        reason = 'own_zone' if best.own_zone else 'other_zone'
        return Route(RouteAction.replica, reason, best.key)
    return _without_replica(need, candidates, primary)


def _is_eligible(
    candidate: Candidate,
    need: ReadNeed,
    branch_points: Sequence[tuple[int, int]],
) -> bool:
    if need.only is not None and candidate.key != need.only:
        return False
    if need.oldest is not None:
        if candidate.proved_at is None or candidate.proved_at < need.oldest:
            return False
    return satisfies_floor(candidate.position, need.floor, branch_points)


def _without_replica(
    need: ReadNeed,
    candidates: Sequence[Candidate],
    primary: PrimaryState,
) -> Route:
    if primary is PrimaryState.unavailable:
        return Route(RouteAction.wait, 'no_eligible_replica', wait_s=need.wait_left_s)
    if primary is PrimaryState.busy:
        return Route(RouteAction.wait, PRIMARY_BUSY, wait_s=need.wait_left_s)
    expected = min((candidate.catch_up_s for candidate in candidates), default=float('inf'))
    if expected < need.wait_left_s:
        return Route(RouteAction.wait, CATCH_UP, wait_s=need.wait_left_s)
    return Route(RouteAction.primary, 'replicas_behind')


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceChoice:
    """An instance that may serve a read together with the position that it must have.

    :param own_region: whether it is in the region of this process, which its zone implies.
    :param has_floor: whether it is known to have that position.
    :param has_failed: whether it has refused this read, for lack of the position or of room.
    :param load: statements running and queued per allowed connection.
    :param rank: order among equals, from 0 to 1; it differs between processes.
    """

    key: TargetKey
    own_zone: bool
    is_primary: bool
    has_floor: bool
    has_failed: bool
    load: float
    own_region: bool = False
    rank: float = 0.0

    @property
    def reason(self) -> str:
        """Why it is a good choice, for the log."""
        if self.is_primary:
            return 'primary'
        if self.own_zone:
            return 'own_zone'
        return 'own_region' if self.own_region else 'other_zone'

    @property
    def cost(self) -> float:
        """What speaks against it; the lowest cost is chosen."""
        cost = self.load
        if not self.own_zone:
            cost += _OWN_REGION_LOAD if self.own_region else _OTHER_ZONE_LOAD
        if self.is_primary:
            cost += _PRIMARY_LOAD
        if not self.has_floor:
            cost += _UNPROVED_LOAD
        return cost + _FAILED_LOAD * self.has_failed


def choose_instance(choices: Sequence[InstanceChoice]) -> InstanceChoice | None:
    """Choose the instance for a read that carries the position it needs.

    :param choices: instances that take new work.
    :returns: the choice, or ``None`` if there is none.
    """
    return min(choices, key=lambda choice: (choice.cost, choice.rank, choice.key), default=None)
