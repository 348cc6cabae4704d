"""Entry engine: dispatches inputs to the components and returns the actions."""

from collections.abc import Iterable

from bergamotcart.actions import MessageReceived
from bergamotcart.discovery import TargetKey
from bergamotcart.entry import _inputs as inputs
from bergamotcart.entry._actions import Drained
from bergamotcart.entry._components import EngineComponents
from bergamotcart.entry._configuration import (
    EntryConfiguration,
    EntryHealth,
    EntryStatus,
    EntryStepResult,
)
from bergamotcart.entry._inputs import EntryInput
from bergamotcart.entry._sessions import Session
from bergamotcart.messages import (
    CapGrant,
    Envelope,
    LeaseGrant,
    LeaseRefusal,
    RelayBatch,
    RelayPull,
    StateUpdate,
)
from bergamotcart.outcomes import Reason

_TARGET_UPDATE_INTERVAL_S = 0.25
_PRUNE_INTERVAL_S = 60.0
_IDLE_CHECK_INTERVAL_S = 0.05


class EntryEngine:
    """State machine of one entry process: sessions, requests, transactions and its lease.

    :param configuration: names, addresses and timing of the process.
    """

    __slots__ = (
        '_awaits_unreported_ends',
        '_input_handlers',
        '_is_drained',
        '_is_started',
        '_message_handlers',
        '_components',
        '_context',
    )

    def __init__(self, configuration: EntryConfiguration) -> None:
        """Create the components; the first step starts their timers and messages."""
        self._components = EngineComponents(configuration, self._on_state_update)
        self._context = self._components.context
        self._is_started = False
        self._is_drained = False
        self._awaits_unreported_ends = False
        self._input_handlers = {
            MessageReceived: self._receive_message,
            inputs.AnnouncementReceived: self._receive_announcement,
            inputs.SessionOpened: self._open_session,
            inputs.GroupSelected: self._select_group,
            inputs.SessionClosed: self._close_session,
            inputs.RequestArrived: self._handle_request,
            inputs.ExecutionFinished: self._components.executions.finish_execution,
            inputs.ProbeFinished: self._finish_probe,
            inputs.ConnectionCount: self._update_connection_count,
            inputs.PinLost: self._on_pin_lost,
            inputs.DrainRequested: self._start_drain,
            inputs.ContactPointsChanged: self._change_contact_points,
        }
        self._message_handlers = {
            LeaseGrant: self._components.control_link.receive_grant,
            LeaseRefusal: self._receive_lease_refusal,
            CapGrant: self._components.cap_gate.receive_grant,
            StateUpdate: self._components.control_link.receive_update,
            RelayPull: self._components.announcement_relay.handle_pull,
            RelayBatch: self._receive_relay_batch,
        }

    def step(self, now: float, pending_inputs: Iterable[EntryInput]) -> EntryStepResult:
        """Process inputs and due timers.

        :param now: time of the monotonic clock, in seconds; an earlier time counts as the last one.
        :param pending_inputs: inputs in the order of their arrival.
        :returns: actions in the order in which they must be carried out.
        """
        context = self._context
        context.now = max(now, context.now)
        if not self._is_started:
            self._start()
        for received in pending_inputs:
            self._handle_input(received)
        context.timers.run_due(context.now)
        self._components.control_link.acknowledge_settled_state()
        if context.draining and not self._is_drained:
            self._check_drained()
        actions = tuple(context.actions)
        context.actions.clear()
        return EntryStepResult(actions, context.timers.next_due)

    def status(self, now: float) -> EntryStatus:
        """Return the figures for health checks and metrics.

        :param now: time of the monotonic clock, in seconds.
        """
        context, view = self._context, self._context.control_view
        zone_share = context.zone_reads.share(now)
        if context.draining:
            health = EntryHealth.draining
        else:
            is_behind = context.lease.is_state_behind(now)
            ready = context.lease.is_state_acknowledged and not is_behind
            health = EntryHealth.serving if ready else EntryHealth.not_ready
        return EntryStatus(
            health=health,
            lease_left_s=max(0.0, context.lease.valid_until - now)
            if context.lease.is_state_acknowledged
            else 0.0,
            applied_index=view.applied_index,
            revision=view.document.revision,
            sessions=len(self._components.sessions),
            requests=len(self._components.requests),
            groups={name: row.phase.value for name, row in view.groups.items()},
            open_connections=self._components.limiters.open_connections,
            opened_connections=self._components.limiters.opened_connections,
            state_age_s=context.lease.state_age(now),
            cap_admitted=self._components.cap_gate.admitted,
            cap_refused=self._components.cap_gate.refused,
            cross_zone_share=None if zone_share is None else zone_share.share,
            cross_zone_reads=context.zone_reads.reads_sent_away,
        )

    def _start(self) -> None:
        self._is_started = True
        self._components.control_link.request_renewal()
        self._components.announcement_relay.start()
        self._update_targets_and_limits()
        self._context.call_later(_PRUNE_INTERVAL_S, self._prune_retry_budgets)

    def _handle_input(self, received: EntryInput) -> None:
        handler = self._input_handlers.get(type(received))
        if handler is None:
            return
        actions_before = len(self._context.actions)
        try:
            handler(received)
        except Exception as error:
            if not self._components.session_errors.end_session(received, error, actions_before):
                raise

    def _prune_retry_budgets(self) -> None:
        self._components.retries.prune()
        self._context.call_later(_PRUNE_INTERVAL_S, self._prune_retry_budgets)

    def _update_targets_and_limits(self) -> None:
        self._components.change_handler.remove_expired_targets()
        self._components.limiters.adjust_scarce_limits()
        self._components.limiters.update_limits()
        self._context.call_later(_TARGET_UPDATE_INTERVAL_S, self._update_targets_and_limits)

    def _receive_message(self, received: MessageReceived) -> None:
        envelope = received.envelope
        handler = self._message_handlers.get(type(envelope.body))
        if handler is not None and envelope.recipient == self._context.configuration.name:
            handler(envelope, envelope.body)

    def _receive_lease_refusal(self, envelope: Envelope, refusal: LeaseRefusal) -> None:
        self._components.control_link.receive_refusal(envelope, refusal)

    def _receive_announcement(self, received: inputs.AnnouncementReceived) -> None:
        announcement = received.announcement
        if self._context.targets.store_direct_announcement(self._context.now, announcement):
            self._add_targets([TargetKey(announcement.group, announcement.instance)])

    def _receive_relay_batch(self, envelope: Envelope, batch: RelayBatch) -> None:
        self._add_targets(self._components.announcement_relay.process_batch(envelope, batch))

    def _on_state_update(self, names: list[str]) -> None:
        """React to changed groups; targets of a new group may have announced themselves before."""
        self._components.change_handler.on_groups_changed(names)
        unmonitored = [
            target.key
            for target in self._context.targets
            if self._components.monitor.get(target.key) is None
        ]
        self._add_targets(unmonitored)

    def _add_targets(self, keys: list[TargetKey]) -> None:
        for key in keys:
            target = self._context.targets.get(key)
            announce_to_control = self._context.configuration.targets_announce_to_control
            if announce_to_control and self._context.control_view.document.group(key.group) is None:
                # No connection is opened to an instance that announces itself for an unknown group.
                continue
            if target is not None:
                self._components.monitor.watch(target)
                self._components.change_handler.on_announcement(key)

    def _open_session(self, opened: inputs.SessionOpened) -> None:
        sessions = self._components.sessions
        session = Session(opened.session_id, opened.caller, opened.group, self._context.now)
        if sessions.get(opened.session_id) is not None:
            return
        session.database = opened.database
        self._components.authentication.identify(session)
        policy = self._context.control_view.policy(session.caller, opened.group or '')
        limit = policy.max_connections
        session.is_over_connection_limit = not self._context.caller_limits.try_open_connection(
            session.caller, limit
        )
        # A refused session is removed with its connection, as all others are.
        sessions.add(session)
        if opened.database is not None:
            self._components.routed_request_dispatcher.open_session(session)

    def _select_group(self, selected: inputs.GroupSelected) -> None:
        session = self._components.sessions.get(selected.session_id)
        if session is not None:
            if session.transaction.pinned is not None and session.group != selected.group:
                self._components.request_handlers.transactions.abort(session, 'group_changed')
            session.group = selected.group

    def _handle_request(self, arrived: inputs.RequestArrived) -> None:
        session = self._components.sessions.get(arrived.session_id)
        if session is not None and session.group is not None:
            self._components.monitor.record_group_use(session.group)
        self._components.request_dispatcher.handle_request(arrived)

    def _close_session(self, closed: inputs.SessionClosed) -> None:
        session = self._components.sessions.close(closed.session_id)
        if session is not None:
            if not session.is_over_connection_limit:
                self._context.caller_limits.record_closed_connection(session.caller)
            self._components.request_handlers.transactions.abort(session, 'session_closed')
            self._components.refuse_waiting_requests(session)

    def _finish_probe(self, finished: inputs.ProbeFinished) -> None:
        context = self._context
        if finished.report is not None:
            context.zone_reads.record_probe(finished.target, context.now, finished.sent_at)
        self._components.monitor.finish_probe(finished)

    def _on_pin_lost(self, lost: inputs.PinLost) -> None:
        session = self._components.sessions.get(lost.session_id)
        if session is not None:
            self._components.request_handlers.transactions.abort(session, 'connection_lost')

    def _update_connection_count(self, count: inputs.ConnectionCount) -> None:
        self._components.limiters.record_connection_count(count.target, count.open)

    def _start_drain(self, requested: inputs.DrainRequested) -> None:
        if not self._context.draining:
            self._context.draining = True
            self._context.publish_decision('drain', 'begin', 'requested')
            self._components.control_link.report_change()
            self._context.call_later(requested.notice_s, self._refuse_new_requests)
            if requested.limit_s is not None:
                self._awaits_unreported_ends = True
                self._context.call_later(requested.limit_s, self._roll_back_transactions)

    def _change_contact_points(self, changed: inputs.ContactPointsChanged) -> None:
        self._context.contact_points = changed.members
        names = ', '.join(name for name, _ in changed.members)
        self._context.publish_decision('state', 'change_contacts', 'settings', detail=names)

    def _refuse_new_requests(self) -> None:
        """Refuse new requests, and close sessions with a route as they become idle."""
        self._context.refuses_new_requests = True
        self._close_idle_sessions()

    def _close_idle_sessions(self) -> None:
        for session in self._components.sessions:
            self._components.routed_request_dispatcher.close_if_idle(session)
        self._context.call_later(_IDLE_CHECK_INTERVAL_S, self._close_idle_sessions)

    def _roll_back_transactions(self) -> None:
        self._awaits_unreported_ends = False
        for session in self._components.sessions:
            self._components.request_handlers.transactions.abort(session, Reason.draining.value)

    def _is_awaited(self, session: Session) -> bool:
        """Tell whether a session delays the end of the drain until its caller sends a statement."""
        transaction = session.transaction
        return transaction.begun is not None or (
            transaction.has_unreported_end and self._awaits_unreported_ends
        )

    def _check_drained(self) -> None:
        is_idle = (
            not len(self._components.requests)
            and not self._components.request_handlers.transactions.open_count
        )
        if not is_idle or not self._context.refuses_new_requests:
            return
        if not any(self._is_awaited(session) for session in self._components.sessions):
            self._is_drained = True
            self._context.actions.append(Drained())
