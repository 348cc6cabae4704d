"""Durable state in an SQLite database with a rollback journal."""

import contextlib
import os
import secrets
import sqlite3
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import msgspec

from bergamotcart import messages
from bergamotcart.consensus import DurableState, HardState, Snapshot, WriteBatch
from bergamotcart_daemon.storage._base import StateStorage, StorageError, StorageFullError

FORMAT_VERSION: Final = 1

_FILE_NAME: Final = 'control.sqlite3'
_INCARNATION_BYTES: Final = 8
_SCHEMA: Final = (
    """CREATE TABLE hard_state (
        id INTEGER PRIMARY KEY CHECK (id = 1), domain TEXT NOT NULL,
        incarnation TEXT NOT NULL, term INTEGER NOT NULL, voted_for TEXT)""",
    """CREATE TABLE snapshot (
        id INTEGER PRIMARY KEY CHECK (id = 1), last_index INTEGER NOT NULL,
        last_term INTEGER NOT NULL, members BLOB NOT NULL, state BLOB NOT NULL)""",
    """CREATE TABLE records (
        log_index INTEGER PRIMARY KEY, term INTEGER NOT NULL,
        command BLOB NOT NULL, members BLOB)""",
)
_MEMBERS_DECODER: Final = msgspec.msgpack.Decoder(tuple[messages.LogMember, ...])


class SqliteStorage(StateStorage):
    """Stores the state in one file of the data folder.

    It uses the rollback journal because WAL mode needs shared memory, and
    ``synchronous=EXTRA`` because a commit must survive a power loss. The exclusive locking
    mode prevents a second process from using the file while this one has it open.
    """

    __slots__ = ('_connection', '_domain', '_path')

    def __init__(self, folder: Path, domain: str) -> None:
        """Open the data folder, and create it if it is missing.

        :param folder: data folder.
        :param domain: control domain that the state must belong to.
        :raises StorageError: if the folder is in use, unreadable, of another format
            version or of another control domain.
        """
        self._path = folder / _FILE_NAME
        self._domain = domain
        with contextlib.ExitStack() as stack, self._convert_errors():
            _create_folder(folder)
            self._connection = sqlite3.connect(
                self._path,
                timeout=0,
                isolation_level=None,
                check_same_thread=False,
            )
            stack.callback(self._connection.close)
            self._open_database()
            stack.pop_all()

    def load(self) -> DurableState:
        """Read the whole state."""
        with self._convert_errors():
            return DurableState(
                hard_state=self._load_hard_state(),
                snapshot=self._load_snapshot(),
                records=self._load_records(),
            )

    def write(self, batch: WriteBatch) -> None:
        """Write and sync a batch in one transaction."""
        with self._convert_errors(), self._transaction():
            if batch.hard_state:
                self._write_hard_state(batch.hard_state)
            if batch.snapshot:
                self._write_snapshot(batch.snapshot)
            if batch.truncate_from is not None:
                self._execute('DELETE FROM records WHERE log_index >= ?', batch.truncate_from)
            self._connection.executemany(
                'INSERT INTO records VALUES (?, ?, ?, ?)',
                [_encode_record(entry) for entry in batch.records],
            )

    def close(self) -> None:
        """Close the database, which also releases its lock."""
        self._connection.close()

    def _open_database(self) -> None:
        self._execute('PRAGMA locking_mode = EXCLUSIVE')
        self._execute('PRAGMA journal_mode = DELETE')
        self._execute('PRAGMA synchronous = EXTRA')
        # Some builds of SQLite overwrite what is deleted, and copy it to the journal before.
        self._execute('PRAGMA secure_delete = OFF')
        with self._transaction():
            version = self._execute('PRAGMA user_version').fetchone()[0]
            if version == 0:
                self._create_schema()
            elif version != FORMAT_VERSION:
                raise StorageError(
                    f'{self._path} has format version {version}, expected {FORMAT_VERSION}',
                )
            self._check_domain()

    def _create_schema(self) -> None:
        for statement in _SCHEMA:
            self._execute(statement)
        self._execute(
            'INSERT INTO hard_state VALUES (1, ?, ?, 0, NULL)',
            self._domain,
            secrets.token_hex(_INCARNATION_BYTES),
        )
        self._execute(f'PRAGMA user_version = {FORMAT_VERSION}')

    def _check_domain(self) -> None:
        domain = self._execute('SELECT domain FROM hard_state').fetchone()[0]
        if domain != self._domain:
            raise StorageError(
                f'{self._path} belongs to control domain {domain!r}, not {self._domain!r}',
            )

    def _load_hard_state(self) -> HardState:
        row = self._execute('SELECT incarnation, term, voted_for FROM hard_state').fetchone()
        return HardState(incarnation=row[0], term=row[1], voted_for=row[2])

    def _load_snapshot(self) -> Snapshot | None:
        row = self._execute(
            'SELECT last_index, last_term, members, state FROM snapshot',
        ).fetchone()
        if row is None:
            return None
        return Snapshot(
            last_index=row[0],
            last_term=row[1],
            members=_MEMBERS_DECODER.decode(row[2]),
            state=row[3],
        )

    def _load_records(self) -> tuple[messages.LogEntry, ...]:
        rows = self._execute(
            'SELECT log_index, term, command, members FROM records ORDER BY log_index',
        )
        return tuple(
            messages.LogEntry(
                index=index,
                term=term,
                command=command,
                members=None if members is None else _MEMBERS_DECODER.decode(members),
            )
            for index, term, command, members in rows
        )

    def _write_hard_state(self, hard_state: HardState) -> None:
        self._execute(
            'UPDATE hard_state SET incarnation = ?, term = ?, voted_for = ?',
            hard_state.incarnation,
            hard_state.term,
            hard_state.voted_for,
        )

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        # The snapshot takes the place of the records, so the file need not grow on a full disk.
        self._execute('DELETE FROM records WHERE log_index <= ?', snapshot.last_index)
        self._execute(
            'REPLACE INTO snapshot VALUES (1, ?, ?, ?, ?)',
            snapshot.last_index,
            snapshot.last_term,
            msgspec.msgpack.encode(snapshot.members),
            snapshot.state,
        )

    def _execute(self, statement: str, *parameters: object) -> sqlite3.Cursor:
        return self._connection.execute(statement, parameters)

    @contextlib.contextmanager
    def _transaction(self) -> Iterator[None]:
        self._execute('BEGIN EXCLUSIVE')
        try:
            yield
            self._execute('COMMIT')
        except BaseException:
            # After an error such as a full disk, SQLite has already rolled back the transaction.
            if self._connection.in_transaction:
                self._execute('ROLLBACK')
            raise

    @contextlib.contextmanager
    def _convert_errors(self) -> Iterator[None]:
        try:
            yield
        except sqlite3.OperationalError as error:
            if error.sqlite_errorcode == sqlite3.SQLITE_FULL:
                raise StorageFullError(f'{self._path}: {error}') from error
            if error.sqlite_errorcode == sqlite3.SQLITE_BUSY:
                raise StorageError(f'{self._path} is in use by another process') from error
            raise StorageError(f'{self._path}: {error}') from error
        except (sqlite3.Error, msgspec.MsgspecError, OSError) as error:
            raise StorageError(f'{self._path}: {error}') from error


def _create_folder(folder: Path) -> None:
    """Create the folder and sync its parent, as it could otherwise vanish after a power loss."""
    if folder.is_dir():
        return
    _create_folder(folder.parent)
    folder.mkdir()
    with contextlib.ExitStack() as stack:
        parent = os.open(folder.parent, os.O_RDONLY)
        stack.callback(os.close, parent)
        os.fsync(parent)


def _encode_record(entry: messages.LogEntry) -> tuple[int, int, bytes, bytes | None]:
    members = None if entry.members is None else msgspec.msgpack.encode(entry.members)
    return (entry.index, entry.term, entry.command, members)
