"""Acknowledgement of writes: enough replicas have them, and lease and term still hold."""

from typing import Final

from bergamotcart.discovery import Position, TargetKey
from bergamotcart.documents import Acknowledgement
from bergamotcart.entry._floors import FloorKeeper
from bergamotcart.entry._groups import GroupWork
from bergamotcart.entry._monitor import TargetMonitor, Watched
from bergamotcart.entry._replies import Replies
from bergamotcart.entry._requests import Phase, Request
from bergamotcart.entry._sessions import OwnWrite
from bergamotcart.entry._workspace import Workspace
from bergamotcart.outcomes import Outcome, Reason

_DEFAULT_INSTANCES: Final = 3


class Confirmations:
    """Holds completed writes until they may be acknowledged."""

    __slots__ = ('_floors', '_monitor', '_replies', '_work')

    def __init__(
        self,
        work: Workspace,
        monitor: TargetMonitor,
        replies: Replies,
        floors: FloorKeeper,
    ) -> None:
        """Keep the tables that decide."""
        self._work = work
        self._monitor = monitor
        self._replies = replies
        self._floors = floors

    def begin(self, request: Request, outcome: Outcome, position: Position | None) -> None:
        """Hold a completed write.

        :param outcome: what the caller gets once the write is confirmed.
        :param position: place of the write, or ``None`` if a probe must supply one.
        """
        if request.route is not None:
            self._settle_routed(request, outcome, position)
            return
        request.phase = Phase.confirming
        request.outcome = outcome
        request.position = position
        request.ticket += 1
        group = self._work.groups.get(request.group)
        if position is None:
            row = self._work.view.groups[request.group]
            group.unplaced.add(self._work.now, request)
            if row.primary is not None:
                key = TargetKey(request.group, row.primary)
                self._monitor.need_report_after(key, self._work.now)
            return
        confirmed = self._confirmed_position(request.group, request.term)
        if self._required(request.group) == 0 or (confirmed and position <= confirmed):
            self._settle(request)
            return
        group.confirming.add(position, request)
        for target in self._work.table.of_group(request.group):
            self._monitor.probe_soon(target.key)

    def on_report(self, watched: Watched) -> None:
        """Acknowledge the writes that a replica's new position confirms."""
        group = self._work.groups.get(watched.key.group)
        if group.confirming.lowest is None:
            return
        row = self._work.view.groups.get(group.name)
        confirmed = self._confirmed_position(group.name, row.term) if row else None
        if confirmed is not None:
            for request in group.confirming.pop_reached(confirmed):
                self._settle(request)

    def on_head(self, group: GroupWork, sent_at: float, head: Position) -> None:
        """Give writes without a position that of the primary after their end."""
        for request in group.unplaced.pop_answered(sent_at):
            if request.outcome is not None:
                self.begin(request, request.outcome, head)

    def on_group_change(self, group: GroupWork) -> None:
        """End the writes of a term that is over; they are not acknowledged."""
        for request in group.confirming.pop_all() + group.unplaced.pop_all():
            if self._work.view.is_open(request.group, request.term):
                self._hold(group, request)
            else:
                self._fail(request)

    def _settle_routed(
        self,
        request: Request,
        outcome: Outcome,
        position: Position | None,
    ) -> None:
        """Acknowledge a write whose target refuses writes once it is replaced."""
        if position is not None:
            row = self._work.view.groups.get(request.group)
            term = row.term if row else 0
            request.session.own_writes[request.group] = OwnWrite(term, position)
        self._replies.finish(request, outcome)

    def _hold(self, group: GroupWork, request: Request) -> None:
        if request.position is None:
            group.unplaced.add(self._work.now, request)
        else:
            group.confirming.add(request.position, request)

    def _settle(self, request: Request) -> None:
        """Acknowledge a write, or keep it while the lease is not valid."""
        if not self._work.view.is_open(request.group, request.term):
            self._fail(request)
            return
        if not self._work.lease_valid:
            request.ticket += 1
            self._hold(self._work.groups.get(request.group), request)
            return
        if request.position is not None:
            request.session.floors.raise_to(request.group, request.position)
            # The primary held all that the session had read when the write was sent.
            request.session.last_reads.pop(request.group, None)
        if request.outcome is not None:
            self._replies.finish(request, request.outcome)

    def _fail(self, request: Request) -> None:
        request.may_have_run = True
        request.ticket += 1
        if request.ledger is not None and request.system is not None:
            # The ledger of the next primary tells whether the write survived.
            request.phase = Phase.waiting
            request.system.resume(request)
        else:
            self._replies.refuse(request, Reason.not_confirmed, 'the primary was replaced')

    def _required(self, group: str) -> int:
        settings = self._work.view.document.group(group)
        if settings is None:
            return _DEFAULT_INSTANCES // 2
        if settings.acknowledgement is Acknowledgement.primary_only:
            return 0
        # With the primary, this many replicas meet every majority of the instances.
        return settings.instances // 2

    def _confirmed_position(self, group: str, term: int) -> Position | None:
        """Return the highest position that the primary and enough replicas hold."""
        row = self._work.view.groups[group]
        positions: list[Position] = []
        for target in self._work.table.of_group(group):
            watched = self._monitor.get(target.key)
            if watched is None or watched.report is None or target.key.instance == row.primary:
                continue
            if watched.report.position.log_term == term:
                positions.append(watched.report.position)
        positions.sort(reverse=True)
        required = self._required(group)
        return positions[required - 1] if 0 < required <= len(positions) else None
