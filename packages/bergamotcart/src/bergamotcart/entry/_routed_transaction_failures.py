"""Outcomes of failed transactions of sessions that use a route.

Only COMMIT makes changes durable, so nothing is kept of a transaction that failed before it.
"""

from bergamotcart.entry._inputs import ExecutionFinished
from bergamotcart.entry._replies import Replies
from bergamotcart.entry._requests import Request
from bergamotcart.entry._retries import Retries
from bergamotcart.entry._session_transaction import Transaction
from bergamotcart.entry._writes import NOT_RUN_ERRORS
from bergamotcart.executions import ExecutionStatus, StepKind
from bergamotcart.outcomes import ErrorKind, NotRun, Outcome, Ran, Reason, TargetError


class RoutedTransactionFailures:
    """Decides the outcomes of failed begins, statements and commits."""

    __slots__ = ('_replies', '_retries')

    def __init__(self, replies: Replies, retries: Retries) -> None:
        """Create the object from the components that end or repeat requests."""
        self._replies = replies
        self._retries = retries

    def handle_failed_begin(
        self,
        request: Request,
        finished: ExecutionFinished,
        transaction: Transaction,
    ) -> None:
        """Retry a failed begin, or reply to the caller if its statement or COMMIT has failed."""
        error = finished.error
        if finished.failed_step is StepKind.commit:
            self.handle_failed_commit(request, finished, transaction)
        elif error is not None and error.kind not in NOT_RUN_ERRORS:
            request.session.transaction.end()
            self._replies.finish_request(request, _build_failure_outcome(error))
        else:
            reason = Reason.connection_lost if error is None else Reason.target_busy
            was_sent = finished.status is not ExecutionStatus.not_sent
            self._retries.retry(request, reason, was_sent=was_sent)

    def handle_failed_statement(self, request: Request, finished: ExecutionFinished) -> None:
        """Reply to a statement that failed, which has rolled back its transaction."""
        request.session.transaction.report_end()
        if finished.error is None:
            self._replies.refuse(request, Reason.rolled_back, 'connection lost')
        else:
            self._replies.finish_request(request, _build_failure_outcome(finished.error))

    def handle_failed_commit(
        self,
        request: Request,
        finished: ExecutionFinished,
        transaction: Transaction,
    ) -> None:
        """Reply to a failed COMMIT; it is in doubt only if the transaction has written."""
        request.session.transaction.end()
        error = finished.error
        was_refused = error is not None and error.kind is not ErrorKind.ran
        was_sent = finished.status is not ExecutionStatus.not_sent
        if was_sent and not was_refused and transaction.has_written:
            self._replies.reply_may_have_run(request, Reason.connection_lost)
        else:
            self._replies.refuse(request, Reason.rolled_back, error=error)


def rollback_reason(finished: ExecutionFinished) -> str:
    """Return the logged reason for rolling back a transaction after a failed statement."""
    reason = Reason.connection_lost if finished.error is None else Reason.target_error
    return reason.value


def _build_failure_outcome(error: TargetError) -> Outcome:
    if error.kind is ErrorKind.ran:
        return Ran(None, Reason.target_error, error)
    return NotRun(Reason.rolled_back, error.message, error=error)
