"""Selection of the instance that serves a read."""

from bergamotcart.routing._instance_weights import (
    InstanceWeights,
    WeightChange,
    WeightReason,
    WeightSettings,
)
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
from bergamotcart.routing._zone_spillover import (
    ShareChange,
    ShareReason,
    SpilloverSettings,
    ZoneMeasure,
    ZoneShare,
    ZoneSpillover,
)

__all__ = (
    'REASON_CATCH_UP',
    'REASON_PRIMARY_BUSY',
    'InstanceCandidate',
    'InstanceWeights',
    'PrimaryAvailability',
    'ReadRequirements',
    'ReplicaCandidate',
    'RoutingAction',
    'RoutingDecision',
    'ShareChange',
    'ShareReason',
    'SpilloverSettings',
    'WeightChange',
    'WeightReason',
    'WeightSettings',
    'ZoneMeasure',
    'ZoneShare',
    'ZoneSpillover',
    'choose_instance',
    'route_read',
)
