"""Limit on the statements that a stand-in target executes concurrently."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from bergamotcart_testkit.target._settings import Tuning


class Slots:
    """Limits the concurrently executed statements; the others wait in order of arrival."""

    __slots__ = ('_tuning', '_used', '_waiters')

    def __init__(self, tuning: Tuning) -> None:
        """Start with all slots free.

        :param tuning: holds the number of slots, which may change.
        """
        self._tuning = tuning
        self._used = 0
        self._waiters: deque[asyncio.Future[None]] = deque()

    @asynccontextmanager
    async def occupy(self) -> AsyncIterator[None]:
        """Wait for a slot and occupy it."""
        while self._used >= self._tuning.slots:
            waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            await waiter
        self._used += 1
        try:
            yield
        finally:
            self._used -= 1
            self._wake_next()

    def _wake_next(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
