"""Autocommit writes, with and without a ledger row that makes them run at most once."""

from typing import Final

from bergamotcart.discovery import Position, TargetKey
from bergamotcart.entry._executions import ExecutionPlan, RunningExecution
from bergamotcart.entry._inputs import ExecutionFinished
from bergamotcart.entry._primary_request_handler import PrimaryRequestHandler
from bergamotcart.entry._requests import Request
from bergamotcart.executions import ExecutionStatus, LedgerRecord, Step, StepKind
from bergamotcart.outcomes import ErrorKind, NotRun, Outcome, Ran, Reason, RequestResult

BEGIN: Final = Step(StepKind.begin, 'BEGIN')
COMMIT: Final = Step(StepKind.commit, 'COMMIT')
ROLLBACK: Final = Step(StepKind.rollback, 'ROLLBACK')
LEDGER_INSERT: Final = Step(StepKind.ledger_insert)
LEDGER_RECORD: Final = Step(StepKind.ledger_record)
POSITION: Final = Step(StepKind.position)

# Errors after which the statement has certainly not run and a retry may succeed.
NOT_RUN_ERRORS: Final = frozenset(
    (
        ErrorKind.read_only,
        ErrorKind.not_run,
        ErrorKind.behind,
        ErrorKind.busy,
        ErrorKind.wrong_instance,
    )
)
# Steps at or after COMMIT: if one of them fails, the transaction may have been committed.
_COMMIT_STEPS: Final = frozenset((StepKind.commit, StepKind.position))
# Steps between the ledger insert and COMMIT: if one of them fails, this transaction holds the
# ledger row of its identifier, so no other attempt has committed.
_LEDGER_HELD_STEPS: Final = frozenset((StepKind.statement, StepKind.ledger_record))


class WriteHandler(PrimaryRequestHandler):
    """Sends autocommit writes to the primary and decides their outcomes."""

    __slots__ = ()

    def dispatch(self, request: Request, target: TargetKey) -> None:
        """Send a write to the primary, in a transaction with its ledger row if it has one."""
        if not self._executions.may_send(request):
            return
        statement = request.step
        # On a route, the answer to the statement already carries the position.
        steps: tuple[Step, ...] = (statement, POSITION) if request.route is None else (statement,)
        if request.ledger is not None:
            steps = (BEGIN, LEDGER_INSERT, statement, LEDGER_RECORD, COMMIT, POSITION)
        plan = ExecutionPlan(target, steps, ledger=request.ledger)
        self._executions.start(request, plan, self._finish_write)

    def _finish_write(self, running: RunningExecution, finished: ExecutionFinished) -> None:
        request = running.request
        if request.done:
            return
        status = finished.status
        if status is ExecutionStatus.completed or finished.failed_step is StepKind.position:
            self._complete_write(request, finished)
        elif status is ExecutionStatus.not_sent:
            self._retries.retry(request, Reason.target_unreachable, was_sent=False)
        elif status is ExecutionStatus.duplicate:
            self._reply_from_ledger(request, finished)
        else:
            self._handle_failure(request, finished)

    def _complete_write(self, request: Request, finished: ExecutionFinished) -> None:
        """Hold the reply to a write that ran until enough replicas have it."""
        outcome = Ran(finished.result)
        if finished.result is None:
            outcome = Ran(None, Reason.answer_lost)
        self._acknowledgements.hold_until_acknowledged(
            request, outcome, reported_position(finished)
        )

    def _reply_from_ledger(self, request: Request, finished: ExecutionFinished) -> None:
        outcome = recorded_outcome(request, finished.record)
        if isinstance(outcome, NotRun):
            self._replies.refuse(request, outcome.reason, outcome.detail)
            return
        position = finished.report.position if finished.report else None
        if position is None and finished.record is not None:
            position = finished.record.position
        self._acknowledgements.hold_until_acknowledged(request, outcome, position)

    def _handle_failure(self, request: Request, finished: ExecutionFinished) -> None:
        """Retry or end a write that failed.

        The target has undone the statement unless COMMIT failed or the connection was lost.
        """
        is_lost = finished.status is ExecutionStatus.lost
        if is_lost or finished.failed_step is StepKind.commit:
            self._handle_unknown_outcome(request, finished)
            return
        if request.ledger is not None and finished.failed_step in _LEDGER_HELD_STEPS:
            # The ledger insert would have found the row of an earlier attempt, so none has run.
            request.may_have_run = False
        error = finished.error
        if error is not None and error.kind in NOT_RUN_ERRORS:
            self._retries.retry(request, Reason.group_not_open, was_sent=request.route is None)
        elif error is not None and error.kind is ErrorKind.ran:
            self._replies.finish_request(request, Ran(None, Reason.target_error, error))
        else:
            self._replies.refuse(request, Reason.target_error, error=error)

    def _handle_unknown_outcome(self, request: Request, finished: ExecutionFinished) -> None:
        """Retry or end a write whose connection broke or whose COMMIT failed.

        Only the ledger can tell whether a write that was sent has run.
        """
        if request.ledger is None or finished.failed_step in _COMMIT_STEPS:
            request.may_have_run = True
        if request.repeatable or request.ledger is not None:
            self._retries.retry(request, Reason.connection_lost)
        else:
            self._replies.refuse(request, Reason.connection_lost)


def reported_position(finished: ExecutionFinished) -> Position | None:
    """Return the position after an execution, or ``None`` if the target did not report it."""
    if finished.report is not None:
        return finished.report.position
    return finished.position


def recorded_outcome(request: Request, record: LedgerRecord | None) -> Outcome:
    """Return the outcome that the ledger records for a request identifier.

    :param request: request whose identifier is in the ledger.
    :param record: the ledger row, or ``None`` if it could not be read.
    """
    if record is None:
        return Ran(None, Reason.recorded)
    if request.ledger is not None and record.fingerprint != request.ledger.fingerprint:
        return NotRun(
            Reason.identifier_reused,
            f'request identifier {request.ledger.request_id!r} was used for another statement',
        )
    result = RequestResult(
        affected_rows=record.affected_rows,
        last_insert_id=record.last_insert_id,
    )
    return Ran(result, Reason.recorded)
