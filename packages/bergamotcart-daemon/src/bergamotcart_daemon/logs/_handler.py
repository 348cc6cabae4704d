"""A log handler that never waits for whoever reads the log."""

import logging
import os
import time
from typing import Final

# A process that serves its share of the traffic writes some 100 lines a second; a flood of
# refusals must not take the processor that requests need.
LINES_PER_S: Final = 300.0
BURST_LINES: Final = 600.0


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor, at a bounded rate and without blocking.

    Lines that do not fit are counted, and the next one that does is preceded by their number.

    :param descriptor: an open file descriptor.
    :param lines_per_s: lines per second on average; warnings and errors are written beyond it.
    :param burst_lines: lines that may be written at once.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_s: float = LINES_PER_S,
        burst_lines: float = BURST_LINES,
    ) -> None:
        """Start with a full allowance."""
        super().__init__()
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._burst_lines = burst_lines
        self._allowance = burst_lines
        self._refilled_at = time.monotonic()
        self._rest = b''
        self._left_out = 0
        os.set_blocking(descriptor, False)

    @property
    def left_out(self) -> int:
        """Lines left out since the last one that was written."""
        return self._left_out

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as one line, or count it."""
        try:
            is_ready = self._may_write(record) and self._flush_rest()
            line = f'{self.format(record)}\n'.encode('utf-8', 'replace')
            if not (is_ready and self._report_left_out(record) and self._write(line)):
                self._left_out += 1
        except Exception:
            self.handleError(record)

    def _may_write(self, record: logging.LogRecord) -> bool:
        now = time.monotonic()
        refill = (now - self._refilled_at) * self._lines_per_s
        self._allowance = min(self._allowance + refill, self._burst_lines)
        self._refilled_at = now
        if record.levelno < logging.WARNING and self._allowance < 1:
            return False
        self._allowance = max(self._allowance - 1, 0)
        return True

    def _report_left_out(self, record: logging.LogRecord) -> bool:
        """Write how many lines were left out; false if that line does not fit either."""
        if not self._left_out:
            return True
        report = logging.LogRecord(
            record.name,
            logging.WARNING,
            record.pathname,
            record.lineno,
            '%d log lines left out',
            (self._left_out,),
            None,
        )
        if not self._write(f'{self.format(report)}\n'.encode()):
            return False
        self._left_out = 0
        return True

    def _flush_rest(self) -> bool:
        """Finish a line of which the reader has taken only a part."""
        self._rest = self._rest[self._send(self._rest) :]
        return not self._rest

    def _write(self, line: bytes) -> bool:
        """Write a line, at least in part; the rest of it comes first next time."""
        written = 0 if self._rest else self._send(line)
        if written:
            self._rest = line[written:]
        return bool(written)

    def _send(self, line: bytes) -> int:
        """Hand over as much as the reader takes now, and return how many bytes that were."""
        try:
            return os.write(self._descriptor, line) if line else 0
        except BlockingIOError:
            return 0
