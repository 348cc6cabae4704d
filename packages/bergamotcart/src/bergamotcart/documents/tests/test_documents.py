"""Guards against documents that are accepted although they are wrong, and lost changes."""

import pytest

from bergamotcart import documents
from bergamotcart.messages import SectionRow

_GROUPS = 'groups: {tickets: {instances: 3}}'
_ADMIN = 'admin-secret'


def _row(name: str, kind: str, body: str, version: int = 1) -> SectionRow:
    return SectionRow(name=name, kind=kind, version=version, body=body)


def _sections(*rows: SectionRow) -> dict[str, SectionRow]:
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
def test_a_fault_is_named_by_its_path(body, path):
    """An operator must find the faulty field in a long document."""
    sections = [_row('databases', 'groups', _GROUPS), _row('app', 'policies', body)]
    with pytest.raises(documents.DocumentError) as caught:
        documents.Document.from_sections(sections, revision=1)
    assert caught.value.problems[0].path == path


def test_first_matching_policy_applies_and_the_default_tolerates_no_age():
    """A caller without a policy must not be served old reads."""
    body = 'policies: [{callers: [guides], groups: [tickets], max_age_s: 5}, {max_age_s: 9}]'
    sections = [_row('databases', 'groups', _GROUPS), _row('app', 'policies', body)]
    document = documents.Document.from_sections(sections, revision=1)
    assert document.policy('guides', 'tickets').max_age_s == 5
    assert document.policy('desk', 'tickets').max_age_s == 9
    bare = documents.Document.from_sections(sections[:1], revision=1)
    assert bare.policy('desk', 'tickets').max_age_s is None


def test_of_two_changes_from_one_version_the_second_conflicts():
    """Two operators with one base version must not overwrite each other."""
    sections = _sections(_row('databases', 'groups', _GROUPS, version=2))
    outcome = documents.evaluate_change(sections, _change(), _ADMIN, _ADMIN)
    assert isinstance(outcome, documents.Conflict)
    assert outcome.current_version == 2


def test_only_the_owner_or_the_administrator_may_change_a_section():
    """One team must not change the section of another."""
    owners = f'sections: {{databases: "{documents.hash_token("db-team")}"}}'
    sections = _sections(_row('databases', 'groups', _GROUPS), _row('owners', 'owners', owners))
    assert isinstance(
        documents.evaluate_change(sections, _change(), 'app-team', _ADMIN),
        documents.Forbidden,
    )
    assert isinstance(
        documents.evaluate_change(sections, _change(), 'db-team', _ADMIN),
        documents.Accepted,
    )


def test_removing_a_group_that_a_policy_names_is_invalid():
    """A change of one section must not leave another section without its group."""
    sections = _sections(
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
