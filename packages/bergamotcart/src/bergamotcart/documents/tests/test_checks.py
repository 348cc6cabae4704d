"""Tests that the check of a document agrees with control, and its warnings."""

from collections.abc import Iterable

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotcart.documents import (
    Change,
    Document,
    DocumentError,
    Invalid,
    RoutesBody,
    check_sections,
    compare_documents,
    evaluate_change,
)
from bergamotcart.messages import SectionRow

_TOKEN = 'admin'
_names = st.sampled_from(('a', 'b', ''))
_limits = st.sampled_from((0, 0.5, 3, -1, 'x', None))
_bodies = st.one_of(
    st.tuples(
        st.just('groups'),
        st.fixed_dictionaries({'groups': st.dictionaries(_names, st.just({}), max_size=2)}),
    ),
    st.tuples(
        st.just('policies'),
        st.fixed_dictionaries(
            {
                'policies': st.lists(
                    st.fixed_dictionaries(
                        {'groups': st.lists(_names, max_size=2), 'deadline_s': _limits}
                    ),
                    max_size=2,
                )
            }
        ),
    ),
    st.tuples(
        st.just('workspaces'),
        st.fixed_dictionaries(
            {
                'workspaces': st.lists(
                    st.fixed_dictionaries(
                        {
                            'name': _names,
                            'key_digests': st.lists(_names, max_size=2),
                            'rate_per_s': _limits,
                            'burst': _limits,
                        }
                    ),
                    max_size=2,
                )
            }
        ),
    ),
    st.tuples(st.sampled_from(('routes', 'unknown')), st.just('{')),
)


def _make_row(name: str, kind: str, body: object) -> SectionRow:
    text = body if isinstance(body, str) else msgspec.json.encode(body).decode()
    return SectionRow(name=name, kind=kind, version=1, body=text)


def _is_valid(rows: Iterable[SectionRow]) -> bool:
    try:
        Document.from_sections(rows, revision=0)
    except DocumentError:
        return False
    return True


@given(sections=st.dictionaries(st.sampled_from(('one', 'two', 'three')), _bodies, min_size=1))
def test_check_agrees_with_control(sections):
    """A file that passes the check must not be refused, and the other way round."""
    rows = {name: _make_row(name, *section) for name, section in sections.items()}
    errors = check_sections(rows.values()).errors
    assert _is_valid(rows.values()) is not bool(errors)
    changed = rows.pop('one', None)
    if changed is not None:
        change = Change(
            section='one', kind=changed.kind, base_version=0, change_id='c', body=changed.body
        )
        outcome = evaluate_change(rows, change, _TOKEN, _TOKEN)
        assert isinstance(outcome, Invalid) is bool(errors)
        assert not errors or outcome == Invalid(errors)


@pytest.mark.parametrize(
    ('kind', 'body', 'path'),
    [
        ('groups', {'groups': {'g': {'connection_limit': 5}}}, 'groups.g.entries_limit'),
        (
            'groups',
            {'groups': {'g': {'connection_limit': 5, 'reserved_connections': 5}}},
            'groups.g.reserved_connections',
        ),
        ('groups', {'groups': {'g': {'synchronous_replicas': 3}}}, 'groups.g.synchronous_replicas'),
        ('policies', {'policies': [{'callers': []}]}, 'policies[0]'),
        ('policies', {'policies': [{}, {'callers': ['a']}]}, 'policies[1]'),
        ('policies', {'policies': [{'catch_up_wait_s': 11}]}, 'policies[0].catch_up_wait_s'),
        ('policies', {'policies': [{'max_age_s': 1}]}, 'policies[0].max_age_s'),
        ('owners', {'sections': {'x': 'a' * 64}}, 'sections.x'),
        ('workspaces', {'workspaces': [{'name': 'w'}]}, 'workspaces[0].key_digests'),
        (
            'workspaces',
            {'workspaces': [{'name': 'w', 'key_digests': ['k'], 'rate_per_s': 0}]},
            'workspaces[0].rate_per_s',
        ),
        (
            'workspaces',
            {'workspaces': [{'name': 'w', 'key_digests': ['k'], 'burst': 3}]},
            'workspaces[0].burst',
        ),
        ('routes', {'routes': [], 'groups': {'g': {'entries_limit': None}}}, 'groups.g'),
    ],
)
def test_warning_names_the_field(kind, body, path):
    """A limit that contradicts another does not do what the operator expects."""
    checked = check_sections([_make_row('s', kind, body)], replication_lag_s=2)
    assert [problem.path for problem in checked.warnings] == [f'sections.s.{path}']
    assert not checked.errors


def test_secrets_are_not_shown():
    """The output of the tool lands in logs and tickets."""
    before, after = [
        check_sections(
            [
                _make_row('w', 'workspaces', {'workspaces': [{'name': 'n', 'key_digests': [key]}]}),
                _make_row('o', 'owners', {'sections': {'w': digit * 64}}),
            ]
        ).bodies
        for key, digit in (('first-key', '1'), ('second-key', '2'))
    ]
    shown = ' '.join(difference.effect for difference in compare_documents(before, after))
    assert 'keys are withdrawn' in shown
    assert not any(secret in shown for secret in ('first-key', 'second-key', '111', '222'))


def test_equal_documents_do_not_differ():
    """Each difference must be a change that the operator makes."""
    body = RoutesBody(routes=(), groups={}, cross_zone_cost_ms=5)
    assert compare_documents({'r': body}, {'r': body}) == ()
