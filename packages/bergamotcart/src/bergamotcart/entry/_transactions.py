"""Transactions, each on a connection that is pinned to its session."""

from typing import Final

import msgspec

from bergamotcart.discovery import Position, TargetKey
from bergamotcart.entry._actions import ReleasePin
from bergamotcart.entry._commit_outcome_checks import CommitOutcomeChecks
from bergamotcart.entry._context import EngineContext
from bergamotcart.entry._executions import ExecutionPlan, Executions, RunningExecution
from bergamotcart.entry._inputs import ExecutionFinished
from bergamotcart.entry._primary_dispatcher import PrimaryDispatcher, QueuedRequestHandler
from bergamotcart.entry._replication_acknowledgements import ReplicationAcknowledgements
from bergamotcart.entry._replies import Replies
from bergamotcart.entry._requests import Request
from bergamotcart.entry._retries import Retries
from bergamotcart.entry._routed_transaction_failures import (
    RoutedTransactionFailures,
    rollback_reason,
)
from bergamotcart.entry._session_transaction import Transaction, TransactionPhase
from bergamotcart.entry._sessions import LastRead, Session
from bergamotcart.entry._statement_repeats import StatementRepeats, may_repeat_statement
from bergamotcart.entry._writes import (
    BEGIN,
    COMMIT,
    LEDGER_INSERT,
    LEDGER_RECORD,
    POSITION,
    ROLLBACK,
    recorded_outcome,
    reported_position,
)
from bergamotcart.executions import ConnectionUse, ExecutionStatus, Step, StepKind
from bergamotcart.outcomes import (
    ErrorKind,
    NotRun,
    Ran,
    Reason,
    RequestResult,
)
from bergamotcart.statements import StatementKind

# Errors after which the target has rolled back the whole transaction.
_ROLLED_BACK_ERRORS: Final = frozenset((ErrorKind.read_only, ErrorKind.rolled_back))
_BEGIN_READ_ONLY: Final = Step(StepKind.begin, 'BEGIN READ')


class TransactionHandler(QueuedRequestHandler):
    """Begins transactions, runs their statements, and commits or rolls them back."""

    __slots__ = (
        '_acknowledgements',
        '_executions',
        '_primary_dispatcher',
        '_open_count',
        '_outcome_checks',
        '_replies',
        '_retries',
        '_routed_failures',
        '_statement_repeats',
        '_context',
    )

    def __init__(
        self,
        context: EngineContext,
        primary_dispatcher: PrimaryDispatcher,
        executions: Executions,
        acknowledgements: ReplicationAcknowledgements,
        outcome_checks: CommitOutcomeChecks,
        replies: Replies,
        retries: Retries,
    ) -> None:
        """Create the handler without open transactions."""
        self._context = context
        self._primary_dispatcher = primary_dispatcher
        self._executions = executions
        self._acknowledgements = acknowledgements
        self._outcome_checks = outcome_checks
        self._replies = replies
        self._retries = retries
        self._routed_failures = RoutedTransactionFailures(replies, retries)
        self._statement_repeats = StatementRepeats(context, self._repeat_statement)
        self._open_count = 0

    @property
    def open_count(self) -> int:
        """Number of transactions that have not ended."""
        return self._open_count

    def resume(self, request: Request) -> None:
        """Queue a request that begins a transaction, or run a statement in the open one."""
        transaction = request.session.transaction.pinned
        if transaction is None:
            self._primary_dispatcher.enqueue(request)
        else:
            self._run_statement(request, transaction)

    def dispatch(self, request: Request, target: TargetKey) -> None:
        """Pin a connection to the primary and begin a transaction on it."""
        self.begin_at(request, target, None)

    def begin_at(self, request: Request, target: TargetKey, floor: Position | None) -> None:
        """Pin a connection to an instance and begin a transaction on it.

        :param floor: position that the instance must have reached when the transaction begins, or
            ``None`` if the instance must be the primary.
        """
        if not self._executions.may_send(request):
            return
        transaction = Transaction(target, request.term, request.group, request.ledger)
        transaction.is_routed = request.route is not None
        request.session.transaction.pin(transaction)
        self._open_count += 1
        steps: tuple[Step, ...] = (BEGIN,)
        if floor is not None:
            # With a floor, any instance that has reached it may serve a read-only transaction.
            # Without one, the instance must be the primary. A plain BEGIN is used then, because a
            # replaced primary refuses the statements of a plain transaction, but not those of a
            # read-only one.
            steps = (msgspec.structs.replace(_BEGIN_READ_ONLY, floor=floor),)
        if request.ledger is not None:
            steps = (BEGIN, LEDGER_INSERT)
        if request.statement.kind is StatementKind.commit:
            steps = (*steps, msgspec.structs.replace(COMMIT, statement_id=request.statement_id))
        elif request.statement.kind is not StatementKind.begin:
            steps = (*steps, request.step)
            transaction.has_written = request.statement.kind is StatementKind.write
        plan = ExecutionPlan(target, steps, ConnectionUse.pin, request.ledger)
        self._executions.start(request, plan, self._finish_begin)

    def abort(self, session: Session, reason: str) -> None:
        """Roll back a session's transaction by closing its connection."""
        transaction = session.transaction.pinned
        if transaction is None or transaction.phase is TransactionPhase.ending:
            return
        self._release(transaction)
        if transaction.phase is TransactionPhase.opening:
            # The answer to its first statement, which is in progress, tells the caller.
            session.transaction.unpin()
        else:
            session.transaction.end_unreported()
        self._context.actions.append(ReleasePin(session.session_id))
        self._context.publish_decision(
            'transactions',
            'roll_back',
            reason,
            session=session.session_id,
            caller=session.caller,
            group=transaction.group,
            target=transaction.target.instance,
        )

    def commit(self, request: Request) -> None:
        """Commit the open transaction, or reply at once if there is none."""
        transaction = request.session.transaction.pinned
        if transaction is None:
            self._commit_without_transaction(request)
            return
        if not self._may_continue(request, transaction, needs_primary=transaction.has_written):
            request.session.transaction.report_end()
            return
        self._publish_dispatch(request, transaction)
        transaction.phase = TransactionPhase.ending
        request.term = transaction.term
        request.ledger = transaction.ledger
        steps = (COMMIT, POSITION)
        if transaction.is_routed:
            steps = (msgspec.structs.replace(COMMIT, statement_id=request.statement_id),)
        if transaction.ledger is not None:
            steps = (LEDGER_RECORD, COMMIT, POSITION)
        plan = ExecutionPlan(transaction.target, steps, ConnectionUse.unpin, transaction.ledger)
        self._executions.start(request, plan, self._finish_commit)

    def roll_back(self, request: Request) -> None:
        """Roll back the open transaction, or reply at once if there is none."""
        transaction = request.session.transaction.pinned
        if transaction is None:
            request.session.transaction.report_end()
            self._replies.finish_request(request, Ran())
        elif transaction.phase is TransactionPhase.open:
            self._publish_dispatch(request, transaction)
            transaction.phase = TransactionPhase.ending
            plan = ExecutionPlan(transaction.target, (ROLLBACK,), ConnectionUse.unpin)
            self._executions.start(request, plan, self._finish_rollback)
        else:
            self._replies.refuse(request, Reason.rolled_back, 'the transaction is not open')

    def _publish_dispatch(self, request: Request, transaction: Transaction) -> None:
        request.term = transaction.term
        row = self._context.control_view.groups.get(transaction.group)
        self._context.publish_decision(
            'routing',
            'send_on_pinned_connection',
            request.statement.kind.value,
            request=request.request_id,
            session=request.session.session_id,
            caller=request.session.caller,
            group=transaction.group,
            target=transaction.target.instance,
            term=transaction.term,
            detail=f'group {row.phase.value} in term {row.term}' if row else 'group removed',
        )

    def _commit_without_transaction(self, request: Request) -> None:
        if request.session.transaction.has_unreported_end:
            request.session.transaction.report_end()
            self._replies.refuse(request, Reason.rolled_back)
        else:
            self._replies.finish_request(request, Ran())

    def _run_statement(self, request: Request, transaction: Transaction) -> None:
        if not request.statement.transactional:
            detail = 'the statement would implicitly end the open transaction'
            self._replies.refuse(request, Reason.unsupported_statement, detail)
            return
        is_write = request.statement.kind is StatementKind.write
        needs_primary = is_write or transaction.has_written
        if self._may_continue(request, transaction, needs_primary=needs_primary):
            self._publish_dispatch(request, transaction)
            transaction.has_written = transaction.has_written or is_write
            plan = ExecutionPlan(transaction.target, (request.step,), ConnectionUse.pinned)
            self._executions.start(request, plan, self._finish_statement)

    def _may_continue(
        self, request: Request, transaction: Transaction, *, needs_primary: bool
    ) -> bool:
        """Check that the transaction is open and its primary still accepts writes.

        Otherwise the request is refused, and a transaction whose term or lease is over is rolled
        back.

        :param needs_primary: whether the transaction writes, so that it can be committed only
            while its instance is the primary.
        """
        if transaction.phase is not TransactionPhase.open:
            self._replies.refuse(request, Reason.rolled_back, 'the transaction is not open')
            return False
        view = self._context.control_view
        is_open = view.is_open(transaction.group, transaction.term)
        is_kept_by_instance = transaction.is_routed and (
            not needs_primary or view.has_self_fencing_primary(transaction.group)
        )
        if is_kept_by_instance or (self._context.lease_valid and is_open):
            if transaction.idle_timer is not None:
                transaction.idle_timer.cancel()
            return True
        reason = Reason.group_not_open if self._context.lease_valid else Reason.no_lease
        self.abort(request.session, reason.value)
        if transaction.is_routed:
            request.session.transaction.report_end()
        self._replies.refuse(request, Reason.rolled_back, reason.value, retry_after=0.5)
        return False

    def _finish_begin(self, running: RunningExecution, finished: ExecutionFinished) -> None:
        request = running.request
        session, transaction = request.session, request.session.transaction.pinned
        is_opening = transaction is not None and transaction.phase is TransactionPhase.opening
        if finished.status is ExecutionStatus.completed and is_opening and not session.closed:
            self._complete_begin(request, session, transaction, finished)
            return
        if is_opening and not session.closed and may_repeat_statement(request, finished):
            self._open_transaction(request, session, transaction)
            self._statement_repeats.schedule(request, transaction)
            return
        self._context.actions.append(ReleasePin(session.session_id))
        if is_opening:
            self._release(transaction)
            session.transaction.unpin()
        if request.done:
            return
        if transaction is None and self._context.draining:
            # It was rolled back meanwhile, and a new one could not be completed.
            self._refuse_ended(request)
        elif transaction is not None and transaction.is_routed:
            self._routed_failures.handle_failed_begin(request, finished, transaction)
        else:
            self._finish_failed_begin(request, finished)

    def _finish_failed_begin(self, request: Request, finished: ExecutionFinished) -> None:
        if finished.status is ExecutionStatus.duplicate:
            self._reply_from_ledger(request, finished)
        elif finished.status is ExecutionStatus.target_error:
            self._replies.refuse(request, Reason.target_error, error=finished.error)
        elif finished.status is ExecutionStatus.completed:
            self._replies.refuse(request, Reason.rolled_back)
        else:
            was_sent = finished.status is not ExecutionStatus.not_sent
            self._retries.retry(request, Reason.connection_lost, was_sent=was_sent)

    def _complete_begin(
        self,
        request: Request,
        session: Session,
        transaction: Transaction,
        finished: ExecutionFinished,
    ) -> None:
        if request.statement.kind is StatementKind.commit:
            self._release(transaction)
            session.transaction.end()
            self._complete_commit(request, finished, transaction)
            return
        self._open_transaction(request, session, transaction)
        self._record_statement(request, transaction)
        self._replies.finish_request(request, Ran(finished.result or RequestResult()))

    def _open_transaction(
        self, request: Request, session: Session, transaction: Transaction
    ) -> None:
        session.transaction.confirm_open()
        transaction.limit_timer = self._context.call_later(
            request.policy.transaction_limit_s,
            lambda: self._abort_if_current(session, transaction, Reason.transaction_limit.value),
        )

    def _reply_from_ledger(self, request: Request, finished: ExecutionFinished) -> None:
        """Reply to the begin of a transaction that an earlier attempt has committed.

        The ledger does not keep the results of its statements, so the caller learns only that
        the transaction ran.
        """
        outcome = recorded_outcome(request, finished.record)
        if isinstance(outcome, NotRun):
            self._replies.refuse(request, outcome.reason, outcome.detail)
            return
        position = finished.report.position if finished.report else None
        self._acknowledgements.hold_until_acknowledged(
            request, Ran(None, Reason.recorded), position
        )

    def _finish_statement(self, running: RunningExecution, finished: ExecutionFinished) -> None:
        request = running.request
        session, transaction = request.session, request.session.transaction.pinned
        if request.done:
            return
        if transaction is None:
            self._refuse_ended(request)
        elif finished.status is ExecutionStatus.completed:
            self._record_statement(request, transaction)
            self._replies.finish_request(request, Ran(finished.result or RequestResult()))
        elif transaction.is_routed:
            self._finish_failed_routed_statement(request, finished, transaction)
        elif finished.status is ExecutionStatus.target_error:
            self._record_statement(request, transaction)
            self._abort_if_rolled_back(session, finished)
            self._replies.refuse(request, Reason.target_error, error=finished.error)
        else:
            # COMMIT was not sent, so the target rolls the transaction back.
            self.abort(session, Reason.connection_lost.value)
            self._replies.refuse(
                request, Reason.rolled_back, f'connection to {running.plan.target.instance} lost'
            )

    def _finish_failed_routed_statement(
        self, request: Request, finished: ExecutionFinished, transaction: Transaction
    ) -> None:
        if may_repeat_statement(request, finished):
            self._statement_repeats.schedule(request, transaction)
            return
        self.abort(request.session, rollback_reason(finished))
        self._routed_failures.handle_failed_statement(request, finished)

    def _refuse_ended(self, request: Request) -> None:
        """Refuse a statement whose transaction has ended meanwhile."""
        if request.route is not None:
            # The answer carries the state of the session, so its caller need not send ROLLBACK.
            request.session.transaction.report_end()
        self._replies.refuse(request, Reason.rolled_back)

    def _repeat_statement(self, request: Request, transaction: Transaction) -> None:
        if request.session.transaction.pinned is transaction:
            self._run_statement(request, transaction)
        else:
            self._refuse_ended(request)

    def _abort_if_rolled_back(self, session: Session, finished: ExecutionFinished) -> None:
        if finished.error is not None and finished.error.kind in _ROLLED_BACK_ERRORS:
            self.abort(session, 'target_error')

    def _finish_commit(self, running: RunningExecution, finished: ExecutionFinished) -> None:
        request = running.request
        session = request.session
        transaction = session.transaction.pinned
        if transaction:
            self._release(transaction)
            session.transaction.end()
        if request.done:
            return
        status, step = finished.status, finished.failed_step
        if status is ExecutionStatus.completed or step is StepKind.position:
            self._complete_commit(request, finished, transaction)
            return
        self._context.actions.append(ReleasePin(session.session_id))
        if transaction is not None and transaction.is_routed:
            self._routed_failures.handle_failed_commit(request, finished, transaction)
        elif status is ExecutionStatus.not_sent or step is StepKind.ledger_record:
            self._replies.refuse(request, Reason.rolled_back, error=finished.error)
        elif request.ledger is None:
            self._replies.reply_may_have_run(request, Reason.connection_lost)
        else:
            request.may_have_run = True
            request.handler = self._outcome_checks
            self._retries.retry(request, Reason.connection_lost)

    def _complete_commit(
        self, request: Request, finished: ExecutionFinished, transaction: Transaction | None
    ) -> None:
        position = reported_position(finished)
        if position is not None:
            request.session.last_reads.pop(request.group, None)
        request.handler = self._outcome_checks
        outcome = Ran(finished.result or RequestResult())
        if transaction is not None and transaction.is_routed and not transaction.has_written:
            self._acknowledgements.complete_without_write(request, outcome, position)
        else:
            self._acknowledgements.hold_until_acknowledged(request, outcome, position)

    def _finish_rollback(self, running: RunningExecution, finished: ExecutionFinished) -> None:
        request = running.request
        transaction = request.session.transaction.pinned
        if transaction:
            self._release(transaction)
            request.session.transaction.end()
        # Closing the connection also makes the target roll back.
        if finished.status != ExecutionStatus.completed:
            self._context.actions.append(ReleasePin(request.session.session_id))
        self._replies.finish_request(request, Ran())

    def _record_statement(self, request: Request, transaction: Transaction) -> None:
        """Restart the idle timer and record that the session has read from the target."""
        session = request.session
        target = self._context.targets.get(transaction.target)
        incarnation = target.announcement.incarnation if target else ''
        session.last_reads[transaction.group] = LastRead(
            transaction.target,
            incarnation,
            self._context.now,
        )
        if transaction.idle_timer is not None:
            transaction.idle_timer.cancel()
        transaction.idle_timer = self._context.call_later(
            request.policy.idle_in_transaction_s,
            lambda: self._abort_if_current(session, transaction, 'idle_in_transaction'),
        )

    def _abort_if_current(self, session: Session, transaction: Transaction, reason: str) -> None:
        if session.transaction.pinned is transaction:
            self.abort(session, reason)

    def _release(self, transaction: Transaction) -> None:
        """Release what a transaction holds besides its connection."""
        self._open_count -= 1
        for timer in (transaction.limit_timer, transaction.idle_timer):
            if timer is not None:
                timer.cancel()
        self._executions.release_pinned_slot(transaction.target)
