"""Time limits of many connections, which one timer checks."""

import asyncio
from collections.abc import Callable
from typing import Final

# A limit of some seconds may take effect this much later.
_CHECK_INTERVAL_S: Final = 0.25


class Timeouts:
    """Calls a function for each connection that exceeds a time limit.

    All limits of one object have the same length, so the oldest one always ends first.

    :param length_s: seconds until a limit ends.
    :param expire: called with the key of the connection.
    """

    __slots__ = ('_deadlines', '_expire', '_length_s', '_timer')

    def __init__(self, length_s: float, expire: Callable[[int], None]) -> None:
        """Start without limits."""
        self._length_s = length_s
        self._expire = expire
        self._deadlines: dict[int, float] = {}
        self._timer: asyncio.TimerHandle | None = None

    def start(self, key: int) -> None:
        """Start the limit of a connection, unless it runs already."""
        if key in self._deadlines:
            return
        loop = asyncio.get_running_loop()
        self._deadlines[key] = loop.time() + self._length_s
        if self._timer is None:
            self._timer = loop.call_later(min(self._length_s, _CHECK_INTERVAL_S), self._check)

    def stop(self, key: int) -> None:
        """Stop the limit of a connection, if it runs."""
        self._deadlines.pop(key, None)

    def close(self) -> None:
        """Stop all limits."""
        self._deadlines.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        expired: list[int] = []
        for key, deadline in self._deadlines.items():
            if deadline > now:
                break
            expired.append(key)
        # An error in a callback must not end the checks.
        self._timer = loop.call_later(_CHECK_INTERVAL_S, self._check) if self._deadlines else None
        for expired_key in expired:
            self.stop(expired_key)
            self._expire(expired_key)
