"""Autocommit writes, also those that run at most once by the ledger."""

from typing import Final

from bergamotcart.discovery import TargetKey
from bergamotcart.entry._execution import ExecutionStatus, LedgerRecord, Step, StepKind
from bergamotcart.entry._executions import Plan, Running
from bergamotcart.entry._inputs import ExecutionFinished
from bergamotcart.entry._primary_system import PrimarySystem
from bergamotcart.entry._requests import Request
from bergamotcart.outcomes import NotRun, Outcome, Ran, Reason, RequestResult

BEGIN: Final = Step(StepKind.begin, 'BEGIN')
COMMIT: Final = Step(StepKind.commit, 'COMMIT')
ROLLBACK: Final = Step(StepKind.rollback, 'ROLLBACK')
LEDGER_INSERT: Final = Step(StepKind.ledger_insert)
LEDGER_RECORD: Final = Step(StepKind.ledger_record)
POSITION: Final = Step(StepKind.position)

# An instance that became a replica refuses writes with one of these MySQL error numbers.
READ_ONLY_ERRORS: Final = frozenset((1290, 1836))
# From these steps on, the transaction may have been committed.
_COMMIT_SENT: Final = frozenset((StepKind.commit, StepKind.position))
# When one of these fails, the transaction holds its ledger row, so no other has run.
_LEDGER_HELD: Final = frozenset((StepKind.statement, StepKind.ledger_record))


class WriteSystem(PrimarySystem):
    """Sends autocommit writes to the primary and decides their verdicts."""

    __slots__ = ()

    def dispatch(self, request: Request, target: TargetKey) -> None:
        """Send a write to the primary."""
        statement = Step(StepKind.statement, request.sql)
        steps: tuple[Step, ...] = (statement, POSITION)
        if request.ledger is not None:
            steps = (BEGIN, LEDGER_INSERT, statement, LEDGER_RECORD, COMMIT, POSITION)
        plan = Plan(target, steps, ledger=request.ledger)
        self._executions.start(request, plan, self._finish)

    def _finish(self, running: Running, finished: ExecutionFinished) -> None:
        request = running.request
        if request.done:
            return
        status = finished.status
        if status is ExecutionStatus.completed or finished.failed_step is StepKind.position:
            self._complete(request, finished)
        elif status is ExecutionStatus.not_sent:
            self._retries.retry(request, Reason.target_unreachable, was_sent=False)
        elif status is ExecutionStatus.duplicate:
            self._answer_recorded(request, finished)
        else:
            self._fail(request, finished)

    def _complete(self, request: Request, finished: ExecutionFinished) -> None:
        """Hold a write that ran until it is confirmed."""
        outcome = Ran(finished.result)
        if finished.result is None:
            outcome = Ran(None, Reason.answer_lost)
        position = finished.report.position if finished.report else None
        self._confirmations.begin(request, outcome, position)

    def _answer_recorded(self, request: Request, finished: ExecutionFinished) -> None:
        outcome = recorded_outcome(request, finished.record)
        if isinstance(outcome, NotRun):
            self._replies.refuse(request, outcome.reason, outcome.detail)
            return
        position = finished.report.position if finished.report else None
        if position is None and finished.record is not None:
            position = finished.record.position
        self._confirmations.begin(request, outcome, position)

    def _fail(self, request: Request, finished: ExecutionFinished) -> None:
        """Take an error of the target; it undid the statement unless COMMIT failed."""
        is_lost = finished.status is ExecutionStatus.lost
        if is_lost or finished.failed_step is StepKind.commit:
            self._lose(request, finished)
            return
        if request.ledger is not None and finished.failed_step in _LEDGER_HELD:
            # The row of an earlier attempt would have been found, so none has run.
            request.may_have_run = False
        error = finished.error
        if error is not None and error.code in READ_ONLY_ERRORS:
            self._retries.retry(request, Reason.group_not_open)
        else:
            self._replies.refuse(request, Reason.target_error, error=error)

    def _lose(self, request: Request, finished: ExecutionFinished) -> None:
        """Take a broken connection; only the ledger tells whether a sent write ran."""
        if request.ledger is None or finished.failed_step in _COMMIT_SENT:
            request.may_have_run = True
        if request.repeatable or request.ledger is not None:
            self._retries.retry(request, Reason.connection_lost)
        else:
            self._replies.refuse(request, Reason.connection_lost)


def recorded_outcome(request: Request, record: LedgerRecord | None) -> Outcome:
    """Return the outcome that the ledger holds for an identifier.

    :param request: request whose identifier was found.
    :param record: the row, or ``None`` if it could not be read.
    """
    if record is None:
        return Ran(None, Reason.recorded)
    if request.ledger is not None and record.fingerprint != request.ledger.fingerprint:
        return NotRun(Reason.identifier_reused, 'the identifier belongs to another statement')
    answer = RequestResult(
        affected_rows=record.affected_rows,
        last_insert_id=record.last_insert_id,
    )
    return Ran(answer, Reason.recorded)
