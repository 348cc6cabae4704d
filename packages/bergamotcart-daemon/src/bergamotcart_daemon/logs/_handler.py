"""Log handler that drops lines above a rate limit, or if writing them would block."""

import logging
import os
import time
from typing import Final

# A process with its normal share of the traffic writes about 100 lines per second. The limit
# prevents the lines of many refused requests from using the CPU time that other requests need.
LINES_PER_S: Final = 300.0
BURST_LINES: Final = 600.0


class RateLimitedHandler(logging.Handler):
    """Writes log lines to a file descriptor without blocking, at a limited rate.

    Dropped lines are counted, and the next line written is preceded by a line with their number.

    :param descriptor: an open file descriptor.
    :param lines_per_s: average rate limit in lines per second; warnings and errors may exceed it.
    :param burst_lines: greatest number of lines that may be written at once.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_s: float = LINES_PER_S,
        burst_lines: float = BURST_LINES,
    ) -> None:
        """Create a handler whose token bucket is full."""
        super().__init__()
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._burst_lines = burst_lines
        self._tokens = burst_lines
        self._refilled_at = time.monotonic()
        self._unwritten = b''
        self._dropped_lines = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped_lines(self) -> int:
        """Number of lines dropped since the last line that was written."""
        return self._dropped_lines

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as one line, or drop and count it."""
        try:
            can_write = self._consume_token(record) and self._flush_unwritten()
            line = f'{self.format(record)}\n'.encode('utf-8', 'replace')
            if not (can_write and self._report_dropped_lines(record) and self._write(line)):
                self._dropped_lines += 1
        except Exception:
            self.handleError(record)

    def _consume_token(self, record: logging.LogRecord) -> bool:
        now = time.monotonic()
        refill = (now - self._refilled_at) * self._lines_per_s
        self._tokens = min(self._tokens + refill, self._burst_lines)
        self._refilled_at = now
        if record.levelno < logging.WARNING and self._tokens < 1:
            return False
        self._tokens = max(self._tokens - 1, 0)
        return True

    def _report_dropped_lines(self, record: logging.LogRecord) -> bool:
        """Report the number of dropped lines; return false if this cannot be written either."""
        if not self._dropped_lines:
            return True
        report = logging.LogRecord(
            record.name,
            logging.WARNING,
            record.pathname,
            record.lineno,
            '%d log lines dropped',
            (self._dropped_lines,),
            None,
        )
        if not self._write(f'{self.format(report)}\n'.encode()):
            return False
        self._dropped_lines = 0
        return True

    def _flush_unwritten(self) -> bool:
        """Write the rest of a partly written line; return whether all of it is written."""
        self._unwritten = self._unwritten[self._write_available(self._unwritten) :]
        return not self._unwritten

    def _write(self, line: bytes) -> bool:
        """Write a line at least in part and keep the rest; return false if nothing was written."""
        written = 0 if self._unwritten else self._write_available(line)
        if written:
            self._unwritten = line[written:]
        return bool(written)

    def _write_available(self, line: bytes) -> int:
        """Write what the descriptor accepts without blocking, and return the number of bytes."""
        try:
            return os.write(self._descriptor, line) if line else 0
        except BlockingIOError:
            return 0
