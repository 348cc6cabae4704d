"""Bodies of the replies that show operators the document and the status."""

import msgspec

from bergamotcart import messages
from bergamotcart.control._caps import find_cap_lender
from bergamotcart.control._document_replacement import current_document_version
from bergamotcart.control._entry_table import EntryStatus
from bergamotcart.control._state import ReplicatedState
from bergamotcart.control._step_context import StepContext


def make_document_body(state: ReplicatedState) -> dict[str, object]:
    """Return the sections, the revision and the whole document with its version."""
    sections = [msgspec.to_builtins(state.sections[name]) for name in sorted(state.sections)]
    return {
        'revision': state.revision,
        'sections': sections,
        'version': current_document_version(state),
        'source': state.document_source,
    }


def make_status_body(context: StepContext) -> dict[str, object]:
    """Return the members, groups and entries, and the entries that lag behind the document."""
    entries = [_make_entry_body(context, name) for name in sorted(context.state.entries)]
    return {
        'leader': context.leadership.leader,
        'term': context.leadership.term,
        'index': context.state.applied_index,
        'revision': context.state.revision,
        'members': [_make_member_body(row) for row in context.state.members],
        'groups': [_make_group_body(context, name) for name in sorted(context.state.groups)],
        'entries': entries,
        'lagging': [entry['name'] for entry in entries if entry['lags']],
    }


def make_caps_body(context: StepContext) -> dict[str, object]:
    """Return cap, use and lent credits of each capped workspace."""
    lender = find_cap_lender(context)
    statuses = lender.list_statuses(context.now) if lender else ()
    return {
        'window_s': context.configuration.cap_window_s,
        'workspaces': [
            {
                'name': status.workspace,
                'rate_per_s': status.cap.rate_per_s,
                'burst': status.cap.burst,
                'used_in_window': status.spent,
                'lent': status.outstanding,
                'holders': status.holders,
            }
            for status in statuses
        ],
    }


def _make_member_body(row: messages.ControlMemberRow) -> dict[str, object]:
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


def _make_group_body(context: StepContext, name: str) -> dict[str, object]:
    row = context.state.groups[name]
    progress = context.local.group_progress.get(name)
    return {
        'name': name,
        'term': row.term,
        'phase': row.phase.value,
        'primary': row.primary,
        'read_only': row.read_only,
        'defined': name in context.document.groups,
        'waiting_for': progress.waiting_for if progress else '',
        'instances': [
            {
                'name': known_instance.announcement.instance,
                'role': known_instance.announcement.role.value,
                'term': known_instance.announcement.term,
                'log_term': known_instance.announcement.log_term,
                'position': known_instance.announcement.position,
                'leaving': known_instance.announcement.leaving,
                'age_s': round(context.now - known_instance.sent_after, 3),
            }
            for known_instance in context.local.instances.list_group(name)
        ],
    }


def _make_entry_body(context: StepContext, name: str) -> dict[str, object]:
    row = context.state.newest_entry(name)
    if row is None:
        return {'name': name, 'lags': False}
    entry_status = context.local.entries.find(name, row.incarnation)
    return {
        'name': name,
        'incarnation': row.incarnation,
        'availability_zone': row.availability_zone,
        'revision': entry_status.revision if entry_status else 0,
        'applied_index': entry_status.applied_index if entry_status else 0,
        'draining': entry_status.draining if entry_status else False,
        'lags': entry_status is None or entry_status.revision < context.state.revision,
        'lease': _make_lease_body(context, row, entry_status),
    }


def _make_lease_body(
    context: StepContext,
    row: messages.EntryRow,
    entry_status: EntryStatus | None,
) -> dict[str, object]:
    remaining_s = max(0, context.local.entries.lease_end(row) - context.now)
    if entry_status is not None and entry_status.lease_end > context.now:
        state = 'held'
    elif remaining_s:
        state = 'possible'
    else:
        state = 'none'
    return {'state': state, 'left_s': round(remaining_s, 3)}
