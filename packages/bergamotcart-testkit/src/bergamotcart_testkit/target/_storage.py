"""In-memory storage of a stand-in target."""

import sqlite3
import time
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from bergamotcart_testkit.target._errors import translate_error

# Statements run on the event loop, so that commits and orders never interleave; the limit keeps
# one statement from delaying announcements and orders.
MAX_STATEMENT_S: Final = 0.25
_DEADLINE_CHECK_INSTRUCTIONS: Final = 20_000


@dataclass(frozen=True, slots=True)
class StorageResult:
    """Result of one statement."""

    columns: tuple[str, ...]
    rows: list[tuple[object, ...]]
    affected_rows: int
    last_insert_id: int


class Storage:
    """One in-memory SQLite database."""

    __slots__ = ('_connection', '_deadline')

    def __init__(self) -> None:
        """Open an empty database."""
        self._connection = sqlite3.connect(':memory:', isolation_level=None)
        self._deadline = 0.0
        self._connection.set_progress_handler(self._is_past_deadline, _DEADLINE_CHECK_INSTRUCTIONS)

    def execute(self, sql: str) -> StorageResult:
        """Run one statement.

        :raises MysqlError: if the storage refuses the statement.
        """
        self._deadline = time.monotonic() + MAX_STATEMENT_S
        changes_before = self._connection.total_changes
        try:
            cursor = self._connection.execute(sql)
            rows = cursor.fetchall()
        except sqlite3.Error as error:
            raise translate_error(error) from error
        columns = tuple(column[0] for column in cursor.description or ())
        affected = self._connection.total_changes - changes_before
        return StorageResult(columns, rows, affected, cursor.lastrowid or 0 if affected else 0)

    def apply(self, statements: Iterable[str]) -> None:
        """Run the statements of one committed transaction."""
        self.execute('BEGIN')
        for sql in statements:
            self.execute(sql)
        self.execute('COMMIT')

    def roll_back(self) -> None:
        """Roll back the open transaction, if there is one."""
        if self._connection.in_transaction:
            self._connection.rollback()

    def copy_from(self, other: 'Storage') -> None:
        """Replace all contents by those of another storage."""
        other._connection.backup(self._connection)

    def close(self) -> None:
        """Close the database, which frees its memory."""
        self._connection.close()

    def _is_past_deadline(self) -> bool:
        return time.monotonic() > self._deadline
