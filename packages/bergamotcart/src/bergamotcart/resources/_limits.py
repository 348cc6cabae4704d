"""Limits of a process and of each connection to it."""

from typing import Annotated, Final

import msgspec

MAX_MESSAGE_BYTES: Final = 1024 * 1024
_BYTES_PER_MB: Final = 1_000_000
# A process with its modules, its tables and a few hundred sessions needs 50 to 90 MB.
_PROCESS_BYTES: Final = 95 * _BYTES_PER_MB
# One message of the greatest size must always fit, with the copies that are made of it.
_MIN_CONNECTION_BYTES: Final = 8 * _BYTES_PER_MB
_DEFAULT_TIMEOUT_S: Final = 60.0
_MIN_SHARE: Final = 8


class DescriptorShares(msgspec.Struct, frozen=True):
    """Greatest numbers of incoming connections; ``None`` sets no limit.

    :param callers: connections of callers.
    :param http: connections to each HTTP server.
    :param peers: connections for messages between processes.
    """

    callers: int | None = None
    http: int | None = None
    peers: int | None = None


class ResourceLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of a process and of each connection to it.

    :param memory_mb: resident memory of the process in MB (10**6 bytes); ``None`` sets no limit.
    :param max_fds: open descriptors of the process; ``None`` sets no limit.
    :param message_timeout_s: seconds for a whole message once its first byte has arrived. A message
        of 1 MiB takes 4.2 s over a link of 2 Mbit/s.
    :param answer_timeout_s: seconds in which a client must take an answer.
    :param startup_timeout_s: seconds in which a caller must identify itself.
    :param max_message_bytes: greatest size of a message of a caller, at most 1 MiB.
    """

    memory_mb: Annotated[int, msgspec.Meta(ge=1)] | None = None
    max_fds: Annotated[int, msgspec.Meta(ge=1)] | None = None
    message_timeout_s: Annotated[float, msgspec.Meta(gt=0)] = _DEFAULT_TIMEOUT_S
    answer_timeout_s: Annotated[float, msgspec.Meta(gt=0)] = _DEFAULT_TIMEOUT_S
    startup_timeout_s: Annotated[float, msgspec.Meta(gt=0)] = 10.0
    max_message_bytes: Annotated[int, msgspec.Meta(ge=1, le=MAX_MESSAGE_BYTES)] = MAX_MESSAGE_BYTES

    @property
    def connection_bytes(self) -> int | None:
        """Bytes that all incoming connections together may hold; ``None`` sets no limit."""
        if self.memory_mb is None:
            return None
        return max(self.memory_mb * _BYTES_PER_MB - _PROCESS_BYTES, _MIN_CONNECTION_BYTES)

    @property
    def entry_shares(self) -> DescriptorShares:
        """Connections to an entry.

        At least a quarter of the descriptors is left for instances, control and files.
        """
        return self._divide_descriptors(callers=8, http=1, peers=2)

    @property
    def control_shares(self) -> DescriptorShares:
        """Connections to a control member, to which all entries send messages."""
        return self._divide_descriptors(callers=0, http=2, peers=8)

    def _divide_descriptors(self, callers: int, http: int, peers: int) -> DescriptorShares:
        """Divide the descriptors by sixteenths."""
        if self.max_fds is None:
            return DescriptorShares()
        sixteenth = self.max_fds / 16
        counts = (max(int(sixteenth * parts), _MIN_SHARE) for parts in (callers, http, peers))
        return DescriptorShares(*counts)
