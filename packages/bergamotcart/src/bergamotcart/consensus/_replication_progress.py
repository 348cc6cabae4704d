"""Replication progress of one member, as tracked by the leader."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from bergamotcart.consensus._log import measure_record
from bergamotcart.consensus._snapshot_transfer import SnapshotTransfer
from bergamotcart.messages import LogEntry


@dataclass(slots=True)
class ReplicationProgress:
    """Progress of the replication to one member.

    :param name: name of the member.
    :param next_index: index of the next record to send.
    :param match_index: index up to which the member has synced the records of the leader.
    :param newest_echo_sent_at: ``sent_at`` of the newest append or snapshot chunk to which the
        member responded, in seconds on the leader's clock.
    :param probing: true after a rejected append: appends without records are sent until one
        succeeds.
    :param transfer: snapshot being sent, if any.
    :param in_flight: index and size in bytes of the records that are sent and not acknowledged.
    """

    name: str
    next_index: int
    match_index: int = 0
    newest_echo_sent_at: float = float('-inf')
    probing: bool = False
    transfer: SnapshotTransfer | None = None
    in_flight: deque[tuple[int, int]] = field(default_factory=deque)
    in_flight_bytes: int = 0

    @property
    def replicated_index(self) -> int:
        """Index up to which the member has the records, or will have them with the snapshot."""
        if self.transfer is None:
            return self.match_index
        return max(self.match_index, self.transfer.snapshot.last_index)

    def record_sent(self, records: Sequence[LogEntry]) -> None:
        """Record that records after ``next_index`` were sent."""
        for entry in records:
            size_bytes = measure_record(entry)
            self.in_flight.append((entry.index, size_bytes))
            self.in_flight_bytes += size_bytes
        self.next_index += len(records)

    def record_response(self, sent_at: float) -> None:
        """Record a response to a message that was sent at ``sent_at``."""
        self.newest_echo_sent_at = max(self.newest_echo_sent_at, sent_at)

    def record_match(self, index: int) -> None:
        """Record that the member has synced the records up to an index."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.probing = False
        while self.in_flight and self.in_flight[0][0] <= self.match_index:
            self.in_flight_bytes -= self.in_flight.popleft()[1]

    def record_rejection(self, hint_index: int) -> bool:
        """Record that the member rejected an append because its log differs.

        :param hint_index: index after which to try next.
        :returns: whether to send an append now; false for a repeated rejection.
        """
        retry_index = max(self.match_index, min(hint_index, self.next_index - 1)) + 1
        if self.probing and retry_index >= self.next_index:
            return False
        self.next_index = retry_index
        self.in_flight.clear()
        self.in_flight_bytes = 0
        self.probing = True
        return True
