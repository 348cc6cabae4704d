"""Execution of callers' statements: slots, locks, transactions and the history."""

import asyncio
import itertools
import time
from dataclasses import dataclass, field

from mysql_mimic.errors import MysqlError

from bergamotcart_testkit.target._dialect import Statement, StatementKind
from bergamotcart_testkit.target._errors import TRANSACTION_ROLLED_BACK
from bergamotcart_testkit.target._instance import Instance
from bergamotcart_testkit.target._records import Event, EventKind
from bergamotcart_testkit.target._slots import Slots
from bergamotcart_testkit.target._storage import StorageResult

EMPTY_RESULT = StorageResult((), [], 0, 0)
# Differs from every generation of an instance, so that the transaction counts as rolled back.
_ROLLED_BACK_GENERATION = -1


@dataclass(slots=True, kw_only=True)
class _Transaction:
    identifier: str
    generation: int
    writes: bool = False
    statements: list[str] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)


class Executor:
    """Executes the statements of one connection."""

    _transaction_numbers = itertools.count(1)

    def __init__(self, instance: Instance, slots: Slots, connection: int, user: str) -> None:
        """Create an executor without a transaction, in autocommit mode."""
        self._instance = instance
        self._slots = slots
        self._connection = connection
        self._user = user
        self._transaction: _Transaction | None = None
        self._autocommit = True
        self._idle_timer: asyncio.TimerHandle | None = None

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._transaction is not None

    @property
    def autocommit(self) -> bool:
        """Whether a statement outside of a transaction commits by itself."""
        return self._autocommit

    def start_statement(self) -> None:
        """Cancel the idle timeout of the open transaction."""
        if self._idle_timer:
            self._idle_timer.cancel()
            self._idle_timer = None

    def end_statement(self) -> None:
        """Start the idle timeout of the open transaction, if there is one."""
        self.start_statement()
        if self.in_transaction:
            limit_s = self._instance.tuning.idle_transaction
            loop = asyncio.get_running_loop()
            self._idle_timer = loop.call_later(limit_s, self._end_idle_transaction)

    def change_autocommit(self, enabled: bool) -> None:
        """Change the mode; enabling it commits an open transaction."""
        if enabled and not self._autocommit:
            self.commit()
        self._autocommit = enabled

    def begin(self, text: str = 'BEGIN') -> None:
        """Start a transaction, after committing an open one."""
        self.commit()
        self._transaction = self._new_transaction()
        self._record_event(self._transaction, EventKind.begin, text, committed=None)

    def commit(self, text: str = 'COMMIT') -> None:
        """Commit the open transaction, if any.

        :raises MysqlError: if the transaction was rolled back because the instance was demoted.
        """
        transaction = self._transaction
        self._transaction = None
        if transaction is None:
            return
        self._require_active(transaction)
        instance = self._instance
        if transaction.writes:
            instance.working.execute('COMMIT')
            instance.commit(transaction.identifier, transaction.statements)
            instance.write_lock.release(self)
        self._record_event(transaction, EventKind.commit, text, committed=None)
        self._set_outcome(transaction, committed=True)

    def roll_back(self, text: str = 'ROLLBACK') -> None:
        """Roll back the open transaction, if there is one."""
        transaction = self._transaction
        self._transaction = None
        if transaction is None:
            return
        if transaction.writes and transaction.generation == self._instance.generation:
            self._instance.working.roll_back()
            self._instance.write_lock.release(self)
        self._record_event(transaction, EventKind.rollback, text, committed=None)
        self._set_outcome(transaction, committed=False)

    async def read(self, statement: Statement) -> StorageResult:
        """Run a read; it sees uncommitted data only in a writing transaction, and only its own."""
        if statement.kind is StatementKind.locking_read and self.in_transaction:
            await self._start_writing(self._require_transaction())
        await self._occupy_slot()
        instance = self._instance
        transaction = self._transaction
        storage = instance.committed
        if transaction:
            self._require_active(transaction)
            storage = instance.working if transaction.writes else instance.committed
        result = storage.execute(statement.storage_sql)
        owner = transaction or self._new_transaction()
        self._record_event(owner, EventKind.read, statement.text, committed=False)
        return result

    async def write(self, statement: Statement) -> StorageResult:
        """Run a write in the open transaction, or in its own transaction with autocommit."""
        self._instance.require_primary()
        if self._transaction is None and not self._autocommit:
            self.begin()
        if self._transaction is None:
            return await self._write_autocommitted(statement)
        await self._start_writing(self._transaction)
        await self._occupy_slot()
        return self._write_in_transaction(self._require_transaction(), statement)

    async def _write_autocommitted(self, statement: Statement) -> StorageResult:
        instance = self._instance
        await self._occupy_slot()
        transaction = self._new_transaction()
        await instance.write_lock.acquire(self, instance.tuning.lock_wait)
        try:
            instance.require_primary()
            result = instance.working.execute(statement.storage_sql)
            record = instance.commit(transaction.identifier, (statement.storage_sql,))
        except MysqlError as error:
            self._record_event(transaction, EventKind.write, statement.text, False, int(error.code))
            raise
        finally:
            instance.write_lock.release(self)
        event = self._record_event(transaction, EventKind.write, statement.text, committed=None)
        instance.history.set_outcome(event, True, record.term, record.position)
        return result

    def _write_in_transaction(
        self, transaction: _Transaction, statement: Statement
    ) -> StorageResult:
        self._require_active(transaction)
        try:
            result = self._instance.working.execute(statement.storage_sql)
        except MysqlError as error:
            # As in MySQL, a failed statement has no effect and the transaction stays open.
            self._record_event(transaction, EventKind.write, statement.text, False, int(error.code))
            raise
        transaction.statements.append(statement.storage_sql)
        self._record_event(transaction, EventKind.write, statement.text, committed=None)
        return result

    async def _start_writing(self, transaction: _Transaction) -> None:
        self._require_active(transaction)
        if transaction.writes:
            return
        instance = self._instance
        await instance.write_lock.acquire(self, instance.tuning.lock_wait)
        try:
            self._require_active(transaction)
        except MysqlError:
            instance.write_lock.release(self)
            raise
        instance.working.execute('BEGIN')
        transaction.writes = True

    async def _occupy_slot(self) -> None:
        async with self._slots.occupy():
            await asyncio.sleep(self._instance.tuning.execution_time)

    def _end_idle_transaction(self) -> None:
        transaction = self._transaction
        self.roll_back('ROLLBACK /* idle for too long */')
        if transaction:
            # Keeps the ended transaction, so that the caller's next statement fails instead of
            # running outside of a transaction.
            transaction.generation = _ROLLED_BACK_GENERATION
            self._transaction = transaction

    def _require_transaction(self) -> _Transaction:
        if self._transaction is None:
            raise MysqlError('no transaction is open', code=TRANSACTION_ROLLED_BACK)
        return self._transaction

    def _require_active(self, transaction: _Transaction) -> None:
        if transaction.generation == self._instance.generation:
            return
        if self._transaction is transaction:
            self._transaction = None
        self._set_outcome(transaction, committed=False)
        message = 'Transaction rolled back: instance demoted, or transaction idle for too long'
        raise MysqlError(message, code=TRANSACTION_ROLLED_BACK)

    def _new_transaction(self) -> _Transaction:
        instance = self._instance
        identifier = f'{instance.settings.instance}:{instance.incarnation[:8]}:{next(self._transaction_numbers)}'
        return _Transaction(identifier=identifier, generation=instance.generation)

    def _record_event(
        self,
        transaction: _Transaction,
        kind: EventKind,
        text: str,
        committed: bool | None,
        error: int = 0,
    ) -> Event:
        instance = self._instance
        event = Event(
            time=time.monotonic(),
            connection=self._connection,
            user=self._user,
            transaction=transaction.identifier,
            kind=kind,
            statement=text,
            committed=committed,
            role=instance.role.value,
            term=instance.term,
            log_term=instance.log_term,
            position=instance.position,
            error=error,
        )
        instance.history.add(event)
        if committed is None:
            transaction.events.append(event)
        return event

    def _set_outcome(self, transaction: _Transaction, committed: bool) -> None:
        instance = self._instance
        for event in transaction.events:
            instance.history.set_outcome(event, committed, instance.log_term, instance.position)
        transaction.events.clear()
