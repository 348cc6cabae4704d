"""Assembly of the systems of one entry engine."""

from collections.abc import Callable

from bergamotcart.discovery import Position, TargetKey
from bergamotcart.entry._config import EntryConfig
from bergamotcart.entry._confirmations import Confirmations
from bergamotcart.entry._control_link import ControlLink
from bergamotcart.entry._executions import Executions
from bergamotcart.entry._floors import FloorKeeper
from bergamotcart.entry._flow import Flow
from bergamotcart.entry._intake import Intake
from bergamotcart.entry._lanes import Lanes
from bergamotcart.entry._monitor import TargetMonitor, Watched
from bergamotcart.entry._primary import PrimaryGate
from bergamotcart.entry._relays import Relays
from bergamotcart.entry._replies import Replies
from bergamotcart.entry._requests import Phase, RequestTable
from bergamotcart.entry._retries import Retries
from bergamotcart.entry._routed_intake import RoutedIntake
from bergamotcart.entry._sessions import Session, SessionTable
from bergamotcart.entry._system_builder import Parts, build_systems
from bergamotcart.entry._workspace import Workspace
from bergamotcart.outcomes import Reason


class Assembly:
    """The tables and systems of one engine, connected with each other."""

    __slots__ = (
        '_on_update',
        '_replies',
        'control',
        'executions',
        'flow',
        'intake',
        'lanes',
        'monitor',
        'relays',
        'requests',
        'retries',
        'routed',
        'sessions',
        'systems',
        'work',
    )

    def __init__(self, config: EntryConfig, on_update: Callable[[list[str]], None]) -> None:
        """Create all parts.

        :param on_update: called with the groups whose rows changed in a new control state.
        """
        work = Workspace(config)
        self._on_update = on_update
        self.work = work
        self.sessions = SessionTable()
        self.requests = RequestTable()
        self.relays = Relays(work)
        self._replies = Replies(work, self.requests)
        # The flow reacts to lanes and probes and needs both, so they call it through here.
        self.lanes = Lanes(work, lambda lane: self.flow.on_room(lane))
        self.monitor = TargetMonitor(
            work,
            lambda watched, sent_at: self.flow.on_report(watched, sent_at),
            lambda watched, sent_at, position: self.flow.on_answer(watched, sent_at, position),
            self._on_reachability,
            self._wanted,
        )
        self.executions = Executions(work, self.lanes, self.monitor)
        self._connect()

    def cancel_waiting(self, session: Session) -> None:
        """End the requests of a closed session that have not been sent."""
        for request in self.requests.of_session(session):
            if request.phase is Phase.waiting:
                self._replies.refuse(request, Reason.connection_lost, 'the session was closed')

    def _release_sessions(self) -> None:
        for session in self.sessions:
            self.routed.release(session)

    def _connect(self) -> None:
        work, monitor, replies = self.work, self.monitor, self._replies
        floors = FloorKeeper(work, monitor)
        gate = PrimaryGate(work, self.lanes, monitor, self.requests, replies)
        retries = Retries(work, replies)
        self.retries = retries
        confirmations = Confirmations(work, monitor, replies, floors)
        self.flow = Flow(
            work,
            self.lanes,
            monitor,
            gate,
            confirmations,
            self.executions,
            self._release_sessions,
        )
        self.control = ControlLink(
            work,
            monitor,
            self.lanes,
            self._on_update,
            self.flow.on_lease,
            self.flow.on_grant,
        )
        self.systems = build_systems(
            Parts(
                work=work,
                lanes=self.lanes,
                monitor=monitor,
                gate=gate,
                executions=self.executions,
                floors=floors,
                confirmations=confirmations,
                retries=retries,
                replies=replies,
            )
        )
        self.routed = RoutedIntake(work, self.requests, replies, retries, self.systems)
        self.intake = Intake(
            work,
            self.sessions,
            self.requests,
            floors,
            replies,
            retries,
            self.systems,
            self.routed,
        )

    def _on_reachability(self, watched: Watched) -> None:
        self.control.report_change()
        self.flow.on_reachability(watched)

    def _wanted(self, key: TargetKey) -> Position | None:
        """Return the lowest position of a target's group that requests wait for."""
        row = self.work.view.groups.get(key.group)
        if row is None or row.primary == key.instance or not self.work.lease_valid:
            return None
        group = self.work.groups.get(key.group)
        waiting = [wait.lowest for wait in (group.confirming, group.catch_up)]
        known = [position for position in waiting if position is not None]
        return min(known, default=None)
