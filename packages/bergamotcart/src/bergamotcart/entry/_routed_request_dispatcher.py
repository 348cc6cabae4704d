"""Arrival of statements in sessions that use a route."""

import hashlib
from typing import Final

from bergamotcart.documents import ResolvedRoute
from bergamotcart.entry._actions import CloseSession, Reply, SessionAnswer, TransactionState
from bergamotcart.entry._cap_gate import CapGate
from bergamotcart.entry._context import EngineContext
from bergamotcart.entry._inputs import RequestArrived
from bergamotcart.entry._replies import Replies
from bergamotcart.entry._request_handlers import RequestHandlers
from bergamotcart.entry._requests import Request, RequestHandler, RequestTable
from bergamotcart.entry._retries import Retries
from bergamotcart.entry._sessions import Session
from bergamotcart.executions import PreparedShape
from bergamotcart.outcomes import NotRun, Outcome, Ran, Reason
from bergamotcart.statements import Directives, Statement, StatementKind

_SHAPE_DIGEST_BYTES: Final = 8
_DRAINING_RETRY_AFTER_S: Final = 0.1
# Callers give up opening a connection after 2 s. A started entry finds control within 0.5 s.
_CONFIGURATION_WAIT_S: Final = 1.2
_NO_DIRECTIVES: Final = Directives()
_UNCONFIRMED_REASONS: Final = frozenset((Reason.not_configured, Reason.configuration_unconfirmed))


class RoutedRequestDispatcher:
    """Answers statements that need no instance, and passes the others to the request handlers."""

    __slots__ = (
        '_cap_gate',
        '_replies',
        '_requests',
        '_retries',
        '_request_handlers',
        '_waiting_sessions',
        '_context',
    )

    def __init__(
        self,
        context: EngineContext,
        requests: RequestTable,
        replies: Replies,
        retries: Retries,
        request_handlers: RequestHandlers,
        cap_gate: CapGate,
    ) -> None:
        """Create the dispatcher from the components that it uses."""
        self._context = context
        self._requests = requests
        self._replies = replies
        self._retries = retries
        self._request_handlers = request_handlers
        self._cap_gate = cap_gate
        self._waiting_sessions: dict[int, Session] = {}

    def open_session(self, session: Session) -> None:
        """Accept or refuse a session by its database name.

        The answer is delayed if it depends on a configuration that control may confirm shortly.
        """
        refusal = self._find_refusal(session)
        if refusal is not None and self._may_be_confirmed(refusal):
            self._wait_for_configuration(session)
            return
        self._answer_session(session, refusal)

    def answer_waiting_sessions(self) -> None:
        """Answer the waiting sessions that the confirmed configuration decides."""
        for session in tuple(self._waiting_sessions.values()):
            refusal = self._find_refusal(session)
            if refusal is None or refusal.reason not in _UNCONFIRMED_REASONS:
                self._answer_session(session, refusal)

    def handle_statement(
        self, session: Session, arrived: RequestArrived, statement: Statement
    ) -> None:
        """Answer a statement or start a request for it."""
        outcome = self._refuse_unknown_key(session) or self._answer_locally(session, statement)
        if outcome is not None:
            self._reply(session, arrived, statement, outcome)
            return
        resolved = self._resolve_route(session)
        if isinstance(resolved, NotRun):
            session.transaction.cancel_begun()
            self._reply(session, arrived, statement, resolved)
            return
        request = self._build_request(session, arrived, statement, resolved)
        if request is None:
            refusal = NotRun(Reason.unknown_statement, f'{statement.name} is not prepared')
            self._reply(session, arrived, statement, refusal)
            return
        self._start_request(request)

    def close_if_idle(self, session: Session) -> bool:
        """Close the connection of a session with a route if it has no request and no transaction.

        A caller that has not been told of the end of its transaction still has to be, so that it
        knows that nothing is kept.

        :returns: whether the connection is closed.
        """
        is_busy = session.transaction.state is not TransactionState.none
        if session.database is None or is_busy or self._requests.list_for_session(session):
            return False
        self._context.actions.append(CloseSession(session.session_id))
        return True

    def close_accepted_if_idle(self, session: Session) -> bool:
        """Close the connection of an idle session, unless the caller waits for its acceptance.

        :returns: whether the connection is closed.
        """
        if session.session_id in self._waiting_sessions:
            return False
        return self.close_if_idle(session)

    def _wait_for_configuration(self, session: Session) -> None:
        """Delay the answer to a session until control has confirmed the applied state."""
        self._waiting_sessions[session.session_id] = session
        self._context.call_later(
            _CONFIGURATION_WAIT_S, lambda: self._end_configuration_wait(session)
        )

    def _end_configuration_wait(self, session: Session) -> None:
        if session.session_id in self._waiting_sessions:
            self._answer_session(session, self._find_refusal(session))

    def _answer_session(self, session: Session, refusal: NotRun | None) -> None:
        self._waiting_sessions.pop(session.session_id, None)
        if session.closed:
            return
        self._context.publish_decision(
            'sessions',
            'refuse' if refusal else 'open',
            refusal.reason.value if refusal else 'route_found',
            session=session.session_id,
            detail=self._describe_answer(session, refusal),
        )
        self._context.actions.append(SessionAnswer(session.session_id, refusal))

    def _find_refusal(self, session: Session) -> NotRun | None:
        refusal = self._context.find_state_refusal()
        database = session.database or ''
        if refusal is None and self._context.control_view.document.route(database) is None:
            refusal = self._context.refuse_unknown_name(database)
        return refusal or self._context.find_key_refusal(session)

    def _refuse_unknown_key(self, session: Session) -> NotRun | None:
        refusal = self._context.find_key_refusal(session)
        if refusal is not None:
            session.transaction.report_end()
        return refusal

    def _may_be_confirmed(self, refusal: NotRun) -> bool:
        """Tell whether a refusal depends on a configuration that control may confirm shortly."""
        if refusal.reason is Reason.not_configured:
            return True
        lease, now = self._context.lease, self._context.now
        if lease.is_state_behind(now) or lease.is_control_unreachable(now):
            return False
        return refusal.reason is Reason.configuration_unconfirmed

    def _describe_answer(self, session: Session, refusal: NotRun | None) -> str:
        """Return the database name; for a refusal also the state that it relies on."""
        database = session.database or ''
        if refusal is None:
            return database
        asked = ', '.join(self._context.lease_watch.newest_asked) or 'no member'
        return (
            f'{database}; state index {self._context.control_view.applied_index},'
            f' known to be current {self._context.state_age_s:.1f} s ago; asked {asked}'
        )

    def _answer_locally(self, session: Session, statement: Statement) -> Outcome | None:
        """Return the outcome of a statement that needs no instance, or ``None`` for others."""
        kind = statement.kind
        if session.transaction.has_unreported_end:
            session.transaction.report_end()
            if kind is StatementKind.rollback:
                return Ran()
            return NotRun(Reason.rolled_back, 'the transaction was rolled back', retry_after=0)
        if kind is StatementKind.refused:
            return NotRun(Reason.unsupported_statement, statement.detail)
        if kind is StatementKind.begin:
            return self._begin_transaction(session, statement)
        is_unpinned = session.transaction.pinned is None
        if kind is StatementKind.rollback and is_unpinned:
            session.transaction.report_end()
            return Ran()
        if kind is StatementKind.commit and session.transaction.state is TransactionState.none:
            return NotRun(Reason.unsupported_statement, 'no transaction is open')
        return _change_session_state(session, statement)

    def _begin_transaction(self, session: Session, statement: Statement) -> Outcome:
        if session.transaction.state is not TransactionState.none:
            return NotRun(Reason.unsupported_statement, 'a transaction is open')
        if self._context.refuses_new_requests:
            # All further statements of the session are refused too.
            return NotRun(Reason.draining, retry_after=_DRAINING_RETRY_AFTER_S)
        # A route that cannot be served now is refused at the first statement. If BEGIN were refused
        # and the route were served again, that statement would run outside a transaction.
        # The connection is pinned with the first statement, so that an idle caller holds none.
        session.transaction.begin(read_only=statement.read_only)
        return Ran()

    def _resolve_route(self, session: Session) -> ResolvedRoute | NotRun:
        if session.transaction.pinned is not None:
            resolved = session.resolved_route
            if resolved is not None:
                return resolved
        if self._context.refuses_new_requests:
            return NotRun(Reason.draining, retry_after=_DRAINING_RETRY_AFTER_S)
        refusal = self._context.find_state_refusal()
        if refusal is not None:
            return refusal
        resolved = self._context.control_view.document.route(session.database or '')
        if resolved is None:
            return self._context.refuse_unknown_name(session.database or '')
        session.resolved_route = resolved
        return resolved

    def _build_request(
        self,
        session: Session,
        arrived: RequestArrived,
        statement: Statement,
        resolved: ResolvedRoute,
    ) -> Request | None:
        prepared = None
        text = arrived.sql
        if statement.kind is StatementKind.execute:
            prepared = session.prepared.get(statement.name)
            if prepared is None:
                return None
            kind = StatementKind.read if prepared.read_only else StatementKind.write
            statement = Statement(kind)
            text = arrived.statement.text if arrived.statement else ''
        now = self._context.now
        return Request(
            request_id=arrived.request_id,
            session=session,
            sql=text,
            statement=statement,
            directives=_NO_DIRECTIVES,
            group=resolved.route.group,
            policy=resolved.policy,
            arrived_at=now,
            deadline=now + resolved.route.statement_timeout_s,
            max_age_s=resolved.policy.max_age_s,
            repeatable=False,
            route=resolved.route,
            statement_id=arrived.statement_id,
            prepared=prepared,
        )

    def _start_request(self, request: Request) -> None:
        self._requests.add(request)
        self._context.caller_limits.try_start_request(
            request.session.caller, request.policy.max_in_flight
        )
        self._retries.record_request(request)
        request.deadline_timer = self._context.timers.schedule(
            request.deadline,
            lambda: self._replies.expire(request),
        )
        if request.statement.kind is StatementKind.commit and request.session.transaction.pinned:
            self._request_handlers.transactions.commit(request)
        elif request.statement.kind is StatementKind.rollback:
            self._request_handlers.transactions.roll_back(request)
        else:
            request.handler = self._find_handler(request)
            if self._cap_gate.admit(request):
                request.handler.resume(request)

    def _find_handler(self, request: Request) -> RequestHandler:
        transaction = request.session.transaction
        is_read = request.statement.kind is StatementKind.read
        if transaction.pinned is not None:
            return self._request_handlers.transactions
        if transaction.begun is not None:
            reads = self._request_handlers.routed_reads
            return reads if transaction.begun.read_only else self._request_handlers.transactions
        return self._request_handlers.routed_reads if is_read else self._request_handlers.writes

    def _reply(
        self,
        session: Session,
        arrived: RequestArrived,
        statement: Statement,
        outcome: Outcome,
    ) -> None:
        self._context.publish_decision(
            'requests',
            'answer' if isinstance(outcome, Ran) else 'refuse',
            statement.kind.value if isinstance(outcome, Ran) else outcome.reason.value,
            request=arrived.request_id,
            session=arrived.session_id,
            statement=arrived.statement_id,
        )
        reply = Reply(arrived.request_id, outcome, session.transaction.state)
        self._context.actions.append(reply)


def _change_session_state(session: Session, statement: Statement) -> Outcome | None:
    """Change a session setting or a prepared statement, if the statement does that."""
    kind, name = statement.kind, statement.name
    if kind is StatementKind.set_value:
        session.settings[name] = statement.text
    elif kind is StatementKind.prepare:
        session.prepared[name] = _build_prepared_shape(statement)
    elif kind is StatementKind.deallocate:
        if session.prepared.pop(name, None) is None:
            return NotRun(Reason.unknown_statement, f'{name} is not prepared')
    else:
        return None
    return Ran()


def _build_prepared_shape(statement: Statement) -> PreparedShape:
    """Return a prepared statement whose name is derived from its text and mode alone."""
    mode = 'r' if statement.read_only else 'w'
    # A text that is not valid UTF-8 contains surrogates for its bytes.
    encoded = statement.text.encode('utf-8', 'surrogateescape')
    digest = hashlib.blake2s(encoded, digest_size=_SHAPE_DIGEST_BYTES).hexdigest()
    return PreparedShape(f'{mode}{digest}', statement.text, statement.read_only)
