"""Transfer of one snapshot to one member."""

from collections import deque
from collections.abc import Iterator
from typing import Final

import msgspec

from bergamotcart.consensus._durable_state import Snapshot

_NEVER_S: Final = float('-inf')


class _SentChunk(msgspec.Struct, frozen=True):
    end: int
    sent_at: float


class SnapshotTransfer:
    """Sends a snapshot in chunks, several of which may be in flight.

    The member accepts chunks in order only, and answers each by the number of bytes it has. So an
    answer without progress to a chunk that was sent after the first one in flight shows that this
    one was lost.
    """

    __slots__ = ('_acknowledged', '_in_flight', '_newest_echo', '_next_offset', 'snapshot')

    def __init__(self, snapshot: Snapshot) -> None:
        """Start at the first byte.

        :param snapshot: snapshot to send; newer ones do not replace it during the transfer.
        """
        self.snapshot = snapshot
        self._acknowledged = 0
        self._next_offset = 0
        self._newest_echo = _NEVER_S
        self._in_flight: deque[_SentChunk] = deque()

    @property
    def is_at_start(self) -> bool:
        """Whether no byte is acknowledged or in flight."""
        return self._next_offset == 0

    @property
    def next_offset(self) -> int:
        """Offset of the next byte to send."""
        return self._next_offset

    def take_offsets(self, now: float, part_bytes: int, window_bytes: int) -> Iterator[int]:
        """Yield the offsets of the chunks that may be sent now.

        :param now: current time in seconds.
        :param part_bytes: maximum size of a chunk in bytes.
        :param window_bytes: size in bytes of the chunks in flight from which no more are sent.
        """
        total_bytes = len(self.snapshot.state)
        while self._next_offset < min(total_bytes, self._acknowledged + window_bytes):
            offset = self._next_offset
            self._next_offset = min(offset + part_bytes, total_bytes)
            self._in_flight.append(_SentChunk(self._next_offset, now))
            yield offset

    def record_response(self, received_bytes: int, echo_sent_at: float) -> None:
        """Record the answer to a chunk, and go back to the first lost one.

        :param received_bytes: number of bytes that the member has.
        :param echo_sent_at: time in seconds at which the answered chunk was sent.
        """
        if received_bytes > self._acknowledged:
            self._acknowledge(received_bytes)
        elif self._is_lost(received_bytes, echo_sent_at):
            self._in_flight.clear()
            self._acknowledged = received_bytes
            self._next_offset = received_bytes
        self._newest_echo = max(self._newest_echo, echo_sent_at)

    def _acknowledge(self, received_bytes: int) -> None:
        self._acknowledged = received_bytes
        self._next_offset = max(self._next_offset, received_bytes)
        while self._in_flight and self._in_flight[0].end <= received_bytes:
            self._in_flight.popleft()

    def _is_lost(self, received_bytes: int, echo_sent_at: float) -> bool:
        if received_bytes < self._acknowledged:
            # The member has restarted, unless an older answer was overtaken.
            return echo_sent_at > self._newest_echo
        return bool(self._in_flight) and echo_sent_at >= self._in_flight[0].sent_at
