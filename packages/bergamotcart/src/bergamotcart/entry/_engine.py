"""The entry engine."""

from collections.abc import Iterable

from bergamotcart.actions import MessageReceived
from bergamotcart.discovery import TargetKey
from bergamotcart.entry import _inputs as inputs
from bergamotcart.entry._actions import Drained
from bergamotcart.entry._assembly import Assembly
from bergamotcart.entry._config import EntryConfig, EntryHealth, EntryOutbox, EntryStatus
from bergamotcart.entry._inputs import EntryInput
from bergamotcart.entry._sessions import Session
from bergamotcart.messages import (
    Envelope,
    LeaseGrant,
    LeaseRefusal,
    RelayBatch,
    RelayPull,
    StateUpdate,
)
from bergamotcart.outcomes import Reason

_SWEEP_S = 0.25
_PRUNE_S = 60.0
_CLOSE_IDLE_S = 0.05


class EntryEngine:
    """Sessions, requests, leases held and transactions of one entry process.

    :param config: names, addresses and timing of the process.
    """

    __slots__ = ('_handlers', '_is_drained', '_is_started', '_message_handlers', '_parts', '_work')

    def __init__(self, config: EntryConfig) -> None:
        """Assemble the systems; nothing happens before the first step."""
        self._parts = Assembly(config, self._note_update)
        self._work = self._parts.work
        self._is_started = False
        self._is_drained = False
        self._handlers = {
            MessageReceived: self._receive,
            inputs.AnnouncementReceived: self._announced,
            inputs.SessionOpened: self._open_session,
            inputs.GroupSelected: self._select_group,
            inputs.SessionClosed: self._close_session,
            inputs.RequestArrived: self._arrive,
            inputs.ExecutionFinished: self._parts.executions.finish,
            inputs.ProbeFinished: self._parts.monitor.finish,
            inputs.ConnectionCount: self._count_connections,
            inputs.PinLost: self._lose_pin,
            inputs.DrainRequested: self._drain,
            inputs.ContactsChanged: self._change_contacts,
        }
        self._message_handlers = {
            LeaseGrant: self._parts.control.take_grant,
            LeaseRefusal: self._refused,
            StateUpdate: self._parts.control.take_update,
            RelayPull: self._parts.relays.answer,
            RelayBatch: self._relayed,
        }

    def step(self, now: float, inbox: Iterable[EntryInput]) -> EntryOutbox:
        """Advance to a time and take inputs.

        :param now: monotonic clock, in seconds; it never goes back.
        :param inbox: inputs in the order of their arrival.
        :returns: actions in the order in which they must be done.
        """
        work = self._work
        work.now = max(now, work.now)
        if not self._is_started:
            self._start()
        for received in inbox:
            handler = self._handlers.get(type(received))
            if handler is not None:
                handler(received)
        work.timers.run_due(work.now)
        if work.draining and not self._is_drained:
            self._check_drained()
        actions = tuple(work.actions)
        work.actions.clear()
        return EntryOutbox(actions, work.timers.next_due)

    def status(self, now: float) -> EntryStatus:
        """Return the figures for health checks and metrics.

        :param now: monotonic clock, in seconds.
        """
        work, view = self._work, self._work.view
        if work.draining:
            health = EntryHealth.draining
        else:
            ready = work.lease.confirmed
            health = EntryHealth.serving if ready else EntryHealth.not_ready
        return EntryStatus(
            health=health,
            lease_left_s=max(0.0, work.lease.valid_until - now) if work.lease.confirmed else 0.0,
            applied_index=view.applied_index,
            revision=view.document.revision,
            sessions=len(self._parts.sessions),
            requests=len(self._parts.requests),
            groups={name: row.phase.value for name, row in view.groups.items()},
        )

    def _start(self) -> None:
        self._is_started = True
        self._parts.control.ask()
        self._parts.relays.start()
        self._sweep()
        self._work.after(_PRUNE_S, self._prune)

    def _prune(self) -> None:
        self._parts.retries.prune()
        self._work.after(_PRUNE_S, self._prune)

    def _sweep(self) -> None:
        self._parts.flow.sweep()
        self._parts.lanes.adapt()
        self._parts.lanes.update_limits()
        self._work.after(_SWEEP_S, self._sweep)

    def _receive(self, received: MessageReceived) -> None:
        envelope = received.envelope
        handler = self._message_handlers.get(type(envelope.body))
        if handler is not None and envelope.recipient == self._work.config.name:
            handler(envelope, envelope.body)

    def _refused(self, envelope: Envelope, refusal: LeaseRefusal) -> None:
        self._parts.control.take_refusal(refusal)

    def _announced(self, received: inputs.AnnouncementReceived) -> None:
        announcement = received.announcement
        if self._work.table.receive(self._work.now, announcement):
            self._note_targets([TargetKey(announcement.group, announcement.instance)])

    def _relayed(self, envelope: Envelope, batch: RelayBatch) -> None:
        self._note_targets(self._parts.relays.take(envelope, batch))

    def _note_update(self, names: list[str]) -> None:
        """React to a new state: a group may be new, and its targets known already."""
        self._parts.flow.on_groups(names)
        unwatched = [
            target.key for target in self._work.table if self._parts.monitor.get(target.key) is None
        ]
        self._note_targets(unwatched)

    def _note_targets(self, keys: list[TargetKey]) -> None:
        for key in keys:
            target = self._work.table.get(key)
            is_routed = self._work.config.targets_announce_to_control
            if is_routed and self._work.view.document.group(key.group) is None:
                # Whoever announces itself as part of an unknown group is not to be called.
                continue
            if target is not None:
                self._parts.monitor.watch(target)
                self._parts.flow.on_target(key)

    def _open_session(self, opened: inputs.SessionOpened) -> None:
        sessions = self._parts.sessions
        session = Session(opened.session_id, opened.caller, opened.group, self._work.now)
        if sessions.get(opened.session_id) is not None:
            return
        policy = self._work.view.policy(opened.caller, opened.group or '')
        limit = policy.max_connections
        session.refused = not self._work.callers.open_connection(opened.caller, limit)
        session.database = opened.database
        if opened.database is None or self._parts.routed.open(session):
            sessions.add(session)
        else:
            self._work.callers.close_connection(opened.caller)

    def _select_group(self, selected: inputs.GroupSelected) -> None:
        session = self._parts.sessions.get(selected.session_id)
        if session is not None:
            if session.transaction is not None and session.group != selected.group:
                self._parts.systems.transactions.abort(session, 'group_changed')
            session.group = selected.group

    def _arrive(self, arrived: inputs.RequestArrived) -> None:
        session = self._parts.sessions.get(arrived.session_id)
        if session is not None and session.group is not None:
            self._parts.monitor.note_use(session.group)
        self._parts.intake.arrive(arrived)

    def _close_session(self, closed: inputs.SessionClosed) -> None:
        session = self._parts.sessions.close(closed.session_id)
        if session is not None:
            if not session.refused:
                self._work.callers.close_connection(session.caller)
            self._parts.systems.transactions.abort(session, 'session_closed')
            self._parts.cancel_waiting(session)

    def _lose_pin(self, lost: inputs.PinLost) -> None:
        session = self._parts.sessions.get(lost.session_id)
        if session is not None:
            self._parts.systems.transactions.abort(session, 'connection_lost')

    def _count_connections(self, count: inputs.ConnectionCount) -> None:
        self._parts.lanes.get(count.target).reported = count.open

    def _drain(self, requested: inputs.DrainRequested) -> None:
        if not self._work.draining:
            self._work.draining = True
            self._work.decide('drain', 'begin', 'requested')
            self._parts.control.report_change()
            self._work.after(requested.notice_s, self._refuse_new)
            if requested.limit_s is not None:
                self._work.after(requested.limit_s, self._roll_back_all)

    def _change_contacts(self, changed: inputs.ContactsChanged) -> None:
        self._work.contacts = changed.members
        names = ', '.join(name for name, _ in changed.members)
        self._work.decide('state', 'change_contacts', 'settings', detail=names)

    def _refuse_new(self) -> None:
        """Take no further work; sessions without any are closed as they become idle."""
        self._work.refuses_new = True
        self._close_idle()

    def _close_idle(self) -> None:
        for session in self._parts.sessions:
            self._parts.routed.close_idle(session)
        self._work.after(_CLOSE_IDLE_S, self._close_idle)

    def _roll_back_all(self) -> None:
        for session in self._parts.sessions:
            self._parts.systems.transactions.abort(session, Reason.draining.value)

    def _has_begun(self) -> bool:
        return any(session.begun is not None for session in self._parts.sessions)

    def _check_drained(self) -> None:
        is_idle = not len(self._parts.requests) and not self._parts.systems.transactions.count
        if is_idle and self._work.refuses_new and not self._has_begun():
            self._is_drained = True
            self._work.actions.append(Drained())
