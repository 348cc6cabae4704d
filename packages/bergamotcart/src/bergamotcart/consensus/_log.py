"""The replicated log in memory."""

from collections.abc import Sequence
from typing import Final

from bergamotcart import messages
from bergamotcart.consensus._durable_state import DurableState

# Upper bound on the bytes that the encoding adds to the command of a record. Without it, many
# small records would exceed the size limit of a message.
_RECORD_OVERHEAD_BYTES: Final = 128


def measure_record(entry: messages.LogEntry) -> int:
    """Return the size of an encoded record in bytes, rounded up."""
    return len(entry.command) + _RECORD_OVERHEAD_BYTES


class Log:
    """Records after a base, of which only the index, term and membership are kept."""

    __slots__ = ('_base_index', '_base_members', '_base_term', '_records')

    def __init__(self, durable: DurableState) -> None:
        """Load the records that follow the snapshot.

        :param durable: content of the data folder.
        """
        snapshot = durable.snapshot
        self._base_index = snapshot.last_index if snapshot else 0
        self._base_term = snapshot.last_term if snapshot else 0
        self._base_members = snapshot.members if snapshot else ()
        self._records = [entry for entry in durable.records if entry.index > self._base_index]

    @property
    def base_index(self) -> int:
        """Index of the newest record that was removed by compaction, or 0."""
        return self._base_index

    @property
    def last_index(self) -> int:
        """Index of the newest record."""
        return self._base_index + len(self._records)

    @property
    def last_term(self) -> int:
        """Term of the newest record."""
        return self._records[-1].term if self._records else self._base_term

    @property
    def members(self) -> tuple[messages.LogMember, ...]:
        """Newest membership, committed or not; empty if the log holds none."""
        return self.members_at(self.last_index)

    @property
    def members_index(self) -> int:
        """Index of the newest membership record, or of the base if no later record has one."""
        for entry in reversed(self._records):
            if entry.members is not None:
                return entry.index
        return self._base_index

    def members_at(self, index: int) -> tuple[messages.LogMember, ...]:
        """Return the membership in force at an index.

        :param index: not before the base.
        :returns: the members.
        """
        for entry in reversed(self._records[: index - self._base_index]):
            if entry.members is not None:
                return entry.members
        return self._base_members

    def term_at(self, index: int) -> int | None:
        """Return the term of the record at an index.

        :param index: any index.
        :returns: the term, or ``None`` if the record does not exist or was compacted.
        """
        if index == self._base_index:
            return self._base_term
        if self._base_index < index <= self.last_index:
            return self._records[index - self._base_index - 1].term
        return None

    def read(self, first: int, last: int) -> tuple[messages.LogEntry, ...]:
        """Return the records from ``first`` to ``last``, both included and after the base."""
        start = first - self._base_index - 1
        return tuple(self._records[start : last - self._base_index])

    def read_chunk(self, first: int, max_bytes: int) -> tuple[messages.LogEntry, ...]:
        """Read at least one record, and further ones while they fit.

        :param first: index of the first record, after the base.
        :param max_bytes: maximum size of the records; a single record may be larger.
        :returns: the records; empty only if there is none at ``first``.
        """
        chunk: list[messages.LogEntry] = []
        remaining_bytes = max_bytes
        for entry in self._records[first - self._base_index - 1 :]:
            remaining_bytes -= measure_record(entry)
            if chunk and remaining_bytes < 0:
                break
            chunk.append(entry)
        return tuple(chunk)

    def find_compaction_index(self, index: int, max_records: int, max_bytes: int) -> int:
        """Return the least index after which the records up to ``index`` are within both limits.

        :param index: index of a record, or of the base.
        :param max_records: maximum number of records to keep.
        :param max_bytes: maximum size of these records in bytes.
        """
        first = max(index - max_records, self._base_index)
        remaining_bytes = max_bytes
        for entry in reversed(self.read(first + 1, index)):
            remaining_bytes -= measure_record(entry)
            if remaining_bytes < 0:
                return entry.index
        return first

    def append(self, records: Sequence[messages.LogEntry]) -> None:
        """Append records that continue the log."""
        self._records.extend(records)

    def truncate(self, first: int) -> None:
        """Delete the records from ``first`` on."""
        self._records = self._records[: first - self._base_index - 1]

    def compact(self, index: int) -> None:
        """Move the base forward to an index, and drop the records up to it.

        :param index: index of the new base; ignored if it is not after the present one.
        :raises ValueError: if the log has no record at the index.
        """
        if index <= self._base_index:
            return
        members = self.members_at(index)
        term = self.term_at(index)
        if term is None:
            raise ValueError(f'cannot compact the log to index {index}: no such record')
        remaining = self._records[index - self._base_index :]
        self.reset(index, term, members)
        self._records = remaining

    def reset(self, index: int, term: int, members: tuple[messages.LogMember, ...]) -> None:
        """Remove all records and set a new base."""
        self._records = []
        self._base_index = index
        self._base_term = term
        self._base_members = members
