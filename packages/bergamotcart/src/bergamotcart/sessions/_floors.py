"""What one session has seen, per group."""

from collections.abc import Mapping

from bergamotcart.discovery import Position


class Floors:
    """Highest position that a session has seen in each group; it never falls."""

    __slots__ = ('_positions',)

    def __init__(self) -> None:
        """Start with nothing seen."""
        self._positions: dict[str, Position] = {}

    @property
    def positions(self) -> Mapping[str, Position]:
        """All floors by group."""
        return self._positions

    def get(self, group: str) -> Position | None:
        """Return the floor of a group, or ``None`` if nothing of it was seen."""
        return self._positions.get(group)

    def raise_to(self, group: str, position: Position) -> None:
        """Raise the floor of a group; a lower position changes nothing."""
        current = self._positions.get(group)
        if current is None or position > current:
            self._positions[group] = position

    def merge(self, floors: Mapping[str, Position]) -> None:
        """Raise the floors to those of a token."""
        for group, position in floors.items():
            self.raise_to(group, position)
