"""Floors of one session: the positions that its reads must not fall behind."""

from collections.abc import Mapping

from bergamotcart.discovery import Position


class Floors:
    """Highest position that a session has seen in each group; it never decreases."""

    __slots__ = ('_positions',)

    def __init__(self) -> None:
        """Initialize without floors."""
        self._positions: dict[str, Position] = {}

    @property
    def positions(self) -> Mapping[str, Position]:
        """All floors by group."""
        return self._positions

    def get(self, group: str) -> Position | None:
        """Return the floor of a group, or ``None`` if the session has seen no position of it."""
        return self._positions.get(group)

    def raise_to(self, group: str, position: Position) -> None:
        """Raise the floor of a group to a position; a lower position is ignored."""
        current = self._positions.get(group)
        if current is None or position > current:
            self._positions[group] = position

    def merge(self, floors: Mapping[str, Position]) -> None:
        """Raise the floors to the given ones, such as those of a token; lower ones are ignored."""
        for group, position in floors.items():
            self.raise_to(group, position)
