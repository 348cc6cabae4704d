"""Files of a stand-in target: its log and its execution history."""

from pathlib import Path
from typing import BinaryIO, Final

import msgspec

from bergamotcart_testkit.target._records import Event, LogRecord


class _Truncation(msgspec.Struct, frozen=True, tag=True):
    length: int


class _Term(msgspec.Struct, frozen=True, tag=True):
    term: int


class _Appended(msgspec.Struct, frozen=True, tag=True):
    record: LogRecord


_NEWLINE: Final = b'\n'
_JournalLine = _Truncation | _Term | _Appended


class LogFile:
    """Journal of the log and the term, from which an instance restores its data at restart.

    Lines are written without fsync: they survive a killed process, but not a power loss.
    """

    __slots__ = ('_stream', 'records', 'term')

    def __init__(self, path: Path | None) -> None:
        """Load the journal, and open it to append.

        :param path: journal file, or ``None`` to persist nothing.
        """
        self.records: list[LogRecord] = []
        self.term = 0
        self._stream: BinaryIO | None = None
        if path:
            self._load(path)
            self._stream = path.open('ab', buffering=0)

    def append(self, record: LogRecord) -> None:
        """Append a record to the journal."""
        self._write(_Appended(record))

    def truncate(self, length: int) -> None:
        """Append to the journal that only the first ``length`` records remain."""
        self._write(_Truncation(length))

    def append_term(self, term: int) -> None:
        """Append the current term to the journal."""
        self._write(_Term(term))

    def close(self) -> None:
        """Close the file."""
        if self._stream:
            self._stream.close()

    def _load(self, path: Path) -> None:
        if not path.exists():
            return
        content = path.read_bytes()
        complete = content.rpartition(b'\n')[0]
        for line in complete.splitlines():
            self._replay(msgspec.json.decode(line, type=_JournalLine))
        # Removes an incomplete last line, which a killed process can leave, so that the next line
        # is not appended to it.
        path.write_bytes(b''.join((complete, _NEWLINE)) if complete else b'')

    def _replay(self, line: _JournalLine) -> None:
        if isinstance(line, _Truncation):
            self.records = self.records[: line.length]
        elif isinstance(line, _Term):
            self.term = line.term
        else:
            self.records.append(line.record)

    def _write(self, line: _JournalLine) -> None:
        if self._stream:
            self._stream.write(_encode_line(line))


class History:
    """History of executed statements, in memory and optionally in a file.

    The file survives a killed process.
    """

    __slots__ = ('_stream', 'events')

    def __init__(self, path: Path | None) -> None:
        """Start an empty history.

        :param path: file to which finished events are appended, or ``None``.
        """
        self.events: list[Event] = []
        self._stream: BinaryIO | None = path.open('ab', buffering=0) if path else None

    def add(self, event: Event) -> None:
        """Add an event; it is written to the file once its outcome is known."""
        self.events.append(event)
        if event.committed is not None:
            self._write(event)

    def set_outcome(self, event: Event, committed: bool, log_term: int, position: int) -> None:
        """Set the outcome of an event of a transaction that has ended."""
        event.committed = committed
        if committed:
            event.log_term = log_term
            event.position = position
        self._write(event)

    def close(self) -> None:
        """Close the file."""
        if self._stream:
            self._stream.close()

    def _write(self, event: Event) -> None:
        if self._stream:
            self._stream.write(_encode_line(event))


def _encode_line(line: object) -> bytes:
    return b''.join((msgspec.json.encode(line), _NEWLINE))


def read_history(path: Path) -> list[Event]:
    """Load a history file; an incomplete last line, left by a killed process, is ignored."""
    complete = path.read_bytes().rpartition(b'\n')[0]
    return [msgspec.json.decode(line, type=Event) for line in complete.splitlines()]
