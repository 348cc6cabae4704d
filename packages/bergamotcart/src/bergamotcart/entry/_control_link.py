"""Exchange with control: lease requests, grants, state updates and acknowledgements."""

from collections.abc import Callable
from typing import Final

import msgspec

from bergamotcart import messages
from bergamotcart.discovery import TargetKey
from bergamotcart.documents import DocumentError
from bergamotcart.entry._cap_gate import CapGate
from bergamotcart.entry._context import EngineContext
from bergamotcart.entry._freeze_acknowledgement import FreezeAcknowledgement
from bergamotcart.entry._monitor import TargetMonitor
from bergamotcart.entry._target_limits import TargetLimiters
from bergamotcart.entry._timers import Timer

_DEFAULT_RENEWAL_INTERVAL_S: Final = 0.25
# The leader is forgotten if it leaves a request unanswered for a multiple of the last round trip,
# within these shares of the renewal interval.
_ANSWER_TIMEOUT_ROUND_TRIPS: Final = 1.5
_MIN_ANSWER_TIMEOUT_SHARE: Final = 0.6
_MAX_ANSWER_TIMEOUT_SHARE: Final = 3.0
_MIN_REQUEST_INTERVAL_S: Final = 0.02
# Members that are asked at once while the leader is not known; each of them names it. After a loss
# of power, all entries ask at the same time, and answering them would delay the election.
_MAX_ASKED_MEMBERS: Final = 3
# Refusals in a row after which a member that they name is not asked alone any more.
_MAX_REDIRECTS: Final = 1
_MAX_ROTATION: Final = 1000
# Limits the requests that a target with unstable reachability causes. With more of them, the
# leader would answer lease requests so late that no lease could be renewed in time.
_MAX_CHANGE_REPORTS_PER_S: Final = 10.0
# Least time between probes that measure the path to another zone, and the number of entries up to
# which each may send them at this interval.
_PATH_PROBE_INTERVAL_S: Final = 5.0
_FULL_RATE_ENTRIES: Final = 16
# Least time between requests for the whole state, which may be refused as well.
_WHOLE_STATE_INTERVAL_S: Final = 2.0


class LinkCallbacks(msgspec.Struct, frozen=True, kw_only=True):
    """What is called when control has answered.

    :param on_state_update: called with the groups whose rows changed.
    :param on_lease_changed: called after each accepted grant and each request for a renewal.
    :param on_lease_granted: called with each accepted grant.
    :param on_document_changed: called first when a state with a changed document is applied, before
        any request is sent.
    """

    on_state_update: Callable[[list[str]], None]
    on_lease_changed: Callable[[], None]
    on_lease_granted: Callable[[messages.LeaseGrant], None]
    on_document_changed: Callable[[], None]


class ControlLink:
    """Requests lease renewals and applies state updates."""

    __slots__ = (
        '_answer_due_at',
        '_cap_gate',
        '_granted_request_at',
        '_is_behind',
        '_limiters',
        '_leader',
        '_monitor',
        '_needs_whole_state',
        '_next_asked',
        '_callbacks',
        '_redirects',
        '_renew_after_s',
        '_round_trip_s',
        '_delivered_reports',
        '_freeze_acknowledgement',
        '_change_reported_at',
        '_requested_at',
        '_renewal_timer',
        '_whole_state_due_at',
        '_context',
    )

    def __init__(
        self,
        context: EngineContext,
        monitor: TargetMonitor,
        limiters: TargetLimiters,
        freeze_acknowledgement: FreezeAcknowledgement,
        cap_gate: CapGate,
        callbacks: LinkCallbacks,
    ) -> None:
        """Create the link without a known leader; nothing is sent yet."""
        self._context = context
        self._monitor = monitor
        self._limiters = limiters
        self._freeze_acknowledgement = freeze_acknowledgement
        self._cap_gate = cap_gate
        self._callbacks = callbacks
        self._leader: tuple[str, str] | None = None
        self._renew_after_s = _DEFAULT_RENEWAL_INTERVAL_S
        self._requested_at = float('-inf')
        self._granted_request_at = float('-inf')
        self._answer_due_at: float | None = None
        self._round_trip_s = 0.0
        self._redirects = 0
        self._delivered_reports: tuple[str, int] | None = None
        self._change_reported_at = float('-inf')
        self._renewal_timer: Timer | None = None
        self._is_behind = False
        self._needs_whole_state = False
        self._whole_state_due_at = float('-inf')
        # The first member that is asked differs between entries.
        self._next_asked = context.random.randrange(_MAX_ROTATION)

    @property
    def leader(self) -> tuple[str, str] | None:
        """Name and address of the leader of control, if it is known."""
        return self._leader

    def request_renewal(self) -> None:
        """Request a renewal from the leader if it is known, else from some members in turn."""
        now = self._context.now
        if now <= self._requested_at:
            return
        if self._answer_due_at is not None and now >= self._answer_due_at:
            self._leader = None
            self._answer_due_at = None
        if self._answer_due_at is None:
            self._answer_due_at = now + self._answer_timeout_s
        self._requested_at = now
        self._context.lease.record_request(now)
        self._update_zone_reads()
        request = self._build_request()
        recipients = self._recipients()
        self._context.lease_watch.record_request(recipients)
        for name, address in recipients:
            self._context.send(name, address, request)
        if not self._context.lease_valid:
            self._context.lease_watch.report_missing_lease(now, self._publish_missing_lease)
        self._schedule_renewal(min(self._answer_due_at - now, self._renew_after_s))
        self._callbacks.on_lease_changed()

    def report_change(self) -> None:
        """Send control a changed reachability or the start of draining as soon as limits allow."""
        earliest = self._change_reported_at + 1 / _MAX_CHANGE_REPORTS_PER_S
        if (
            self._context.now - self._requested_at < _MIN_REQUEST_INTERVAL_S
            or self._context.now < earliest
        ):
            self._schedule_renewal(max(_MIN_REQUEST_INTERVAL_S, earliest - self._context.now))
            return
        self._change_reported_at = self._context.now
        self.request_renewal()

    def receive_grant(self, envelope: messages.Envelope, grant: messages.LeaseGrant) -> None:
        """Process a grant of the leader."""
        view = self._context.control_view
        was_valid = self._context.lease_valid
        accepted = self._context.lease.accept_grant(grant, view.control_term, view.applied_index)
        self._context.lease_watch.record_grant(envelope.sender, accepted=accepted)
        if not accepted:
            return
        self._accept_zone_share(grant)
        self._renew_after_s = grant.renew_after_s
        self._delivered_reports = (envelope.sender, grant.reports_version)
        if grant.echo_sent_at > self._granted_request_at:
            self._granted_request_at = grant.echo_sent_at
            self._round_trip_s = self._context.now - grant.echo_sent_at
            self._follow_leader(envelope)
            is_newest = grant.echo_sent_at == self._requested_at
            repeat_after_s = self._renew_after_s if is_newest else self._answer_timeout_s
            delay_s = min(repeat_after_s, self._renew_after_s)
            self._schedule_renewal(self._requested_at + delay_s - self._context.now)
        if self._context.lease_valid:
            self._record_valid_lease(envelope.sender, was_valid=was_valid)
        self._report_delay()
        self._callbacks.on_lease_changed()
        self._callbacks.on_lease_granted(grant)
        if grant.caps is not msgspec.UNSET:
            self._cap_gate.accept_loans(grant.control_term, grant.caps)

    def receive_refusal(self, envelope: messages.Envelope, refusal: messages.LeaseRefusal) -> None:
        """Process a refusal; the member that sent it may name the leader or be the leader."""
        if not self._context.lease.is_own_request(refusal.echo_sent_at):
            return
        self._context.lease_watch.record_refusal(envelope.sender, refusal)
        if refusal.echo_sent_at <= self._granted_request_at:
            return
        self._round_trip_s = self._context.now - refusal.echo_sent_at
        if refusal.leader is None:
            return
        if refusal.leader == envelope.sender:
            # The leader sends the state once this entry may request its lease again.
            self._follow_leader(envelope)
            self._schedule_renewal(self._renew_after_s)
            return
        address = refusal.leader_address or dict(self._known_members()).get(refusal.leader)
        if not address or self._answer_due_at is None:
            return
        if self._leader is None or self._leader[0] != refusal.leader:
            self._leader = (refusal.leader, address)
            self._redirects += 1
            self._answer_due_at = None
            self._schedule_renewal(_MIN_REQUEST_INTERVAL_S)

    def receive_update(self, envelope: messages.Envelope, update: messages.StateUpdate) -> None:
        """Apply a state update and acknowledge it, once writes to frozen groups have ended."""
        view = self._context.control_view
        before, document = dict(view.groups), view.document
        if update.from_index == 0:
            self._needs_whole_state = False
        if update.from_index > view.applied_index and update.control_term >= view.control_term:
            self._refuse_update(update, 'gap', f'{update.from_index} after {view.applied_index}')
            return
        try:
            applied = view.apply(update)
        except DocumentError as error:
            self._refuse_update(update, 'bad_document', str(error))
            return
        if view.document is not document:
            self._callbacks.on_document_changed()
        if applied:
            self._use_applied_state(before)
        self._freeze_acknowledgement.update()
        self._send_acknowledgement(envelope.sender, envelope.sender_address)
        if applied and not self._context.lease_valid:
            self._follow_leader(envelope)
            self._schedule_renewal(0)

    def acknowledge_settled_state(self) -> None:
        """Acknowledge a state that was held back, once writes to frozen groups have ended."""
        if not self._freeze_acknowledgement.is_pending:
            return
        self._freeze_acknowledgement.update()
        if not self._freeze_acknowledgement.is_pending and self._leader is not None:
            self._send_acknowledgement(*self._leader)

    @property
    def _answer_timeout_s(self) -> float:
        timeout_s = max(
            self._round_trip_s * _ANSWER_TIMEOUT_ROUND_TRIPS,
            self._renew_after_s * _MIN_ANSWER_TIMEOUT_SHARE,
        )
        return min(timeout_s, self._renew_after_s * _MAX_ANSWER_TIMEOUT_SHARE)

    def _send_acknowledgement(self, recipient: str, address: str) -> None:
        acknowledgement = messages.StateAck(
            applied_index=self._freeze_acknowledgement.index,
            revision=self._context.control_view.document.revision,
        )
        self._context.send(recipient, address, acknowledgement)

    def _record_valid_lease(self, leader: str, *, was_valid: bool) -> None:
        missing_s = self._context.lease_watch.record_valid_lease(self._context.now)
        if not was_valid:
            detail = f'{leader}, after {missing_s:.1f} s without a lease' if missing_s else leader
            self._context.publish_decision('leases', 'hold', 'granted', detail=detail)

    def _publish_missing_lease(self, detail: str) -> None:
        view = self._context.control_view
        self._context.publish_decision(
            'leases',
            'lack',
            'not_granted',
            term=view.control_term,
            detail=f'state index {view.applied_index}, {detail}',
        )

    def _use_applied_state(self, before: dict[str, messages.GroupRow]) -> None:
        view = self._context.control_view
        changed = [name for name, row in view.groups.items() if before.get(name) != row]
        changed.extend(name for name in before if name not in view.groups)
        self._context.publish_decision('state', 'apply', 'update', detail=str(view.applied_index))
        self._limiters.update_limits()
        self._cap_gate.use_document()
        self._callbacks.on_state_update(changed)
        self._context.lease.confirm_state(view.applied_index)
        self._report_delay()
        self._callbacks.on_lease_changed()

    def _refuse_update(self, update: messages.StateUpdate, reason: str, detail: str) -> None:
        """Request the whole state with the next renewal if an update had only changed rows."""
        self._context.publish_decision('state', 'refuse_update', reason, detail=detail)
        if update.from_index > 0 and self._context.now >= self._whole_state_due_at:
            self._needs_whole_state = True
            self._whole_state_due_at = self._context.now + _WHOLE_STATE_INTERVAL_S

    def _report_delay(self) -> None:
        is_behind = self._context.lease.is_state_behind(self._context.now)
        if is_behind == self._is_behind:
            return
        self._is_behind = is_behind
        detail = f'state {self._context.control_view.applied_index}'
        if is_behind:
            self._context.publish_decision('state', 'refuse_requests', 'behind', detail=detail)
        else:
            self._context.publish_decision('state', 'serve_requests', 'caught_up', detail=detail)

    def _follow_leader(self, envelope: messages.Envelope) -> None:
        """Send the next request to the leader alone, which has just answered."""
        self._leader = (envelope.sender, envelope.sender_address)
        self._answer_due_at = None
        self._redirects = 0

    def _build_request(self) -> messages.LeaseRequest:
        configuration, version = self._context.configuration, self._monitor.reports_version
        # Reports that the leader holds already are left out: 63 reports of 60 bytes in each request
        # were most of the traffic of an idle entry.
        is_held = self._leader is not None and self._delivered_reports == (self._leader[0], version)
        return messages.LeaseRequest(
            sent_at=self._context.now,
            address=configuration.address,
            availability_zone=configuration.availability_zone,
            applied_index=self._freeze_acknowledgement.index,
            revision=self._context.control_view.document.revision,
            draining=self._context.draining,
            reports=None if is_held else self._monitor.reachability_reports(),
            reports_version=version,
            quota_use=self._limiters.quota_use(),
            needs_whole_state=self._needs_whole_state,
            caps=self._cap_gate.build_lease_report(),
            zone_report=self._context.zone_reads.build_report(
                self._context.now, self._count_waiting_reads
            ),
        )

    def _count_waiting_reads(self, key: TargetKey) -> int | None:
        return len(self._limiters.get(key).queue) if self._monitor.is_reachable(key) else None

    def _update_zone_reads(self) -> None:
        """Report an expired share, and probe a zone whose answer times are not known."""
        zone_reads = self._context.zone_reads
        if zone_reads.end_expired_share(self._context.now):
            self._context.publish_decision('zone_shares', 'fall_back', 'expired')
        entries = len(self._context.control_view.entries)
        interval_s = _PATH_PROBE_INTERVAL_S * max(1.0, entries / _FULL_RATE_ENTRIES)
        unmeasured = zone_reads.find_unmeasured(self._context.now, interval_s)
        if unmeasured is not None:
            self._monitor.probe_now(unmeasured)

    def _accept_zone_share(self, grant: messages.LeaseGrant) -> None:
        if self._context.zone_reads.accept_grant(grant):
            share = grant.zone_share or messages.GrantedZoneShare()
            destination = share.destination or 'no zone'
            self._context.publish_decision(
                'zone_shares', 'apply', 'granted', detail=f'{share.share:.2f} to {destination}'
            )

    def _known_members(self) -> tuple[tuple[str, str], ...]:
        # The members in the control state may all have been replaced, also under their names, so
        # those of the settings are included.
        rows = self._context.control_view.members.values()
        known = (*self._context.contact_points, *((row.name, row.address) for row in rows))
        return tuple(dict.fromkeys(known))

    def _recipients(self) -> tuple[tuple[str, str], ...]:
        if self._leader is None:
            return self._next_members()
        if self._redirects <= _MAX_REDIRECTS:
            return (self._leader,)
        # Members with outdated state may name each other or a member that is gone.
        return tuple(dict.fromkeys((self._leader, *self._next_members())))

    def _next_members(self) -> tuple[tuple[str, str], ...]:
        members = self._known_members()
        if len(members) <= _MAX_ASKED_MEMBERS:
            return members
        first = self._next_asked % len(members)
        self._next_asked = first + _MAX_ASKED_MEMBERS
        return (*members[first:], *members[:first])[:_MAX_ASKED_MEMBERS]

    def _schedule_renewal(self, delay_s: float) -> None:
        if self._renewal_timer is not None:
            self._renewal_timer.cancel()
        self._renewal_timer = self._context.call_later(max(delay_s, 0.001), self.request_renewal)
