"""Rules that compare positions with floors and branch points across terms."""

from collections.abc import Sequence

from bergamotcart.discovery._positions import Position


def is_discarded(position: Position, branch_points: Sequence[tuple[int, int]]) -> bool:
    """Tell whether a position lies on a discarded branch.

    :param position: place of a last record, or a floor.
    :param branch_points: (log term, highest position kept of that term) of ended terms.
    """
    for log_term, kept in branch_points:
        if log_term == position.log_term:
            return position.position > kept
    return False


def meets(
    position: Position,
    floor: Position | None,
    branch_points: Sequence[tuple[int, int]],
) -> bool:
    """Tell whether an instance at a position holds everything up to a floor.

    :param position: last record of the instance.
    :param floor: what a session has seen; ``None`` is met by any position kept.
    :param branch_points: branch points of the group.
    """
    if is_discarded(position, branch_points):
        return False
    if floor is None:
        return True
    if position.log_term < floor.log_term or position.position < floor.position:
        return False
    return not is_discarded(floor, branch_points)
