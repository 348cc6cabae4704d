"""Selection of the instance that serves a read."""

from bergamotcart.routing._choice import (
    CATCH_UP,
    PRIMARY_BUSY,
    Candidate,
    InstanceChoice,
    PrimaryState,
    ReadNeed,
    Route,
    RouteAction,
    choose_instance,
    choose_route,
)

__all__ = (
    'CATCH_UP',
    'PRIMARY_BUSY',
    'Candidate',
    'InstanceChoice',
    'PrimaryState',
    'ReadNeed',
    'Route',
    'RouteAction',
    'choose_instance',
    'choose_route',
)
