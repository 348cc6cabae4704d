"""Runs the steps of one execution on one connection."""

import asyncio
import contextlib
import itertools
from collections.abc import Mapping
from dataclasses import replace
from types import MappingProxyType

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
from bergamotcart_daemon.targets import _errors as errors
from bergamotcart_daemon.targets import _ledger as ledger
from bergamotcart_daemon.targets._connection import TargetConnection
from bergamotcart_daemon.targets._dialect import PositionDialect
from bergamotcart_daemon.targets._driver import ExecutionRun

_DEFAULT_SQL: Mapping[StepKind, str] = MappingProxyType(
    {
        StepKind.begin: 'BEGIN',
        StepKind.commit: 'COMMIT',
        StepKind.rollback: 'ROLLBACK',
    },
)
_TRANSACTION_ENDS = frozenset((StepKind.commit, StepKind.rollback))
# After these, an open transaction is the intended state of the connection.
_OPEN_USES = frozenset((ConnectionUse.pin, ConnectionUse.pinned))
_PINNED_USES = frozenset((ConnectionUse.pinned, ConnectionUse.unpin))


class StepRun(ExecutionRun):
    """One execution on one connection, stopped by its first failing step."""

    __slots__ = (
        '_action',
        '_connection',
        '_current',
        '_dialect',
        '_in_transaction',
        '_ledger_created',
        '_position_sent',
        '_record',
        '_report',
        '_result',
    )

    def __init__(
        self,
        action: Execute,
        connection: TargetConnection,
        dialect: PositionDialect,
    ) -> None:
        """Prepare the run; nothing is sent yet."""
        self._action = action
        self._connection = connection
        self._dialect = dialect
        self._current: StepKind | None = None
        self._in_transaction = action.use in _PINNED_USES
        self._ledger_created = False
        self._position_sent = False
        self._result: RequestResult | None = None
        self._report: PositionReport | None = None
        self._record: LedgerRecord | None = None

    @property
    def in_transaction(self) -> bool:
        """True while a transaction is or may be open on the connection."""
        return self._in_transaction

    async def run(self, deadline: float) -> ExecutionFinished:
        """Run all steps.

        :param deadline: time in seconds at which the connection is closed.
        """
        if not self._connection.usable:
            return self._finish(ExecutionStatus.not_sent, refused=True)
        try:
            async with asyncio.timeout_at(deadline):
                return await self._run_steps()
        except Exception as error:
            # Whatever failed, the answer of the current step is missing.
            self._connection.close()
            return self._finish(ExecutionStatus.lost, refused=errors.is_refusal(error))

    async def _run_steps(self) -> ExecutionFinished:
        steps = self._action.steps
        try:
            for step, following in itertools.zip_longest(steps, steps[1:]):
                await self._run_step(step, following)
        except errors.MysqlError as error:
            return await self._handle_error(error)
        self._current = None
        return self._finish(ExecutionStatus.completed)

    async def _run_step(self, step: Step, following: Step | None = None) -> None:
        self._current = step.kind
        if step.kind != StepKind.position or not self._position_sent:
            await self._connection.send(self._build_sql(step))
        # The position is asked for whatever the step's outcome is, so the question need not
        # wait for it; that saves a round trip for each write.
        self._position_sent = following is not None and following.kind == StepKind.position
        if self._position_sent:
            await self._connection.send(self._build_sql(following))
        self._note_answer(step, await self._connection.receive())

    def _note_answer(self, step: Step, answer: RequestResult) -> None:
        if step.kind == StepKind.begin:
            self._in_transaction = True
        elif step.kind in _TRANSACTION_ENDS:
            self._in_transaction = False
        elif step.kind == StepKind.statement:
            self._result = answer
        elif step.kind == StepKind.position:
            self._report = self._dialect.parse(answer)

    def _build_sql(self, step: Step) -> str:
        if step.kind == StepKind.position:
            return self._dialect.build_position_statement()
        if step.kind == StepKind.ledger_insert:
            return self._statements.build_insert()
        if step.kind == StepKind.ledger_record:
            return self._statements.build_record(self._result or RequestResult())
        return step.sql or _DEFAULT_SQL[step.kind]

    @property
    def _statements(self) -> ledger.LedgerStatements:
        return ledger.LedgerStatements(self._connection, self._action.ledger)

    async def _handle_error(self, error: errors.MysqlError) -> ExecutionFinished:
        code = error.error.code
        if self._position_sent:
            await self._skip_position()
        if self._current == StepKind.ledger_insert:
            if code == errors.UNKNOWN_TABLE and self._may_create_ledger():
                return await self._retry_with_ledger()
            if code == errors.DUPLICATE_KEY:
                return await self._read_duplicate(error)
        failed_step = self._current
        if failed_step != StepKind.commit and self._owns_transaction():
            await self._roll_back()
        self._current = failed_step
        return self._finish(ExecutionStatus.target_error, error)

    def _owns_transaction(self) -> bool:
        return self._in_transaction and self._action.use == ConnectionUse.shared

    async def _roll_back(self) -> None:
        await self._run_step(Step(StepKind.rollback))

    async def _skip_position(self) -> None:
        self._position_sent = False
        with contextlib.suppress(errors.MysqlError):
            await self._connection.receive()

    def _may_create_ledger(self) -> bool:
        # A table definition would commit what an earlier execution did in the transaction.
        return not self._ledger_created and self._action.use not in _PINNED_USES

    async def _retry_with_ledger(self) -> ExecutionFinished:
        self._ledger_created = True
        if self._in_transaction:
            await self._roll_back()
        await self._connection.run(ledger.CREATE_TABLE)
        return await self._run_steps()

    async def _read_duplicate(self, error: errors.MysqlError) -> ExecutionFinished:
        if self._in_transaction:
            await self._roll_back()
        self._current = StepKind.ledger_insert
        answer = await self._connection.run(self._statements.build_select())
        self._record = ledger.parse_record(answer)
        if self._record is None:
            return self._finish(ExecutionStatus.target_error, error)
        position = await self._connection.run(self._dialect.build_position_statement())
        self._report = self._dialect.parse(position)
        self._record = replace(self._record, position=self._report.position)
        return self._finish(ExecutionStatus.duplicate)

    def _finish(
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
            report=self._report,
            failed_step=self._current,
            error=error.error if error else None,
            record=self._record,
            clean=self._is_clean(),
            refused=refused,
        )

    def _is_clean(self) -> bool:
        if self._connection.closed:
            return False
        return self._action.use in _OPEN_USES or not self._in_transaction
