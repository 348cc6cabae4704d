"""Deterministic application of committed records to the replicated state."""

from typing import Final

import msgspec

from bergamotcart import documents, messages
from bergamotcart.control import _commands as commands
from bergamotcart.control._document_replacement import replace_document
from bergamotcart.control._section_changes import apply_change, record_removal
from bergamotcart.control._state import (
    RecordedChange,
    ReplicatedState,
    instance_key,
    record_change,
    record_roster_change,
)

MAX_BRANCH_POINTS: Final = 64
MAX_RETIRED_INCARNATIONS: Final = 256


def apply_record(state: ReplicatedState, record: messages.LogEntry) -> RecordedChange | None:
    """Apply a committed record.

    A command whose precondition no longer holds has no effect, since its proposer may have
    seen an older state.

    :param state: replicated state, modified in place.
    :param record: next record of the log.
    :returns: outcome of a document change, or ``None`` for other records.
    """
    outcome = None
    if record.members is not None:
        _set_members(state, record)
    if record.command:
        outcome = _apply_command(state, commands.decode_command(record.command), record.index)
    state.applied_index = record.index
    state.applied_term = record.term
    return outcome


def make_member_rows(
    members: tuple[messages.LogMember, ...],
    index: int,
) -> tuple[messages.ControlMemberRow, ...]:
    """Return the rows in which entries receive the members of the replicated log."""
    return tuple(
        messages.ControlMemberRow(
            name=member.name,
            incarnation=member.incarnation,
            availability_zone=member.availability_zone,
            address=member.address,
            voter=member.voter,
            modified_index=index,
        )
        for member in members
    )


def is_retired(state: ReplicatedState, name: str, incarnation: str) -> bool:
    """Return whether an incarnation was removed after a newer one had replaced it."""
    return _make_retired_key(name, incarnation) in state.retired


def _apply_command(
    state: ReplicatedState,
    command: commands.Command,
    index: int,
) -> RecordedChange | None:
    match command:
        case commands.ChangeSection():
            return apply_change(state, command, index)
        case commands.ReplaceDocument():
            return replace_document(state, command, index)
        case commands.AdmitEntry():
            _admit_entry(state, command, index)
        case commands.RemoveEntry():
            _remove_entry(state, command, index)
        case commands.FreezeGroup():
            _freeze_group(state, command, index)
        case commands.HoldGroup():
            _hold_group(state, command, index)
        case commands.PromoteGroup():
            _promote_group(state, command, index)
        case commands.OpenGroup():
            _open_group(state, command, index)
        case commands.NoteInstance(row=row):
            state.instances[instance_key(row.group, row.instance)] = row
        case commands.ForgetInstance():
            state.instances.pop(instance_key(command.group, command.instance), None)
        case commands.SettleCaps():
            state.caps_settled_term = command.term
    return None


def _set_members(state: ReplicatedState, record: messages.LogEntry) -> None:
    state.members = make_member_rows(record.members or (), record.index)
    record_change(state, record.index)


def _admit_entry(state: ReplicatedState, command: commands.AdmitEntry, index: int) -> None:
    if is_retired(state, command.name, command.incarnation):
        return
    rows = state.entries.setdefault(command.name, {})
    rows[command.incarnation] = messages.EntryRow(
        name=command.name,
        incarnation=command.incarnation,
        availability_zone=command.availability_zone,
        address=command.address,
        modified_index=index,
    )
    state.removed_entries.pop(command.name, None)
    record_roster_change(state, index)


def _remove_entry(state: ReplicatedState, command: commands.RemoveEntry, index: int) -> None:
    rows = state.entries.get(command.name, {})
    if rows.pop(command.incarnation, None) is None:
        return
    if rows:
        state.retired.append(_make_retired_key(command.name, command.incarnation))
        state.retired = state.retired[-MAX_RETIRED_INCARNATIONS:]
        return
    state.entries.pop(command.name)
    record_removal(state, state.removed_entries, command.name, index)
    record_roster_change(state, index)


def _freeze_group(state: ReplicatedState, command: commands.FreezeGroup, index: int) -> None:
    row = state.groups.get(command.group)
    if row is None or row.term != command.term or row.phase == messages.GroupPhase.frozen:
        return
    _replace_group_row(state, row, index, phase=messages.GroupPhase.frozen)
    state.frozen_index = index


def _hold_group(state: ReplicatedState, command: commands.HoldGroup, index: int) -> None:
    row = _find_group_row(state, command.group, command.term, messages.GroupPhase.frozen)
    if row is not None:
        _replace_group_row(state, row, index, read_only=True)


def _promote_group(state: ReplicatedState, command: commands.PromoteGroup, index: int) -> None:
    row = _find_group_row(state, command.group, command.frozen_term, messages.GroupPhase.frozen)
    if row is None or command.term <= row.term:
        return
    _replace_group_row(
        state,
        row,
        index,
        phase=messages.GroupPhase.promoting,
        term=command.term,
        primary=command.primary,
        branch_points=_make_branch_points(row, command),
        decided_by=command.decided_by,
        decided_in=command.decided_in,
        promotion_unsettled=bool(command.decided_by),
    )


def _open_group(state: ReplicatedState, command: commands.OpenGroup, index: int) -> None:
    row = _find_group_row(state, command.group, command.term, messages.GroupPhase.promoting)
    if row is None:
        return
    document = documents.Document.from_sections(state.sections.values(), state.revision)
    _replace_group_row(
        state,
        row,
        index,
        phase=messages.GroupPhase.open,
        promotion_unsettled=row.promotion_unsettled and not command.settled,
        served_by=row.primary or '',
        read_only=document.is_read_only(command.group),
    )


def _find_group_row(
    state: ReplicatedState,
    group: str,
    term: int,
    phase: messages.GroupPhase,
) -> messages.GroupRow | None:
    row = state.groups.get(group)
    if row is None or row.term != term or row.phase != phase:
        return None
    return row


def _replace_group_row(
    state: ReplicatedState,
    row: messages.GroupRow,
    index: int,
    **fields: object,
) -> None:
    state.groups[row.name] = msgspec.structs.replace(row, modified_index=index, **fields)
    record_change(state, index)


def _make_branch_points(
    row: messages.GroupRow,
    command: commands.PromoteGroup,
) -> tuple[tuple[int, int], ...]:
    """Return the last position that the new primary's log keeps of each ended term.

    Terms after that of the chosen instance's last record keep no positions: a primary was
    promoted in them, but the chosen log contains none of its records.
    """
    if command.log_term is None:
        return row.branch_points
    points = dict(row.branch_points)
    points[command.log_term] = command.position
    for term in range(command.log_term + 1, row.term + 1):
        points[term] = 0
    return tuple(sorted(points.items())[-MAX_BRANCH_POINTS:])


def _make_retired_key(name: str, incarnation: str) -> str:
    return f'{name}/{incarnation}'
