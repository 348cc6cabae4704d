"""Positions in the log of a group, and the reports of instances about them."""

from typing import Final, NamedTuple

import msgspec

from bergamotcart import messages

_MAX_SHOWN_CHARS: Final = 32


class Position(NamedTuple):
    """Position in a group's log, ordered by log term first, then by position."""

    log_term: int
    position: int


class TargetKey(NamedTuple):
    """Identifies one instance of one group."""

    group: str
    instance: str


def parse_count(text: object) -> int:
    """Parse a term or a number of a log position, as an instance reports it.

    :raises ValueError: if it is malformed or out of range.
    """
    count = int(str(text))
    if not 0 <= count <= messages.MAX_INTEGER:
        raise ValueError(f'number out of range: {str(text)[:_MAX_SHOWN_CHARS]}')
    return count


class PositionReport(msgspec.Struct, frozen=True):
    """Answer of an instance to ``SHOW REPLICATION POSITION``.

    :param term: newest term of the orders that the instance has accepted.
    :param open_connections: client connections that it has open, if it reports them.
    """

    role: messages.TargetRole
    term: int
    position: Position
    open_connections: int | None = None
