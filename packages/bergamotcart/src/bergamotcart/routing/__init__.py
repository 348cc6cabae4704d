"""Choice of the instance that serves a read."""

from bergamotcart.routing._choice import (
    CATCH_UP,
    PRIMARY_BUSY,
    Candidate,
    PrimaryState,
    ReadNeed,
    Route,
    RouteAction,
    choose_route,
)

__all__ = (
    'CATCH_UP',
    'PRIMARY_BUSY',
    'Candidate',
    'PrimaryState',
    'ReadNeed',
    'Route',
    'RouteAction',
    'choose_route',
)
