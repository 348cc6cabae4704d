"""Document changes in the replicated state."""

import hashlib
from typing import Final

import msgspec

from bergamotcart import documents, messages
from bergamotcart.control._commands import ChangeSection
from bergamotcart.control._state import HistoryRow, RecordedChange, ReplicatedState

# Bounds that keep a snapshot and a full state update within one message of 1 MiB.
DOCUMENT_BYTES: Final = 262_144
RECENT_CHANGES: Final = 500
HISTORY_ROWS: Final = 10
DIFF_CHARACTERS: Final = 1000
REMOVED_NAMES: Final = 256

# Ownership is checked here by hash, and the evaluation is then run as the administrator.
_VERIFIED: Final = 'verified'


def digest_change(change: documents.Change) -> str:
    """Return a digest that tells whether two changes with one identifier are the same."""
    return hashlib.sha256(msgspec.json.encode(change)).hexdigest()


def evaluate(
    state: ReplicatedState,
    command: ChangeSection,
) -> documents.ChangeOutcome:
    """Evaluate a change against the current sections without applying it."""
    change = command.change
    if not command.administrator and not _owns(state, change.section, command.token_hash):
        return documents.Forbidden(change.section)
    outcome = documents.evaluate_change(state.sections, change, _VERIFIED, _VERIFIED)
    if isinstance(outcome, documents.Accepted) and _too_long(state, change):
        fault = documents.Problem(
            f'sections.{change.section}',
            f'the document would exceed {DOCUMENT_BYTES} bytes',
        )
        return documents.Invalid((fault,))
    return outcome


def apply_change(state: ReplicatedState, command: ChangeSection, index: int) -> RecordedChange:
    """Apply a committed change, or record why it is not applied.

    :param state: modified in place.
    :param command: the committed change.
    :param index: its log index.
    :returns: the outcome; for a resent identifier, the first one.
    """
    change = command.change
    recorded = state.changes.get(change.change_id)
    if recorded is not None:
        return recorded
    outcome = evaluate(state, command)
    if isinstance(outcome, documents.Accepted):
        _replace_section(state, change, outcome, index)
    recorded = record_outcome(outcome, change, index)
    if not isinstance(outcome, documents.Forbidden):
        state.changes[change.change_id] = recorded
        _drop_oldest(state.changes, RECENT_CHANGES)
    return recorded


def record_outcome(
    outcome: documents.ChangeOutcome,
    change: documents.Change,
    index: int,
) -> RecordedChange:
    """Return the bounded form of an outcome."""
    digest = digest_change(change)
    match outcome:
        case documents.Accepted(version, diff):
            return RecordedChange(
                outcome='accepted',
                digest=digest,
                version=version,
                diff=diff[:DIFF_CHARACTERS],
                revision=index,
            )
        case documents.Conflict(version, _, diff):
            return RecordedChange(
                outcome='conflict',
                digest=digest,
                version=version,
                diff=diff[:DIFF_CHARACTERS],
            )
        case documents.Invalid(problems):
            faults = tuple((fault.path, fault.message) for fault in problems)
            return RecordedChange(outcome='invalid', digest=digest, problems=faults)
    return RecordedChange(outcome='forbidden', digest=digest)


def _owns(state: ReplicatedState, section: str, token_hash: str) -> bool:
    rows = [row for row in state.sections.values() if row.kind == documents.SectionKind.owners]
    owners = documents.Document.from_sections(rows, revision=0).owner_hashes
    return section != 'owners' and owners.get(section) == token_hash


def _too_long(state: ReplicatedState, change: documents.Change) -> bool:
    others = sum(
        len(row.body.encode()) for row in state.sections.values() if row.name != change.section
    )
    return others + len(change.body.encode()) > DOCUMENT_BYTES


def _replace_section(
    state: ReplicatedState,
    change: documents.Change,
    outcome: documents.Accepted,
    index: int,
) -> None:
    if change.body:
        state.sections[change.section] = messages.SectionRow(
            name=change.section,
            kind=change.kind,
            version=outcome.version,
            body=change.body,
            modified_index=index,
        )
        state.removed_sections.pop(change.section, None)
    else:
        state.sections.pop(change.section, None)
        note_removal(state, state.removed_sections, change.section, index)
    rows = state.history.setdefault(change.section, [])
    rows.append(
        HistoryRow(
            version=outcome.version,
            change_id=change.change_id,
            index=index,
            diff=outcome.diff[:DIFF_CHARACTERS],
        )
    )
    state.history[change.section] = rows[-HISTORY_ROWS:]
    state.revision = index
    state.index = index
    follow_document(state, index)


def note_removal(state: ReplicatedState, table: dict[str, int], name: str, index: int) -> None:
    """Remember a removal, so that entries hear of it; the oldest are forgotten."""
    table.pop(name, None)
    table[name] = index
    while len(table) > REMOVED_NAMES:
        oldest = next(iter(table))
        state.removal_floor = max(state.removal_floor, table.pop(oldest))


def follow_document(state: ReplicatedState, index: int) -> None:
    """Give each group of the document a row, and set its restrictions."""
    document = documents.Document.from_sections(state.sections.values(), state.revision)
    settings = document.groups
    limits = [group.entries_limit or 1 for group in settings.values()]
    state.entries_limit = max(limits, default=1)
    for name in sorted(settings):
        read_only = document.is_read_only(name)
        row = state.groups.get(name)
        if row is None:
            state.groups[name] = messages.GroupRow(
                name=name,
                term=0,
                phase=messages.GroupPhase.frozen,
                primary=None,
                read_only=read_only,
                modified_index=index,
            )
        elif row.read_only != read_only:
            state.groups[name] = msgspec.structs.replace(
                row,
                read_only=read_only,
                modified_index=index,
            )


def _drop_oldest(table: dict[str, RecordedChange], limit: int) -> None:
    while len(table) > limit:
        table.pop(next(iter(table)))
