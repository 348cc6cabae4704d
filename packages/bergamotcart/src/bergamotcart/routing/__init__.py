"""Choice of the instance that serves a read."""

from bergamotcart.routing._choice import (
    Candidate,
    PrimaryState,
    ReadNeed,
    Route,
    RouteAction,
    choose_route,
)

__all__ = (
    'Candidate',
    'PrimaryState',
    'ReadNeed',
    'Route',
    'RouteAction',
    'choose_route',
)
