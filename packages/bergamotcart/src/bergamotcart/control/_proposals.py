"""Tracks the commands that this leader has proposed and not applied yet."""

from collections.abc import Callable

from bergamotcart.control._commands import Command, encode_command


class Proposals:
    """Proposes commands, and prevents a system from proposing the same one again in each step.

    :param propose: appends an encoded command to the replicated log and returns its index,
        or ``None`` if this member does not lead.
    """

    __slots__ = ('_pending_indices', '_propose_record')

    def __init__(self, propose: Callable[[float, bytes], int | None]) -> None:
        """Create a tracker without pending proposals."""
        self._propose_record = propose
        self._pending_indices: dict[str, int] = {}

    def clear(self) -> None:
        """Discard all pending proposals when this member gains or loses the leadership."""
        self._pending_indices.clear()

    def discard_applied(self, applied_index: int) -> None:
        """Discard the pending proposals that have been applied.

        :param applied_index: log index of the last record applied.
        """
        self._pending_indices = {
            key: index for key, index in self._pending_indices.items() if index > applied_index
        }

    def is_pending(self, key: str) -> bool:
        """Return whether a proposal with this key has not been applied yet."""
        return key in self._pending_indices

    def submit(self, key: str, command: Command, now: float) -> int | None:
        """Propose a command unless one with the same key is pending.

        :param key: identifies what the command changes, such as a group.
        :param command: the command.
        :param now: monotonic time in seconds.
        :returns: log index of the command, or ``None`` if it was not proposed.
        """
        if key in self._pending_indices:
            return None
        index = self._propose_record(now, encode_command(command))
        if index is not None:
            self._pending_indices[key] = index
        return index
