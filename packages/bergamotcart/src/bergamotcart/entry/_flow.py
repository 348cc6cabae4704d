"""Reactions of requests to changes of targets, groups and the lease."""

from collections.abc import Callable
from typing import Final

from bergamotcart.discovery import Position, TargetKey
from bergamotcart.entry._confirmations import Confirmations
from bergamotcart.entry._executions import Executions
from bergamotcart.entry._groups import GroupWork
from bergamotcart.entry._lanes import Lane, Lanes
from bergamotcart.entry._monitor import TargetMonitor, Watched
from bergamotcart.entry._primary import PrimaryGate
from bergamotcart.entry._requests import Request
from bergamotcart.entry._workspace import Workspace
from bergamotcart.messages import GroupPhase, LeaseGrant, Reachability, TargetRole
from bergamotcart.outcomes import Reason

# A target that stopped announcing itself is forgotten after this time.
FORGET_AFTER_S: Final = 30.0


class Flow:
    """Moves waiting requests on when what they wait for may have changed."""

    __slots__ = (
        '_confirmations',
        '_executions',
        '_gate',
        '_had_lease',
        '_lanes',
        '_monitor',
        '_on_confirmed',
        '_usable',
        '_was_confirmed',
        '_work',
    )

    def __init__(
        self,
        work: Workspace,
        lanes: Lanes,
        monitor: TargetMonitor,
        gate: PrimaryGate,
        confirmations: Confirmations,
        executions: Executions,
        on_confirmed: Callable[[], None],
    ) -> None:
        """Keep the tables that requests wait in.

        :param on_confirmed: called once control has confirmed the first state.
        """
        self._work = work
        self._lanes = lanes
        self._monitor = monitor
        self._gate = gate
        self._confirmations = confirmations
        self._executions = executions
        self._usable: set[TargetKey] = set()
        self._had_lease = False
        self._was_confirmed = False
        self._on_confirmed = on_confirmed

    def on_report(self, watched: Watched, sent_at: float) -> None:
        """Use a position: as proof, as confirmation, and for waiting reads."""
        report = watched.report
        if report is None:
            return
        group = self._work.groups.get(watched.key.group)
        if self._is_proof(watched):
            group.heads.add(sent_at, report.position)
            if not self._work.lease_valid:
                self._gate.pump(group.name)
            self._confirmations.on_head(group, sent_at, report.position)
            _resume(group.primary_waits.pop_answered(sent_at))
        waits = group.instance_waits.get(watched.key)
        if waits is not None:
            _resume(waits.pop_answered(sent_at))
        self._confirmations.on_report(watched)
        if report.role is TargetRole.replica:
            _resume(group.catch_up.pop_reached(report.position))

    def on_answer(self, watched: Watched, sent_at: float, position: Position) -> None:
        """Use the position that came with an answer of the primary as its head."""
        key = watched.key
        view = self._work.view
        if not (view.is_primary(key) and view.is_open(key.group) and self._work.lease_valid):
            return
        group = self._work.groups.get(key.group)
        # What was sent before this entry learnt of the primary proves nothing of its term.
        if sent_at >= group.open_since:
            group.heads.add(sent_at, position)
            _resume(group.primary_waits.pop_answered(sent_at))

    def on_grant(self, grant: LeaseGrant) -> None:
        """Take over the heads that came with a lease, and look for primaries that seem lost."""
        for head in grant.heads:
            key = TargetKey(head.group, self._work.view.primary_of(head.group) or '')
            watched = self._monitor.get(key)
            asked_at = grant.echo_sent_at - head.age_s
            group = self._work.groups.get(head.group)
            if watched is not None and self._work.lease_valid and asked_at >= group.open_since:
                group.heads.add(asked_at, Position(head.log_term, head.position))
                _resume(group.primary_waits.pop_answered(asked_at))
        for name in grant.suspects:
            self._monitor.check(TargetKey(name, self._work.view.primary_of(name) or ''))

    def on_room(self, lane: Lane) -> None:
        """Send what waits for a place at a target."""
        if len(self._work.groups.get(lane.key.group).writes):
            self._gate.pump(lane.key.group)
        while len(lane.queue) and lane.has_room:
            request = self._gate.queues.take(lane.queue)
            if request is None:
                return
            _resume([request])
            if request.queue is lane.queue:
                # It waits for the share of the primary that is left to reads.
                return

    def on_group(self, name: str) -> None:
        """Route again whatever waits in a group whose row, lease or targets changed."""
        group = self._work.groups.get(name)
        self._note_term(group)
        self._executions.abandon_term(name)
        self._confirmations.on_group_change(group)
        self._route_again(name)

    def on_groups(self, names: list[str]) -> None:
        """React to changed rows of groups."""
        for name in names:
            self.on_group(name)

    def on_target(self, key: TargetKey) -> None:
        """React to a newer announcement: a target may be new, back, or leaving."""
        usable = self._work.table.takes_new_work(key, self._work.now)
        if usable == (key in self._usable):
            return
        if usable:
            self._usable.add(key)
            self._lanes.update_limits()
        else:
            self._usable.discard(key)
            self._drain_lane(key)
        self._route_again(key.group)

    def on_lease(self) -> None:
        """Use a lease that became valid; refuse what waits once control is out of reach."""
        if self._work.lease.confirmed and not self._was_confirmed:
            self._was_confirmed = True
            self._on_confirmed()
        was_valid = self._had_lease
        self._had_lease = self._work.lease_valid
        if self._had_lease and not was_valid:
            self._gain_lease()
        elif was_valid and not self._had_lease:
            self._lose_lease()
        elif self._gate.is_cut_off:
            self._refuse_what_needs_a_lease()

    def on_reachability(self, watched: Watched) -> None:
        """Route again what waits for a target that became reachable or unreachable."""
        if watched.reachability is not Reachability.reachable:
            self._executions.abandon_target(watched)
        self._drain_lane(watched.key)
        self._route_again(watched.key.group)

    def sweep(self) -> None:
        """Route reads away from expired targets and forget those that are long gone."""
        now = self._work.now
        for target in list(self._work.table):
            if not self._work.table.is_expired(target.key, now):
                continue
            self._usable.discard(target.key)
            self._drain_lane(target.key)
            is_gone = now - target.made_after > FORGET_AFTER_S
            if is_gone and not self._work.view.is_primary(target.key):
                self._work.table.remove(target.key)
                self._monitor.forget(target.key)
                self._lanes.forget(target.key)

    def _note_term(self, group: GroupWork) -> None:
        """Forget the heads of a former primary of a group whose answers carry positions.

        They may include writes that the new primary does not have.
        """
        row = self._work.view.groups.get(group.name)
        if row is None or not self._work.view.answers_carry_positions(group.name):
            return
        if row.phase is GroupPhase.open and group.open_term != row.term:
            group.open_term = row.term
            group.open_since = self._work.now
            group.heads.clear()

    def _gain_lease(self) -> None:
        for group in self._work.groups:
            self.on_group(group.name)
        self._lanes.update_limits()

    def _lose_lease(self) -> None:
        self._work.decide('leases', 'lose', 'expired')
        for group in self._work.groups:
            self._gate.find_primary(group.name)

    def _refuse_what_needs_a_lease(self) -> None:
        for group in self._work.groups:
            if self._gate.refuses_at_once(group.name):
                self._gate.refuse_queued(group.name, Reason.no_lease)
                _resume(group.pop_reads())

    def _route_again(self, name: str) -> None:
        self._gate.pump(name)
        _resume(self._work.groups.get(name).pop_reads())

    def _drain_lane(self, key: TargetKey) -> None:
        _resume(self._gate.queues.take_all(self._lanes.get(key).queue))

    def _is_proof(self, watched: Watched) -> bool:
        """Tell whether a position is that of the primary of the open term."""
        key, report = watched.key, watched.report
        row = self._work.view.groups.get(key.group)
        if report is None or report.role is not TargetRole.primary:
            return False
        if self._work.view.refuses_by_itself(key.group):
            # An instance that was replaced does not say any more that it is the primary.
            return True
        if row is None or row.primary != key.instance or report.term != row.term:
            return False
        return self._work.lease_valid and self._work.view.is_open(key.group)


def _resume(requests: list[Request]) -> None:
    for request in requests:
        if not request.done and request.system is not None:
            request.system.resume(request)
