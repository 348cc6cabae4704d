"""Session tokens: applied from directives, issued by SHOW BERGAMOTCART SESSION."""

from bergamotcart.discovery import is_discarded
from bergamotcart.entry._context import EngineContext
from bergamotcart.entry._replies import Replies
from bergamotcart.entry._requests import Request, RequestHandler, RequestPhase
from bergamotcart.entry._session_floors import SessionFloors
from bergamotcart.entry._sessions import Session
from bergamotcart.outcomes import NotRun, Ran, Reason, RequestResult
from bergamotcart.sessions import TokenError, decode_token, encode_token


class TokenHandler(RequestHandler):
    """Issues tokens once the positions of all reads of a session are known."""

    __slots__ = ('_floors', '_replies', '_context')

    def __init__(
        self,
        context: EngineContext,
        floors: SessionFloors,
        replies: Replies,
    ) -> None:
        """Create the handler from the components that it uses."""
        self._context = context
        self._floors = floors
        self._replies = replies

    def apply_token(self, session: Session, token: str) -> NotRun | None:
        """Raise the floors of a session to those of a token.

        :returns: the refusal if the token is invalid or holds discarded positions, else ``None``.
        """
        try:
            floors = decode_token(self._context.configuration.session_key, token)
        except TokenError as error:
            return NotRun(Reason.bad_token, str(error))
        for name, floor in floors.items():
            row = self._context.control_view.groups.get(name)
            if row is not None and is_discarded(floor, row.branch_points):
                return NotRun(
                    Reason.discarded_branch, f'the token holds a discarded position of group {name}'
                )
        session.floors.merge(floors)
        return None

    def resume(self, request: Request) -> None:
        """Issue a token, or wait until the position of the last read in each group is known."""
        if request.done or request.phase is not RequestPhase.waiting:
            return
        request.wait_generation += 1
        session = request.session
        for name in list(session.last_reads):
            last_read = self._floors.resolve_last_read(session, name)
            if last_read is not None:
                group = self._context.groups.get(name)
                group.wait_for_instance(last_read.target, last_read.ended_at, request)
                group.primary_waits.add(last_read.ended_at, request)
                self._floors.probe_position_after(last_read, name)
                return
        try:
            token = encode_token(
                self._context.configuration.session_key, self._floors.token_floors(session)
            )
        except TokenError as error:
            self._replies.refuse(request, Reason.bad_token, str(error))
            return
        self._context.publish_decision(
            'sessions', 'issue_token', 'requested', session=session.session_id
        )
        self._replies.finish_request(request, Ran(RequestResult(('token',), ((token,),))))
