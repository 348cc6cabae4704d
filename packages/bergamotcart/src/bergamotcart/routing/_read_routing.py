"""Selection of the instance for a read.

The read goes to the eligible replica with the lowest load, where a replica of another availability
zone counts as more loaded. Without one it waits for a replica or goes to the primary.
"""

import enum
from collections.abc import Sequence
from typing import Final

import msgspec

from bergamotcart.discovery import Position, TargetKey, satisfies_floor

# The penalties are added to the load and have its unit: statements per allowed connection.
# A replica of another availability zone is preferred only if the replicas of the own zone have at
# least this much more load.
_OTHER_ZONE_PENALTY: Final = 1.0
# The round trip to another zone of the same region takes less than half as long as that to a zone
# of another region.
_OWN_REGION_PENALTY: Final = 0.4

# Only the primary can execute writes, so a read goes there only if the replicas have at least this
# much more load.
_PRIMARY_PENALTY: Final = 0.5
# An instance that is not known to have the position may refuse the read. A refused read costs a
# round trip, which is about as much as a round trip to another zone.
_UNPROVED_PENALTY: Final = 0.75
_FAILED_PENALTY: Final = 10.0

# Reasons for a wait: a replica is expected to catch up in time; reads have used up their share
# of the primary.
REASON_CATCH_UP: Final = 'catch_up'
REASON_PRIMARY_BUSY: Final = 'primary_protected'


class ReplicaCandidate(msgspec.Struct, frozen=True):
    """A replica that accepts new statements.

    :param own_zone: whether it is in the availability zone of this process.
    :param position: position of its last record.
    :param proved_at: time in seconds up to which its data is proved complete, or ``None``.
    :param load: statements running and queued per allowed connection.
    :param catch_up_s: expected seconds until it reaches the current position of the primary.
    """

    key: TargetKey
    own_zone: bool
    position: Position
    proved_at: float | None
    load: float
    catch_up_s: float


class ReadRequirements(msgspec.Struct, frozen=True):
    """Requirements of a read.

    :param floor: highest position that the session has seen, or ``None``.
    :param min_proved_at: time in seconds up to which the data must be complete, or ``None`` if any
        age is tolerated.
    :param remaining_wait_s: seconds for which the read may still wait for a replica.
    :param required_target: instance that served the last read of the session, if its position after
        that read is not known yet; the read may go only there.
    """

    floor: Position | None
    min_proved_at: float | None
    remaining_wait_s: float
    required_target: TargetKey | None = None


@enum.unique
class PrimaryAvailability(enum.Enum):
    """Whether a read may go to the primary."""

    free = enum.auto()
    busy = enum.auto()
    unavailable = enum.auto()


@enum.unique
class RoutingAction(enum.StrEnum):
    """Next step for a read."""

    replica = 'send_to_replica'
    primary = 'send_to_primary'
    wait = 'wait_for_replica'


class RoutingDecision(msgspec.Struct, frozen=True):
    """Decision for one read.

    :param target: the chosen replica, or ``None`` for other actions.
    :param wait_s: seconds after which the read is routed again, for ``wait``.
    """

    action: RoutingAction
    reason: str
    target: TargetKey | None = None
    wait_s: float = 0.0


def route_read(
    requirements: ReadRequirements,
    candidates: Sequence[ReplicaCandidate],
    primary: PrimaryAvailability,
    branch_points: Sequence[tuple[int, int]],
) -> RoutingDecision:
    """Choose a replica for a read, or the primary, or let the read wait.

    :param requirements: requirements of the read.
    :param candidates: replicas of the group that accept new statements.
    :param primary: whether the primary may serve the read.
    :param branch_points: branch points of the group.
    """
    best: ReplicaCandidate | None = None
    best_load = float('inf')
    for candidate in candidates:
        if not _is_eligible(candidate, requirements, branch_points):
            continue
        load = candidate.load if candidate.own_zone else candidate.load + _OTHER_ZONE_PENALTY
        if load < best_load:
            best, best_load = candidate, load
    if best is not None:
        reason = 'own_zone' if best.own_zone else 'other_zone'
        return RoutingDecision(RoutingAction.replica, reason, best.key)
    return _choose_without_replica(requirements, candidates, primary)


def _is_eligible(
    candidate: ReplicaCandidate,
    requirements: ReadRequirements,
    branch_points: Sequence[tuple[int, int]],
) -> bool:
    if requirements.required_target is not None and candidate.key != requirements.required_target:
        return False
    if requirements.min_proved_at is not None:
        if candidate.proved_at is None or candidate.proved_at < requirements.min_proved_at:
            return False
    return satisfies_floor(candidate.position, requirements.floor, branch_points)


def _choose_without_replica(
    requirements: ReadRequirements,
    candidates: Sequence[ReplicaCandidate],
    primary: PrimaryAvailability,
) -> RoutingDecision:
    if primary is PrimaryAvailability.unavailable:
        return RoutingDecision(
            RoutingAction.wait, 'no_eligible_replica', wait_s=requirements.remaining_wait_s
        )
    if primary is PrimaryAvailability.busy:
        return RoutingDecision(
            RoutingAction.wait, REASON_PRIMARY_BUSY, wait_s=requirements.remaining_wait_s
        )
    shortest_catch_up_s = min(
        (candidate.catch_up_s for candidate in candidates), default=float('inf')
    )
    if shortest_catch_up_s < requirements.remaining_wait_s:
        return RoutingDecision(
            RoutingAction.wait, REASON_CATCH_UP, wait_s=requirements.remaining_wait_s
        )
    return RoutingDecision(RoutingAction.primary, 'replicas_behind')


class InstanceCandidate(msgspec.Struct, frozen=True, kw_only=True):
    """An instance that may serve a read that carries the position it needs.

    :param own_zone: whether it is in the availability zone of this process.
    :param own_region: whether its availability zone is in the region of this process.
    :param has_floor: whether it is known to have that position.
    :param has_failed: whether it has failed this read, because it lacked the position, had no free
        connection or could not be reached, or accepts no further connections at present.
    :param load: statements running and queued per allowed connection.
    :param rank: tie-breaker from 0 to 1; it differs between processes, so that they do not all
        choose the same instance.
    :param zone: its availability zone.
    """

    key: TargetKey
    own_zone: bool
    is_primary: bool
    has_floor: bool
    has_failed: bool
    load: float
    own_region: bool = False
    rank: float = 0.0
    zone: str = ''

    @property
    def reason(self) -> str:
        """Reason for the choice of this instance, for the log."""
        if self.is_primary:
            return 'primary'
        if self.own_zone:
            return 'own_zone'
        return 'own_region' if self.own_region else 'other_zone'

    @property
    def cost(self) -> float:
        """Load plus penalties; the instance with the lowest cost is chosen."""
        cost = self.load
        if not self.own_zone:
            cost += _OWN_REGION_PENALTY if self.own_region else _OTHER_ZONE_PENALTY
        if self.is_primary:
            cost += _PRIMARY_PENALTY
        if not self.has_floor:
            cost += _UNPROVED_PENALTY
        return cost + _FAILED_PENALTY * self.has_failed


def choose_instance(
    candidates: Sequence[InstanceCandidate], preferred_zone: str | None = None
) -> InstanceCandidate | None:
    """Choose the instance for a read that carries the position it needs.

    :param candidates: instances that accept new statements.
    :param preferred_zone: zone whose replicas are chosen whatever their load, unless they have
        failed the read; ``None`` if the cost alone decides.
    :returns: the chosen instance, or ``None`` if there is none.
    """
    return min(
        candidates,
        key=lambda candidate: (
            _is_outside(candidate, preferred_zone),
            candidate.cost,
            candidate.rank,
            candidate.key,
        ),
        default=None,
    )


def _is_outside(candidate: InstanceCandidate, preferred_zone: str | None) -> bool:
    """Tell whether others are chosen first because a zone is preferred.

    The primary is, since only the primary can execute writes.
    """
    if preferred_zone is None:
        return False
    return candidate.zone != preferred_zone or candidate.is_primary or candidate.has_failed
