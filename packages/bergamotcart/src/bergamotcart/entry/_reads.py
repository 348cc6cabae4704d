"""Autocommit reads: routing to replicas, bounded waits, and fallback to the primary."""

from bergamotcart.discovery import KnownTarget, Position, TargetKey
from bergamotcart.documents import SessionStart
from bergamotcart.entry._context import EngineContext
from bergamotcart.entry._executions import ExecutionPlan, Executions, RunningExecution
from bergamotcart.entry._inputs import ExecutionFinished
from bergamotcart.entry._monitor import TargetMonitor
from bergamotcart.entry._primary_dispatcher import PrimaryDispatcher
from bergamotcart.entry._replies import Replies
from bergamotcart.entry._requests import Request, RequestHandler, RequestPhase
from bergamotcart.entry._retries import Retries
from bergamotcart.entry._session_floors import SessionFloors
from bergamotcart.entry._sessions import LastRead
from bergamotcart.entry._target_limits import TargetLimiter, TargetLimiters
from bergamotcart.executions import ExecutionStatus, Step, StepKind
from bergamotcart.messages import TargetRole
from bergamotcart.outcomes import Ran, Reason
from bergamotcart.routing import (
    REASON_CATCH_UP,
    REASON_PRIMARY_BUSY,
    PrimaryAvailability,
    ReadRequirements,
    ReplicaCandidate,
    RoutingAction,
    RoutingDecision,
    route_read,
)


class ReadHandler(RequestHandler):
    """Routes autocommit reads."""

    __slots__ = (
        '_executions',
        '_floors',
        '_primary_dispatcher',
        '_limiters',
        '_monitor',
        '_replies',
        '_retries',
        '_context',
    )

    def __init__(
        self,
        context: EngineContext,
        limiters: TargetLimiters,
        monitor: TargetMonitor,
        primary_dispatcher: PrimaryDispatcher,
        executions: Executions,
        floors: SessionFloors,
        retries: Retries,
        replies: Replies,
    ) -> None:
        """Create the handler from the components that it uses."""
        self._context = context
        self._limiters = limiters
        self._monitor = monitor
        self._primary_dispatcher = primary_dispatcher
        self._executions = executions
        self._floors = floors
        self._retries = retries
        self._replies = replies

    def resume(self, request: Request) -> None:
        """Route a read, or make it wait until its floor or a target is known."""
        session, name = request.session, request.group
        if request.done or request.phase is not RequestPhase.waiting:
            return
        if request.queue is not None:
            request.queue.remove(request.request_id)
            request.queue = None
        request.wait_generation += 1
        last_read = self._floors.resolve_last_read(session, name)
        if self._floors.has_seen_discarded(session, name):
            self._replies.refuse(request, Reason.discarded_branch)
            return
        floor = self._floors.floor(session, name)
        if floor is None and last_read is None and not self._needs_no_floor(request):
            floor = self._floors.set_initial_floor(session, name)
            if floor is None:
                self._wait_for_initial_floor(request)
                return
        self._route(request, floor, last_read)

    def _needs_no_floor(self, request: Request) -> bool:
        is_age_only = request.policy.session_start is SessionStart.age_only
        return is_age_only and request.max_age_s is not None

    def _wait_for_initial_floor(self, request: Request) -> None:
        """Wait for a position of the primary that was probed after the session was opened."""
        if self._primary_dispatcher.is_control_unreachable:
            self._replies.refuse(request, Reason.floor_unknown, retry_after=1.0)
            return
        row = self._context.control_view.groups.get(request.group)
        opened_at = request.session.opened_at
        self._context.groups.get(request.group).primary_waits.add(opened_at, request)
        if row is not None and row.primary is not None:
            self._monitor.request_report_after(TargetKey(request.group, row.primary), opened_at)

    def _route(self, request: Request, floor: Position | None, last_read: LastRead | None) -> None:
        now = self._context.now
        if request.wait_until is None:
            request.wait_until = now + request.policy.catch_up_wait_s
        row = self._context.control_view.groups.get(request.group)
        age = request.max_age_s
        requirements = ReadRequirements(
            floor,
            None if age is None else now - age,
            max(request.wait_until - now, 0),
            None if last_read is None else last_read.target,
        )
        decision = route_read(
            requirements,
            self._list_candidates(request, row.primary if row else None),
            self._primary_availability(request, requirements),
            row.branch_points if row else (),
        )
        if decision.action is RoutingAction.primary:
            self._send_to_primary(request, decision)
        elif decision.target:
            self._send_read(request, decision, decision.target, is_primary=False)
        elif last_read:
            self._wait_for_position(request, last_read)
        else:
            self._wait_for_replica(request, decision, floor)

    def _list_candidates(self, request: Request, primary: str | None) -> list[ReplicaCandidate]:
        candidates: list[ReplicaCandidate] = []
        for target in self._context.targets.list_group(request.group):
            if target.key.instance == primary:
                continue
            candidate = self._build_candidate(request, target)
            if candidate is not None:
                candidates.append(candidate)
        return candidates

    def _build_candidate(self, request: Request, target: KnownTarget) -> ReplicaCandidate | None:
        key = target.key
        monitored = self._monitor.get(key)
        if monitored is None or monitored.report is None or not self._monitor.is_reachable(key):
            return None
        if monitored.report.role is not TargetRole.replica:
            return None
        if not self._context.targets.accepts_statements(key, self._context.now):
            return None
        position = monitored.report.position
        proved_at = None
        if request.max_age_s:
            row = self._context.control_view.groups.get(request.group)
            primary_positions = self._context.groups.get(request.group).primary_positions
            proved_at = primary_positions.proved_at(position, row.branch_points if row else ())
        zone = self._context.configuration.availability_zone
        return ReplicaCandidate(
            key,
            target.announcement.availability_zone == zone,
            position,
            proved_at,
            self._limiters.get(key).load,
            monitored.catch_up_s,
        )

    def _primary_availability(
        self, request: Request, requirements: ReadRequirements
    ) -> PrimaryAvailability:
        key = self._primary_dispatcher.usable_primary(request.group)
        # While the position of the session's last read is unknown, only the instance that
        # served that read may serve the session, so the primary may only if it is the one.
        if key is None or requirements.required_target not in {None, key}:
            return PrimaryAvailability.unavailable
        settings = self._context.control_view.document.group(request.group)
        share = settings.primary_read_share if settings else 0.5
        has_capacity = self._limiters.get(key).has_capacity_for_read(share)
        return PrimaryAvailability.free if has_capacity else PrimaryAvailability.busy

    def _wait_for_position(self, request: Request, last_read: LastRead) -> None:
        """Wait until the position of the session's last read is known, then route again."""
        group = self._context.groups.get(request.group)
        group.wait_for_instance(last_read.target, last_read.ended_at, request)
        self._floors.probe_position_after(last_read, request.group)
        group.primary_waits.add(last_read.ended_at, request)

    def _wait_for_replica(
        self, request: Request, decision: RoutingDecision, floor: Position | None
    ) -> None:
        is_bounded = decision.reason == REASON_CATCH_UP
        if not is_bounded and self._primary_dispatcher.is_control_unreachable:
            self._replies.refuse(
                request, Reason.no_eligible_target, decision.reason, retry_after=1.0
            )
            return
        group = self._context.groups.get(request.group)
        awaited_position = floor or Position(0, 0)
        if request.max_age_s is not None and group.primary_positions.newest is not None:
            awaited_position = max(awaited_position, group.primary_positions.newest)
        group.catch_up_waits.add(awaited_position, request)
        for target in self._context.targets.list_group(request.group):
            self._monitor.probe_now(target.key)
        if decision.reason == REASON_PRIMARY_BUSY:
            self._enqueue_for_primary(request)
        if is_bounded:
            if request.wait_timer is not None:
                request.wait_timer.cancel()
            request.wait_timer = self._context.call_later(
                decision.wait_s, lambda: self.resume(request)
            )

    def _send_to_primary(self, request: Request, decision: RoutingDecision) -> None:
        key = self._primary_dispatcher.usable_primary(request.group)
        if key is not None:
            request.term = self._context.control_view.groups[request.group].term
            self._send_read(request, decision, key, is_primary=True)

    def _send_read(
        self, request: Request, decision: RoutingDecision, key: TargetKey, *, is_primary: bool
    ) -> None:
        limiter = self._limiters.get(key)
        if not limiter.has_capacity:
            self._enqueue_for_target(request, limiter)
            return
        if request.attempts == 0:
            self._context.publish_decision(
                'routing',
                decision.action.value,
                decision.reason,
                request=request.request_id,
                session=request.session.session_id,
                caller=request.session.caller,
                group=request.group,
                target=key.instance,
            )
        steps = (Step(StepKind.statement, request.sql),)
        self._executions.start(
            request, ExecutionPlan(key, steps, is_read=is_primary), self._on_read_finished
        )

    def _enqueue_for_primary(self, request: Request) -> None:
        key = self._primary_dispatcher.usable_primary(request.group)
        if key is not None:
            self._primary_dispatcher.queues.put(self._limiters.get(key).queue, request)

    def _enqueue_for_target(self, request: Request, limiter: TargetLimiter) -> None:
        if request.wait_timer is not None:
            request.wait_timer.cancel()
        self._primary_dispatcher.queues.put(limiter.queue, request)

    def _on_read_finished(self, running: RunningExecution, finished: ExecutionFinished) -> None:
        request = running.request
        if request.done:
            return
        if finished.status is ExecutionStatus.completed:
            key = running.plan.target
            request.session.last_reads[request.group] = LastRead(
                key, running.incarnation, self._context.now
            )
            self._replies.finish_request(request, Ran(finished.result))
        elif finished.status is ExecutionStatus.target_error:
            self._replies.refuse(request, Reason.target_error, error=finished.error)
        elif finished.status is ExecutionStatus.not_sent:
            self._retries.retry(request, Reason.target_unreachable, was_sent=False)
        else:
            request.may_have_run = True
            self._retries.retry(request, Reason.connection_lost)
