"""Selection of the instance that serves a read."""

from bergamotcart.routing._read_routing import (
    REASON_CATCH_UP,
    REASON_PRIMARY_BUSY,
    InstanceCandidate,
    PrimaryAvailability,
    ReadRequirements,
    ReplicaCandidate,
    RoutingAction,
    RoutingDecision,
    choose_instance,
    route_read,
)

__all__ = (
    'REASON_CATCH_UP',
    'REASON_PRIMARY_BUSY',
    'InstanceCandidate',
    'PrimaryAvailability',
    'ReadRequirements',
    'ReplicaCandidate',
    'RoutingAction',
    'RoutingDecision',
    'choose_instance',
    'route_read',
)
