"""Unexpected errors that the input of one caller causes."""

import traceback
from typing import Final

from bergamotcart.entry._actions import CloseSession, Execute, Reply, SessionAnswer
from bergamotcart.entry._context import EngineContext
from bergamotcart.entry._inputs import EntryInput, GroupSelected, RequestArrived, SessionOpened
from bergamotcart.entry._replies import Replies
from bergamotcart.entry._requests import Request, RequestPhase, RequestTable
from bergamotcart.entry._sessions import Session, SessionTable
from bergamotcart.entry._transactions import TransactionHandler
from bergamotcart.outcomes import MayHaveRun, NotRun, Reason

_CALLER_INPUTS: Final = (SessionOpened, GroupSelected, RequestArrived)
_LOGGED_FRAMES: Final = 3


class SessionErrors:
    """Ends the session whose input has failed, so that the other sessions go on.

    Inputs of other kinds concern all sessions; an error in one of them ends the process.
    """

    __slots__ = ('_context', '_replies', '_requests', '_sessions', '_transactions')

    def __init__(
        self,
        context: EngineContext,
        sessions: SessionTable,
        requests: RequestTable,
        replies: Replies,
        transactions: TransactionHandler,
    ) -> None:
        """Create the object from the components that it uses."""
        self._context = context
        self._sessions = sessions
        self._requests = requests
        self._replies = replies
        self._transactions = transactions

    def end_session(self, received: EntryInput, error: Exception, actions_before: int) -> bool:
        """Report an error, answer the caller and close the session.

        :param received: the input that has failed.
        :param actions_before: number of actions of the step before this input.
        :returns: whether it is the input of a caller; another one is not handled.
        """
        if not isinstance(received, _CALLER_INPUTS):
            return False
        frames = traceback.extract_tb(error.__traceback__)[-_LOGGED_FRAMES:]
        places = ', '.join(f'{frame.name} line {frame.lineno}' for frame in frames)
        self._context.publish_decision(
            'sessions',
            'end',
            Reason.internal_error.value,
            session=received.session_id,
            detail=f'{error!r} in {places}',
        )
        was_sent = any(
            isinstance(action, Execute) for action in self._context.actions[actions_before:]
        )
        session = self._sessions.get(received.session_id)
        if session is not None:
            self._end_requests(session, was_sent=was_sent)
        self._answer(received, was_sent=was_sent)
        if session is not None and session.database is not None:
            self._context.actions.append(CloseSession(received.session_id))
        return True

    def _end_requests(self, session: Session, *, was_sent: bool) -> None:
        self._transactions.abort(session, Reason.internal_error.value)
        session.transaction.cancel_begun()
        for request in self._requests.list_for_session(session):
            self._end_request(request, was_sent=was_sent)

    def _end_request(self, request: Request, *, was_sent: bool) -> None:
        if was_sent:
            self._replies.reply_may_have_run(request, Reason.internal_error)
        elif request.phase is RequestPhase.waiting:
            self._replies.refuse(request, Reason.internal_error)

    def _answer(self, received: EntryInput, *, was_sent: bool) -> None:
        if isinstance(received, RequestArrived):
            is_pending = self._requests.get(received.request_id) is not None
            if not (is_pending or self._is_answered(received.request_id)):
                outcome = MayHaveRun if was_sent else NotRun
                reply = Reply(received.request_id, outcome(Reason.internal_error))
                self._context.actions.append(reply)
        elif isinstance(received, SessionOpened) and received.database is not None:
            refusal = NotRun(Reason.internal_error)
            self._context.actions.append(SessionAnswer(received.session_id, refusal))

    def _is_answered(self, request_id: int) -> bool:
        return any(
            isinstance(action, Reply) and action.request_id == request_id
            for action in self._context.actions
        )
