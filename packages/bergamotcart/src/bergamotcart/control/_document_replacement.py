"""Replacement of the routes section by a whole document; the highest version is in force."""

from typing import Final

from bergamotcart import documents, messages
from bergamotcart.control._commands import ReplaceDocument
from bergamotcart.control._section_changes import MAX_DOCUMENT_BYTES, update_group_rows
from bergamotcart.control._state import RecordedChange, ReplicatedState, record_change

# Name of the section that whole documents replace.
ROUTES_SECTION: Final = 'routes'


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
    if len(command.body.encode()) + len(command.source.encode()) > 2 * MAX_DOCUMENT_BYTES:
        problem = (
            f'the document and its source would exceed {2 * MAX_DOCUMENT_BYTES} bytes in total'
        )
        return ((f'sections.{ROUTES_SECTION}', problem),)
    sections = dict(state.sections)
    sections[ROUTES_SECTION] = _make_section_row(command, state.index)
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
        state.sections[ROUTES_SECTION] = _make_section_row(command, index)
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


def _make_section_row(command: ReplaceDocument, index: int) -> messages.SectionRow:
    return messages.SectionRow(
        name=ROUTES_SECTION,
        kind=documents.SectionKind.routes,
        version=command.version,
        body=command.body,
        modified_index=index,
    )
