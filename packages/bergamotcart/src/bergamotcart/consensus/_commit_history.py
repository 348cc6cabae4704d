"""Commit indexes of a leader at its recent heartbeats."""

from collections import deque


class CommitHistory:
    """Tells how far the log was committed when a heartbeat was sent.

    :param retention_s: seconds for which heartbeats are kept.
    """

    __slots__ = ('_commits', '_retention_s')

    def __init__(self, retention_s: float) -> None:
        """Start without heartbeats."""
        self._commits: deque[tuple[float, int]] = deque()
        self._retention_s = retention_s

    def record_heartbeat(self, now: float, commit_index: int) -> None:
        """Record the commit index at a heartbeat.

        :param now: current time in seconds.
        """
        self._commits.append((now, commit_index))
        while self._commits[0][0] < now - self._retention_s:
            self._commits.popleft()

    def find_index_at(self, sent_at: float) -> int | None:
        """Return the commit index at the newest heartbeat up to a time in seconds, if known."""
        for heartbeat_at, index in reversed(self._commits):
            if heartbeat_at <= sent_at:
                return index
        return None
