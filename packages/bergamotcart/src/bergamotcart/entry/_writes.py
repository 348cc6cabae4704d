"""Autocommit writes, also those that run at most once by the ledger."""

from typing import Final

from bergamotcart.discovery import Position, TargetKey
from bergamotcart.entry._execution import ExecutionStatus, LedgerRecord, Step, StepKind
from bergamotcart.entry._executions import Plan, Running
from bergamotcart.entry._inputs import ExecutionFinished
from bergamotcart.entry._primary_system import PrimarySystem
from bergamotcart.entry._requests import Request
from bergamotcart.outcomes import ErrorKind, NotRun, Outcome, Ran, Reason, RequestResult

BEGIN: Final = Step(StepKind.begin, 'BEGIN')
COMMIT: Final = Step(StepKind.commit, 'COMMIT')
ROLLBACK: Final = Step(StepKind.rollback, 'ROLLBACK')
LEDGER_INSERT: Final = Step(StepKind.ledger_insert)
LEDGER_RECORD: Final = Step(StepKind.ledger_record)
POSITION: Final = Step(StepKind.position)

# After these errors, the statement has certainly not run, and another attempt may succeed.
NOT_RUN_ERRORS: Final = frozenset(
    (
        ErrorKind.read_only,
        ErrorKind.not_run,
        ErrorKind.behind,
        ErrorKind.busy,
        ErrorKind.wrong_instance,
    )
)
# From these steps on, the transaction may have been committed.
_COMMIT_SENT: Final = frozenset((StepKind.commit, StepKind.position))
# When one of these fails, the transaction holds its ledger row, so no other has run.
_LEDGER_HELD: Final = frozenset((StepKind.statement, StepKind.ledger_record))


class WriteSystem(PrimarySystem):
    """Sends autocommit writes to the primary and decides their verdicts."""

    __slots__ = ()

    def dispatch(self, request: Request, target: TargetKey) -> None:
        """Send a write to the primary."""
        statement = request.step
        # Answers to the statements of a route carry the position.
        steps: tuple[Step, ...] = (statement, POSITION) if request.route is None else (statement,)
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
        self._confirmations.begin(request, outcome, reported_position(finished))

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
        if error is not None and error.kind in NOT_RUN_ERRORS:
            self._retries.retry(request, Reason.group_not_open, was_sent=request.route is None)
        elif error is not None and error.kind is ErrorKind.ran:
            self._replies.finish(request, Ran(None, Reason.target_error, error))
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


def reported_position(finished: ExecutionFinished) -> Position | None:
    """Return the position after an execution, if the target has told it."""
    if finished.report is not None:
        return finished.report.position
    return finished.position


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
