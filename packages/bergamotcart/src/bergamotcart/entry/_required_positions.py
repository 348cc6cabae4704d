"""Positions that the reads of sessions with a route require."""

import msgspec

from bergamotcart.discovery import KnownPosition, Position
from bergamotcart.entry._context import EngineContext
from bergamotcart.entry._requests import Request


class RequiredPosition(msgspec.Struct, frozen=True):
    """Position that an instance must have to serve a read.

    :param description: the position, where it comes from, and the allowed age, for the log.
    """

    position: Position
    description: str


def find_required_position(context: EngineContext, request: Request) -> RequiredPosition | None:
    """Return the position that a read requires, or ``None`` if it is not known yet.

    This is the lowest position of the primary that is recent enough, since most replicas have
    already reached it, raised to the session's own newest write.
    """
    row = context.control_view.groups.get(request.group)
    group = context.groups.get(request.group)
    # In a transaction this is the arrival of its first statement, since its caller may have paused
    # after BEGIN.
    known = group.primary_positions.first_since(request.arrived_at - (request.max_age_s or 0))
    own_write = request.session.own_writes.get(request.group)
    if known is None or own_write is None or row is None:
        return _require_known(request, known)
    if own_write.term == row.term or group.open_term != row.term:
        # Until the group opens, the known positions are those of the term of the write.
        if own_write.position > known.position:
            return _require(request, own_write.position, f'own write of term {own_write.term}')
        return _require_known(request, known)
    # Positions of the open term include every record that was kept when the primary changed, so
    # also the session's write if it was kept.
    return _require_known(request, group.primary_positions.newest_known)


def _require_known(request: Request, known: KnownPosition | None) -> RequiredPosition | None:
    if known is None:
        return None
    asked_s = known.sent_at - request.arrived_at
    return _require(request, known.position, f'{known.source}, asked at {asked_s:+.3f} s')


def _require(request: Request, position: Position, source: str) -> RequiredPosition:
    """Return a required position; times are relative to the arrival of the read."""
    place = f'{position.log_term}.{position.position}'
    description = f'floor {place}, {source}, age {request.max_age_s or 0} s'
    return RequiredPosition(position, description)
