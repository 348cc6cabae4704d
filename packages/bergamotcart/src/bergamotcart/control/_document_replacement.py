"""Replacement of sections by a whole document; the highest version is in force."""

from typing import Final

from bergamotcart import documents, messages
from bergamotcart.control._commands import ReplaceDocument
from bergamotcart.control._section_changes import (
    MAX_DOCUMENT_BYTES,
    record_removal,
    update_group_rows,
)
from bergamotcart.control._state import RecordedChange, ReplicatedState, record_change

# Names of the sections that whole documents replace, which are also their kinds.
ROUTES_SECTION: Final = 'routes'
WORKSPACES_SECTION: Final = 'workspaces'


def current_document_version(state: ReplicatedState) -> int:
    """Return the version of the whole document in force, or 0 without one."""
    row = state.sections.get(ROUTES_SECTION)
    return row.version if row else 0


def find_document_problems(
    state: ReplicatedState, command: ReplaceDocument
) -> tuple[tuple[str, str], ...]:
    """Return the problems of a document as pairs of path and message.

    :param state: the replicated state, with whose other sections the document must be consistent.
    :param command: the proposed replacement.
    """
    texts = (command.body, command.workspaces, command.source)
    if sum(len(text.encode()) for text in texts) > 2 * MAX_DOCUMENT_BYTES:
        problem = (
            f'the document and its source would exceed {2 * MAX_DOCUMENT_BYTES} bytes in total'
        )
        return ((f'sections.{ROUTES_SECTION}', problem),)
    sections = _make_sections(state, command, state.index)
    errors = documents.find_errors(sections.values())
    return tuple((problem.path, problem.message) for problem in errors)


def replace_document(
    state: ReplicatedState,
    command: ReplaceDocument,
    index: int,
) -> RecordedChange:
    """Apply a committed replacement, unless its version is not newer than the one in force.

    :param state: modified in place.
    :param command: the committed replacement.
    :param index: its log index.
    :returns: the outcome, with the version in force.
    """
    if command.version > current_document_version(state):
        problems = find_document_problems(state, command)
        if problems:
            return RecordedChange(outcome='invalid', digest='', problems=problems)
        _replace_sections(state, command, index)
        state.document_source = command.source
        state.revision = index
        record_change(state, index)
        update_group_rows(state, index)
    return RecordedChange(
        outcome='accepted',
        digest='',
        version=current_document_version(state),
        revision=state.revision,
    )


def _replace_sections(state: ReplicatedState, command: ReplaceDocument, index: int) -> None:
    had_workspaces = WORKSPACES_SECTION in state.sections
    state.sections = _make_sections(state, command, index)
    if command.workspaces:
        state.removed_sections.pop(WORKSPACES_SECTION, None)
    elif had_workspaces:
        record_removal(state, state.removed_sections, WORKSPACES_SECTION, index)


def _make_sections(
    state: ReplicatedState, command: ReplaceDocument, index: int
) -> dict[str, messages.SectionRow]:
    """Return all sections after a replacement."""
    sections = dict(state.sections)
    sections[ROUTES_SECTION] = _make_section_row(
        state, ROUTES_SECTION, command, command.body, index
    )
    if command.workspaces:
        sections[WORKSPACES_SECTION] = _make_section_row(
            state, WORKSPACES_SECTION, command, command.workspaces, index
        )
    else:
        sections.pop(WORKSPACES_SECTION, None)
    return sections


def _make_section_row(
    state: ReplicatedState, name: str, command: ReplaceDocument, body: str, index: int
) -> messages.SectionRow:
    """Return the row of a section; entries are not sent an unchanged body again."""
    former = state.sections.get(name)
    kind = documents.SectionKind(name)
    is_unchanged = former is not None and former.kind == kind and former.body == body
    return messages.SectionRow(
        name=name,
        kind=kind,
        version=command.version,
        body=body,
        modified_index=former.modified_index if is_unchanged else index,
    )
