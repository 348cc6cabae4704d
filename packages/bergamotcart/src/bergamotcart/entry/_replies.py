"""Replies to callers: exactly one per request."""

from bergamotcart.entry._actions import Reply
from bergamotcart.entry._context import EngineContext
from bergamotcart.entry._requests import Request, RequestPhase, RequestTable
from bergamotcart.entry._sessions import Session
from bergamotcart.outcomes import MayHaveRun, NotRun, Outcome, Reason, TargetError


class Replies:
    """Ends requests with an outcome."""

    __slots__ = ('_requests', '_context')

    def __init__(self, context: EngineContext, requests: RequestTable) -> None:
        """Create the object from the table that ended requests are removed from."""
        self._context = context
        self._requests = requests

    def finish_request(self, request: Request, outcome: Outcome) -> None:
        """Reply with an outcome and remove the request; an ended request is ignored."""
        if request.done:
            return
        request.done = True
        request.wait_generation += 1
        for timer in (request.deadline_timer, request.wait_timer):
            if timer is not None:
                timer.cancel()
        self._requests.remove(request)
        self._context.caller_limits.record_finished_request(request.session.caller)
        if request.queue is not None:
            request.queue.remove(request.request_id)
            request.queue = None
        if request.credit is not None:
            # It was never sent, so another operation may use its credit.
            self._context.credits.release(
                self._context.now, request.session.workspace, request.credit
            )
        state = request.session.transaction.state
        self._context.actions.append(Reply(request.request_id, outcome, state))

    def refuse(
        self,
        request: Request,
        reason: Reason,
        detail: str = '',
        retry_after: float | None = None,
        error: TargetError | None = None,
    ) -> None:
        """Reply that a request has not run, or that it may have run if an attempt was in doubt."""
        if request.may_have_run:
            outcome: Outcome = MayHaveRun(reason, detail, retry_after)
        else:
            outcome = NotRun(reason, detail, retry_after, error)
        self.publish_refusal(request, reason, detail)
        # If it is the first statement of a transaction, that has not begun.
        request.session.transaction.cancel_begun()
        self.finish_request(request, outcome)

    def refuse_waiting(self, session: Session) -> None:
        """Refuse the requests of a closed session that wait to be sent."""
        for request in self._requests.list_for_session(session):
            if request.phase is RequestPhase.waiting:
                self.refuse(request, Reason.connection_lost, 'the session was closed')

    def expire(self, request: Request) -> None:
        """End a request at its deadline; one that is executing has a time-out of its own."""
        if request.phase is RequestPhase.waiting:
            self.refuse(request, Reason.deadline)
        elif request.phase is RequestPhase.confirming:
            self.reply_may_have_run(request, Reason.not_confirmed, 'deadline')

    def reply_may_have_run(self, request: Request, reason: Reason, detail: str = '') -> None:
        """Reply that it is unknown whether a request has run."""
        request.may_have_run = True
        self.refuse(request, reason, detail)

    def publish_refusal(self, request: Request, reason: Reason, detail: str = '') -> None:
        """Report the decision to refuse a request."""
        self._context.publish_decision(
            'requests',
            'refuse',
            reason.value,
            request=request.request_id,
            session=request.session.session_id,
            caller=request.session.caller,
            group=request.group,
            statement=request.statement_id or None,
            detail=self._describe_refusal(request, reason, detail),
            # A workspace far above its cap is refused many times a second.
            is_frequent=reason is Reason.cap_reached,
        )

    def _describe_refusal(self, request: Request, reason: Reason, detail: str) -> str:
        if reason is Reason.cap_reached:
            return detail
        cause = 'may_have_run' if request.may_have_run else detail
        waited_s = self._context.now - request.arrived_at
        progress = f'{request.attempts} attempts in {waited_s:.3f} s'
        return f'{cause}; {progress}' if cause else progress
