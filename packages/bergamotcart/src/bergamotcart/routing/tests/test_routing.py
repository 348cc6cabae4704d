"""Tests that stale replicas serve no reads and that the primary serves few."""

from bergamotcart.discovery import Position, TargetKey
from bergamotcart.routing import (
    PrimaryAvailability,
    ReadRequirements,
    ReplicaCandidate,
    RoutingAction,
    route_read,
)

_FLOOR = Position(1, 10)


def _candidate(name: str, position: int, **fields: object) -> ReplicaCandidate:
    defaults: dict[str, object] = {
        'own_zone': False,
        'proved_at': None,
        'load': 0.0,
        'catch_up_s': 0.01,
    }
    key = TargetKey('tickets', name)
    return ReplicaCandidate(key=key, position=Position(1, position), **(defaults | fields))


def _choose(
    requirements: ReadRequirements, *candidates: ReplicaCandidate, primary=PrimaryAvailability.free
):
    return route_read(requirements, candidates, primary, ())


def test_stale_replica_of_own_zone_is_not_chosen():
    """A replica behind the session's floor must not serve its reads, even if it is nearer."""
    requirements = ReadRequirements(_FLOOR, None, 0.05)
    near, far = _candidate('b', 9, own_zone=True), _candidate('c', 10)
    assert _choose(requirements, near, far).target == far.key


def test_own_zone_is_preferred_up_to_load_penalty():
    """Another zone costs a longer round trip, but a long queue costs more than that."""
    requirements = ReadRequirements(_FLOOR, None, 0.05)
    far = _candidate('c', 10)
    assert (
        _choose(requirements, _candidate('b', 10, own_zone=True, load=0.9), far).target.instance
        == 'b'
    )
    assert (
        _choose(requirements, _candidate('b', 10, own_zone=True, load=2.0), far).target == far.key
    )


def test_replica_without_proved_age_is_not_chosen():
    """The data of a replica without a proof may have any age."""
    requirements = ReadRequirements(None, 5.0, 0.0)
    assert _choose(requirements, _candidate('b', 10)).action is RoutingAction.primary
    assert _choose(requirements, _candidate('b', 10, proved_at=5.0)).action is RoutingAction.replica


def test_short_wait_is_preferred_to_primary():
    """Reads that closely follow a write must not all go to the primary."""
    behind = _candidate('c', 9)
    assert _choose(ReadRequirements(_FLOOR, None, 0.05), behind).action is RoutingAction.wait
    assert _choose(ReadRequirements(_FLOOR, None, 0.0), behind).action is RoutingAction.primary
    slow = _candidate('c', 9, catch_up_s=2.0)
    assert _choose(ReadRequirements(_FLOOR, None, 0.05), slow).action is RoutingAction.primary


def test_read_waits_while_primary_is_busy():
    """Reads must leave part of the primary's concurrency to writes."""
    decision = _choose(
        ReadRequirements(_FLOOR, None, 0.0), _candidate('b', 9), primary=PrimaryAvailability.busy
    )
    assert decision.action is RoutingAction.wait
