"""Executions at targets: their start, their end, and the slots that they occupy."""

import itertools
from collections.abc import Callable
from typing import Final

import msgspec

from bergamotcart.discovery import TargetKey
from bergamotcart.entry._actions import Execute
from bergamotcart.entry._cap_gate import CapGate
from bergamotcart.entry._context import EngineContext
from bergamotcart.entry._inputs import ExecutionFinished
from bergamotcart.entry._monitor import MonitoredTarget, TargetMonitor
from bergamotcart.entry._requests import Request, RequestPhase
from bergamotcart.entry._target_limits import TargetLimiter, TargetLimiters
from bergamotcart.entry._timers import Timer
from bergamotcart.executions import (
    ConnectionUse,
    ExecutionStatus,
    LedgerKey,
    SessionState,
    Step,
    StepKind,
)
from bergamotcart.messages import Reachability
from bergamotcart.outcomes import ErrorKind
from bergamotcart.statements import StatementKind

# The adapter should report every execution by its timeout. If no report has come this much later,
# the execution counts as lost.
_REPORT_GRACE_S: Final = 1.0
_MIN_TIMEOUT_S: Final = 0.001
_CAPACITY_ERRORS: Final = frozenset((ErrorKind.busy, ErrorKind.not_run))


class ExecutionPlan(msgspec.Struct, frozen=True):
    """Steps to execute and the target to execute them at.

    :param use: how the execution uses connections.
    :param ledger: identifier under which the outcome is recorded, if any.
    :param is_read: whether the execution counts against the share of the primary for reads.
    """

    target: TargetKey
    steps: tuple[Step, ...]
    use: ConnectionUse = ConnectionUse.shared
    ledger: LedgerKey | None = None
    is_read: bool = False


class RunningExecution(msgspec.Struct):
    """An execution in progress.

    :param on_finished: called once with the result.
    :param incarnation: incarnation of the instance when the execution was started.
    :param started_at: time of the start, in seconds.
    :param timer: ends the execution as lost if the adapter does not report it.
    """

    request: Request
    plan: ExecutionPlan
    limiter: TargetLimiter
    on_finished: Callable[['RunningExecution', ExecutionFinished], None]
    incarnation: str
    started_at: float
    timer: Timer | None = None

    @property
    def is_single_read(self) -> bool:
        """Whether it is a read outside a transaction, which can always be retried safely."""
        is_read = self.request.statement.kind is StatementKind.read
        return is_read and self.plan.use is ConnectionUse.shared

    @property
    def may_commit(self) -> bool:
        """Whether it may make changes durable: a COMMIT, or a write outside a transaction."""
        if any(step.kind is StepKind.commit for step in self.plan.steps):
            return True
        is_write = self.request.statement.kind is StatementKind.write
        return is_write and self.plan.use is ConnectionUse.shared

    @property
    def is_pinning(self) -> bool:
        """Whether it pins a connection, so that only the report of the adapter may end it.

        Until that report the adapter may still pin the connection, and a second pinned
        connection must not be requested for the same session.
        """
        return self.plan.use is ConnectionUse.pin


class Executions:
    """Starts executions and passes each result to the handler that started it."""

    __slots__ = (
        '_by_target',
        '_cap_gate',
        '_context',
        '_execution_ids',
        '_limiters',
        '_monitor',
        '_running',
    )

    def __init__(
        self,
        context: EngineContext,
        limiters: TargetLimiters,
        monitor: TargetMonitor,
        cap_gate: CapGate,
    ) -> None:
        """Create the table without executions."""
        self._context = context
        self._limiters = limiters
        self._monitor = monitor
        self._cap_gate = cap_gate
        self._running: dict[int, RunningExecution] = {}
        self._by_target: dict[TargetKey, dict[int, RunningExecution]] = {}
        self._execution_ids = itertools.count(1)

    def may_send(self, request: Request) -> bool:
        """Spend the credit of a request that is about to be sent to an instance.

        :returns: ``False`` if its workspace has none, and the request waits for one.
        """
        return self._cap_gate.spend(request)

    def start(
        self,
        request: Request,
        plan: ExecutionPlan,
        on_finished: Callable[[RunningExecution, ExecutionFinished], None],
    ) -> None:
        """Start the execution of a request at a target whose limits leave room for it.

        :param on_finished: called once with the result.
        """
        target = self._context.targets.get(plan.target)
        limiter = self._limiters.get(plan.target)
        if plan.use in {ConnectionUse.shared, ConnectionUse.pin}:
            limiter.acquire_slot(is_read=plan.is_read)
            limiter.pinned += int(plan.use is ConnectionUse.pin)
        execution_id = next(self._execution_ids)
        remaining_s = request.deadline - self._context.now
        timeout_s = max(
            _MIN_TIMEOUT_S, min(remaining_s, self._context.configuration.statement_timeout_s)
        )
        incarnation = target.announcement.incarnation if target else ''
        running = RunningExecution(
            request, plan, limiter, on_finished, incarnation, self._context.now
        )
        self._running[execution_id] = running
        self._by_target.setdefault(plan.target, {})[execution_id] = running
        request.phase = RequestPhase.executing
        request.awaits_connection = False
        request.execution_id = execution_id
        request.wait_generation += 1
        request.attempts += 1
        running.timer = self._context.call_later(
            timeout_s + _REPORT_GRACE_S,
            lambda: self.finish_execution(_lost_execution(execution_id)),
        )
        self._context.actions.append(
            Execute(
                execution_id=execution_id,
                request_id=request.request_id,
                session_id=request.session.session_id,
                target=plan.target,
                address=target.announcement.address if target else '',
                steps=plan.steps,
                use=plan.use,
                timeout_s=timeout_s,
                ledger=plan.ledger,
                ledger_retention_s=self._ledger_retention_s(request) if plan.ledger else None,
                state=_session_state(request),
                workspace=request.session.workspace,
            )
        )

    def finish_execution(self, finished: ExecutionFinished) -> None:
        """Process the result of an execution; ignore a late or repeated result."""
        running = self._running.pop(finished.execution_id, None)
        if running is None:
            return
        self._by_target[running.plan.target].pop(finished.execution_id)
        if running.timer is not None:
            running.timer.cancel()
        self._report_result(running, finished)
        running.request.execution_id = None
        running.request.phase = RequestPhase.waiting
        running.on_finished(running, finished)
        if running.plan.use is ConnectionUse.shared:
            is_answered = finished.status is ExecutionStatus.completed
            answer_s = self._context.now - running.started_at if is_answered else None
            self._limiters.release(running.limiter, is_read=running.plan.is_read, answer_s=answer_s)

    def abandon_executions_at(self, monitored: MonitoredTarget) -> None:
        """End executions at an unreachable target, as if their connections were lost.

        Otherwise callers would wait until their deadlines, although reads can be sent to
        another target and the answer of a replaced primary must not be acknowledged. A write
        at a target that refuses probes continues, because its own connection may still answer.
        """
        is_silent = monitored.reachability is Reachability.silent
        for execution_id, running in tuple(self._by_target.get(monitored.key, {}).items()):
            is_abandoned = is_silent and not running.is_pinning and running.request.route is None
            if running.is_single_read or is_abandoned:
                self.finish_execution(_lost_execution(execution_id))

    def abandon_past_terms(self, group: str) -> None:
        """End executions of past terms as lost, because they cannot be acknowledged.

        Reads outside transactions and executions that pin a connection continue.
        """
        for execution_id, running in self._running_in_group(group):
            is_kept = running.is_single_read or running.is_pinning
            # The answer to a statement of a route shows whether it ran. Whether a write may be
            # acknowledged is decided then.
            is_kept = is_kept or running.request.route is not None
            if not is_kept and not self._context.control_view.is_open(group, running.request.term):
                self.finish_execution(_lost_execution(execution_id))

    def list_committing(self) -> list[Request]:
        """Return the requests of the executions that may make changes durable."""
        return [running.request for running in self._running.values() if running.may_commit]

    def release_pinned_slot(self, target: TargetKey) -> None:
        """Release the slot of a transaction that ended."""
        limiter = self._limiters.get(target)
        limiter.pinned -= 1
        self._limiters.release(limiter, is_read=False)

    def _report_result(self, running: RunningExecution, finished: ExecutionFinished) -> None:
        """Report the result of an execution to the monitor and the limiter of its target."""
        target = running.plan.target
        if _is_at_capacity(finished):
            self._record_capacity_refusal(running, finished)
        elif finished.status is ExecutionStatus.completed:
            self._limiters.record_answer(running.limiter)
            now = self._context.now
            answer_s = now - running.started_at
            self._context.zone_reads.record_answer(target, running.request, now, answer_s)
        if running.is_single_read and running.request.route is not None:
            self._record_served(running, finished)
        if finished.status is not ExecutionStatus.completed:
            self._publish_failed_attempt(running, finished)
        if finished.connection_refused and finished.status is ExecutionStatus.not_sent:
            self._monitor.record_refused_connection(target)
        elif finished.status is ExecutionStatus.lost:
            self._monitor.probe_now(target)
        elif finished.position is not None:
            self._monitor.record_answer(target, running.started_at, finished.position)

    def _record_served(self, running: RunningExecution, finished: ExecutionFinished) -> None:
        """Record how an instance served a read, which others could have served as well."""
        request, target = running.request, running.plan.target
        weights = self._context.groups.get(target.group).instance_weights
        if finished.status is ExecutionStatus.completed:
            answer_s = self._context.now - running.started_at
            weights.record_answer(target, request.route_name, answer_s)
        elif _is_failure(finished):
            # All sessions of a workspace count as one caller.
            caller = request.session.workspace or str(request.session.session_id)
            weights.record_failure(target, caller)

    def _record_capacity_refusal(
        self, running: RunningExecution, finished: ExecutionFinished
    ) -> None:
        is_over_limit = finished.error is not None and finished.error.kind is ErrorKind.busy
        self._limiters.record_refusal(running.limiter, is_over_limit=is_over_limit)
        is_unsent = is_over_limit and finished.status is ExecutionStatus.not_sent
        if is_unsent and self._limiters.is_connection_expected(running.limiter):
            running.request.awaits_connection = True
        else:
            running.request.capacity_refusals += 1

    def _publish_failed_attempt(
        self, running: RunningExecution, finished: ExecutionFinished
    ) -> None:
        request, target = running.request, running.plan.target
        elapsed_s = self._context.now - running.started_at
        self._context.publish_decision(
            'attempts',
            'fail',
            finished.error.kind.value if finished.error else finished.status.value,
            request=request.request_id,
            session=request.session.session_id,
            group=target.group,
            target=target.instance,
            term=request.term,
            statement=request.statement_id or None,
            detail=f'attempt {request.attempts}, {finished.status.value} after {elapsed_s:.3f} s, '
            f'{running.limiter.reported_connections} connections',
        )

    def _ledger_retention_s(self, request: Request) -> float | None:
        settings = self._context.control_view.document.group(request.group)
        return settings.ledger_retention_s if settings else None

    def _running_in_group(self, group: str) -> list[tuple[int, RunningExecution]]:
        return [
            item
            for target, executions in self._by_target.items()
            if target.group == group
            for item in executions.items()
        ]


def _is_at_capacity(finished: ExecutionFinished) -> bool:
    """Tell whether the target had no capacity for the connection or the statement."""
    return finished.error is not None and finished.error.kind in _CAPACITY_ERRORS


def _is_failure(finished: ExecutionFinished) -> bool:
    """Tell whether an instance failed, as opposed to being full, behind or not responsible."""
    if finished.error is not None:
        return finished.error.kind is ErrorKind.ran
    return finished.status in {ExecutionStatus.lost, ExecutionStatus.not_sent}


def _session_state(request: Request) -> SessionState | None:
    if request.route is None:
        return None
    return SessionState(tuple(sorted(request.session.settings.items())), request.prepared)


def _lost_execution(execution_id: int) -> ExecutionFinished:
    return ExecutionFinished(
        execution_id=execution_id,
        status=ExecutionStatus.lost,
        failed_step=StepKind.commit,
        connection_clean=False,
    )
