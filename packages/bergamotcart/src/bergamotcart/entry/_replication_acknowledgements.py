"""Acknowledgement of writes that enough replicas have, under a valid lease and an open term."""

from typing import Final

from bergamotcart.discovery import Position, TargetKey
from bergamotcart.documents import Acknowledgement
from bergamotcart.entry._context import EngineContext
from bergamotcart.entry._freeze_acknowledgement import FreezeAcknowledgement
from bergamotcart.entry._group_state import GroupState
from bergamotcart.entry._monitor import MonitoredTarget, TargetMonitor
from bergamotcart.entry._replies import Replies
from bergamotcart.entry._requests import Request, RequestPhase
from bergamotcart.entry._session_floors import SessionFloors
from bergamotcart.entry._sessions import OwnWrite
from bergamotcart.outcomes import Outcome, Reason

# Number of instances that is assumed for a group without settings.
_DEFAULT_INSTANCES: Final = 3


class ReplicationAcknowledgements:
    """Holds completed writes until they may be acknowledged."""

    __slots__ = ('_floors', '_freeze_acknowledgement', '_monitor', '_replies', '_context')

    def __init__(
        self,
        context: EngineContext,
        monitor: TargetMonitor,
        replies: Replies,
        floors: SessionFloors,
        freeze_acknowledgement: FreezeAcknowledgement,
    ) -> None:
        """Start without held writes."""
        self._context = context
        self._monitor = monitor
        self._replies = replies
        self._floors = floors
        self._freeze_acknowledgement = freeze_acknowledgement

    def hold_until_acknowledged(
        self, request: Request, outcome: Outcome, position: Position | None
    ) -> None:
        """Hold the reply to a completed write until enough replicas have acknowledged it.

        A write of a route needs no replica, but a lease if a replaced primary would not refuse it.

        :param outcome: outcome for the caller once enough replicas have it.
        :param position: log position of the write, or ``None`` if a probe of the primary must
            supply it.
        """
        request.phase = RequestPhase.confirming
        request.outcome = outcome
        request.position = position
        request.wait_generation += 1
        if request.route is not None:
            self._acknowledge_routed(request)
            return
        group = self._context.groups.get(request.group)
        if position is None:
            row = self._context.control_view.groups[request.group]
            group.awaiting_position.add(self._context.now, request)
            if row.primary is not None:
                key = TargetKey(request.group, row.primary)
                self._monitor.request_report_after(key, self._context.now)
            return
        acknowledged = self._acknowledged_position(request.group, request.term)
        if self._required_replicas(request.group) == 0 or (
            acknowledged and position <= acknowledged
        ):
            self._acknowledge(request)
            return
        group.awaiting_acknowledgement.add(position, request)
        for target in self._context.targets.list_group(request.group):
            self._monitor.probe_now(target.key)

    def acknowledge_replicated(self, monitored: MonitoredTarget) -> None:
        """Acknowledge the writes that enough replicas have after a new report of one of them."""
        group = self._context.groups.get(monitored.key.group)
        if group.awaiting_acknowledgement.lowest is None:
            return
        row = self._context.control_view.groups.get(group.name)
        acknowledged = self._acknowledged_position(group.name, row.term) if row else None
        if acknowledged is not None:
            for request in group.awaiting_acknowledgement.pop_reached(acknowledged):
                self._acknowledge(request)

    def assign_positions(self, group: GroupState, sent_at: float, position: Position) -> None:
        """Assign a position of the primary to the writes that ended before it was read.

        :param sent_at: time at which the probe that read the position was sent, in seconds.
        :param position: position of the primary.
        """
        for request in group.awaiting_position.pop_answered(sent_at):
            if request.outcome is not None:
                self.hold_until_acknowledged(request, request.outcome, position)

    def recheck_writes(self, group: GroupState) -> None:
        """End the held writes of past terms without acknowledgement; keep the others.

        Those of routes are acknowledged now if the lease is valid again.
        """
        for routed in group.pop_awaiting_lease():
            if not routed.done:
                self._acknowledge_routed(routed)
        for request in group.awaiting_acknowledgement.pop_all() + group.awaiting_position.pop_all():
            if self._context.control_view.is_open(request.group, request.term):
                self._add_unacknowledged(group, request)
            else:
                self._end_unacknowledged(request)

    def end_writes_without_lease(self, group: GroupState) -> None:
        """Reply that held writes may have run, because no lease is expected soon."""
        for request in group.pop_awaiting_lease():
            self._replies.reply_may_have_run(request, Reason.no_lease)

    def complete_without_write(
        self, request: Request, outcome: Outcome, position: Position | None
    ) -> None:
        """Reply to the end of a routed transaction that has written nothing.

        :param position: log position that the session has read, or ``None`` if it is not known.
        """
        if position is not None:
            row = self._context.control_view.groups.get(request.group)
            term = row.term if row else 0
            request.session.own_writes[request.group] = OwnWrite(term, position)
        self._replies.finish_request(request, outcome)

    def _acknowledge_routed(self, request: Request) -> None:
        """Acknowledge a write of a route unless its primary may have been replaced before it ran."""
        view = self._context.control_view
        is_open = view.is_open(request.group, request.term)
        has_lease = self._context.lease_valid
        may_finish = has_lease and (
            is_open or self._freeze_acknowledgement.is_awaited_write(request)
        )
        if may_finish or view.has_self_fencing_primary(request.group):
            self._finish_routed(request)
        elif is_open:
            self._context.groups.get(request.group).awaiting_lease.append(request)
        else:
            self._end_unacknowledged(request)

    def _finish_routed(self, request: Request) -> None:
        if request.outcome is not None:
            self.complete_without_write(request, request.outcome, request.position)

    def _add_unacknowledged(self, group: GroupState, request: Request) -> None:
        if request.position is None:
            group.awaiting_position.add(self._context.now, request)
        else:
            group.awaiting_acknowledgement.add(request.position, request)

    def _acknowledge(self, request: Request) -> None:
        """Acknowledge a write, or keep holding it while the lease is not valid."""
        if not self._context.control_view.is_open(request.group, request.term):
            self._end_unacknowledged(request)
            return
        if not self._context.lease_valid:
            request.wait_generation += 1
            self._add_unacknowledged(self._context.groups.get(request.group), request)
            return
        if request.position is not None:
            request.session.floors.raise_to(request.group, request.position)
            # The primary had everything that the session had read when the write was sent, so the
            # position of the write covers those reads.
            request.session.last_reads.pop(request.group, None)
        if request.outcome is not None:
            self._replies.finish_request(request, request.outcome)

    def _end_unacknowledged(self, request: Request) -> None:
        request.may_have_run = True
        request.wait_generation += 1
        if request.ledger is not None and request.handler is not None:
            # The ledger of the next primary shows whether the write survived the failover.
            request.phase = RequestPhase.waiting
            request.handler.resume(request)
        else:
            self._replies.refuse(
                request, Reason.not_confirmed, f'the primary of term {request.term} was replaced'
            )

    def _required_replicas(self, group: str) -> int:
        settings = self._context.control_view.document.group(group)
        if settings is None:
            return _DEFAULT_INSTANCES // 2
        if settings.acknowledgement is Acknowledgement.primary_only:
            return 0
        # Together with the primary, this many replicas intersect every majority of the instances.
        return settings.instances // 2

    def _acknowledged_position(self, group: str, term: int) -> Position | None:
        """Return the highest position of a term that the primary and enough replicas have."""
        row = self._context.control_view.groups[group]
        positions: list[Position] = []
        for target in self._context.targets.list_group(group):
            monitored = self._monitor.get(target.key)
            if monitored is None or monitored.report is None or target.key.instance == row.primary:
                continue
            if monitored.report.position.log_term == term:
                positions.append(monitored.report.position)
        positions.sort(reverse=True)
        required = self._required_replicas(group)
        return positions[required - 1] if 0 < required <= len(positions) else None
