"""Evaluation of a change to one section of the operator document."""

import difflib
import hashlib
import hmac
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from bergamotcart.documents._checks import find_errors
from bergamotcart.documents._document import Document, Problem
from bergamotcart.documents._schema import SectionKind
from bergamotcart.messages import SectionRow

OWNERS_SECTION = 'owners'


class Change(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An operator's change of one section.

    :param section: name of the section.
    :param kind: kind of the section, a value of ``SectionKind``.
    :param base_version: version that the operator edited; 0 creates the section.
    :param change_id: identifier that makes a resent change idempotent.
    :param body: new text of the section; an empty one removes the section.
    :param dry_run: whether the change is only checked.
    """

    section: str
    kind: str
    base_version: int
    change_id: str
    body: str
    dry_run: bool = False


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change is valid.

    :param version: version of the section after the change.
    :param diff: unified diff from the current body to the new one.
    """

    version: int
    diff: str


@dataclass(frozen=True, slots=True)
class Conflict:
    """The section has another version than the change is based on.

    :param current_version: version of the section; 0 if it does not exist.
    :param current_body: text of that version.
    :param diff: unified diff from the current body to the one sent.
    """

    current_version: int
    current_body: str
    diff: str


@dataclass(frozen=True, slots=True)
class Invalid:
    """The document would be invalid after the change."""

    problems: tuple[Problem, ...]


@dataclass(frozen=True, slots=True)
class Forbidden:
    """The token does not belong to the owner of the section."""

    section: str


ChangeOutcome = Accepted | Conflict | Invalid | Forbidden


def hash_token(token: str) -> str:
    """Return the SHA-256 digest of a token, in hexadecimal."""
    return hashlib.sha256(token.encode()).hexdigest()


def evaluate_change(
    sections: Mapping[str, SectionRow],
    change: Change,
    token: str,
    admin_token: str,
) -> ChangeOutcome:
    """Decide whether a change may be committed; called before the commit and again at the commit.

    :param sections: current sections by name.
    :param change: the change.
    :param token: token of the operator.
    :param admin_token: token of the administrator, who may change every section.
    :returns: the outcome; the arguments are not modified.
    """
    if not _may_change(sections, change.section, token, admin_token):
        return Forbidden(change.section)
    field_problems = _check_fields(sections, change)
    if field_problems:
        return Invalid(field_problems)
    current = sections.get(change.section)
    version = current.version if current else 0
    body = current.body if current else ''
    diff = _unified_diff(body, change.body, change.section)
    if change.base_version != version:
        return Conflict(version, body, diff)
    errors = find_errors(_apply_change(sections, change))
    return Invalid(errors) if errors else Accepted(version + 1, diff)


def _may_change(
    sections: Mapping[str, SectionRow],
    section: str,
    token: str,
    admin_token: str,
) -> bool:
    if hmac.compare_digest(token.encode(), admin_token.encode()):
        return True
    if section == OWNERS_SECTION:
        return False
    owner_rows = [row for row in sections.values() if row.kind == SectionKind.owners]
    expected = Document.from_sections(owner_rows, revision=0).owner_hashes.get(section)
    return expected is not None and hmac.compare_digest(expected, hash_token(token))


def _check_fields(sections: Mapping[str, SectionRow], change: Change) -> tuple[Problem, ...]:
    path = f'sections.{change.section}'
    current = sections.get(change.section)
    if not change.change_id:
        return (Problem(f'{path}.change_id', 'must not be empty'),)
    if current and current.kind != change.kind:
        return (
            Problem(f'{path}.kind', f'is {current.kind!r} and cannot change to {change.kind!r}'),
        )
    if (change.section == OWNERS_SECTION) != (change.kind == SectionKind.owners):
        return (Problem(f'{path}.kind', 'only the section "owners" has the kind "owners"'),)
    return ()


def _apply_change(sections: Mapping[str, SectionRow], change: Change) -> list[SectionRow]:
    unchanged = [row for name, row in sections.items() if name != change.section]
    if not change.body:
        return unchanged
    row = SectionRow(
        name=change.section,
        kind=change.kind,
        version=change.base_version + 1,
        body=change.body,
    )
    return [*unchanged, row]


def _unified_diff(old: str, new: str, section: str) -> str:
    lines = difflib.unified_diff(
        old.splitlines(),
        new.splitlines(),
        fromfile=f'{section} (current)',
        tofile=f'{section} (sent)',
        lineterm='',
    )
    return '\n'.join(lines)
