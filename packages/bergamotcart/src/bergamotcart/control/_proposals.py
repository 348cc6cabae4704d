"""Commands that this leader has proposed and that are not applied yet."""

from collections.abc import Callable

from bergamotcart.control._commands import Command, encode_command


class Proposals:
    """Prevents a system from proposing the same change again in each tick.

    :param propose: passes an encoded command to the replicated log and returns its index,
        or ``None`` if this member does not lead.
    """

    __slots__ = ('_indices', '_propose')

    def __init__(self, propose: Callable[[float, bytes], int | None]) -> None:
        """Start without proposals."""
        self._propose = propose
        self._indices: dict[str, int] = {}

    def clear(self) -> None:
        """Forget all proposals, since this member does not lead any more."""
        self._indices.clear()

    def settle(self, applied_index: int) -> None:
        """Forget the proposals that are applied."""
        self._indices = {
            key: index for key, index in self._indices.items() if index > applied_index
        }

    def is_pending(self, key: str) -> bool:
        """Tell whether a proposal with this key is not applied yet."""
        return key in self._indices

    def submit(self, key: str, command: Command, now: float) -> int | None:
        """Propose a command unless one with the same key is pending.

        :param key: subject of the command, such as a group.
        :param command: the command.
        :param now: seconds.
        :returns: its log index, or ``None`` if it was not proposed.
        """
        if key in self._indices:
            return None
        index = self._propose(now, encode_command(command))
        if index is not None:
            self._indices[key] = index
        return index
