"""Holds operations of capped workspaces until they have a credit, and refuses those beyond the cap."""

import math
from collections import deque
from collections.abc import Callable
from typing import Final

import msgspec

from bergamotcart import messages
from bergamotcart.entry._cap_use import CapUseMeter
from bergamotcart.entry._context import EngineContext
from bergamotcart.entry._replies import Replies
from bergamotcart.entry._requests import Request
from bergamotcart.entry._sessions import SessionTable
from bergamotcart.entry._timers import Timer
from bergamotcart.outcomes import Reason
from bergamotcart.statements import StatementKind
from bergamotcart.workspaces import Cap, Desire, find_credit_wait_s

# Time that a request needs besides the wait before its deadline.
_DEADLINE_RESERVE_S: Final = 0.05
# Operations that arrive within this time are reported in one message.
_MIN_REPORT_INTERVAL_S: Final = 0.005
# A report without an answer is repeated after this time, a multiple of a round trip between regions.
_REPEAT_S: Final = 0.06
# The lender has no room until other entries have reported what they spent, which they do with their
# lease renewals.
_ROOM_CHECK_S: Final = 0.05
# A caller that is refused because of a rate of 0 comes back after this time at the earliest.
_MAX_RETRY_AFTER_S: Final = 5.0
_MIN_SPREAD_S: Final = 0.1
_NO_CONTROL_RETRY_AFTER_S: Final = 0.5
_FREE_KINDS: Final = frozenset((StatementKind.commit, StatementKind.rollback))


class CapGate:
    """Passes an operation on once it has a credit.

    :param find_leader: returns name and address of the leader of control, if it is known.
    """

    __slots__ = (
        '_caps',
        '_context',
        '_find_leader',
        '_max_wait_s',
        '_replies',
        '_report_timer',
        '_reported_at',
        '_revision',
        '_room_at',
        '_sessions',
        '_use',
        '_waiting',
        'admitted',
        'refused',
    )

    def __init__(
        self,
        context: EngineContext,
        sessions: SessionTable,
        replies: Replies,
        find_leader: Callable[[], tuple[str, str] | None],
    ) -> None:
        """Create a gate without waiting operations."""
        self._context = context
        self._sessions = sessions
        self._replies = replies
        self._find_leader = find_leader
        self._use = CapUseMeter()
        self._caps: dict[str, Cap] = {}
        self._revision = 0
        self._max_wait_s = find_credit_wait_s(None)
        self._waiting: dict[str, deque[Request]] = {}
        self._room_at: dict[str, float] = {}
        self._report_timer: Timer | None = None
        self._reported_at = float('-inf')
        self.admitted = 0
        self.refused = 0

    def admit(self, request: Request) -> bool:
        """Take a credit for a request that needs one, or make the request wait or refuse it.

        :returns: whether the request may go on. Otherwise it is resumed once it has a credit.
        """
        cap = self._find_cap(request)
        if cap is None or request.is_charged:
            return True
        workspace = request.session.workspace
        self._use.record(self._context.now, workspace)
        return self._take_credit(request) or self._hold(request, cap)

    def spend(self, request: Request) -> bool:
        """Spend the credit of a request immediately before it is first sent.

        Its credit may have expired in a queue; the request then waits for another one.

        :returns: whether the request may be sent.
        """
        cap = self._find_cap(request)
        if cap is None or request.is_charged:
            return True
        if not self._spend_held(request):
            if not self._take_credit(request):
                self._hold(request, cap)
                return False
            self._spend_held(request)
        request.is_charged = True
        self.admitted += 1
        return True

    def build_lease_report(self) -> messages.CapReport | msgspec.UnsetType:
        """Return the report for a lease request; nothing is sent where no workspace has a cap."""
        if not self._caps:
            return msgspec.UNSET
        now, credits = self._context.now, self._context.credits
        credits.record_term(self._context.lease.control_term)
        standing = self._use.find_standing(
            now, {session.workspace for session in self._sessions} & self._caps.keys()
        )
        desires = {
            workspace: Desire(0, count) for workspace, count in standing.items()
        } | self._list_waiting(standing)
        for workspace in credits.workspaces:
            credits.return_free(now, workspace, standing.get(workspace, 0))
        self._use.skip_recently_asked(now, desires)
        return credits.build_report(now, desires)

    def receive_grant(self, envelope: messages.Envelope, grant: messages.CapGrant) -> None:
        """Process the answer to a request for credits."""
        self.accept_loans(grant.control_term, grant.loans)

    def accept_loans(self, term: int, loans: messages.CapLoans) -> None:
        """Apply loans and pass on the operations that have a credit now."""
        now, credits = self._context.now, self._context.credits
        if not credits.accept_loans(now, term, loans):
            return
        if loans.is_unknown:
            self._schedule_report(now)
            return
        if loans.number == credits.newest_answer:
            for loan in loans.loans:
                self._room_at.pop(loan.workspace, None)
                if loan.room_in_s >= 0:
                    self._room_at[loan.workspace] = now + max(loan.room_in_s, _ROOM_CHECK_S)
        for workspace in tuple(self._waiting):
            self._serve(workspace)

    def use_document(self) -> None:
        """Use the caps of the document in force.

        Credits of a changed cap are given back, so that those beyond a lower one do not last.
        """
        document = self._context.control_view.document
        if document.revision == self._revision:
            return
        self._revision = document.revision
        self._max_wait_s = find_credit_wait_s(document.shortest_objective_s)
        former = self._caps
        self._caps = {
            workspace.name: Cap(workspace.rate_per_s, workspace.burst)
            for workspace in document.workspaces
            if workspace.rate_per_s is not None
        }
        for workspace, cap in former.items():
            if self._caps.get(workspace) != cap:
                self._context.credits.revoke(self._context.now, workspace)
                self._room_at.pop(workspace, None)
                self._serve(workspace)

    def _find_cap(self, request: Request) -> Cap | None:
        """Return the cap of the workspace that a request costs a credit of, or ``None``."""
        session = request.session
        if request.route is None or not session.workspace or session.transaction.pinned is not None:
            return None
        if request.statement.kind in _FREE_KINDS:
            return None
        return self._caps.get(session.workspace)

    def _take_credit(self, request: Request) -> bool:
        workspace = request.session.workspace
        if self._waiting.get(workspace):
            # Those that wait go first.
            return False
        request.credit = self._context.credits.reserve(self._context.now, workspace)
        return request.credit is not None

    def _spend_held(self, request: Request) -> bool:
        credit = request.credit
        request.credit = None
        return credit is not None and self._context.credits.spend(
            self._context.now, request.session.workspace, credit
        )

    def _hold(self, request: Request, cap: Cap) -> bool:
        """Make a request wait for a credit, or refuse it if none is expected in time.

        :returns: ``False``, since the request may not go on.
        """
        now, workspace = self._context.now, request.session.workspace
        wait_until = min(now + self._max_wait_s, request.deadline - _DEADLINE_RESERVE_S)
        request.credit_wait_until = wait_until
        if cap.admits_nothing:
            self._refuse(request, 'the cap admits nothing', math.inf)
        elif self._room_at.get(workspace, 0) > wait_until:
            self._refuse(request, 'beyond the cap', self._room_at[workspace] - now)
        elif self._context.lease.is_control_unreachable(now):
            self._refuse(request, 'control does not answer', _NO_CONTROL_RETRY_AFTER_S)
        else:
            self._waiting.setdefault(workspace, deque()).append(request)
            self._context.timers.schedule(wait_until, lambda: self._end_wait(request, wait_until))
            self._schedule_report(now)
        return False

    def _end_wait(self, request: Request, wait_until: float) -> None:
        """Refuse a request that has got no credit in time."""
        queue = self._waiting.get(request.session.workspace, ())
        if request.done or request.credit_wait_until != wait_until or request not in queue:
            return
        room_at = self._room_at.get(request.session.workspace, 0)
        room_in_s = max(_NO_CONTROL_RETRY_AFTER_S, room_at - self._context.now)
        self._refuse(request, 'no credit was lent in time', room_in_s)
        self._serve(request.session.workspace)

    def _serve(self, workspace: str) -> None:
        """Pass on waiting requests as far as there are credits, and refuse those without hope."""
        queue = self._waiting.pop(workspace, deque())
        while queue and self._pass_on(queue[0], workspace):
            queue.popleft()
        now = self._context.now
        room_at = self._room_at.get(workspace, now)
        for waiting in queue:
            if not waiting.done and room_at > waiting.credit_wait_until:
                self._refuse(waiting, 'beyond the cap', room_at - now)
        remaining = deque(each for each in queue if not each.done)
        # Passing a request on may have made it wait again.
        remaining.extend(self._waiting.pop(workspace, ()))
        if remaining:
            self._waiting[workspace] = remaining
            self._schedule_report(min(max(room_at, now + _MIN_REPORT_INTERVAL_S), now + _REPEAT_S))

    def _pass_on(self, request: Request, workspace: str) -> bool:
        """Resume a waiting request if there is a credit for it.

        :returns: whether it waits no longer.
        """
        if request.done:
            return True
        if workspace in self._caps:
            request.credit = self._context.credits.reserve(self._context.now, workspace)
            if request.credit is None:
                return False
        request.handler.resume(request)
        return True

    def _refuse(self, request: Request, cause: str, room_in_s: float) -> None:
        """Refuse a request with a time at which the cap has room, spread over the callers."""
        self.refused += 1
        workspace = request.session.workspace
        cap = self._caps.get(workspace)
        left = self._context.credits.count_free(self._context.now, workspace)
        limits = f'{cap.rate_per_s:g}/s, burst {cap.capacity:g}' if cap else 'none'
        delay_s = min(room_in_s, _MAX_RETRY_AFTER_S)
        spread_s = self._context.random.uniform(0, max(delay_s, _MIN_SPREAD_S))
        self._replies.refuse(
            request,
            Reason.cap_reached,
            f'workspace {workspace}, cap {limits}, {left} credits left: {cause}',
            retry_after=delay_s + spread_s,
        )

    def _list_waiting(self, standing: dict[str, int]) -> dict[str, Desire]:
        counts = {
            workspace: sum(1 for request in queue if not request.done)
            for workspace, queue in self._waiting.items()
        }
        return {
            workspace: Desire(count, standing.get(workspace, 0))
            for workspace, count in counts.items()
            if count
        }

    def _schedule_report(self, due_at: float) -> None:
        """Send a report at a time in seconds, or earlier if one is due earlier."""
        due_at = max(due_at, self._reported_at + _MIN_REPORT_INTERVAL_S)
        timer = self._report_timer
        if timer is not None and timer.callback is not None:
            if timer.due <= due_at:
                return
            timer.cancel()
        self._report_timer = self._context.timers.schedule(due_at, self._send_report)

    def _send_report(self) -> None:
        """Report to the leader if it is known; else the next lease request carries the report."""
        now = self._context.now
        self._report_timer = None
        desires = self._list_waiting({})
        if not desires:
            # Credits have come meanwhile, and the lease requests report what was spent.
            return
        self._reported_at = now
        leader = self._find_leader()
        if leader is not None:
            self._context.credits.record_term(self._context.lease.control_term)
            report = self._context.credits.build_report(now, desires)
            self._context.send(*leader, messages.CapRequest(report=report))
        self._schedule_report(now + _REPEAT_S)
