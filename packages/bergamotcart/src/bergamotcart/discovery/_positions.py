"""Places in the log of a group and what instances report about them."""

from dataclasses import dataclass
from typing import NamedTuple

from bergamotcart import messages


class Position(NamedTuple):
    """Place in a group's log; compares by log term first, then by position."""

    log_term: int
    position: int


class TargetKey(NamedTuple):
    """Names one instance of one group."""

    group: str
    instance: str


@dataclass(frozen=True, slots=True)
class PositionReport:
    """What an instance answered to ``SHOW REPLICATION POSITION``.

    :param term: newest term that the instance has accepted an order for.
    """

    role: messages.TargetRole
    term: int
    position: Position
