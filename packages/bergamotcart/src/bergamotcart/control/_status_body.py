"""Bodies of the replies that show operators the document and the status."""

import msgspec

from bergamotcart import messages
from bergamotcart.control._document_replacement import current_document_version
from bergamotcart.control._entry_table import EntryStatus
from bergamotcart.control._state import ReplicatedState
from bergamotcart.control._tick import Tick


def document_body(state: ReplicatedState) -> dict[str, object]:
    """Return the sections, the revision and the whole document with its version."""
    sections = [msgspec.to_builtins(state.sections[name]) for name in sorted(state.sections)]
    return {
        'revision': state.revision,
        'sections': sections,
        'version': current_document_version(state),
        'source': state.document_source,
    }


def status_body(tick: Tick) -> dict[str, object]:
    """Return the members, groups and entries, and the entries that lag behind the document."""
    entries = [_entry_body(tick, name) for name in sorted(tick.state.entries)]
    return {
        'leader': tick.leadership.leader,
        'term': tick.leadership.term,
        'index': tick.state.applied_index,
        'revision': tick.state.revision,
        'members': [_member_body(row) for row in tick.state.members],
        'groups': [_group_body(tick, name) for name in sorted(tick.state.groups)],
        'entries': entries,
        'lagging': [entry['name'] for entry in entries if entry['lags']],
    }


def _member_body(row: messages.ControlMemberRow) -> dict[str, object]:
    limits = []
    if not row.voter:
        limits.append('no vote: the member has not caught up, or its readmission is not committed')
    return {
        'name': row.name,
        'incarnation': row.incarnation,
        'availability_zone': row.availability_zone,
        'address': row.address,
        'voter': row.voter,
        'limits': limits,
    }


def _group_body(tick: Tick, name: str) -> dict[str, object]:
    row = tick.state.groups[name]
    progress = tick.local.group_progress.get(name)
    return {
        'name': name,
        'term': row.term,
        'phase': row.phase.value,
        'primary': row.primary,
        'read_only': row.read_only,
        'defined': name in tick.document.groups,
        'waiting_for': progress.waiting_for if progress else '',
        'instances': [
            {
                'name': known_instance.announcement.instance,
                'role': known_instance.announcement.role.value,
                'term': known_instance.announcement.term,
                'log_term': known_instance.announcement.log_term,
                'position': known_instance.announcement.position,
                'leaving': known_instance.announcement.leaving,
                'age_s': round(tick.now - known_instance.sent_after, 3),
            }
            for known_instance in tick.local.instances.list_group(name)
        ],
    }


def _entry_body(tick: Tick, name: str) -> dict[str, object]:
    row = tick.state.newest_entry(name)
    if row is None:
        return {'name': name, 'lags': False}
    entry_status = tick.local.entries.find(name, row.incarnation)
    return {
        'name': name,
        'incarnation': row.incarnation,
        'availability_zone': row.availability_zone,
        'revision': entry_status.revision if entry_status else 0,
        'applied_index': entry_status.applied_index if entry_status else 0,
        'draining': entry_status.draining if entry_status else False,
        'lags': entry_status is None or entry_status.revision < tick.state.revision,
        'lease': _lease_body(tick, row, entry_status),
    }


def _lease_body(
    tick: Tick,
    row: messages.EntryRow,
    entry_status: EntryStatus | None,
) -> dict[str, object]:
    remaining_s = max(0, tick.local.entries.lease_end(row) - tick.now)
    if entry_status is not None and entry_status.lease_end > tick.now:
        state = 'held'
    elif remaining_s:
        state = 'possible'
    else:
        state = 'none'
    return {'state': state, 'left_s': round(remaining_s, 3)}
