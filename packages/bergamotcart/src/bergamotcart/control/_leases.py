"""Grants leases to entries and maintains the roster of entries."""

from typing import Final

import msgspec

from bergamotcart import messages
from bergamotcart.actions import Decision
from bergamotcart.control._caps import answer_cap_report, record_settled_caps
from bergamotcart.control._commands import AdmitEntry, RemoveEntry
from bergamotcart.control._configuration import ControlConfiguration
from bergamotcart.control._entry_table import EntryKey, EntryStatus
from bergamotcart.control._known_instances import pull_announcements_from_entry
from bergamotcart.control._leadership import NO_QUORUM
from bergamotcart.control._primary_positions import find_primary_positions
from bergamotcart.control._quotas import grant_quotas
from bergamotcart.control._record_application import is_retired
from bergamotcart.control._state_updates import push_state_before_admission, push_state_update
from bergamotcart.control._step_context import StepContext
from bergamotcart.control._zone_traffic import grant_zone_share, record_zone_report

# An entry that renews its lease again within this time keeps its roster row.
ENTRY_IDLE_TIMEOUT_S: Final = 60.0
_NOT_IN_ROSTER: Final = 'not_in_roster'


def find_former_lease_end(configuration: ControlConfiguration, now: float) -> float:
    """Return the time in seconds until which leases of a former leader may exist.

    A leader loses its check-quorum before a majority can vote for a successor, so the former
    leader granted its last lease before this member was elected. The drift margin counts
    twice, because the clocks of two members are involved.

    :param configuration: settings.
    :param now: time at which this member became the leader, in seconds.
    """
    return now + configuration.lease_duration_s * (1 + 2 * configuration.drift_margin)


def handle_lease_request(
    context: StepContext,
    envelope: messages.Envelope,
    request: messages.LeaseRequest,
) -> None:
    """Grant or refuse a lease, and send a state update to an entry that is behind.

    :param context: context of the current step.
    :param envelope: envelope of the request; its sender is the entry.
    :param request: request of the entry.
    """
    if not context.leadership.may_act_as_leader:
        _refuse_lease(context, envelope, request, context.leadership.reason)
        return
    entry_status = context.local.entries.record_request(envelope, request, context.now)
    record_zone_report(context, entry_status.key, entry_status.availability_zone, request)
    pull_announcements_from_entry(context, entry_status)
    reason = _find_refusal_reason(context, entry_status, request)
    if reason == _NOT_IN_ROSTER:
        push_state_before_admission(context, entry_status)
    elif request.applied_index < context.state.index:
        push_state_update(context, entry_status)
    if reason:
        _refuse_lease(context, envelope, request, reason)
    else:
        _grant_lease(context, entry_status, request)


def handle_cap_request(
    context: StepContext, envelope: messages.Envelope, request: messages.CapRequest
) -> None:
    """Lend credits to an entry whose operations wait for them.

    :param context: context of the current step.
    :param envelope: envelope of the request; its sender is the entry.
    :param request: request of the entry.
    """
    row = context.state.entry(envelope.sender, envelope.incarnation)
    if not context.leadership.may_act_as_leader or row is None:
        return
    key = EntryKey(envelope.sender, envelope.incarnation)
    loans = answer_cap_report(context, key, request.report)
    if loans is not None:
        grant = messages.CapGrant(control_term=context.leadership.term, loans=loans)
        context.send(envelope.sender, envelope.sender_address, grant)


def clean_up(context: StepContext) -> None:
    """Remove what entries that are gone have left, and record that their former credits expired."""
    remove_idle_entries(context)
    remove_stale_entry_statuses(context)
    record_settled_caps(context)


def remove_idle_entries(context: StepContext) -> None:
    """Remove entries from the roster once they cannot hold a lease any more."""
    for row in context.state.roster():
        entry_status = context.local.entries.find(row.name, row.incarnation)
        removable_at = context.local.entries.lease_end(row)
        reason = 'superseded'
        if row == context.state.newest_entry(row.name):
            last_request_at = entry_status.last_request_at if entry_status else 0
            removable_at = max(removable_at, last_request_at) + ENTRY_IDLE_TIMEOUT_S
            reason = 'idle'
        if context.now <= removable_at:
            continue
        command = RemoveEntry(name=row.name, incarnation=row.incarnation)
        if context.local.proposals.submit(
            _make_removal_key(row.name, row.incarnation), command, context.now
        ):
            _publish_decision(context, 'remove_entry', reason, row.name)


def remove_stale_entry_statuses(context: StepContext) -> None:
    """Remove statuses of entries outside the roster that have stopped requesting leases."""
    for entry_status in context.local.entries.statuses:
        key = entry_status.key
        is_unlisted = context.state.entry(key.name, key.incarnation) is None
        if is_unlisted and context.now > max(
            entry_status.lease_end, entry_status.last_request_at + ENTRY_IDLE_TIMEOUT_S
        ):
            context.local.entries.remove(key)


def _find_refusal_reason(
    context: StepContext,
    entry_status: EntryStatus,
    request: messages.LeaseRequest,
) -> str:
    name, incarnation = entry_status.key.name, entry_status.key.incarnation
    if is_retired(context.state, name, incarnation):
        return 'former_incarnation'
    row = context.state.entry(name, incarnation)
    if row is None or row.address != request.address:
        _propose_admission(context, entry_status)
    if row is None:
        return _NOT_IN_ROSTER
    if context.local.proposals.is_pending(_make_removal_key(name, incarnation)):
        return 'being_removed'
    if request.applied_index < context.state.frozen_index:
        return 'behind_freeze'
    return ''


def _propose_admission(context: StepContext, entry_status: EntryStatus) -> None:
    command = AdmitEntry(
        name=entry_status.key.name,
        incarnation=entry_status.key.incarnation,
        availability_zone=entry_status.availability_zone,
        address=entry_status.address,
    )
    key = f'admit {command.name} {command.incarnation}'
    if context.local.proposals.submit(key, command, context.now):
        _publish_decision(context, 'admit_entry', 'lease_requested', command.name)


def _grant_lease(
    context: StepContext, entry_status: EntryStatus, request: messages.LeaseRequest
) -> None:
    configuration = context.configuration
    lease_end = context.now + configuration.lease_duration_s * (1 + configuration.drift_margin)
    entry_status.lease_end = max(entry_status.lease_end, lease_end)
    grant = messages.LeaseGrant(
        echo_sent_at=request.sent_at,
        duration_s=configuration.lease_duration_s,
        renew_after_s=configuration.lease_renewal_s,
        control_term=context.leadership.term,
        current_index=context.state.required_index,
        quotas=grant_quotas(context, entry_status, request.sent_at),
        reports_version=entry_status.reports_version,
        heads=find_primary_positions(context),
        suspects=tuple(sorted(context.local.suspected_primary_groups)),
        caps=answer_cap_report(context, entry_status.key, request.caps) or msgspec.UNSET,
        zone_share=grant_zone_share(context, entry_status.availability_zone),
    )
    context.send(entry_status.key.name, entry_status.address, grant)


def _refuse_lease(
    context: StepContext,
    envelope: messages.Envelope,
    request: messages.LeaseRequest,
    reason: str,
) -> None:
    leader = None if reason == NO_QUORUM else context.leadership.leader
    refusal = messages.LeaseRefusal(
        echo_sent_at=request.sent_at,
        leader=leader,
        leader_address=context.leadership.leader_address if leader else '',
    )
    context.send(envelope.sender, envelope.sender_address, refusal)
    refused = Decision(
        system='leases',
        action='refuse_lease',
        reason=reason,
        detail=envelope.sender,
        is_frequent=True,
    )
    context.publish_decision(refused)


def _publish_decision(context: StepContext, action: str, reason: str, entry: str) -> None:
    context.publish_decision(Decision(system='leases', action=action, reason=reason, detail=entry))


def _make_removal_key(name: str, incarnation: str) -> str:
    return f'remove {name} {incarnation}'
