"""Execution of a list of steps on a MySQL connection."""

import asyncio
import contextlib
import itertools
from collections.abc import Mapping
from types import MappingProxyType

import msgspec

from bergamotcart.discovery import PositionReport
from bergamotcart.entry import (
    ConnectionUse,
    Execute,
    ExecutionFinished,
    ExecutionStatus,
    LedgerRecord,
    Step,
    StepKind,
)
from bergamotcart.outcomes import RequestResult
from bergamotcart_daemon.targets import _mysql_errors as errors
from bergamotcart_daemon.targets import _mysql_ledger as ledger
from bergamotcart_daemon.targets._interfaces import ExecutionRun
from bergamotcart_daemon.targets._mysql_connection import MysqlConnection
from bergamotcart_daemon.targets._position_dialect import PositionDialect

_DEFAULT_SQL: Mapping[StepKind, str] = MappingProxyType(
    {
        StepKind.begin: 'BEGIN',
        StepKind.commit: 'COMMIT',
        StepKind.rollback: 'ROLLBACK',
    },
)
_TRANSACTION_ENDS = frozenset((StepKind.commit, StepKind.rollback))
# With these uses, the transaction stays open after the execution.
_USES_KEEPING_TRANSACTION = frozenset((ConnectionUse.pin, ConnectionUse.pinned))
_PINNED_USES = frozenset((ConnectionUse.pinned, ConnectionUse.unpin))


class MysqlExecutionRun(ExecutionRun):
    """One execution on one MySQL connection, which ends at the first failing step."""

    __slots__ = (
        '_action',
        '_connection',
        '_current_step_kind',
        '_dialect',
        '_in_transaction',
        '_ledger_created',
        '_position_sent',
        '_ledger_record',
        '_position_report',
        '_result',
    )

    def __init__(
        self,
        action: Execute,
        connection: MysqlConnection,
        dialect: PositionDialect,
    ) -> None:
        """Prepare the run without sending anything yet."""
        self._action = action
        self._connection = connection
        self._dialect = dialect
        self._current_step_kind: StepKind | None = None
        self._in_transaction = action.use in _PINNED_USES
        self._ledger_created = False
        self._position_sent = False
        self._result: RequestResult | None = None
        self._position_report: PositionReport | None = None
        self._ledger_record: LedgerRecord | None = None

    @property
    def in_transaction(self) -> bool:
        """True while a transaction is or may be open on the connection."""
        return self._in_transaction

    async def run(self, deadline: float) -> ExecutionFinished:
        """Run all steps.

        :param deadline: time of the event loop, in seconds, at which an unfinished run is
            reported as lost and its connection is closed.
        """
        if not self._connection.usable:
            return self._build_finished(ExecutionStatus.not_sent, refused=True)
        try:
            async with asyncio.timeout_at(deadline):
                return await self._run_steps()
        except Exception as error:
            # After any failure, the result of the current step is missing. It may still arrive, so
            # the connection cannot be reused.
            self._connection.close()
            return self._build_finished(ExecutionStatus.lost, refused=errors.is_refusal(error))

    async def _run_steps(self) -> ExecutionFinished:
        steps = self._action.steps
        try:
            for step, next_step in itertools.zip_longest(steps, steps[1:]):
                await self._run_step(step, next_step)
        except errors.MysqlError as error:
            return await self._handle_target_error(error)
        self._current_step_kind = None
        return self._build_finished(ExecutionStatus.completed)

    async def _run_step(self, step: Step, next_step: Step | None = None) -> None:
        self._current_step_kind = step.kind
        if step.kind != StepKind.position or not self._position_sent:
            await self._connection.send_statement(self._build_sql(step))
        # A position step follows whether this step succeeds or fails, so its statement is sent
        # without waiting for the result of this step. That saves a round trip for each write.
        self._position_sent = next_step is not None and next_step.kind == StepKind.position
        if self._position_sent:
            await self._connection.send_statement(self._build_sql(next_step))
        self._apply_result(step, await self._connection.receive_result())

    def _apply_result(self, step: Step, result: RequestResult) -> None:
        if step.kind == StepKind.begin:
            self._in_transaction = True
        elif step.kind in _TRANSACTION_ENDS:
            self._in_transaction = False
        elif step.kind == StepKind.statement:
            self._result = result
        elif step.kind == StepKind.position:
            self._position_report = self._dialect.parse_report(result)

    def _build_sql(self, step: Step) -> str:
        if step.kind == StepKind.position:
            return self._dialect.build_position_statement()
        if step.kind == StepKind.ledger_insert:
            return self._ledger_statements.build_insert()
        if step.kind == StepKind.ledger_record:
            return self._ledger_statements.build_update(self._result or RequestResult())
        return step.sql or _DEFAULT_SQL[step.kind]

    @property
    def _ledger_statements(self) -> ledger.LedgerStatements:
        return ledger.LedgerStatements(self._connection, self._action.ledger)

    async def _handle_target_error(self, error: errors.MysqlError) -> ExecutionFinished:
        code = error.error.code
        if self._position_sent:
            await self._discard_position_result()
        if self._current_step_kind == StepKind.ledger_insert:
            if code == errors.UNKNOWN_TABLE_CODE and self._may_create_ledger():
                return await self._retry_with_ledger()
            if code == errors.DUPLICATE_KEY_CODE:
                return await self._read_recorded_outcome(error)
        failed_step = self._current_step_kind
        if failed_step != StepKind.commit and self._owns_transaction():
            await self._roll_back()
        self._current_step_kind = failed_step
        return self._build_finished(ExecutionStatus.target_error, error)

    def _owns_transaction(self) -> bool:
        return self._in_transaction and self._action.use == ConnectionUse.shared

    async def _roll_back(self) -> None:
        await self._run_step(Step(StepKind.rollback))

    async def _discard_position_result(self) -> None:
        self._position_sent = False
        with contextlib.suppress(errors.MysqlError):
            await self._connection.receive_result()

    def _may_create_ledger(self) -> bool:
        # CREATE TABLE commits implicitly. On a pinned connection, it would also commit what
        # earlier executions did in the transaction.
        return not self._ledger_created and self._action.use not in _PINNED_USES

    async def _retry_with_ledger(self) -> ExecutionFinished:
        self._ledger_created = True
        if self._in_transaction:
            await self._roll_back()
        await self._connection.run_statement(ledger.CREATE_TABLE_STATEMENT)
        return await self._run_steps()

    async def _read_recorded_outcome(self, error: errors.MysqlError) -> ExecutionFinished:
        if self._in_transaction:
            await self._roll_back()
        self._current_step_kind = StepKind.ledger_insert
        result = await self._connection.run_statement(self._ledger_statements.build_select())
        self._ledger_record = ledger.parse_record(result)
        if self._ledger_record is None:
            return self._build_finished(ExecutionStatus.target_error, error)
        position_result = await self._connection.run_statement(
            self._dialect.build_position_statement()
        )
        self._position_report = self._dialect.parse_report(position_result)
        self._ledger_record = msgspec.structs.replace(
            self._ledger_record, position=self._position_report.position
        )
        return self._build_finished(ExecutionStatus.duplicate)

    def _build_finished(
        self,
        status: ExecutionStatus,
        error: errors.MysqlError | None = None,
        *,
        refused: bool = False,
    ) -> ExecutionFinished:
        return ExecutionFinished(
            execution_id=self._action.execution_id,
            status=status,
            result=self._result,
            report=self._position_report,
            failed_step=self._current_step_kind,
            error=error.error if error else None,
            record=self._ledger_record,
            connection_clean=self._is_connection_clean(),
            connection_refused=refused,
        )

    def _is_connection_clean(self) -> bool:
        if self._connection.closed:
            return False
        return self._action.use in _USES_KEEPING_TRANSACTION or not self._in_transaction
