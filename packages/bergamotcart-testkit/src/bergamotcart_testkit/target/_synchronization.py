"""Change notification, and the lock of writing transactions."""

import asyncio
from collections import deque
from dataclasses import dataclass

from mysql_mimic.errors import MysqlError

from bergamotcart_testkit.target._errors import LOCK_WAIT_TIMEOUT, read_only_error


class Notifier:
    """Wakes all tasks that wait for the next change."""

    __slots__ = ('_event',)

    def __init__(self) -> None:
        """Create a notifier without waiting tasks."""
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wake all tasks that are waiting now."""
        event = self._event
        self._event = asyncio.Event()
        event.set()

    async def wait(self, timeout_s: float) -> bool:
        """Wait for the next change.

        :param timeout_s: longest wait, in seconds.
        :returns: whether a change was notified in time.
        """
        event = self._event
        try:
            async with asyncio.timeout(max(timeout_s, 0.0)):
                await event.wait()
        except TimeoutError:
            return False
        return True


@dataclass(frozen=True, slots=True)
class _Waiter:
    owner: object
    future: asyncio.Future[None]


class WriteLock:
    """Lock that lets one writing transaction run at a time, in order of arrival.

    The in-memory storage does not isolate concurrent writers from each other.
    """

    __slots__ = ('_holder', '_waiters')

    def __init__(self) -> None:
        """Create a free lock."""
        self._holder: object | None = None
        self._waiters: deque[_Waiter] = deque()

    async def acquire(self, owner: object, timeout_s: float) -> None:
        """Wait for the lock.

        :param owner: holder of the lock after the return.
        :param timeout_s: longest wait, in seconds.
        :raises MysqlError: if the lock was not released in time, or the instance was demoted.
        """
        if self._holder is None:
            self._holder = owner
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(_Waiter(owner, waiter))
        try:
            async with asyncio.timeout(timeout_s):
                await waiter
        except TimeoutError as error:
            # The lock may have been handed over just as the timeout expired.
            self.release(owner)
            raise MysqlError(
                f'Lock wait timeout of {timeout_s:g} s exceeded', code=LOCK_WAIT_TIMEOUT
            ) from error

    def release(self, owner: object) -> None:
        """Hand the lock to the next waiter, if ``owner`` holds it."""
        if self._holder is not owner:
            return
        self._holder = None
        while self._waiters and self._holder is None:
            waiter = self._waiters.popleft()
            if not waiter.future.done():
                self._holder = waiter.owner
                waiter.future.set_result(None)

    def reset(self) -> None:
        """Free the lock and fail all waiters with the read-only error."""
        self._holder = None
        waiters = tuple(self._waiters)
        self._waiters.clear()
        for waiter in waiters:
            if not waiter.future.done():
                waiter.future.set_exception(read_only_error())
