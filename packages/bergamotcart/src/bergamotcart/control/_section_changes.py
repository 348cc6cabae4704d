"""Changes of document sections in the replicated state."""

import hashlib
from typing import Final

import msgspec

from bergamotcart import documents, messages
from bergamotcart.control._commands import ChangeSection
from bergamotcart.control._state import HistoryRow, RecordedChange, ReplicatedState, record_change

# These limits keep a snapshot and a full state update within one message of 1 MiB.
MAX_DOCUMENT_BYTES: Final = 262_144
MAX_RECENT_CHANGES: Final = 500
MAX_HISTORY_ROWS: Final = 10
MAX_DIFF_CHARACTERS: Final = 1000
MAX_REMOVED_NAMES: Final = 256

# Stands for the tokens of the operator and of the administrator: ownership is checked here by token
# hash, and the evaluation is then run as the administrator.
_MATCHING_TOKEN: Final = 'verified'


def digest_change(change: documents.Change) -> str:
    """Return a digest that tells whether two changes with the same identifier are equal."""
    return hashlib.sha256(msgspec.json.encode(change)).hexdigest()


def evaluate_change(
    state: ReplicatedState,
    command: ChangeSection,
) -> documents.ChangeOutcome:
    """Evaluate a change against the current sections without applying it.

    :param state: not modified.
    :param command: the change, with the rights of its operator.
    """
    change = command.change
    if not command.administrator and not _is_section_owner(
        state, change.section, command.token_hash
    ):
        return documents.Forbidden(change.section)
    outcome = documents.evaluate_change(state.sections, change, _MATCHING_TOKEN, _MATCHING_TOKEN)
    if isinstance(outcome, documents.Accepted) and _exceeds_size_limit(state, change):
        problem = documents.Problem(
            f'sections.{change.section}',
            f'the document would exceed {MAX_DOCUMENT_BYTES} bytes',
        )
        return documents.Invalid((problem,))
    return outcome


def fits_into_document(change: documents.Change) -> bool:
    """Return whether the new text of a section is short enough for any document."""
    return len(change.body.encode()) <= MAX_DOCUMENT_BYTES


def apply_change(state: ReplicatedState, command: ChangeSection, index: int) -> RecordedChange:
    """Apply a committed change, or record why it is not applied.

    :param state: modified in place.
    :param command: the committed change.
    :param index: its log index.
    :returns: the outcome; for a repeated ``change_id``, that of its first change.
    """
    change = command.change
    recorded = state.changes.get(change.change_id)
    if recorded is not None:
        return recorded
    outcome = evaluate_change(state, command)
    if isinstance(outcome, documents.Accepted):
        _replace_section(state, change, outcome, index)
    recorded = make_recorded_change(outcome, change, index)
    if not isinstance(outcome, documents.Forbidden):
        state.changes[change.change_id] = recorded
        _drop_oldest_changes(state.changes, MAX_RECENT_CHANGES)
    return recorded


def make_recorded_change(
    outcome: documents.ChangeOutcome,
    change: documents.Change,
    index: int,
) -> RecordedChange:
    """Return an outcome in the form that the replicated state stores, with a limited diff.

    :param outcome: the outcome.
    :param change: the change that it belongs to.
    :param index: log index of the change, or 0 for an outcome that is not recorded.
    """
    digest = digest_change(change)
    match outcome:
        case documents.Accepted(version, diff):
            return RecordedChange(
                outcome='accepted',
                digest=digest,
                version=version,
                diff=diff[:MAX_DIFF_CHARACTERS],
                revision=index,
            )
        case documents.Conflict(version, _, diff):
            return RecordedChange(
                outcome='conflict',
                digest=digest,
                version=version,
                diff=diff[:MAX_DIFF_CHARACTERS],
            )
        case documents.Invalid(problems):
            recorded_problems = tuple((problem.path, problem.message) for problem in problems)
            return RecordedChange(outcome='invalid', digest=digest, problems=recorded_problems)
    return RecordedChange(outcome='forbidden', digest=digest)


def _is_section_owner(state: ReplicatedState, section: str, token_hash: str) -> bool:
    rows = [row for row in state.sections.values() if row.kind == documents.SectionKind.owners]
    owners = documents.Document.from_sections(rows, revision=0).owner_hashes
    return section != 'owners' and owners.get(section) == token_hash


def _exceeds_size_limit(state: ReplicatedState, change: documents.Change) -> bool:
    other_bytes = sum(
        len(row.body.encode()) for row in state.sections.values() if row.name != change.section
    )
    return other_bytes + len(change.body.encode()) > MAX_DOCUMENT_BYTES


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
        record_removal(state, state.removed_sections, change.section, index)
    rows = state.history.setdefault(change.section, [])
    rows.append(
        HistoryRow(
            version=outcome.version,
            change_id=change.change_id,
            index=index,
            diff=outcome.diff[:MAX_DIFF_CHARACTERS],
        )
    )
    state.history[change.section] = rows[-MAX_HISTORY_ROWS:]
    state.revision = index
    record_change(state, index)
    update_group_rows(state, index)


def record_removal(state: ReplicatedState, table: dict[str, int], name: str, index: int) -> None:
    """Record a removal, so that state updates report it to the entries.

    The oldest removals are dropped, which raises ``removal_floor``.

    :param state: modified in place.
    :param table: indices of removals by name, oldest first; modified in place.
    :param name: what was removed.
    :param index: log index of the removal.
    """
    table.pop(name, None)
    table[name] = index
    while len(table) > MAX_REMOVED_NAMES:
        oldest = next(iter(table))
        state.removal_floor = max(state.removal_floor, table.pop(oldest))


def update_group_rows(state: ReplicatedState, index: int) -> None:
    """Add a row for each new group of the document, and apply the document's restrictions to all.

    :param state: modified in place.
    :param index: log index of the document change.
    """
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


def _drop_oldest_changes(table: dict[str, RecordedChange], limit: int) -> None:
    while len(table) > limit:
        table.pop(next(iter(table)))
