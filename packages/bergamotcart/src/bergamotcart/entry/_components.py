"""Construction of the components of one entry engine."""

from collections.abc import Callable

from bergamotcart.discovery import Position, TargetKey
from bergamotcart.entry._announcement_relay import AnnouncementRelay
from bergamotcart.entry._cap_gate import CapGate
from bergamotcart.entry._change_handler import ChangeHandler
from bergamotcart.entry._configuration import EntryConfiguration
from bergamotcart.entry._context import EngineContext
from bergamotcart.entry._control_link import ControlLink, LinkCallbacks
from bergamotcart.entry._executions import Executions
from bergamotcart.entry._freeze_acknowledgement import FreezeAcknowledgement
from bergamotcart.entry._monitor import MonitoredTarget, TargetMonitor
from bergamotcart.entry._primary_dispatcher import PrimaryDispatcher
from bergamotcart.entry._replication_acknowledgements import ReplicationAcknowledgements
from bergamotcart.entry._replies import Replies
from bergamotcart.entry._request_dispatcher import RequestDispatcher
from bergamotcart.entry._request_handler_builder import (
    RequestHandlerDependencies,
    build_request_handlers,
)
from bergamotcart.entry._requests import RequestTable
from bergamotcart.entry._retries import Retries
from bergamotcart.entry._routed_request_dispatcher import RoutedRequestDispatcher
from bergamotcart.entry._session_authentication import SessionAuthentication
from bergamotcart.entry._session_errors import SessionErrors
from bergamotcart.entry._session_floors import SessionFloors
from bergamotcart.entry._sessions import Session, SessionTable
from bergamotcart.entry._target_limits import TargetLimiters


class EngineComponents:
    """Tables, handlers and other components of one engine, connected to each other."""

    __slots__ = (
        '_on_state_update',
        '_replies',
        'cap_gate',
        'control_link',
        'executions',
        'change_handler',
        'request_dispatcher',
        'limiters',
        'monitor',
        'announcement_relay',
        'authentication',
        'requests',
        'retries',
        'routed_request_dispatcher',
        'session_errors',
        'sessions',
        'request_handlers',
        'context',
    )

    def __init__(
        self, configuration: EntryConfiguration, on_state_update: Callable[[list[str]], None]
    ) -> None:
        """Create all components.

        :param on_state_update: called with the groups whose rows changed in a new control state.
        """
        context = EngineContext(configuration)
        self._on_state_update = on_state_update
        self.context = context
        self.sessions = SessionTable()
        self.requests = RequestTable()
        self.announcement_relay = AnnouncementRelay(context)
        self._replies = Replies(context, self.requests)
        # The change handler needs the limiters and the monitor, and both call it. It is created
        # last, so they call it through this object.
        self.limiters = TargetLimiters(
            context, lambda limiter: self.change_handler.on_capacity_available(limiter)
        )
        self.monitor = TargetMonitor(
            context,
            lambda monitored, sent_at: self.change_handler.on_probe_report(monitored, sent_at),
            lambda monitored, sent_at, position: self.change_handler.on_statement_answer(
                monitored, sent_at, position
            ),
            self._on_reachability_changed,
            self._lowest_awaited_position,
        )
        # The link to control reports the use of credits, and the gate sends reports to its leader.
        self.cap_gate = CapGate(
            context, self.sessions, self._replies, lambda: self.control_link.leader
        )
        self.executions = Executions(context, self.limiters, self.monitor, self.cap_gate)
        self._create_dependent_components()

    def refuse_waiting_requests(self, session: Session) -> None:
        """Refuse the requests of a closed session that wait to be sent."""
        self._replies.refuse_waiting(session)

    def _answer_waiting_sessions(self) -> None:
        # The dispatcher is created after the change handler that calls this.
        self.routed_request_dispatcher.answer_waiting_sessions()

    def _create_dependent_components(self) -> None:
        context, monitor, replies = self.context, self.monitor, self._replies
        floors = SessionFloors(context, monitor)
        primary_dispatcher = PrimaryDispatcher(
            context, self.limiters, monitor, self.requests, replies
        )
        retries = Retries(context, replies)
        self.retries = retries
        freeze_acknowledgement = FreezeAcknowledgement(context, self.executions)
        acknowledgements = ReplicationAcknowledgements(
            context, monitor, replies, floors, freeze_acknowledgement
        )
        self.change_handler = ChangeHandler(
            context,
            self.limiters,
            monitor,
            primary_dispatcher,
            acknowledgements,
            self.executions,
            self._answer_waiting_sessions,
        )
        self.control_link = ControlLink(
            context,
            monitor,
            self.limiters,
            freeze_acknowledgement,
            self.cap_gate,
            LinkCallbacks(
                on_state_update=self._on_state_update,
                on_lease_changed=self.change_handler.on_lease_changed,
                on_lease_granted=self.change_handler.on_lease_granted,
                on_document_changed=lambda: self.authentication.recheck(),
            ),
        )
        self.request_handlers = build_request_handlers(
            RequestHandlerDependencies(
                context=context,
                limiters=self.limiters,
                monitor=monitor,
                primary_dispatcher=primary_dispatcher,
                executions=self.executions,
                floors=floors,
                acknowledgements=acknowledgements,
                retries=retries,
                replies=replies,
            )
        )
        self.routed_request_dispatcher = RoutedRequestDispatcher(
            context, self.requests, replies, retries, self.request_handlers, self.cap_gate
        )
        self.authentication = SessionAuthentication(
            context,
            self.sessions,
            self.requests,
            replies,
            self.request_handlers.transactions,
            self.routed_request_dispatcher.close_accepted_if_idle,
        )
        self.request_dispatcher = RequestDispatcher(
            context,
            self.sessions,
            self.requests,
            floors,
            replies,
            retries,
            self.request_handlers,
            self.routed_request_dispatcher,
        )

        self.session_errors = SessionErrors(
            context, self.sessions, self.requests, replies, self.request_handlers.transactions
        )

    def _on_reachability_changed(self, monitored: MonitoredTarget) -> None:
        self.control_link.report_change()
        self.change_handler.on_reachability_changed(monitored)

    def _lowest_awaited_position(self, key: TargetKey) -> Position | None:
        """Return the lowest position that requests await from a replica, or ``None``."""
        row = self.context.control_view.groups.get(key.group)
        if row is None or row.primary == key.instance or not self.context.lease_valid:
            return None
        group = self.context.groups.get(key.group)
        waiting = [wait.lowest for wait in (group.awaiting_acknowledgement, group.catch_up_waits)]
        known = [position for position in waiting if position is not None]
        return min(known, default=None)
