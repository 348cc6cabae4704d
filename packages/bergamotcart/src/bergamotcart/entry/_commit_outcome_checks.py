"""Looks up in the ledger whether a COMMIT whose answer was lost took effect."""

from bergamotcart.discovery import TargetKey
from bergamotcart.entry._executions import ExecutionPlan, RunningExecution
from bergamotcart.entry._inputs import ExecutionFinished
from bergamotcart.entry._primary_request_handler import PrimaryRequestHandler
from bergamotcart.entry._requests import Request
from bergamotcart.entry._writes import BEGIN, LEDGER_INSERT, ROLLBACK
from bergamotcart.executions import ExecutionStatus
from bergamotcart.outcomes import Ran, Reason, RequestResult


class CommitOutcomeChecks(PrimaryRequestHandler):
    """Tests for the ledger row of a transaction by an insert that is rolled back.

    The insert waits while the transaction still locks the row. It fails if the transaction
    was committed and succeeds if it was rolled back.
    """

    __slots__ = ()

    def dispatch(self, request: Request, target: TargetKey) -> None:
        """Send the insert and the rollback to the primary."""
        plan = ExecutionPlan(target, (BEGIN, LEDGER_INSERT, ROLLBACK), ledger=request.ledger)
        self._executions.start(request, plan, self._on_check_finished)

    def _on_check_finished(self, running: RunningExecution, finished: ExecutionFinished) -> None:
        request = running.request
        if request.done:
            return
        if finished.status is ExecutionStatus.duplicate:
            position = finished.report.position if finished.report else None
            outcome = Ran(RequestResult(), Reason.recorded)
            self._acknowledgements.hold_until_acknowledged(request, outcome, position)
        elif finished.status is ExecutionStatus.completed:
            request.may_have_run = False
            self._replies.refuse(
                request, Reason.rolled_back, 'the ledger has no record of the transaction'
            )
        else:
            was_sent = finished.status is not ExecutionStatus.not_sent
            self._retries.retry(request, Reason.connection_lost, was_sent=was_sent)
