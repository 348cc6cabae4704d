"""Replication progress of one member, as tracked by the leader."""

from dataclasses import dataclass


@dataclass(slots=True)
class ReplicationProgress:
    """Progress of the replication to one member.

    :param name: name of the member.
    :param next_index: index of the next record to send.
    :param match_index: index up to which the member has synced the records of the leader.
    :param newest_echo_sent_at: ``sent_at`` of the newest append or snapshot chunk to which the
        member responded, in seconds on the leader's clock.
    :param probing: true after a rejected append: appends are sent one at a time until one
        succeeds.
    :param snapshot_index: last index of the snapshot being transferred, or 0.
    :param snapshot_offset: bytes of that snapshot that the member has received.
    """

    name: str
    next_index: int
    match_index: int = 0
    newest_echo_sent_at: float = float('-inf')
    probing: bool = False
    snapshot_index: int = 0
    snapshot_offset: int = 0

    def record_response(self, sent_at: float) -> None:
        """Record a response to a message that was sent at ``sent_at``."""
        self.newest_echo_sent_at = max(self.newest_echo_sent_at, sent_at)

    def record_match(self, index: int) -> None:
        """Record that the member has synced the records up to an index."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.probing = False

    def record_rejection(self, hint_index: int) -> bool:
        """Record that the member rejected an append because its log differs.

        :param hint_index: index after which to try next.
        :returns: whether to send an append now; false for a repeated rejection.
        """
        retry_index = max(self.match_index, min(hint_index, self.next_index - 1)) + 1
        if self.probing and retry_index >= self.next_index:
            return False
        self.next_index = retry_index
        self.probing = True
        return True
