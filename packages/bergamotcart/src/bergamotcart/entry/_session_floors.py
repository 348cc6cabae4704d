"""Floors of sessions: the positions that their reads must see, updated when needed."""

from bergamotcart.discovery import Position, TargetKey, is_discarded
from bergamotcart.entry._context import EngineContext
from bergamotcart.entry._monitor import TargetMonitor
from bergamotcart.entry._sessions import LastRead, Session


class SessionFloors:
    """Raises the floors of sessions lazily, and sets those of sessions without a token."""

    __slots__ = ('_monitor', '_context')

    def __init__(self, context: EngineContext, monitor: TargetMonitor) -> None:
        """Create the object from the components that supply positions."""
        self._context = context
        self._monitor = monitor

    def resolve_last_read(self, session: Session, group: str) -> LastRead | None:
        """Raise the floor to the position of the last read if a probe has reported it.

        :returns: the last read if its position is still unknown, else ``None``.
        """
        last_read = session.last_reads.get(group)
        if last_read is None:
            return None
        position = self._position_after(last_read, group)
        if position is None:
            return last_read
        session.floors.raise_to(group, position)
        session.last_reads.pop(group)
        return None

    def floor(self, session: Session, group: str) -> Position | None:
        """Return the position that the session's reads must see, or ``None`` if it is unknown."""
        initial_floor = session.initial_floors.get(group)
        floor = session.floors.get(group)
        if initial_floor is None:
            return floor
        initial_floor = self._truncate_to_branch_point(initial_floor, group)
        return initial_floor if floor is None else max(floor, initial_floor)

    def set_initial_floor(self, session: Session, group: str) -> Position | None:
        """Set and return the floor from a primary position probed after the session was opened.

        :returns: the floor, or ``None`` if no such position is known.
        """
        primary_positions = self._context.groups.get(group).primary_positions
        if (
            primary_positions.newest is None
            or primary_positions.newest_sent_at <= session.opened_at
        ):
            return None
        session.initial_floors[group] = primary_positions.newest
        return primary_positions.newest

    def has_seen_discarded(self, session: Session, group: str) -> bool:
        """Tell whether the session has seen records that a failover discarded."""
        floor = session.floors.get(group)
        row = self._context.control_view.groups.get(group)
        return floor is not None and row is not None and is_discarded(floor, row.branch_points)

    def token_floors(self, session: Session) -> dict[str, Position]:
        """Return the known floors of a session by group, for its token."""
        names = set(session.initial_floors) | set(session.floors.positions)
        floors = {name: self.floor(session, name) for name in names}
        return {name: floor for name, floor in floors.items() if floor is not None}

    def probe_position_after(self, last_read: LastRead, group: str) -> None:
        """Request the position after a read from its instance.

        The primary is probed as well unless the instance is expected to answer soon.
        """
        self._monitor.request_report_after(last_read.target, last_read.ended_at)
        row = self._context.control_view.groups.get(group)
        if (
            row is not None
            and row.primary is not None
            and not self._is_answer_expected_soon(last_read)
        ):
            self._monitor.request_report_after(TargetKey(group, row.primary), last_read.ended_at)

    def _is_answer_expected_soon(self, last_read: LastRead) -> bool:
        monitored = self._monitor.get(last_read.target)
        if monitored is None or monitored.incarnation != last_read.incarnation:
            return False
        if monitored.in_flight and monitored.awaited_position is not None:
            # The probe waits for a position that the instance lacks, so its answer may take long.
            return False
        return self._monitor.is_reachable(last_read.target)

    def _position_after(self, last_read: LastRead, group: str) -> Position | None:
        monitored = self._monitor.get(last_read.target)
        if monitored is not None and monitored.incarnation == last_read.incarnation:
            if monitored.report is not None and monitored.report_sent_at > last_read.ended_at:
                return monitored.report.position
        # No replica is ahead of the primary, so a later position of the primary includes the read.
        primary_positions = self._context.groups.get(group).primary_positions
        return (
            primary_positions.newest
            if primary_positions.newest_sent_at > last_read.ended_at
            else None
        )

    def _truncate_to_branch_point(self, initial_floor: Position, group: str) -> Position:
        """Lower an initial floor to the branch point if a failover discarded its records.

        The session has not read any of them, and failover keeps all writes that were
        acknowledged before the session was opened, so the branch point is a valid floor.
        """
        row = self._context.control_view.groups.get(group)
        for log_term, kept in row.branch_points if row else ():
            if log_term == initial_floor.log_term and initial_floor.position > kept:
                return Position(log_term, kept)
        return initial_floor
