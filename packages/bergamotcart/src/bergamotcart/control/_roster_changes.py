"""Rows of the roster in the order of their changes."""

import bisect
from operator import attrgetter
from typing import Final

from bergamotcart import messages
from bergamotcart.control._state import ReplicatedState

_MODIFIED_INDEX: Final = attrgetter('modified_index')


class RosterChanges:
    """Finds the entries that changed after a state index.

    While many entries start, each of them gets several updates. Looking at the whole roster for
    each of these would take most of the leader's time.
    """

    __slots__ = ('_rows', '_state_index')

    def __init__(self) -> None:
        """Start without rows."""
        self._state_index = -1
        self._rows: list[messages.EntryRow] = []

    def clear(self) -> None:
        """Discard the rows; the index of another state may be the same."""
        self._state_index = -1

    def list_after(self, state: ReplicatedState, from_index: int) -> tuple[messages.EntryRow, ...]:
        """Return the row of the newest incarnation of each entry that changed after an index.

        :param state: the replicated state.
        :param from_index: state index; 0 returns all rows.
        """
        if self._state_index != state.index:
            self._state_index = state.index
            newest = (state.newest_entry(name) for name in state.entries)
            self._rows = sorted((row for row in newest if row), key=_MODIFIED_INDEX)
        first = bisect.bisect_right(self._rows, from_index, key=_MODIFIED_INDEX)
        return tuple(self._rows[first:])
