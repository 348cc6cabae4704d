"""Incoming connections that a server may hold open."""

from typing import Final

import msgspec

# A connection that has not identified itself for this time gives way to a new one.
_MIN_PENDING_S: Final = 1.0
# A session that has been idle for this time gives way to a new one of its own caller.
_MIN_IDLE_S: Final = 1.0
# The rest is left for connections that have not identified themselves yet, so that a caller can
# do so although all sessions are taken.
_IDENTIFIED_SHARE: Final = 7 / 8


class Admission(msgspec.Struct, frozen=True):
    """Whether a connection is admitted, and which one gives way to it, if any."""

    is_admitted: bool
    evicted: int | None = None


class ConnectionSlots:
    """Connections of one server: pending ones, and those that have identified their caller.

    :param limit: greatest number of connections; ``None`` sets no limit.
    :param pending_limit: greatest number of pending ones; ``None`` sets no further limit.
    """

    __slots__ = ('_identified', '_limit', '_pending', '_pending_limit', '_shares')

    def __init__(self, limit: int | None, pending_limit: int | None = None) -> None:
        """Start without connections."""
        self._limit = limit
        self._pending_limit = pending_limit
        # Times of their opening, oldest first.
        self._pending: dict[int, float] = {}
        self._identified: dict[int, str] = {}
        # Connections of each share that wait for the client, the one idle for longest first, with
        # the times since which they do.
        self._shares: dict[str, dict[int, float]] = {}

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self._pending) + len(self._identified)

    def is_pending(self, key: int) -> bool:
        """Return whether a connection has not been identified yet."""
        return key in self._pending

    def open(self, key: int, now: float) -> Admission:
        """Admit a new connection.

        If there is no slot left, the connection that has been pending for longest gives way.

        :param now: current time in seconds.
        """
        evicted = None
        if self._is_full():
            evicted = next(iter(self._pending), None)
            if evicted is None or now < self._pending[evicted] + _MIN_PENDING_S:
                return Admission(is_admitted=False)
            self.close(evicted)
        self._pending[key] = now
        return Admission(is_admitted=True, evicted=evicted)

    def identify(self, key: int, share: str, now: float) -> Admission:
        """Count a pending connection to its caller or workspace.

        If there is no slot left, the connection that has been idle for longest in the share with
        the most connections gives way, provided that the new connection's share has fewer. Else
        one of its own share gives way that has been idle for some time.

        :param now: current time in seconds.
        """
        self._pending.pop(key)
        evicted = None
        if self._limit is not None and len(self._identified) >= self._limit * _IDENTIFIED_SHARE:
            evicted = self._find_evictable(share, now)
            if evicted is None:
                return Admission(is_admitted=False)
            self.close(evicted)
        self._identified[key] = share
        return Admission(is_admitted=True, evicted=evicted)

    def begin_service(self, key: int) -> None:
        """Record that a pending connection is served, so that it does not give way."""
        if self._pending.pop(key, None) is not None:
            self._identified[key] = ''

    def end_service(self, key: int, now: float) -> None:
        """Record that a connection is pending again.

        :param now: current time in seconds.
        """
        if self._identified.pop(key, None) is not None:
            self._pending[key] = now

    def set_idle(self, key: int, now: float) -> None:
        """Record that an identified connection waits for its client, so that it may give way.

        :param now: current time in seconds.
        """
        if self._limit is None:
            return
        share = self._identified.get(key)
        if share is not None:
            self._shares.setdefault(share, {})[key] = now

    def set_busy(self, key: int) -> None:
        """Record that an identified connection serves its client."""
        idle = self._shares.get(self._identified.get(key, ''))
        if idle is not None and key in idle:
            idle.pop(key)
            if not idle:
                self._shares.pop(self._identified[key])

    def close(self, key: int) -> None:
        """Remove a connection."""
        self._pending.pop(key, None)
        self.set_busy(key)
        self._identified.pop(key, None)

    def _is_full(self) -> bool:
        if self._limit is not None and len(self) >= self._limit:
            return True
        return self._pending_limit is not None and len(self._pending) >= self._pending_limit

    def _find_evictable(self, share: str, now: float) -> int | None:
        counts: dict[str, int] = {}
        for owner in self._identified.values():
            counts[owner] = counts.get(owner, 0) + 1
        greatest = max(counts, key=counts.__getitem__)
        if counts[greatest] > counts.get(share, 0) + 1:
            return next(iter(self._shares.get(greatest, ())), None)
        own_idle = self._shares.get(share, {})
        oldest = next(iter(own_idle), None)
        if oldest is None or now < own_idle[oldest] + _MIN_IDLE_S:
            return None
        return oldest
