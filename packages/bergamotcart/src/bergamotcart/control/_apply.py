"""Deterministic application of committed records to the replicated state."""

from typing import Final

import msgspec

from bergamotcart import documents, messages
from bergamotcart.control import _commands as commands
from bergamotcart.control._section_changes import apply_change, note_removal
from bergamotcart.control._state import RecordedChange, ReplicatedState, instance_key
from bergamotcart.control._whole_documents import replace_document

BRANCH_POINTS: Final = 64
RETIRED_INCARNATIONS: Final = 256


def apply_record(state: ReplicatedState, record: messages.LogEntry) -> RecordedChange | None:
    """Apply a committed record.

    A command whose precondition does not hold any more changes nothing: the proposer
    may have seen an older state.

    :param state: modified in place.
    :param record: next record of the log.
    :returns: the outcome of a document change, else ``None``.
    """
    recorded = None
    if record.members is not None:
        _set_members(state, record)
    if record.command:
        recorded = _apply_command(state, commands.decode_command(record.command), record.index)
    state.applied_index = record.index
    state.applied_term = record.term
    return recorded


def member_rows(
    members: tuple[messages.LogMember, ...],
    index: int,
) -> tuple[messages.ControlMemberRow, ...]:
    """Return the members of the replicated log as the entries see them."""
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
    """Tell whether an incarnation was replaced by a newer one and removed."""
    return _retired_key(name, incarnation) in state.retired


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
            _admit(state, command, index)
        case commands.RemoveEntry():
            _remove(state, command, index)
        case commands.FreezeGroup():
            _freeze(state, command, index)
        case commands.HoldGroup():
            _hold(state, command, index)
        case commands.PromoteGroup():
            _promote(state, command, index)
        case commands.OpenGroup():
            _open(state, command, index)
        case commands.NoteInstance(row=row):
            state.instances[instance_key(row.group, row.instance)] = row
        case commands.ForgetInstance():
            state.instances.pop(instance_key(command.group, command.instance), None)
    return None


def _set_members(state: ReplicatedState, record: messages.LogEntry) -> None:
    state.members = member_rows(record.members or (), record.index)
    state.index = record.index


def _admit(state: ReplicatedState, command: commands.AdmitEntry, index: int) -> None:
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
    state.index = index


def _remove(state: ReplicatedState, command: commands.RemoveEntry, index: int) -> None:
    rows = state.entries.get(command.name, {})
    if rows.pop(command.incarnation, None) is None:
        return
    if rows:
        state.retired.append(_retired_key(command.name, command.incarnation))
        state.retired = state.retired[-RETIRED_INCARNATIONS:]
        return
    state.entries.pop(command.name)
    note_removal(state, state.removed_entries, command.name, index)
    state.index = index


def _freeze(state: ReplicatedState, command: commands.FreezeGroup, index: int) -> None:
    row = state.groups.get(command.group)
    if row is None or row.term != command.term or row.phase == messages.GroupPhase.frozen:
        return
    _put(state, row, index, phase=messages.GroupPhase.frozen)
    state.frozen_index = index


def _hold(state: ReplicatedState, command: commands.HoldGroup, index: int) -> None:
    row = _row(state, command.group, command.term, messages.GroupPhase.frozen)
    if row is not None:
        _put(state, row, index, read_only=True)


def _promote(state: ReplicatedState, command: commands.PromoteGroup, index: int) -> None:
    row = _row(state, command.group, command.frozen_term, messages.GroupPhase.frozen)
    if row is None or command.term <= row.term:
        return
    _put(
        state,
        row,
        index,
        phase=messages.GroupPhase.promoting,
        term=command.term,
        primary=command.primary,
        branch_points=_branch_points(row, command),
        decided_by=command.decided_by,
        decided_in=command.decided_in,
    )


def _open(state: ReplicatedState, command: commands.OpenGroup, index: int) -> None:
    row = _row(state, command.group, command.term, messages.GroupPhase.promoting)
    if row is None:
        return
    document = documents.Document.from_sections(state.sections.values(), state.revision)
    _put(
        state,
        row,
        index,
        phase=messages.GroupPhase.open,
        read_only=document.is_read_only(command.group),
    )


def _row(
    state: ReplicatedState,
    group: str,
    term: int,
    phase: messages.GroupPhase,
) -> messages.GroupRow | None:
    row = state.groups.get(group)
    if row is None or row.term != term or row.phase != phase:
        return None
    return row


def _put(
    state: ReplicatedState,
    row: messages.GroupRow,
    index: int,
    **changed: object,
) -> None:
    state.groups[row.name] = msgspec.structs.replace(row, modified_index=index, **changed)
    state.index = index


def _branch_points(
    row: messages.GroupRow,
    command: commands.PromoteGroup,
) -> tuple[tuple[int, int], ...]:
    """Return the kept part of each ended term.

    Terms after that of the chosen record keep nothing: their primary was promoted, but
    none of its records is in the chosen log.
    """
    if command.log_term is None:
        return row.branch_points
    points = dict(row.branch_points)
    points[command.log_term] = command.position
    for term in range(command.log_term + 1, row.term + 1):
        points[term] = 0
    return tuple(sorted(points.items())[-BRANCH_POINTS:])


def _retired_key(name: str, incarnation: str) -> str:
    return f'{name}/{incarnation}'
