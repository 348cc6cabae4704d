"""Handlers of changes of targets, groups and the lease, which resume waiting requests."""

from collections.abc import Callable
from typing import Final

from bergamotcart.discovery import Position, TargetKey
from bergamotcart.entry._context import EngineContext
from bergamotcart.entry._executions import Executions
from bergamotcart.entry._group_state import GroupState
from bergamotcart.entry._monitor import MonitoredTarget, TargetMonitor
from bergamotcart.entry._primary_dispatcher import PrimaryDispatcher
from bergamotcart.entry._replication_acknowledgements import ReplicationAcknowledgements
from bergamotcart.entry._requests import Request
from bergamotcart.entry._target_limits import TargetLimiter, TargetLimiters
from bergamotcart.messages import GroupPhase, LeaseGrant, TargetRole
from bergamotcart.outcomes import Reason

# A target that has not announced itself for this time is removed.
FORGET_AFTER_S: Final = 30.0


class ChangeHandler:
    """Resumes waiting requests when the condition that they wait for may have changed."""

    __slots__ = (
        '_acknowledgements',
        '_executions',
        '_primary_dispatcher',
        '_had_valid_lease',
        '_limiters',
        '_monitor',
        '_on_state_confirmed',
        '_usable_targets',
        '_context',
    )

    def __init__(
        self,
        context: EngineContext,
        limiters: TargetLimiters,
        monitor: TargetMonitor,
        primary_dispatcher: PrimaryDispatcher,
        acknowledgements: ReplicationAcknowledgements,
        executions: Executions,
        on_state_confirmed: Callable[[], None],
    ) -> None:
        """Create the handlers.

        :param on_state_confirmed: called whenever control may have confirmed the applied state.
        """
        self._context = context
        self._limiters = limiters
        self._monitor = monitor
        self._primary_dispatcher = primary_dispatcher
        self._acknowledgements = acknowledgements
        self._executions = executions
        self._usable_targets: set[TargetKey] = set()
        self._had_valid_lease = False
        self._on_state_confirmed = on_state_confirmed

    def on_probe_report(self, monitored: MonitoredTarget, sent_at: float) -> None:
        """Handle a report: record the position of a primary, acknowledge writes, and resume reads.

        :param sent_at: send time of the probe that returned the report, in seconds.
        """
        report = monitored.report
        if report is None:
            return
        group = self._context.groups.get(monitored.key.group)
        if self._is_current_primary(monitored, sent_at):
            group.primary_positions.add(sent_at, report.position)
            if not self._context.lease_valid:
                self._primary_dispatcher.send_queued(group.name)
            self._acknowledgements.assign_positions(group, sent_at, report.position)
            _resume_requests(group.primary_waits.pop_answered(sent_at))
        waits = group.instance_waits.get(monitored.key)
        if waits is not None:
            _resume_requests(waits.pop_answered(sent_at))
        self._acknowledgements.acknowledge_replicated(monitored)
        if report.role is TargetRole.replica:
            _resume_requests(group.catch_up_waits.pop_reached(report.position))

    def on_statement_answer(
        self, monitored: MonitoredTarget, sent_at: float, position: Position
    ) -> None:
        """Record the position that an answer of the primary carried.

        :param sent_at: send time of the statement, in seconds.
        """
        key = monitored.key
        view = self._context.control_view
        if not (view.is_primary(key) and view.is_open(key.group) and self._context.lease_valid):
            return
        group = self._context.groups.get(key.group)
        # An answer to a statement that was sent before this entry knew of the open term proves
        # nothing about that term.
        if sent_at >= group.open_since:
            group.primary_positions.add(sent_at, position, 'statement at the primary')
            _resume_requests(group.primary_waits.pop_answered(sent_at))

    def on_lease_granted(self, grant: LeaseGrant) -> None:
        """Record the positions that came with a lease, and probe the suspected primaries."""
        for reported in grant.heads:
            key = TargetKey(
                reported.group, self._context.control_view.open_primary(reported.group) or ''
            )
            if reported.open_connections is not None:
                self._limiters.record_occupancy(key, reported.open_connections)
            monitored = self._monitor.get(key)
            sent_at = grant.echo_sent_at - reported.age_s
            group = self._context.groups.get(reported.group)
            if monitored is not None and self._context.lease_valid and sent_at >= group.open_since:
                position = Position(reported.log_term, reported.position)
                group.primary_positions.add(sent_at, position, 'poll by control')
                _resume_requests(group.primary_waits.pop_answered(sent_at))
        for name in grant.suspects:
            self._monitor.probe_suspect(
                TargetKey(name, self._context.control_view.open_primary(name) or '')
            )

    def on_capacity_available(self, limiter: TargetLimiter) -> None:
        """Send requests that wait for capacity at a target."""
        if len(self._context.groups.get(limiter.key.group).primary_queue):
            self._primary_dispatcher.send_queued(limiter.key.group)
        while len(limiter.queue) and limiter.has_capacity:
            request = self._primary_dispatcher.queues.pop_next(
                limiter.queue, may_pin=limiter.may_pin
            )
            if request is None:
                return
            _resume_requests([request])
            if request.queue is limiter.queue:
                # The read was queued again, because reads already use their share of the primary.
                return
            limiter.queue.pace.record_departure(self._context.now)
        if limiter.is_scarce and limiter.has_capacity:
            self._take_over_reads(limiter)

    def refresh_group(self, name: str) -> None:
        """End the past terms of a group and resume its waiting requests.

        This is done when the row of the group changed or a lease became valid.
        """
        group = self._context.groups.get(name)
        self._update_open_term(group)
        self._executions.abandon_past_terms(name)
        self._acknowledgements.recheck_writes(group)
        self._resume_group(name)

    def on_groups_changed(self, names: list[str]) -> None:
        """Handle changed rows of groups."""
        for name in names:
            self.refresh_group(name)

    def on_announcement(self, key: TargetKey) -> None:
        """Handle a newer announcement of a target that may be new, back, or leaving."""
        is_usable = self._context.targets.accepts_statements(key, self._context.now)
        if is_usable == (key in self._usable_targets):
            return
        if is_usable:
            self._usable_targets.add(key)
            self._limiters.update_limits()
        else:
            self._usable_targets.discard(key)
            self._resume_queued_reads(key)
        self._resume_group(key.group)

    def on_lease_changed(self) -> None:
        """Handle a gained or lost lease; refuse waiting requests if control is unreachable."""
        self._on_state_confirmed()
        was_valid = self._had_valid_lease
        self._had_valid_lease = self._context.lease_valid
        if self._had_valid_lease and not was_valid:
            self._handle_lease_gained()
        elif was_valid and not self._had_valid_lease:
            self._handle_lease_lost()
        elif self._primary_dispatcher.is_control_unreachable:
            self._refuse_queued_without_lease()

    def on_reachability_changed(self, monitored: MonitoredTarget) -> None:
        """Resume requests that wait for a target that became reachable or unreachable."""
        if not monitored.may_answer:
            self._executions.abandon_executions_at(monitored)
        self._resume_queued_reads(monitored.key)
        self._resume_group(monitored.key.group)

    def remove_expired_targets(self) -> None:
        """Resume reads that are queued for expired targets, and remove long expired targets."""
        now = self._context.now
        for target in list(self._context.targets):
            if not self._context.targets.is_expired(target.key, now):
                continue
            self._usable_targets.discard(target.key)
            self._resume_queued_reads(target.key)
            is_gone = now - target.sent_after > FORGET_AFTER_S
            if is_gone and not self._context.control_view.is_primary(target.key):
                self._context.targets.remove(target.key)
                self._monitor.unwatch(target.key)
                self._limiters.remove_unused(target.key)

    def _take_over_reads(self, limiter: TargetLimiter) -> None:
        """Route reads again that wait for instances of the group without a free connection."""
        for target in self._context.targets.list_group(limiter.key.group):
            waiting = self._limiters.get(target.key)
            while limiter.has_capacity and not waiting.has_capacity:
                if not self._reroute_read(waiting, limiter):
                    break

    def _reroute_read(self, waiting: TargetLimiter, free: TargetLimiter) -> bool:
        """Route the next read that waits for an instance again, now that another one is free.

        :returns: whether a read has left the queue.
        """
        request = self._primary_dispatcher.queues.pop_next(waiting.queue, may_pin=free.may_pin)
        if request is None:
            return False
        request.failed_targets.discard(free.key)
        _resume_requests([request])
        if request.queue is waiting.queue:
            return False
        waiting.queue.pace.record_departure(self._context.now)
        return True

    def _update_open_term(self, group: GroupState) -> None:
        """Clear the positions of a former primary of a group whose answers carry positions.

        The positions may include writes that the new primary does not have.
        """
        row = self._context.control_view.groups.get(group.name)
        if row is None or not self._context.control_view.answers_carry_positions(group.name):
            return
        if row.phase is GroupPhase.open and group.open_term != row.term:
            group.open_term = row.term
            group.open_since = self._context.now
            group.primary_positions.clear()

    def _handle_lease_gained(self) -> None:
        for group in self._context.groups:
            self.refresh_group(group.name)
        self._limiters.update_limits()

    def _handle_lease_lost(self) -> None:
        self._context.publish_decision('leases', 'lose', 'expired')
        for group in self._context.groups:
            self._primary_dispatcher.probe_for_primary(group.name)

    def _refuse_queued_without_lease(self) -> None:
        for group in self._context.groups:
            if self._primary_dispatcher.refuses_without_lease(group.name):
                self._primary_dispatcher.refuse_queued(group.name, Reason.no_lease)
                self._acknowledgements.end_writes_without_lease(group)
                _resume_requests(group.pop_reads())

    def _resume_group(self, name: str) -> None:
        self._primary_dispatcher.send_queued(name)
        _resume_requests(self._context.groups.get(name).pop_reads())

    def _resume_queued_reads(self, key: TargetKey) -> None:
        _resume_requests(self._primary_dispatcher.queues.pop_all(self._limiters.get(key).queue))

    def _is_current_primary(self, monitored: MonitoredTarget, sent_at: float) -> bool:
        """Tell whether the report of a target proves the position of the current primary.

        :param sent_at: send time of the probe that returned the report, in seconds.
        """
        key, report = monitored.key, monitored.report
        row = self._context.control_view.groups.get(key.group)
        if report is None or report.role is not TargetRole.primary:
            return False
        if self._context.control_view.is_promoted_by_authority(key.group):
            # The terms of the instances are the authority's, so only the time of the probe shows
            # that the report belongs to the open term.
            if sent_at < self._context.groups.get(key.group).open_since:
                return False
            if self._context.control_view.has_self_fencing_primary(key.group):
                # A replaced instance no longer reports that it is the primary.
                return True
        elif row is None or report.term != row.term:
            return False
        if row is None or row.primary != key.instance:
            return False
        return self._context.lease_valid and self._context.control_view.is_open(key.group)


def _resume_requests(requests: list[Request]) -> None:
    for request in requests:
        if not request.done and request.handler is not None:
            request.handler.resume(request)
