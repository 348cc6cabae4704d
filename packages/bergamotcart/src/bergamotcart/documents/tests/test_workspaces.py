"""Tests of workspaces in documents."""

import msgspec
import pytest

from bergamotcart import documents
from bergamotcart.messages import SectionRow


def _make_document(*workspaces: documents.Workspace) -> documents.Document:
    body = msgspec.json.encode(documents.WorkspacesBody(workspaces=workspaces)).decode()
    row = SectionRow(name='workspaces', kind='workspaces', version=1, body=body)
    return documents.Document.from_sections([row], revision=1)


def _make_workspace(name: str, *keys: str, **fields: object) -> documents.Workspace:
    digests = tuple(documents.digest_key(key) for key in keys)
    return documents.Workspace(name=name, key_digests=digests, **fields)


def test_a_key_leads_to_its_workspace_only() -> None:
    """A caller must not be served under another workspace, or with a key that nobody holds."""
    document = _make_document(_make_workspace('red', 'k1', 'k2'), _make_workspace('blue', 'k3'))

    names = [
        workspace.name if (workspace := document.find_workspace(key)) else None
        for key in ('k1', 'k2', 'k3', '', 'k1 ', '\udcff', 'x' * 1_000_000)
    ]

    assert names == ['red', 'red', 'blue', None, None, None, None]


def test_a_shared_key_is_invalid_and_is_not_repeated_in_the_message() -> None:
    """A key of two workspaces would let one be served as the other."""
    with pytest.raises(documents.DocumentError) as caught:
        _make_document(_make_workspace('red', 'secret'), _make_workspace('blue', 'k3', 'secret'))

    assert caught.value.problems[0].path == 'sections.workspaces.workspaces[1]'
    assert 'secret' not in str(caught.value)


@pytest.mark.parametrize('field', [{'rate_per_s': -1.0}, {'burst': -1}, {'rate_per_s': 2e6}])
def test_caps_outside_their_range_are_invalid(field: dict[str, float]) -> None:
    """A negative cap has no meaning and must not be taken for another one."""
    with pytest.raises(documents.DocumentError, match='workspaces'):
        _make_document(_make_workspace('red', 'k1', **field))


def test_a_document_without_workspaces_needs_no_keys() -> None:
    """Deployments without workspaces are served as before."""
    assert not documents.Document({}, revision=0).has_workspaces
