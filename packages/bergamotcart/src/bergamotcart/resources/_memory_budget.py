"""Memory that the incoming connections of a process may hold."""

from typing import Final

import msgspec

# The rest is left for answers and for the beginnings of messages.
_RESERVABLE_SHARE: Final = 0.75
# While others wait, a holder of a reservation must receive its message at this rate. It is a
# sixteenth of a link of 2 Mbit/s.
_MIN_BYTES_PER_S: Final = 16_384
_GRACE_S: Final = 2.0


class _Holder(msgspec.Struct):
    """What one connection holds.

    :param share: name of the caller or the workspace with which it shares.
    :param held: bytes that it holds without a reservation.
    :param reserved: bytes of its reservation.
    :param received: bytes received since the reservation, or ``None`` once all have arrived.
    :param reserved_at: time of the reservation, in seconds.
    """

    share: str
    held: int = 0
    reserved: int = 0
    received: int | None = None
    reserved_at: float = 0.0

    @property
    def total(self) -> int:
        """Bytes that the connection holds."""
        return self.held + self.reserved


class MemoryBudget:
    """Bytes that connections hold, and the reservations of those that receive long messages.

    A connection reserves memory before it receives the main part of a long message. While no memory
    is left, it waits, and its owner doesn't read from it. So messages inside the limits are served
    one after the other, and no message that was admitted has to be dropped halfway.

    :param capacity: bytes that all connections may hold; ``None`` sets no limit.
    """

    __slots__ = ('_capacity', '_holders', '_reserved', '_total', '_waiting')

    def __init__(self, capacity: int | None) -> None:
        """Start without connections."""
        self._capacity = capacity
        self._holders: dict[int, _Holder] = {}
        # Sizes of the wanted reservations, in the order of arrival.
        self._waiting: dict[int, int] = {}
        self._total = 0
        self._reserved = 0

    @property
    def total(self) -> int:
        """Bytes that all connections hold."""
        return self._total

    @property
    def waiting(self) -> int:
        """Number of connections that wait for a reservation."""
        return len(self._waiting)

    @property
    def is_exhausted(self) -> bool:
        """Whether connections hold all the memory that they may hold."""
        return self._capacity is not None and self._total >= self._capacity

    def add(self, key: int, share: str = '') -> None:
        """Add a connection that holds nothing yet."""
        self._holders[key] = _Holder(share)

    def move(self, key: int, share: str) -> None:
        """Count a connection to another caller or workspace."""
        self._holders[key].share = share

    def remove(self, key: int) -> None:
        """Remove a connection with all that it holds."""
        self.set_held(key, 0)
        self.release(key)
        self._holders.pop(key)

    def set_held(self, key: int, size: int) -> bool:
        """Set the bytes that a connection holds without a reservation.

        :returns: whether it held another number of bytes before.
        """
        holder = self._holders[key]
        is_changed = size != holder.held
        self._total += size - holder.held
        holder.held = size
        return is_changed

    def reserve(self, key: int, size: int, now: float) -> bool:
        """Reserve memory for a long message, or wait for it.

        :param size: bytes, with the copies that are made of the message.
        :param now: current time in seconds.
        :returns: whether the memory is reserved; else ``grant_waiting`` returns the key later.
        """
        if self._waiting or not self._has_room(size):
            self._waiting[key] = size
            return False
        self._grant(key, size, now)
        return True

    def release(self, key: int) -> None:
        """Give up the reservation of a connection, or stop waiting for it."""
        self._waiting.pop(key, None)
        holder = self._holders[key]
        self._total -= holder.reserved
        self._reserved -= holder.reserved
        holder.reserved = 0
        holder.received = None

    def record_received(self, key: int, size: int) -> None:
        """Record that a part of the message of a reservation has arrived."""
        holder = self._holders[key]
        if holder.received is not None:
            holder.received += size

    def record_whole(self, key: int) -> None:
        """Record that the message of a reservation has arrived as a whole."""
        self._holders[key].received = None

    def grant_waiting(self, now: float) -> list[int]:
        """Return the connections that get their reservation now.

        The share that has reserved least comes first, and within a share the oldest connection.
        """
        granted: list[int] = []
        while self._waiting:
            key = self._choose_waiting()
            size = self._waiting[key]
            if not self._has_room(size):
                break
            self._waiting.pop(key)
            self._grant(key, size, now)
            granted.append(key)
        return granted

    def find_stalled(self, now: float) -> list[int]:
        """Return the connections that keep others waiting, but receive their messages too slowly."""
        if not self._waiting:
            return []
        return [key for key, holder in self._holders.items() if _is_stalled(holder, now)]

    def find_excess(self) -> int | None:
        """Return the connection that must give way, or ``None`` while the capacity suffices.

        It is the one that holds most in the share that holds most.
        """
        if self._capacity is None or self._total <= self._capacity:
            return None
        totals: dict[str, int] = {}
        for holder in self._holders.values():
            totals[holder.share] = totals.get(holder.share, 0) + holder.total
        greatest = max(totals, key=totals.__getitem__)
        members = [key for key, owner in self._holders.items() if owner.share == greatest]
        return max(members, key=lambda key: self._holders[key].total)

    def _has_room(self, size: int) -> bool:
        if self._capacity is None or not self._reserved:
            # One message is always admitted, so that none waits forever.
            return True
        is_reservable = self._reserved + size <= self._capacity * _RESERVABLE_SHARE
        return is_reservable and self._total + size <= self._capacity

    def _grant(self, key: int, size: int, now: float) -> None:
        holder = self._holders[key]
        self._total += size - holder.reserved
        self._reserved += size - holder.reserved
        holder.reserved = size
        holder.reserved_at = now
        holder.received = 0

    def _choose_waiting(self) -> int:
        reserved: dict[str, int] = {}
        for holder in self._holders.values():
            if holder.reserved:
                reserved[holder.share] = reserved.get(holder.share, 0) + holder.reserved
        return min(self._waiting, key=lambda key: reserved.get(self._holders[key].share, 0))


def _is_stalled(holder: _Holder, now: float) -> bool:
    if holder.received is None:
        return False
    elapsed = now - holder.reserved_at
    return elapsed >= _GRACE_S and holder.received < elapsed * _MIN_BYTES_PER_S
