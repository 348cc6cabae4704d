"""Bodies of the document and of the status, as operators read them."""

import msgspec

from bergamotcart import messages
from bergamotcart.control._entry_table import EntryContact
from bergamotcart.control._state import ReplicatedState
from bergamotcart.control._tick import Tick
from bergamotcart.control._whole_documents import current_version


def document_body(state: ReplicatedState) -> dict[str, object]:
    """Return the sections and the revision."""
    sections = [msgspec.to_builtins(state.sections[name]) for name in sorted(state.sections)]
    return {
        'revision': state.revision,
        'sections': sections,
        'version': current_version(state),
        'source': state.document_source,
    }


def status_body(tick: Tick) -> dict[str, object]:
    """Return members, groups and entries, and who lags."""
    entries = [_entry(tick, name) for name in sorted(tick.state.entries)]
    return {
        'leader': tick.authority.leader,
        'term': tick.authority.term,
        'index': tick.state.applied_index,
        'revision': tick.state.revision,
        'members': [_member(row) for row in tick.state.members],
        'groups': [_group(tick, name) for name in sorted(tick.state.groups)],
        'entries': entries,
        'lagging': [entry['name'] for entry in entries if entry['lags']],
    }


def _member(row: messages.ControlMemberRow) -> dict[str, object]:
    limits = []
    if not row.voter:
        limits.append('no vote: it has not caught up, or its return is not committed')
    return {
        'name': row.name,
        'incarnation': row.incarnation,
        'availability_zone': row.availability_zone,
        'address': row.address,
        'voter': row.voter,
        'limits': limits,
    }


def _group(tick: Tick, name: str) -> dict[str, object]:
    row = tick.state.groups[name]
    work = tick.local.groups.get(name)
    return {
        'name': name,
        'term': row.term,
        'phase': row.phase.value,
        'primary': row.primary,
        'read_only': row.read_only,
        'defined': name in tick.document.groups,
        'waiting_for': work.waiting_for if work else '',
        'instances': [
            {
                'name': seen.announcement.instance,
                'role': seen.announcement.role.value,
                'term': seen.announcement.term,
                'log_term': seen.announcement.log_term,
                'position': seen.announcement.position,
                'leaving': seen.announcement.leaving,
                'age_s': round(tick.now - seen.made_after, 3),
            }
            for seen in tick.local.sightings.of_group(name)
        ],
    }


def _entry(tick: Tick, name: str) -> dict[str, object]:
    row = tick.state.newest_entry(name)
    if row is None:
        return {'name': name, 'lags': False}
    contact = tick.local.entries.find(name, row.incarnation)
    return {
        'name': name,
        'incarnation': row.incarnation,
        'availability_zone': row.availability_zone,
        'revision': contact.revision if contact else 0,
        'applied_index': contact.applied_index if contact else 0,
        'draining': contact.draining if contact else False,
        'lags': contact is None or contact.revision < tick.state.revision,
        'lease': _lease(tick, row, contact),
    }


def _lease(
    tick: Tick,
    row: messages.EntryRow,
    contact: EntryContact | None,
) -> dict[str, object]:
    left = max(0, tick.local.entries.lease_until(row) - tick.now)
    if contact is not None and contact.lease_until > tick.now:
        state = 'held'
    elif left:
        state = 'possible'
    else:
        state = 'none'
    return {'state': state, 'left_s': round(left, 3)}
