"""Distributes the replicated state to the entries."""

from typing import Final

from bergamotcart import messages
from bergamotcart.actions import Decision
from bergamotcart.control._entry_table import EntryStatus, raise_applied_index
from bergamotcart.control._state import ReplicatedState
from bergamotcart.control._step_context import StepContext

# Interval at which an update is repeated to an entry outside the roster that has not applied it.
_REPEAT_INTERVAL_S: Final = 0.5


def push_state_update(context: StepContext, entry_status: EntryStatus) -> None:
    """Send an entry the rows that changed after the state index that it has acknowledged.

    An entry that could not apply such an update gets all rows.
    """
    from_index = entry_status.applied_index
    if entry_status.needs_whole_state:
        from_index = 0
        entry_status.needs_whole_state = False
        context.publish_decision(
            Decision(
                system='state',
                action='send_whole_state',
                reason='requested',
                detail=entry_status.key.name,
            )
        )
    update = _make_state_update(context, from_index)
    entry_status.pushed_index = context.state.index
    entry_status.pushed_at = context.now
    context.send(entry_status.key.name, entry_status.address, update)


def push_state_updates(context: StepContext) -> None:
    """Send newly committed rows to the entries that need them before their next renewals.

    A change of the roster is sent at once only to the entry that it admits. If many entries start at
    the same time, an update of each of them for each admission would keep the leader busy.
    """
    for entry_status in context.local.entries.statuses:
        if entry_status.pushed_index < _find_needed_index(context.state, entry_status):
            push_state_update(context, entry_status)


def push_state_before_admission(context: StepContext, entry_status: EntryStatus) -> None:
    """Send an entry outside the roster the rows that it needs, once in a while.

    The update with its admission has the rows that change until then. While many entries start,
    each admission changes the state, and an update for each request would keep the leader busy.
    """
    is_needed = entry_status.applied_index < context.state.required_index
    if is_needed and context.now >= entry_status.pushed_at + _REPEAT_INTERVAL_S:
        push_state_update(context, entry_status)


def _find_needed_index(state: ReplicatedState, entry_status: EntryStatus) -> int:
    own_row = state.entry(entry_status.key.name, entry_status.key.incarnation)
    return max(state.required_index, own_row.modified_index if own_row else 0)


def handle_state_ack(
    context: StepContext, envelope: messages.Envelope, ack: messages.StateAck
) -> None:
    """Store the state index that an entry has applied."""
    entry_status = context.local.entries.find(envelope.sender, envelope.incarnation)
    if entry_status is not None:
        raise_applied_index(entry_status, ack.applied_index, ack.revision)


def _make_state_update(context: StepContext, from_index: int) -> messages.StateUpdate:
    """Return an update with the rows that changed after a state index.

    :param from_index: state index that the entry has applied. If removals after it may have
        been discarded, the update contains all rows.
    """
    state = context.state
    if from_index < state.removal_floor or from_index > state.index:
        from_index = 0
    return messages.StateUpdate(
        control_term=context.leadership.term,
        from_index=from_index,
        to_index=state.index,
        revision=state.revision,
        entries_limit=state.entries_limit,
        groups=tuple(row for row in state.groups.values() if row.modified_index > from_index),
        sections=tuple(row for row in state.sections.values() if row.modified_index > from_index),
        removed_sections=_removed_after(state.removed_sections, from_index),
        entries=context.local.roster_changes.list_after(state, from_index),
        removed_entries=_removed_after(state.removed_entries, from_index),
        members=tuple(row for row in state.members if row.modified_index > from_index),
    )


def _removed_after(table: dict[str, int], from_index: int) -> tuple[str, ...]:
    if from_index == 0:
        return ()
    return tuple(name for name, index in table.items() if index > from_index)
