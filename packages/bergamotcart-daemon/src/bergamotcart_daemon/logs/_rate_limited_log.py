"""Log lines about input from outside, which may be frequent."""

import logging
import time
from typing import Final

_MIN_INTERVAL_S: Final = 1.0


class RateLimitedLog:
    """Writes at most one warning a second, with the number of those left out before it."""

    __slots__ = ('_left_out', '_logger', '_next_at')

    def __init__(self, logger: logging.Logger) -> None:
        """Store the logger."""
        self._logger = logger
        self._next_at = 0.0
        self._left_out = 0

    def warning(self, text: str, *arguments: object) -> None:
        """Write a warning, or leave it out.

        :param text: format of the line, followed by its arguments.
        """
        now = time.monotonic()
        if now < self._next_at:
            self._left_out += 1
            return
        self._next_at = now + _MIN_INTERVAL_S
        if self._left_out:
            text = f'{text}; {self._left_out} similar lines left out'
            self._left_out = 0
        self._logger.warning(text, *arguments)
