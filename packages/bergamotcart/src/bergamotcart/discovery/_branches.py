"""Comparison of log positions with floors and branch points across terms."""

from collections.abc import Sequence

from bergamotcart.discovery._positions import Position


def is_discarded(position: Position, branch_points: Sequence[tuple[int, int]]) -> bool:
    """Tell whether a position lies on a discarded branch of the log.

    :param position: position of a last record, or a floor.
    :param branch_points: pairs of an ended log term and the highest position kept of it.
    """
    for log_term, last_kept in branch_points:
        if log_term == position.log_term:
            return position.position > last_kept
    return False


def satisfies_floor(
    position: Position,
    floor: Position | None,
    branch_points: Sequence[tuple[int, int]],
) -> bool:
    """Tell whether an instance at a position has every record up to a floor.

    :param position: position of the last record of the instance.
    :param floor: highest position that a session has seen; ``None`` is satisfied by any position
        that is not discarded.
    :param branch_points: branch points of the group.
    """
    if is_discarded(position, branch_points):
        return False
    if floor is None:
        return True
    if position.log_term < floor.log_term or position.position < floor.position:
        return False
    return not is_discarded(floor, branch_points)
