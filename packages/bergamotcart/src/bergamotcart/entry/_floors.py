"""What a session has seen, resolved when a request needs it."""

from bergamotcart.discovery import Position, TargetKey, is_discarded
from bergamotcart.entry._monitor import TargetMonitor
from bergamotcart.entry._sessions import LastRead, Session
from bergamotcart.entry._workspace import Workspace


class FloorKeeper:
    """Raises floors lazily and seeds those of sessions without a token."""

    __slots__ = ('_monitor', '_work')

    def __init__(self, work: Workspace, monitor: TargetMonitor) -> None:
        """Keep the sources of positions."""
        self._work = work
        self._monitor = monitor

    def unresolved(self, session: Session, group: str) -> LastRead | None:
        """Raise the floor by the last read if a probe has supplied its position.

        :returns: the last read if its position is still unknown.
        """
        last = session.last_reads.get(group)
        if last is None:
            return None
        position = self._position_after(last, group)
        if position is None:
            return last
        session.floors.raise_to(group, position)
        session.last_reads.pop(group)
        return None

    def floor(self, session: Session, group: str) -> Position | None:
        """Return what the session must see, or ``None`` if that is not known yet."""
        seed = session.seeds.get(group)
        floor = session.floors.get(group)
        if seed is None:
            return floor
        seed = self._keep_seed(seed, group)
        return seed if floor is None else max(floor, seed)

    def seed(self, session: Session, group: str) -> Position | None:
        """Take the primary's position as floor if it was read after the session arrived."""
        heads = self._work.groups.get(group).heads
        if heads.newest is None or heads.newest_sent_at <= session.opened_at:
            return None
        session.seeds[group] = heads.newest
        return heads.newest

    def is_lost(self, session: Session, group: str) -> bool:
        """Tell whether the session has seen records that a failover discarded."""
        floor = session.floors.get(group)
        row = self._work.view.groups.get(group)
        return floor is not None and row is not None and is_discarded(floor, row.branch_points)

    def token_floors(self, session: Session) -> dict[str, Position]:
        """Return the floors for a token."""
        names = set(session.seeds) | set(session.floors.positions)
        floors = {name: self.floor(session, name) for name in names}
        return {name: floor for name, floor in floors.items() if floor is not None}

    def ask_position_after(self, last: LastRead, group: str) -> None:
        """Probe the instance of a read, and the primary in case the instance is gone."""
        self._monitor.need_report_after(last.target, last.ended_at)
        row = self._work.view.groups.get(group)
        if row is not None and row.primary is not None and not self._answers_soon(last):
            self._monitor.need_report_after(TargetKey(group, row.primary), last.ended_at)

    def _answers_soon(self, last: LastRead) -> bool:
        watched = self._monitor.get(last.target)
        if watched is None or watched.incarnation != last.incarnation:
            return False
        if watched.in_flight and watched.waited_for is not None:
            # The instance is behind, so its answer may take long.
            return False
        return self._monitor.is_reachable(last.target)

    def _position_after(self, last: LastRead, group: str) -> Position | None:
        watched = self._monitor.get(last.target)
        if watched is not None and watched.incarnation == last.incarnation:
            if watched.report is not None and watched.report_sent_at > last.ended_at:
                return watched.report.position
        # No replica is ahead of the primary, so its later head covers the read as well.
        heads = self._work.groups.get(group).heads
        return heads.newest if heads.newest_sent_at > last.ended_at else None

    def _keep_seed(self, seed: Position, group: str) -> Position:
        """Return a seed without the records that a failover discarded.

        The session has seen nothing up to its seed, and what was acknowledged before it
        arrived was kept, so the branch point serves as well.
        """
        row = self._work.view.groups.get(group)
        for log_term, kept in row.branch_points if row else ():
            if log_term == seed.log_term and seed.position > kept:
                return Position(log_term, kept)
        return seed
