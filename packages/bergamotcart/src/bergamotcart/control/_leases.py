"""Granting of leases and the roster of entries."""

from typing import Final

from bergamotcart import messages
from bergamotcart.actions import Decision
from bergamotcart.control._apply import is_retired
from bergamotcart.control._commands import AdmitEntry, RemoveEntry
from bergamotcart.control._config import ControlConfig
from bergamotcart.control._distribution import push_update
from bergamotcart.control._entry_table import EntryContact
from bergamotcart.control._heads import find_heads
from bergamotcart.control._quotas import grant_quotas
from bergamotcart.control._sightings import pull_sightings
from bergamotcart.control._tick import Tick

# An entry that is back within this time needs no new roster row.
IDLE_ENTRY_S: Final = 60.0


def assumed_lease_end(config: ControlConfig, now: float) -> float:
    """Return the time until which leases of a former leader may exist.

    The check-quorum of the replicated log ends before a majority can vote for a successor,
    so the former leader's last grant came before. The margin counts twice, because the
    clocks of two members are involved.
    """
    return now + config.lease_duration_s * (1 + 2 * config.drift_margin)


def handle_lease_request(
    tick: Tick,
    envelope: messages.Envelope,
    request: messages.LeaseRequest,
) -> None:
    """Grant or refuse a lease, and push the state to an entry that is behind.

    :param tick: the current tick.
    :param envelope: names the entry.
    :param request: its request.
    """
    if not tick.authority.leads:
        refusal = messages.LeaseRefusal(
            echo_sent_at=request.sent_at,
            leader=tick.authority.leader,
            leader_address=tick.authority.leader_address,
        )
        tick.send(envelope.sender, envelope.sender_address, refusal)
        _refuse(tick, envelope, tick.authority.reason)
        return
    contact = tick.local.entries.note_request(envelope, request, tick.now)
    pull_sightings(tick, contact)
    if request.applied_index < tick.state.index:
        push_update(tick, contact)
    reason = _reason_against(tick, contact, request)
    if reason:
        _refuse(tick, envelope, reason)
    else:
        _grant(tick, contact, request)


def remove_idle_entries(tick: Tick) -> None:
    """Remove entries from the roster whose lease cannot exist any more."""
    for row in tick.state.roster():
        contact = tick.local.entries.find(row.name, row.incarnation)
        idle_since = tick.local.entries.lease_until(row)
        reason = 'superseded'
        if row == tick.state.newest_entry(row.name):
            heard_at = contact.heard_at if contact else 0
            idle_since = max(idle_since, heard_at) + IDLE_ENTRY_S
            reason = 'idle'
        if tick.now <= idle_since:
            continue
        command = RemoveEntry(name=row.name, incarnation=row.incarnation)
        if tick.local.proposals.submit(_removal(row.name, row.incarnation), command, tick.now):
            _decide(tick, 'remove_entry', reason, row.name)


def forget_gone_contacts(tick: Tick) -> None:
    """Forget entries that are not in the roster and do not ask for a lease any more."""
    for contact in tick.local.entries.contacts:
        key = contact.key
        gone = tick.state.entry(key.name, key.incarnation) is None
        if gone and tick.now > max(contact.lease_until, contact.heard_at + IDLE_ENTRY_S):
            tick.local.entries.remove(key)


def _reason_against(
    tick: Tick,
    contact: EntryContact,
    request: messages.LeaseRequest,
) -> str:
    name, incarnation = contact.key.name, contact.key.incarnation
    if is_retired(tick.state, name, incarnation):
        return 'former_incarnation'
    row = tick.state.entry(name, incarnation)
    if row is None or row.address != request.address:
        _admit(tick, contact)
    if row is None:
        return 'not_in_roster'
    if tick.local.proposals.is_pending(_removal(name, incarnation)):
        return 'being_removed'
    if request.applied_index < tick.state.frozen_index:
        return 'behind_freeze'
    return ''


def _admit(tick: Tick, contact: EntryContact) -> None:
    command = AdmitEntry(
        name=contact.key.name,
        incarnation=contact.key.incarnation,
        availability_zone=contact.availability_zone,
        address=contact.address,
    )
    subject = f'admit {command.name} {command.incarnation}'
    if tick.local.proposals.submit(subject, command, tick.now):
        _decide(tick, 'admit_entry', 'lease_requested', command.name)


def _grant(tick: Tick, contact: EntryContact, request: messages.LeaseRequest) -> None:
    config = tick.config
    lease_end = tick.now + config.lease_duration_s * (1 + config.drift_margin)
    contact.lease_until = max(contact.lease_until, lease_end)
    grant = messages.LeaseGrant(
        echo_sent_at=request.sent_at,
        duration_s=config.lease_duration_s,
        renew_after_s=config.lease_renewal_s,
        control_term=tick.authority.term,
        current_index=tick.state.index,
        quotas=grant_quotas(tick, contact, request.sent_at),
        reports_version=contact.reports_version,
        heads=find_heads(tick),
        suspects=tuple(sorted(tick.local.suspected_primaries)),
    )
    tick.send(contact.key.name, contact.address, grant)


def _refuse(tick: Tick, envelope: messages.Envelope, reason: str) -> None:
    _decide(tick, 'refuse_lease', reason, envelope.sender)


def _decide(tick: Tick, action: str, reason: str, entry: str) -> None:
    tick.decide(Decision(system='leases', action=action, reason=reason, detail=entry))


def _removal(name: str, incarnation: str) -> str:
    return f'remove {name} {incarnation}'
