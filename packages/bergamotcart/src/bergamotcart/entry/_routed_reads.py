"""Reads of sessions that use a route, served by any instance that has the required position.

The required position is sent with the read, so the instance itself checks that its data is
recent enough.
"""

from typing import Final

from bergamotcart.discovery import KnownTarget, Position, TargetKey
from bergamotcart.documents import Consistency
from bergamotcart.entry._context import EngineContext
from bergamotcart.entry._executions import ExecutionPlan, Executions, RunningExecution
from bergamotcart.entry._inputs import ExecutionFinished
from bergamotcart.entry._monitor import TargetMonitor
from bergamotcart.entry._primary_dispatcher import PrimaryDispatcher, QueuedRequestHandler
from bergamotcart.entry._replies import Replies
from bergamotcart.entry._requests import Request, RequestPhase
from bergamotcart.entry._required_positions import RequiredPosition, find_required_position
from bergamotcart.entry._retries import Retries
from bergamotcart.entry._target_limits import TargetLimiters
from bergamotcart.entry._transactions import TransactionHandler
from bergamotcart.entry._writes import BEGIN, NOT_RUN_ERRORS, ROLLBACK
from bergamotcart.executions import ExecutionStatus, Step
from bergamotcart.outcomes import ErrorKind, Ran, Reason
from bergamotcart.routing import InstanceCandidate

# A request added to ``ReportWaits`` with this time is not resumed by the answer to any probe.
_NO_PROBE_S: Final = float('inf')


class RoutedReadHandler(QueuedRequestHandler):
    """Serves reads and read-only transactions of sessions that use a route."""

    __slots__ = (
        '_executions',
        '_primary_dispatcher',
        '_limiters',
        '_monitor',
        '_replies',
        '_retries',
        '_transactions',
        '_context',
    )

    def __init__(
        self,
        context: EngineContext,
        limiters: TargetLimiters,
        monitor: TargetMonitor,
        primary_dispatcher: PrimaryDispatcher,
        executions: Executions,
        transactions: TransactionHandler,
        retries: Retries,
        replies: Replies,
    ) -> None:
        """Create the handler from the components that it uses."""
        self._context = context
        self._limiters = limiters
        self._monitor = monitor
        self._primary_dispatcher = primary_dispatcher
        self._executions = executions
        self._transactions = transactions
        self._retries = retries
        self._replies = replies

    def resume(self, request: Request) -> None:
        """Route a read, or make it wait until the position that it requires is known."""
        if request.done or request.phase is not RequestPhase.waiting or request.route is None:
            return
        if request.queue is not None:
            request.queue.remove(request.request_id)
            request.queue = None
        request.wait_generation += 1
        if request.route.consistency is Consistency.primary:
            self._primary_dispatcher.enqueue(request)
            return
        required = find_required_position(self._context, request)
        if required is None:
            self._wait_for_primary_position(request)
        else:
            self._route(request, required)

    def dispatch(self, request: Request, target: TargetKey) -> None:
        """Send a read to the primary without a required position."""
        self._send_read(request, target, None, 'primary_only')

    def _wait_for_primary_position(self, request: Request) -> None:
        if self._primary_dispatcher.refuse_in_outage(request):
            return
        row = self._context.control_view.groups.get(request.group)
        oldest = request.arrived_at - (request.max_age_s or 0)
        self._context.groups.get(request.group).primary_waits.add(oldest, request)
        primary = self._primary_dispatcher.usable_primary(request.group)
        if primary is not None:
            self._monitor.request_report_after(primary, oldest)
        elif row is not None and row.primary is not None:
            self._monitor.request_report_after(TargetKey(request.group, row.primary), oldest)
            self._primary_dispatcher.probe_for_primary(request.group)

    def _route(self, request: Request, required: RequiredPosition) -> None:
        candidates = [
            candidate
            for target in self._context.targets.list_group(request.group)
            if (candidate := self._build_candidate(request, target, required.position)) is not None
        ]
        chosen = self._choose(request, candidates)
        if chosen is None:
            self._wait_for_candidate(request)
            return
        paced = chosen
        if chosen.is_primary:
            paced = self._pace_primary_read(request, chosen, candidates)
        if paced is None:
            self._refuse_paced_read(request, chosen.key)
        else:
            self._send_read(request, paced.key, required, paced.reason)

    def _choose(
        self, request: Request, candidates: list[InstanceCandidate]
    ) -> InstanceCandidate | None:
        """Choose an instance by load, among those whose weight lets them serve this read."""
        context = self._context
        weights = context.groups.get(request.group).instance_weights
        serving = {each.key for each in candidates if not each.has_failed}
        for change in weights.evaluate(context.now, serving):
            context.publish_decision(
                'routing',
                'weigh' if change.after else 'eject',
                change.reason.value,
                group=request.group,
                target=change.key.instance,
                detail=f'weight {change.before:.2f} to {change.after:.2f}',
            )
        return weights.choose(
            candidates, lambda usable: context.zone_reads.choose(request, usable, context.now)
        )

    def _pace_primary_read(
        self, request: Request, primary: InstanceCandidate, candidates: list[InstanceCandidate]
    ) -> InstanceCandidate | None:
        """Return the primary, or a replica if the primary must keep its slots for other statements.

        :returns: ``None`` if no replica may have the position.
        """
        pacer = self._limiters.get(primary.key).read_pacer
        if pacer.delay_s(self._context.now) > 0:
            replicas = [each for each in candidates if not each.is_primary]
            replica = self._choose(request, replicas)
            if replica is None or not self._is_only_primary_free(primary.key, replica.key):
                return replica
        pacer.record_read(self._context.now, self._context.random)
        return primary

    def _is_only_primary_free(self, primary: TargetKey, replica: TargetKey) -> bool:
        """Tell whether a replica refuses connections, while the primary serves what it gets.

        Pacing would then keep reads waiting for connections although the overload is over.
        """
        limiter, other = self._limiters.get(primary), self._limiters.get(replica)
        is_refused = other.is_pausing and not other.reported_connections
        return is_refused and limiter.has_capacity and not limiter.refusals

    def _refuse_paced_read(self, request: Request, primary: TargetKey) -> None:
        delay_s = self._limiters.get(primary).read_pacer.delay_s(self._context.now)
        self._replies.refuse(
            request, Reason.target_busy, 'reads at the primary are paced', retry_after=delay_s
        )

    def _wait_for_candidate(self, request: Request) -> None:
        """Make a read wait until an instance becomes usable or may have caught up."""
        self._context.groups.get(request.group).primary_waits.add(_NO_PROBE_S, request)
        behind_until = [
            monitored.behind_until
            for target in self._context.targets.list_group(request.group)
            if (monitored := self._monitor.get(target.key)) is not None
            and monitored.behind_until > self._context.now
        ]
        if behind_until:
            self._context.timers.schedule(min(behind_until), lambda: self.resume(request))

    def _build_candidate(
        self,
        request: Request,
        target: KnownTarget,
        floor: Position,
    ) -> InstanceCandidate | None:
        key = target.key
        monitored = self._monitor.get(key)
        if monitored is None or not self._monitor.is_reachable(key):
            return None
        if not self._context.targets.accepts_statements(key, self._context.now):
            return None
        is_primary = self._context.control_view.is_primary(key)
        # Without a lease this entry may not know that the primary was replaced. The required
        # position, which the instance checks, makes the read correct in that case too.
        has_floor = monitored.position is not None and monitored.position >= floor
        if not (has_floor or is_primary) and monitored.behind_until > self._context.now:
            return None
        return InstanceCandidate(
            key=key,
            own_zone=target.announcement.availability_zone
            == self._context.configuration.availability_zone,
            is_primary=is_primary,
            has_floor=has_floor or is_primary,
            has_failed=key in request.failed_targets or self._limiters.get(key).is_pausing,
            load=self._limiters.get(key).load,
            own_region=self._context.configuration.is_same_region(
                target.announcement.availability_zone
            ),
            rank=self._limiters.get(key).rank,
            zone=target.announcement.availability_zone,
        )

    def _send_read(
        self,
        request: Request,
        key: TargetKey,
        required: RequiredPosition | None,
        reason: str,
    ) -> None:
        limiter = self._limiters.get(key)
        may_take = limiter.may_pin or request.may_take_last(self._context.now)
        if not (limiter.has_capacity and may_take):
            self._primary_dispatcher.queues.put(limiter.queue, request)
            return
        if not self._executions.may_send(request):
            return
        row = self._context.control_view.groups.get(request.group)
        request.term = row.term if row else 0
        self._context.publish_decision(
            'routing',
            'send_read',
            reason,
            request=request.request_id,
            session=request.session.session_id,
            group=request.group,
            target=key.instance,
            term=request.term,
            statement=request.statement_id,
            detail='' if required is None else required.description,
        )
        floor = None if required is None else required.position
        if request.session.transaction.begun is not None:
            self._transactions.begin_at(request, key, floor)
            return
        steps: tuple[Step, ...] = (request.step_with_floor(floor),)
        if floor is None and not self._context.lease_valid:
            # A primary that was replaced refuses the statements of a read-write transaction.
            steps = (BEGIN, *steps, ROLLBACK)
        is_primary = self._context.control_view.is_primary(key)
        self._executions.start(
            request, ExecutionPlan(key, steps, is_read=is_primary), self._on_read_finished
        )

    def _on_read_finished(self, running: RunningExecution, finished: ExecutionFinished) -> None:
        request = running.request
        if request.done:
            return
        status, error = finished.status, finished.error
        # Another attempt is measured on its own.
        request.placed_at = None
        if status is ExecutionStatus.completed:
            self._finish_completed(running, finished)
        elif status is ExecutionStatus.not_sent:
            if not request.awaits_connection:
                # While the instance refuses connections, its pause keeps the read away.
                request.failed_targets.add(running.plan.target)
            self._retries.retry(request, Reason.target_unreachable, was_sent=False)
        elif error is None:
            self._retries.retry(request, Reason.connection_lost)
        elif error.kind in NOT_RUN_ERRORS:
            self._retry_elsewhere(running, error.kind)
        else:
            self._replies.finish_request(request, Ran(None, Reason.target_error, error))

    def _finish_completed(self, running: RunningExecution, finished: ExecutionFinished) -> None:
        request = running.request
        if running.plan.steps[0].floor is not None:
            self._monitor.record_caught_up(running.plan.target)
        is_proved = len(running.plan.steps) > 1 or running.plan.steps[0].floor is not None
        is_open = self._context.control_view.is_open(request.group, request.term)
        if is_proved or (is_open and self._context.lease_valid):
            self._replies.finish_request(request, Ran(finished.result))
        else:
            # The primary may have been replaced before it ran the read.
            self._retries.retry(request, Reason.group_not_open)

    def _count_targets(self, group: str) -> int:
        return sum(1 for _ in self._context.targets.list_group(group))

    def _retry_elsewhere(self, running: RunningExecution, kind: ErrorKind) -> None:
        request = running.request
        request.failed_targets.add(running.plan.target)
        if kind is ErrorKind.behind:
            self._monitor.record_behind(running.plan.target)
        is_refused = request.session.is_unauthenticated
        is_untried_left = not is_refused and len(request.failed_targets) < self._count_targets(
            request.group
        )
        if is_untried_left and not request.has_used_attempts:
            # Another instance probably has the position or a free connection, and the primary
            # always has the position.
            request.phase = RequestPhase.waiting
            self.resume(request)
            return
        request.failed_targets.clear()
        if kind is ErrorKind.behind:
            self._retries.retry(request, Reason.replica_behind, was_sent=False)
        else:
            self._retries.retry(request, Reason.target_busy)
