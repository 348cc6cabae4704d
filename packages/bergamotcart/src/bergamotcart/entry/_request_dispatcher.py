"""Dispatch of requests: directives, limits, and the handler that serves each kind."""

from typing import Final

from bergamotcart import documents
from bergamotcart.entry._actions import Reply, TransactionState
from bergamotcart.entry._context import EngineContext
from bergamotcart.entry._inputs import RequestArrived
from bergamotcart.entry._replies import Replies
from bergamotcart.entry._request_handlers import RequestHandlers
from bergamotcart.entry._requests import Request, RequestHandler, RequestTable
from bergamotcart.entry._retries import Retries
from bergamotcart.entry._routed_request_dispatcher import RoutedRequestDispatcher
from bergamotcart.entry._session_floors import SessionFloors
from bergamotcart.entry._sessions import Session, SessionTable
from bergamotcart.executions import LedgerKey
from bergamotcart.outcomes import NotRun, Outcome, Ran, Reason
from bergamotcart.statements import (
    DirectiveError,
    Directives,
    Statement,
    StatementKind,
    classify,
    extract_directives,
    fingerprint,
    issue_time_ms,
)

_LOCALLY_ANSWERED_KINDS: Final = frozenset(
    (
        StatementKind.empty,
        StatementKind.session_command,
        StatementKind.use,
        StatementKind.refused,
        StatementKind.autocommit_off,
    )
)
_TRANSACTION_END_KINDS: Final = frozenset(
    (StatementKind.commit, StatementKind.rollback, StatementKind.autocommit_on)
)
_MS_PER_S: Final = 1000


class RequestDispatcher:
    """Checks requests that arrive and passes them to their handlers."""

    __slots__ = (
        '_floors',
        '_replies',
        '_requests',
        '_retries',
        '_routed_request_dispatcher',
        '_sessions',
        '_request_handlers',
        '_context',
    )

    def __init__(
        self,
        context: EngineContext,
        sessions: SessionTable,
        requests: RequestTable,
        floors: SessionFloors,
        replies: Replies,
        retries: Retries,
        request_handlers: RequestHandlers,
        routed_request_dispatcher: RoutedRequestDispatcher,
    ) -> None:
        """Create the dispatcher from the components that it uses."""
        self._context = context
        self._sessions = sessions
        self._requests = requests
        self._floors = floors
        self._replies = replies
        self._retries = retries
        self._request_handlers = request_handlers
        self._routed_request_dispatcher = routed_request_dispatcher

    def handle_request(self, arrived: RequestArrived) -> None:
        """Answer a request of a caller, or start it; a repeated request is ignored."""
        session = self._sessions.get(arrived.session_id)
        if self._requests.get(arrived.request_id) is not None:
            return
        if session is None or self._requests.list_for_session(session):
            refusal = NotRun(Reason.caller_limit, 'another statement of the session is in progress')
            if session is None:
                refusal = NotRun(Reason.connection_lost, 'the session is closed')
            self._reply(arrived, refusal)
        elif arrived.statement is None:
            self._handle_unrouted(session, arrived)
        else:
            self._routed_request_dispatcher.handle_statement(session, arrived, arrived.statement)

    def _handle_unrouted(self, session: Session, arrived: RequestArrived) -> None:
        key_refusal = self._context.find_key_refusal(session)
        if key_refusal is not None:
            self._reply(arrived, key_refusal)
            return
        try:
            sql, directives = extract_directives(arrived.sql)
        except DirectiveError as error:
            self._reply(arrived, NotRun(Reason.bad_directive, str(error)))
            return
        statement = classify(sql)
        if directives.session is not None:
            refusal = self._request_handlers.tokens.apply_token(session, directives.session)
            if refusal is not None:
                self._reply(arrived, refusal)
                return
        if statement.kind in _LOCALLY_ANSWERED_KINDS:
            self._reply(arrived, self._answer_locally(session, statement))
            return
        refusal = self._find_refusal(session, statement)
        if refusal is not None:
            self._reply(arrived, refusal)
            return
        request = self._build_request(arrived, session, sql, statement, directives)
        if self._context.caller_limits.try_start_request(
            session.caller, request.policy.max_in_flight
        ):
            self._start_request(request, arrived.unix_ms)
        else:
            self._reply(
                arrived,
                NotRun(
                    Reason.caller_limit,
                    f'{request.policy.max_in_flight} requests are in flight already',
                    retry_after=0.1,
                ),
            )

    def _reply(self, arrived: RequestArrived, outcome: Outcome) -> None:
        reason = outcome.reason.value
        action = 'answer' if isinstance(outcome, Ran) else 'refuse'
        self._context.publish_decision(
            'requests',
            action,
            reason,
            request=arrived.request_id,
            session=arrived.session_id,
        )
        session = self._sessions.get(arrived.session_id)
        state = TransactionState.none if session is None else session.transaction.state
        self._context.actions.append(Reply(arrived.request_id, outcome, state))

    def _answer_locally(self, session: Session, statement: Statement) -> Outcome:
        if statement.kind is StatementKind.refused:
            return NotRun(Reason.unsupported_statement, statement.detail)
        if statement.kind is StatementKind.autocommit_off:
            session.autocommit = False
        if statement.kind is StatementKind.use:
            if session.transaction.pinned is not None:
                return NotRun(
                    Reason.unsupported_statement, f'USE {statement.detail} inside a transaction'
                )
            if not self._is_known_group(statement.detail):
                return self._context.refuse_unknown_name(statement.detail)
            session.group = statement.detail
        return Ran()

    def _find_refusal(self, session: Session, statement: Statement) -> NotRun | None:
        """Return the refusal of a request that must not start at all, or ``None``."""
        refusal = self._context.find_state_refusal()
        if refusal is not None and session.transaction.pinned is None:
            return refusal
        if statement.kind in _TRANSACTION_END_KINDS or statement.kind is StatementKind.show_session:
            return None
        if session.group is None:
            return NotRun(Reason.unknown_group, 'no group is selected')
        if not self._is_known_group(session.group):
            return self._context.refuse_unknown_name(session.group)
        if session.transaction.has_unreported_end and statement.kind is not StatementKind.begin:
            return NotRun(Reason.rolled_back, 'the transaction was rolled back')
        if session.transaction.pinned is None and self._context.draining:
            return NotRun(Reason.draining, retry_after=0.0)
        return self._check_connection_limit(session, session.group)

    def _check_connection_limit(self, session: Session, group: str) -> NotRun | None:
        policy = self._context.control_view.policy(session.caller, group)
        caller_limits = self._context.caller_limits
        if session.is_over_connection_limit:
            limit = policy.max_connections
            session.is_over_connection_limit = not caller_limits.try_open_connection(
                session.caller, limit
            )
        if session.is_over_connection_limit:
            return NotRun(
                Reason.caller_limit,
                f'{policy.max_connections} connections are open already',
                retry_after=1.0,
            )
        return None

    def _build_request(
        self,
        arrived: RequestArrived,
        session: Session,
        sql: str,
        statement: Statement,
        directives: Directives,
    ) -> Request:
        transaction = session.transaction.pinned
        group = transaction.group if transaction else (session.group or '')
        policy = self._context.control_view.policy(session.caller, group)
        deadline = policy.deadline_s if directives.deadline_s is None else directives.deadline_s
        max_age = policy.max_age_s if directives.max_age_s is None else directives.max_age_s
        repeatable = directives.repeatable or policy.repeatable
        now = self._context.now
        return Request(
            request_id=arrived.request_id,
            session=session,
            sql=sql,
            statement=statement,
            directives=directives,
            group=group,
            policy=policy,
            arrived_at=now,
            deadline=now + deadline,
            max_age_s=max_age,
            repeatable=repeatable is documents.Repeatable.yes,
        )

    def _start_request(self, request: Request, unix_ms: int | None) -> None:
        self._requests.add(request)
        self._retries.record_request(request)
        request.deadline_timer = self._context.timers.schedule(
            request.deadline,
            lambda: self._replies.expire(request),
        )
        kind = request.statement.kind
        if kind in _TRANSACTION_END_KINDS:
            self._end_transaction(request)
            return
        if kind is not StatementKind.show_session:
            if self._floors.has_seen_discarded(request.session, request.group):
                self._replies.refuse(request, Reason.discarded_branch)
                return
            if kind is not StatementKind.read and not self._set_ledger_key(request, unix_ms):
                return
        request.handler = self._find_handler(request)
        if request.handler is not None:
            request.handler.resume(request)

    def _find_handler(self, request: Request) -> RequestHandler | None:
        session, kind = request.session, request.statement.kind
        if kind is StatementKind.show_session:
            return self._request_handlers.tokens
        if kind is StatementKind.begin:
            if session.transaction.pinned is None:
                return self._request_handlers.transactions
            self._replies.refuse(request, Reason.unsupported_statement, 'a transaction is open')
            return None
        if session.transaction.pinned is not None:
            return self._request_handlers.transactions
        if not session.autocommit and request.statement.transactional:
            return self._request_handlers.transactions
        return (
            self._request_handlers.reads
            if kind is StatementKind.read
            else self._request_handlers.writes
        )

    def _end_transaction(self, request: Request) -> None:
        kind = request.statement.kind
        if kind is StatementKind.rollback:
            self._request_handlers.transactions.roll_back(request)
            return
        if kind is StatementKind.autocommit_on:
            request.session.autocommit = True
        self._request_handlers.transactions.commit(request)

    def _set_ledger_key(self, request: Request, unix_ms: int | None) -> bool:
        """Set the ledger key of a request with an identifier, which runs at most once.

        :returns: whether the request may go on; otherwise it has been refused.
        """
        identifier = request.directives.request
        if (
            identifier is None
            or request.repeatable
            or request.session.transaction.pinned is not None
        ):
            return True
        if not request.statement.transactional:
            detail = 'the statement cannot share a transaction with its ledger row'
            self._replies.refuse(request, Reason.unsupported_statement, detail)
            return False
        issued_at = issue_time_ms(identifier)
        settings = self._context.control_view.document.group(request.group)
        if issued_at is not None and unix_ms is not None and settings is not None:
            if unix_ms - issued_at > settings.ledger_retention_s * _MS_PER_S:
                self._replies.refuse(request, Reason.identifier_expired)
                return False
        digest = fingerprint(request.sql)
        request.ledger = LedgerKey(request.session.caller, identifier, digest, issued_at)
        return True

    def _is_known_group(self, name: str) -> bool:
        return self._context.control_view.document.group(name) is not None
