"""Memory of one process, which the connections of all its servers share."""

import abc
import asyncio
import itertools
from typing import Final

from bergamotcart.resources import MemoryBudget, ResourceLimits

# How often connections are looked for that keep others waiting.
_CHECK_INTERVAL_S: Final = 0.25


class BudgetMember(abc.ABC):
    """A connection that holds memory."""

    __slots__ = ()

    @abc.abstractmethod
    def give_way(self, *, is_stalled: bool) -> None:
        """Close the connection, since others need the memory that it holds.

        :param is_stalled: whether it receives its message too slowly while others wait, as opposed
            to holding most of a memory that is used up.
        """

    @abc.abstractmethod
    def continue_with_reservation(self) -> None:
        """Go on receiving, as the memory for the message is reserved now."""


class ConnectionBudget:
    """Charges connections with what they hold, and closes those that hold most."""

    __slots__ = ('_budget', '_check', '_keys', '_members')

    def __init__(self, limits: ResourceLimits) -> None:
        """Start without connections."""
        self._budget = MemoryBudget(limits.connection_bytes)
        self._members: dict[int, BudgetMember] = {}
        self._keys = itertools.count(1)
        self._check: asyncio.TimerHandle | None = None

    @property
    def total(self) -> int:
        """Bytes that all connections hold."""
        return self._budget.total

    @property
    def waiting(self) -> int:
        """Number of connections that wait for memory."""
        return self._budget.waiting

    @property
    def is_exhausted(self) -> bool:
        """Whether no memory is left for new connections."""
        return self._budget.is_exhausted

    def add(self, member: BudgetMember, share: str = '') -> int:
        """Add a connection that holds nothing yet, and return its key."""
        key = next(self._keys)
        self._members[key] = member
        self._budget.add(key, share)
        return key

    def move(self, key: int, share: str) -> None:
        """Count a connection to another caller or workspace."""
        self._budget.move(key, share)

    def remove(self, key: int) -> None:
        """Remove a connection; further calls have no effect."""
        if self._members.pop(key, None) is not None:
            self._budget.remove(key)
            self._grant()

    def charge(self, key: int, size: int) -> None:
        """Set the bytes that a connection holds; the one that holds most gives way if needed."""
        if key not in self._members or not self._budget.set_held(key, size):
            return
        excess = self._budget.find_excess()
        while excess is not None:
            member = self._members[excess]
            self.remove(excess)
            member.give_way(is_stalled=False)
            excess = self._budget.find_excess()

    def reserve(self, key: int, size: int) -> bool:
        """Reserve memory for a long message.

        :param size: bytes.
        :returns: whether it is reserved; else the member is told when it is.
        """
        now = asyncio.get_running_loop().time()
        if self._budget.reserve(key, size, now):
            return True
        self._schedule_check()
        return False

    def record_received(self, key: int, size: int) -> None:
        """Record that a part of the message of a reservation has arrived."""
        if key in self._members:
            self._budget.record_received(key, size)

    def record_whole(self, key: int) -> None:
        """Record that the message of a reservation has arrived as a whole."""
        if key in self._members:
            self._budget.record_whole(key)

    def release(self, key: int) -> None:
        """Give up a reservation, or stop waiting for it."""
        if key in self._members:
            self._budget.release(key)
            self._grant()

    def close(self) -> None:
        """Stop the checks."""
        if self._check is not None:
            self._check.cancel()

    def _grant(self) -> None:
        if not self._budget.waiting:
            return
        for key in self._budget.grant_waiting(asyncio.get_running_loop().time()):
            self._members[key].continue_with_reservation()

    def _schedule_check(self) -> None:
        if self._check is None:
            loop = asyncio.get_running_loop()
            self._check = loop.call_later(_CHECK_INTERVAL_S, self._check_stalled)

    def _check_stalled(self) -> None:
        self._check = None
        for key in self._budget.find_stalled(asyncio.get_running_loop().time()):
            member = self._members.get(key)
            if member is not None:
                self.remove(key)
                member.give_way(is_stalled=True)
        if self._budget.waiting:
            self._schedule_check()
