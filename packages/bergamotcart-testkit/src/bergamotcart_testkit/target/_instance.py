"""State of a stand-in target: role, term, log, storage and the orders that change them."""

import time
import uuid
from collections.abc import Sequence

from bergamotcart import messages
from bergamotcart_testkit.target._errors import read_only_error
from bergamotcart_testkit.target._files import History, LogFile
from bergamotcart_testkit.target._records import LogPage, LogRecord, common_length, term_ends
from bergamotcart_testkit.target._settings import TargetSettings
from bergamotcart_testkit.target._storage import Storage
from bergamotcart_testkit.target._synchronization import Notifier, WriteLock

MAX_PAGE_RECORDS = 500


class Instance:
    """One instance of a database group.

    No method awaits, so an order is never executed between the steps of a commit.
    """

    def __init__(self, settings: TargetSettings, log_file: LogFile, history: History) -> None:
        """Restore the log; an instance always starts as a replica without a primary."""
        self.settings = settings
        self.tuning = settings.tuning
        self.incarnation = uuid.uuid4().hex
        self.history = history
        self.role = messages.TargetRole.replica
        self.term = log_file.term
        self.following: str | None = None
        self.leaving = False
        # Incremented when an order ends all open transactions. A transaction of an older generation
        # has been rolled back.
        self.generation = 0
        self.log_changed = Notifier()
        self.state_changed = Notifier()
        self.write_lock = WriteLock()
        # ``working`` also contains the uncommitted changes of the open writing transaction.
        self.committed = Storage()
        self.working = Storage()
        self._log_file = log_file
        self._records: list[LogRecord] = list(log_file.records)
        for record in self._records:
            self.committed.apply(record.statements)

    @property
    def is_primary(self) -> bool:
        """Whether the instance is the primary and accepts writes."""
        return self.role is messages.TargetRole.primary

    @property
    def position(self) -> int:
        """Position of the last record."""
        return len(self._records)

    @property
    def log_term(self) -> int:
        """Term of the last record."""
        return self._records[-1].term if self._records else 0

    def has_position(self, log_term: int, position: int) -> bool:
        """Return whether the log has a record of this term at this position."""
        if position == 0:
            return True
        return position <= self.position and self._records[position - 1].term == log_term

    def require_primary(self) -> None:
        """Refuse a write on a replica.

        :raises MysqlError: with the error for a read-only instance.
        """
        if not self.is_primary:
            raise read_only_error()

    def commit(self, transaction: str, statements: Sequence[str]) -> LogRecord:
        """Append a transaction that the working storage has committed to the log."""
        record = self._new_record(transaction, tuple(statements))
        self.apply(record)
        return record

    def apply(self, record: LogRecord) -> None:
        """Apply a record to the committed storage and add it to the log."""
        self.committed.apply(record.statements)
        self._records.append(record)
        self._log_file.append(record)
        self.log_changed.notify()

    def log_page(self, log_term: int, position: int) -> LogPage:
        """Return the records after a replica's last one, or the term ends if the logs diverge."""
        if not self.has_position(log_term, position):
            return LogPage(diverged=True, terms=term_ends(self._records))
        return self.records_after(position)

    def records_after(self, position: int) -> LogPage:
        """Return up to ``MAX_PAGE_RECORDS`` records after a position, without a divergence check."""
        return LogPage(records=tuple(self._records[position : position + MAX_PAGE_RECORDS]))

    def discard_diverged_records(self, terms: tuple[tuple[int, int], ...]) -> int:
        """Discard the records after the last one shared with another log, and rebuild the storage.

        :param terms: term ends of the other log.
        :returns: the number of discarded records.
        """
        kept = common_length(self._records, terms)
        discarded = self.position - kept
        rebuilt = Storage()
        for record in self._records[:kept]:
            rebuilt.apply(record.statements)
        self.committed.close()
        self.committed = rebuilt
        self._records = self._records[:kept]
        self._log_file.truncate(kept)
        self.log_changed.notify()
        return discarded

    def stop_following(self, term: int) -> None:
        """Stop following a primary and stop accepting writes."""
        self._accept_term(term)
        self._become_replica(None)

    def follow(self, term: int, primary: str) -> None:
        """Become a replica of another instance."""
        self._accept_term(term)
        self._become_replica(primary)

    def promote(self, term: int) -> None:
        """Become the primary, and write the first record of the new term."""
        self._accept_term(term)
        self._end_transactions()
        self.following = None
        self.working.copy_from(self.committed)
        self.role = messages.TargetRole.primary
        self.apply(self._new_record('', ()))
        self.state_changed.notify()

    def leave(self) -> None:
        """Announce that the instance is leaving the group."""
        self.leaving = True
        self.state_changed.notify()

    def close(self) -> None:
        """Close the files and the storage."""
        self._log_file.close()
        self.history.close()
        self.committed.close()
        self.working.close()

    def _accept_term(self, term: int) -> None:
        if term != self.term:
            self.term = term
            self._log_file.append_term(term)

    def _become_replica(self, primary: str | None) -> None:
        if self.is_primary:
            self._end_transactions()
        self.role = messages.TargetRole.replica
        self.following = primary
        self.log_changed.notify()
        self.state_changed.notify()

    def _end_transactions(self) -> None:
        self.generation += 1
        self.working.roll_back()
        self.write_lock.reset()

    def _new_record(self, transaction: str, statements: tuple[str, ...]) -> LogRecord:
        return LogRecord(
            position=self.position + 1,
            term=self.term,
            transaction=transaction,
            statements=statements,
            time=time.monotonic(),
        )
