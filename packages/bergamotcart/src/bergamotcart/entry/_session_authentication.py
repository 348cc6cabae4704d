"""Workspaces of sessions, found by the keys that callers present."""

from collections.abc import Callable
from typing import Final

from bergamotcart.documents import digest_key
from bergamotcart.entry._context import EngineContext
from bergamotcart.entry._replies import Replies
from bergamotcart.entry._requests import RequestPhase, RequestTable
from bergamotcart.entry._sessions import Session, SessionTable
from bergamotcart.entry._transactions import TransactionHandler
from bergamotcart.outcomes import Reason

# Caller of the sessions without a workspace, where the document has workspaces.
_ANONYMOUS_CALLER: Final = '-'
_UNLIMITED: Final = 1_000_000


class SessionAuthentication:
    """Assigns sessions to workspaces, again with each change of the document.

    Where the document has no workspaces, the name of the caller is used as presented.
    """

    __slots__ = (
        '_close_if_idle',
        '_context',
        '_replies',
        '_requests',
        '_sessions',
        '_transactions',
    )

    def __init__(
        self,
        context: EngineContext,
        sessions: SessionTable,
        requests: RequestTable,
        replies: Replies,
        transactions: TransactionHandler,
        close_if_idle: Callable[[Session], bool],
    ) -> None:
        """Create the object from the components that it uses.

        :param close_if_idle: closes the connection of a session that is accepted and has no request
            and no transaction; returns whether it is closed.
        """
        self._context = context
        self._sessions = sessions
        self._requests = requests
        self._replies = replies
        self._transactions = transactions
        self._close_if_idle = close_if_idle

    def identify(self, session: Session) -> None:
        """Find the workspace of a new session, whose caller is the key as presented."""
        session.key_digest = digest_key(session.caller)
        if self._context.control_view.document.has_workspaces:
            self._assign(session)
            session.caller = session.workspace or _ANONYMOUS_CALLER

    def recheck(self) -> None:
        """Find the workspaces of all sessions in a changed document.

        This must be done before any request is sent, as keys may have been withdrawn.
        """
        for session in self._sessions:
            self._recheck_session(session)

    def _recheck_session(self, session: Session) -> None:
        former, was_unauthenticated = session.workspace, session.is_unauthenticated
        self._assign(session)
        if self._context.control_view.document.has_workspaces:
            self._change_caller(session, session.workspace or _ANONYMOUS_CALLER)
        if session.is_unauthenticated:
            if not was_unauthenticated:
                self._withdraw(session, former)
        elif session.workspace != former and (former or not self._is_public(session)):
            # The pinned connection belongs to the former workspace.
            self._transactions.abort(session, 'workspace_changed')

    def _assign(self, session: Session) -> None:
        """Set the workspace of a session, and whether it lacks a key."""
        document = self._context.control_view.document
        workspace = document.find_workspace_by_digest(session.key_digest)
        session.workspace = workspace.name if workspace else ''
        session.is_unauthenticated = (
            document.has_workspaces and workspace is None and not self._is_public(session)
        )

    def _is_public(self, session: Session) -> bool:
        resolved = self._context.control_view.document.route(session.database or '')
        if resolved is None:
            # An open transaction of a removed route may go on.
            resolved = session.resolved_route
        return resolved is not None and resolved.route.public

    def _withdraw(self, session: Session, workspace: str) -> None:
        """End the requests and the transaction of a session whose key is no longer valid."""
        self._context.publish_decision(
            'sessions',
            'withdraw',
            Reason.unauthenticated.value,
            session=session.session_id,
            detail=workspace or 'no workspace',
        )
        if self._close_if_idle(session):
            return
        refusal = self._context.find_key_refusal(session)
        for request in self._requests.list_for_session(session):
            if refusal is not None and request.phase is RequestPhase.waiting:
                self._replies.refuse(request, refusal.reason, refusal.detail, refusal.retry_after)
        # A transaction without a connection goes on if the key is valid again by its first statement.
        self._transactions.abort(session, Reason.unauthenticated.value)

    def _change_caller(self, session: Session, caller: str) -> None:
        """Count the connection and the requests of a session for another caller."""
        former = session.caller
        if caller == former:
            return
        limits = self._context.caller_limits
        if not session.is_over_connection_limit:
            limits.record_closed_connection(former)
        for _ in self._requests.list_for_session(session):
            limits.record_finished_request(former)
            limits.try_start_request(caller, _UNLIMITED)
        policy = self._context.control_view.policy(caller, session.group or '')
        is_counted = limits.try_open_connection(caller, policy.max_connections)
        session.is_over_connection_limit = not is_counted
        session.caller = caller
