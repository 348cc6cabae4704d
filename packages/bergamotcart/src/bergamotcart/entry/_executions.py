"""Executions at targets: their start, their end, and the places they take in a lane."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from bergamotcart.discovery import TargetKey
from bergamotcart.entry._actions import Execute
from bergamotcart.entry._execution import (
    ConnectionUse,
    ExecutionStatus,
    LedgerKey,
    SessionState,
    Step,
    StepKind,
)
from bergamotcart.entry._inputs import ExecutionFinished
from bergamotcart.entry._lanes import Lane, Lanes
from bergamotcart.entry._monitor import TargetMonitor, Watched
from bergamotcart.entry._requests import Phase, Request
from bergamotcart.entry._timers import Timer
from bergamotcart.entry._workspace import Workspace
from bergamotcart.messages import Reachability
from bergamotcart.outcomes import ErrorKind
from bergamotcart.statements import StatementKind

# The adapter reports every execution in time; this covers a report that is lost all the same.
_LOST_REPORT_S: Final = 1.0
_MIN_TIMEOUT_S: Final = 0.001
_FULL_ERRORS: Final = frozenset((ErrorKind.busy, ErrorKind.not_run))


@dataclass(frozen=True, slots=True)
class Plan:
    """What to run and where.

    :param is_read: whether it counts against the primary's share for reads.
    """

    target: TargetKey
    steps: tuple[Step, ...]
    use: ConnectionUse = ConnectionUse.shared
    ledger: LedgerKey | None = None
    is_read: bool = False


@dataclass(slots=True)
class Running:
    """An execution that has not ended."""

    request: Request
    plan: Plan
    lane: Lane
    on_finished: Callable[['Running', ExecutionFinished], None]
    incarnation: str
    started_at: float
    timer: Timer | None = None

    @property
    def is_single_read(self) -> bool:
        """Whether it is a read outside a transaction, which may always be sent again."""
        is_read = self.request.statement.kind is StatementKind.read
        return is_read and self.plan.use is ConnectionUse.shared

    @property
    def is_pinning(self) -> bool:
        """Whether it pins a connection, so that only its own report may end it.

        Until then the adapter may still pin the connection, and a second one for the same
        session must not be asked for.
        """
        return self.plan.use is ConnectionUse.pin


class Executions:
    """Starts executions and hands their results to the system that asked for them."""

    __slots__ = ('_at_target', '_ids', '_lanes', '_monitor', '_running', '_work')

    def __init__(self, work: Workspace, lanes: Lanes, monitor: TargetMonitor) -> None:
        """Start without executions."""
        self._work = work
        self._lanes = lanes
        self._monitor = monitor
        self._running: dict[int, Running] = {}
        self._at_target: dict[TargetKey, dict[int, Running]] = {}
        self._ids = itertools.count(1)

    def start(
        self,
        request: Request,
        plan: Plan,
        on_finished: Callable[[Running, ExecutionFinished], None],
    ) -> None:
        """Send a request to a target; its lane must have room for it."""
        target = self._work.table.get(plan.target)
        lane = self._lanes.get(plan.target)
        if plan.use in {ConnectionUse.shared, ConnectionUse.pin}:
            lane.take_place(is_read=plan.is_read)
        execution_id = next(self._ids)
        left = request.deadline - self._work.now
        timeout = max(_MIN_TIMEOUT_S, min(left, self._work.config.statement_timeout_s))
        incarnation = target.announcement.incarnation if target else ''
        running = Running(request, plan, lane, on_finished, incarnation, self._work.now)
        self._running[execution_id] = running
        self._at_target.setdefault(plan.target, {})[execution_id] = running
        request.phase = Phase.executing
        request.execution_id = execution_id
        request.ticket += 1
        request.attempts += 1
        running.timer = self._work.after(
            timeout + _LOST_REPORT_S,
            lambda: self.finish(_lost(execution_id)),
        )
        self._work.actions.append(
            Execute(
                execution_id=execution_id,
                request_id=request.request_id,
                session_id=request.session.session_id,
                target=plan.target,
                address=target.announcement.address if target else '',
                steps=plan.steps,
                use=plan.use,
                timeout_s=timeout,
                ledger=plan.ledger,
                ledger_retention_s=self._retention(request) if plan.ledger else None,
                state=_session_state(request),
            )
        )

    def finish(self, finished: ExecutionFinished) -> None:
        """Take the end of an execution; a late or repeated one changes nothing."""
        running = self._running.pop(finished.execution_id, None)
        if running is None:
            return
        self._at_target[running.plan.target].pop(finished.execution_id)
        if running.timer is not None:
            running.timer.cancel()
        self._note_end(running, finished)
        running.request.execution_id = None
        running.request.phase = Phase.waiting
        running.on_finished(running, finished)
        if running.plan.use is ConnectionUse.shared:
            is_answered = finished.status is ExecutionStatus.completed
            answer_s = self._work.now - running.started_at if is_answered else None
            self._lanes.release(running.lane, is_read=running.plan.is_read, answer_s=answer_s)

    def abandon_target(self, watched: Watched) -> None:
        """Give up what runs at a target that cannot be reached, as if the answers were lost.

        Otherwise callers would wait for the whole deadline, though reads can be sent
        elsewhere and a replaced primary's answer may not be acknowledged. A write at a
        target that refuses a probe may still be answered on its own connection.
        """
        is_silent = watched.reachability is Reachability.silent
        for execution_id, running in tuple(self._at_target.get(watched.key, {}).items()):
            is_given_up = is_silent and not running.is_pinning and running.request.route is None
            if running.is_single_read or is_given_up:
                self.finish(_lost(execution_id))

    def abandon_term(self, group: str) -> None:
        """Give up the work for a term that is over: none of it can be acknowledged."""
        for execution_id, running in self._of_group(group):
            is_kept = running.is_single_read or running.is_pinning
            # A routed target refuses by itself what comes after its replacement, so each of
            # its answers is true.
            is_kept = is_kept or running.request.route is not None
            if not is_kept and not self._work.view.is_open(group, running.request.term):
                self.finish(_lost(execution_id))

    def release_pin(self, target: TargetKey) -> None:
        """Give back the place of a transaction that ended."""
        self._lanes.release(self._lanes.get(target), is_read=False)

    def _note_end(self, running: Running, finished: ExecutionFinished) -> None:
        """Let the monitor and the lane of a target know how an execution ended."""
        target = running.plan.target
        if _is_full(finished):
            self._lanes.note_refused(running.lane)
        elif finished.status is ExecutionStatus.completed:
            running.lane.refusals = 0
        if finished.refused and finished.status is ExecutionStatus.not_sent:
            self._monitor.note_refused(target)
        elif finished.status is ExecutionStatus.lost:
            self._monitor.probe_soon(target)
        elif finished.position is not None:
            self._monitor.note_answer(target, running.started_at, finished.position)

    def _retention(self, request: Request) -> float | None:
        settings = self._work.view.document.group(request.group)
        return settings.ledger_retention_s if settings else None

    def _of_group(self, group: str) -> list[tuple[int, Running]]:
        return [
            numbered
            for target, at_target in self._at_target.items()
            if target.group == group
            for numbered in at_target.items()
        ]


def _is_full(finished: ExecutionFinished) -> bool:
    """Tell whether the target had no room for the connection or the statement."""
    return finished.error is not None and finished.error.kind in _FULL_ERRORS


def _session_state(request: Request) -> SessionState | None:
    if request.route is None:
        return None
    return SessionState(tuple(sorted(request.session.settings.items())), request.prepared)


def _lost(execution_id: int) -> ExecutionFinished:
    return ExecutionFinished(
        execution_id=execution_id,
        status=ExecutionStatus.lost,
        failed_step=StepKind.commit,
        clean=False,
    )
