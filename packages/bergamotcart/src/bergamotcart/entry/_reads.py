"""Autocommit reads: routing to replicas, bounded waits, and the primary as a last choice."""

from bergamotcart.discovery import KnownTarget, Position, TargetKey
from bergamotcart.documents import SessionStart
from bergamotcart.entry._execution import ExecutionStatus, Step, StepKind
from bergamotcart.entry._executions import Executions, Plan, Running
from bergamotcart.entry._floors import FloorKeeper
from bergamotcart.entry._inputs import ExecutionFinished
from bergamotcart.entry._lanes import Lane, Lanes
from bergamotcart.entry._monitor import TargetMonitor
from bergamotcart.entry._primary import PrimaryGate
from bergamotcart.entry._replies import Replies
from bergamotcart.entry._requests import Phase, Request, RequestSystem
from bergamotcart.entry._retries import Retries
from bergamotcart.entry._sessions import LastRead
from bergamotcart.entry._workspace import Workspace
from bergamotcart.messages import TargetRole
from bergamotcart.outcomes import Ran, Reason
from bergamotcart.routing import (
    CATCH_UP,
    PRIMARY_BUSY,
    Candidate,
    PrimaryState,
    ReadNeed,
    Route,
    RouteAction,
    choose_route,
)


class ReadSystem(RequestSystem):
    """Routes autocommit reads."""

    __slots__ = (
        '_executions',
        '_floors',
        '_gate',
        '_lanes',
        '_monitor',
        '_replies',
        '_retries',
        '_work',
    )

    def __init__(
        self,
        work: Workspace,
        lanes: Lanes,
        monitor: TargetMonitor,
        gate: PrimaryGate,
        executions: Executions,
        floors: FloorKeeper,
        retries: Retries,
        replies: Replies,
    ) -> None:
        """Keep the tables that routing reads."""
        self._work = work
        self._lanes = lanes
        self._monitor = monitor
        self._gate = gate
        self._executions = executions
        self._floors = floors
        self._retries = retries
        self._replies = replies

    def resume(self, request: Request) -> None:
        """Route a read, or let it wait for what it lacks."""
        session, name = request.session, request.group
        if request.done or request.phase is not Phase.waiting:
            return
        if request.queue is not None:
            request.queue.remove(request.request_id)
            request.queue = None
        request.ticket += 1
        last = self._floors.unresolved(session, name)
        if self._floors.is_lost(session, name):
            self._replies.refuse(request, Reason.discarded_branch)
            return
        floor = self._floors.floor(session, name)
        if floor is None and last is None and not self._needs_no_floor(request):
            floor = self._floors.seed(session, name)
            if floor is None:
                self._wait_for_seed(request)
                return
        self._route(request, floor, last)

    def _needs_no_floor(self, request: Request) -> bool:
        is_age_only = request.policy.session_start is SessionStart.age_only
        return is_age_only and request.max_age_s is not None

    def _wait_for_seed(self, request: Request) -> None:
        """Wait until the primary's position after the session's arrival is known."""
        if self._gate.is_cut_off:
            self._replies.refuse(request, Reason.floor_unknown, retry_after=1.0)
            return
        row = self._work.view.groups.get(request.group)
        opened_at = request.session.opened_at
        self._work.groups.get(request.group).primary_waits.add(opened_at, request)
        if row is not None and row.primary is not None:
            self._monitor.need_report_after(TargetKey(request.group, row.primary), opened_at)

    def _route(self, request: Request, floor: Position | None, last: LastRead | None) -> None:
        now = self._work.now
        if request.wait_until is None:
            request.wait_until = now + request.policy.catch_up_wait_s
        row = self._work.view.groups.get(request.group)
        age = request.max_age_s
        need = ReadNeed(
            floor,
            None if age is None else now - age,
            max(request.wait_until - now, 0),
            None if last is None else last.target,
        )
        route = choose_route(
            need,
            self._candidates(request, row.primary if row else None),
            self._primary_state(request, need),
            row.branch_points if row else (),
        )
        if route.action is RouteAction.primary:
            self._send_to_primary(request, route)
        elif route.target:
            self._send(request, route, route.target, is_primary=False)
        elif last:
            self._wait_for_position(request, last)
        else:
            self._wait(request, route, floor)

    def _candidates(self, request: Request, primary: str | None) -> list[Candidate]:
        found: list[Candidate] = []
        for target in self._work.table.of_group(request.group):
            if target.key.instance == primary:
                continue
            candidate = self._candidate(request, target)
            if candidate is not None:
                found.append(candidate)
        return found

    def _candidate(self, request: Request, target: KnownTarget) -> Candidate | None:
        key = target.key
        watched = self._monitor.get(key)
        if watched is None or watched.report is None or not self._monitor.is_reachable(key):
            return None
        if watched.report.role is not TargetRole.replica:
            return None
        if not self._work.table.takes_new_work(key, self._work.now):
            return None
        position = watched.report.position
        proved_at = None
        if request.max_age_s:
            row = self._work.view.groups.get(request.group)
            heads = self._work.groups.get(request.group).heads
            proved_at = heads.proved_at(position, row.branch_points if row else ())
        zone = self._work.config.availability_zone
        return Candidate(
            key,
            target.announcement.availability_zone == zone,
            position,
            proved_at,
            self._lanes.get(key).load,
            watched.catch_up_s,
        )

    def _primary_state(self, request: Request, need: ReadNeed) -> PrimaryState:
        key = self._gate.primary(request.group)
        # Before another instance serves the session, the position of its last read must
        # be known; only the primary itself may go on at once.
        if key is None or need.only not in {None, key}:
            return PrimaryState.unavailable
        settings = self._work.view.document.group(request.group)
        share = settings.primary_read_share if settings else 0.5
        has_room = self._lanes.get(key).has_room_for_read(share)
        return PrimaryState.free if has_room else PrimaryState.busy

    def _wait_for_position(self, request: Request, last: LastRead) -> None:
        """Wait for the position of the session's last read, then route without it."""
        group = self._work.groups.get(request.group)
        group.wait_for_instance(last.target, last.ended_at, request)
        self._floors.ask_position_after(last, request.group)
        group.primary_waits.add(last.ended_at, request)

    def _wait(self, request: Request, route: Route, floor: Position | None) -> None:
        is_bounded = route.reason == CATCH_UP
        if not is_bounded and self._gate.is_cut_off:
            self._replies.refuse(request, Reason.no_eligible_target, route.reason, retry_after=1.0)
            return
        group = self._work.groups.get(request.group)
        wanted = floor or Position(0, 0)
        if request.max_age_s is not None and group.heads.newest is not None:
            wanted = max(wanted, group.heads.newest)
        group.catch_up.add(wanted, request)
        for target in self._work.table.of_group(request.group):
            self._monitor.probe_soon(target.key)
        if route.reason == PRIMARY_BUSY:
            self._queue_for_primary(request)
        if is_bounded:
            if request.wait_timer is not None:
                request.wait_timer.cancel()
            request.wait_timer = self._work.after(route.wait_s, lambda: self.resume(request))

    def _send_to_primary(self, request: Request, route: Route) -> None:
        key = self._gate.primary(request.group)
        if key is not None:
            request.term = self._work.view.groups[request.group].term
            self._send(request, route, key, is_primary=True)

    def _send(self, request: Request, route: Route, key: TargetKey, *, is_primary: bool) -> None:
        lane = self._lanes.get(key)
        if not lane.has_room:
            self._queue(request, lane)
            return
        if request.attempts == 0:
            self._work.decide(
                'routing',
                route.action.value,
                route.reason,
                request=request.request_id,
                session=request.session.session_id,
                caller=request.session.caller,
                group=request.group,
                target=key.instance,
            )
        steps = (Step(StepKind.statement, request.sql),)
        self._executions.start(request, Plan(key, steps, is_read=is_primary), self._finish)

    def _queue_for_primary(self, request: Request) -> None:
        key = self._gate.primary(request.group)
        if key is not None:
            self._gate.queues.put(self._lanes.get(key).queue, request)

    def _queue(self, request: Request, lane: Lane) -> None:
        if request.wait_timer is not None:
            request.wait_timer.cancel()
        self._gate.queues.put(lane.queue, request)

    def _finish(self, running: Running, finished: ExecutionFinished) -> None:
        request = running.request
        if request.done:
            return
        if finished.status is ExecutionStatus.completed:
            key = running.plan.target
            request.session.last_reads[request.group] = LastRead(
                key, running.incarnation, self._work.now
            )
            self._replies.finish(request, Ran(finished.result))
        elif finished.status is ExecutionStatus.target_error:
            self._replies.refuse(request, Reason.target_error, error=finished.error)
        elif finished.status is ExecutionStatus.not_sent:
            self._retries.retry(request, Reason.target_unreachable, was_sent=False)
        else:
            request.may_have_run = True
            self._retries.retry(request, Reason.connection_lost)
