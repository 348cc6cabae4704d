"""Tests the validation of operator documents and of changes to them."""

import pytest

from bergamotcart import documents
from bergamotcart.messages import SectionRow

_GROUPS = 'groups: {tickets: {instances: 3}}'
_ADMIN = 'admin-secret'


def _row(name: str, kind: str, body: str, version: int = 1) -> SectionRow:
    return SectionRow(name=name, kind=kind, version=version, body=body)


def _sections_by_name(*rows: SectionRow) -> dict[str, SectionRow]:
    return {row.name: row for row in rows}


def _change(**fields: object) -> documents.Change:
    defaults: dict[str, object] = {
        'section': 'databases',
        'kind': 'groups',
        'base_version': 1,
        'change_id': 'c1',
        'body': _GROUPS,
    }
    return documents.Change(**(defaults | fields))


@pytest.mark.parametrize(
    ('body', 'path'),
    [
        ('policies: [{max_age: 5}]', 'sections.app.policies[0]'),
        ('policies: [{max_age_s: soon}]', 'sections.app.policies[0].max_age_s'),
        ('policies: [{groups: [orders]}]', 'sections.app.policies[0].groups'),
        ('policies: [', 'sections.app'),
    ],
)
def test_problem_names_path_of_invalid_field(body, path):
    """The path lets an operator find the invalid field in a long document."""
    sections = [_row('databases', 'groups', _GROUPS), _row('app', 'policies', body)]
    with pytest.raises(documents.DocumentError) as caught:
        documents.Document.from_sections(sections, revision=1)
    assert caught.value.problems[0].path == path


@pytest.mark.parametrize(
    'body',
    [
        'groups: 2001-99-99',
        f'groups: {"9" * 5000}',
        'groups: !!int x',
        'groups: !!bool x',
        'groups: !!timestamp x',
        '[' * 5000,
    ],
)
def test_scalar_that_cannot_be_read_is_a_problem(body):
    """Such a change ended the leader that checked it, and the next one when it was repeated."""
    with pytest.raises(documents.DocumentError, match='malformed YAML'):
        documents.Document.from_sections([_row('databases', 'groups', body)], revision=1)


def test_first_matching_policy_applies():
    """The default policy, which applies to callers without a policy, tolerates no age."""
    body = 'policies: [{callers: [guides], groups: [tickets], max_age_s: 5}, {max_age_s: 9}]'
    sections = [_row('databases', 'groups', _GROUPS), _row('app', 'policies', body)]
    document = documents.Document.from_sections(sections, revision=1)
    assert document.policy('guides', 'tickets').max_age_s == 5
    assert document.policy('desk', 'tickets').max_age_s == 9
    without_policies = documents.Document.from_sections(sections[:1], revision=1)
    assert without_policies.policy('desk', 'tickets').max_age_s is None


def test_change_of_outdated_version_conflicts():
    """Two operators that edit the same version must not overwrite each other's change."""
    sections = _sections_by_name(_row('databases', 'groups', _GROUPS, version=2))
    outcome = documents.evaluate_change(sections, _change(), _ADMIN, _ADMIN)
    assert isinstance(outcome, documents.Conflict)
    assert outcome.current_version == 2


def test_only_owner_may_change_section():
    """The token of one team must not be valid for the section of another."""
    owners = f'sections: {{databases: "{documents.hash_token("db-team")}"}}'
    sections = _sections_by_name(
        _row('databases', 'groups', _GROUPS), _row('owners', 'owners', owners)
    )
    assert isinstance(
        documents.evaluate_change(sections, _change(), 'app-team', _ADMIN),
        documents.Forbidden,
    )
    assert isinstance(
        documents.evaluate_change(sections, _change(), 'db-team', _ADMIN),
        documents.Accepted,
    )


def test_removal_of_referenced_group_is_invalid():
    """A change of one section must not remove a group that another section references."""
    sections = _sections_by_name(
        _row('databases', 'groups', _GROUPS),
        _row('app', 'policies', 'policies: [{groups: [tickets]}]'),
    )
    outcome = documents.evaluate_change(
        sections,
        _change(body='groups: {members: {}}'),
        _ADMIN,
        _ADMIN,
    )
    assert isinstance(outcome, documents.Invalid)
