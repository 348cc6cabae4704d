"""What a leader knows of each other member."""

from dataclasses import dataclass


@dataclass(slots=True)
class Progress:
    """Replication to one member.

    :param next_index: first record to send next.
    :param match_index: highest record that the member has synced and that agrees.
    :param answered_sent_at: ``sent_at`` of the newest append that the member answered,
        in seconds on the leader's clock.
    :param probing: after a refusal, one append at a time is sent until one succeeds.
    :param snapshot_index: last index of the snapshot being transferred, or 0.
    :param snapshot_offset: bytes of it that the member has received.
    """

    name: str
    next_index: int
    match_index: int = 0
    answered_sent_at: float = float('-inf')
    probing: bool = False
    snapshot_index: int = 0
    snapshot_offset: int = 0

    def answered(self, sent_at: float) -> None:
        """Note an answer to an append."""
        self.answered_sent_at = max(self.answered_sent_at, sent_at)

    def matched(self, index: int) -> None:
        """Note that the member has synced the records up to an index."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.probing = False

    def refused(self, hint: int) -> bool:
        """Note that an append did not fit.

        :param hint: index after which to try next.
        :returns: whether to send again now; not for a repeated answer.
        """
        retry_index = max(self.match_index, min(hint, self.next_index - 1)) + 1
        if self.probing and retry_index >= self.next_index:
            return False
        self.next_index = retry_index
        self.probing = True
        return True
