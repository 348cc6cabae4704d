"""Tests that workspaces are replaced together with the routes, and sent only when they change."""

import msgspec
import pytest

from bergamotcart import documents, messages
from bergamotcart.control import _commands as commands
from bergamotcart.control._document_replacement import replace_document
from bergamotcart.control._state import ReplicatedState
from bergamotcart.control.tests._authority_world import GROUP, AuthorityWorld, make_body

_ROUTES = make_body(tickets=GROUP)
_OTHER_ROUTES = make_body(tickets=GROUP, orders=GROUP)


def _make_workspaces(**keys: str) -> str:
    body = documents.WorkspacesBody(
        workspaces=tuple(
            documents.Workspace(name=name, key_digests=(documents.digest_key(key),))
            for name, key in keys.items()
        )
    )
    return msgspec.json.encode(body).decode()


_NORTH = _make_workspaces(north='k1')


def _apply(*replacements: tuple[int, str, str]) -> ReplicatedState:
    """Apply replacements as version, routes and workspaces; the first has the log index 10."""
    state = ReplicatedState()
    for index, (version, body, workspaces) in enumerate(replacements, start=10):
        command = commands.ReplaceDocument(
            version=version, body=body, workspaces=workspaces, source=''
        )
        replace_document(state, command, index)
    return state


def _read_indices(state: ReplicatedState) -> dict[str, int]:
    return {name: row.modified_index for name, row in state.sections.items()}


def test_unchanged_section_is_not_sent_again():
    """Bytes between regions are expensive, and there may be hundreds of entries."""
    state = _apply((1, _ROUTES, _NORTH), (2, _OTHER_ROUTES, _NORTH))
    assert _read_indices(state) == {'routes': 11, 'workspaces': 10}
    state = _apply((1, _ROUTES, _NORTH), (2, _ROUTES, _make_workspaces(north='k2')))
    assert _read_indices(state) == {'routes': 10, 'workspaces': 11}
    assert {row.version for row in state.sections.values()} == {2}


def test_older_version_changes_neither_section():
    """An older version that arrives late must not reinstate a key."""
    state = _apply((3, _ROUTES, _NORTH), (2, _OTHER_ROUTES, _make_workspaces(south='old')))
    assert state.sections['workspaces'].body == _NORTH
    assert state.sections['routes'].body == _ROUTES


def test_version_without_workspaces_removes_them_from_entries():
    """Entries must hear of the removal, and of workspaces that are added again."""
    state = _apply((1, _ROUTES, _NORTH), (2, _ROUTES, ''))
    assert list(state.sections) == ['routes']
    assert state.removed_sections == {'workspaces': 11}
    state = _apply((1, _ROUTES, _NORTH), (2, _ROUTES, ''), (3, _ROUTES, _NORTH))
    assert _read_indices(state) == {'routes': 10, 'workspaces': 12}
    assert not state.removed_sections


def test_document_without_workspaces_has_no_such_section():
    """A deployment without workspaces must keep its records and sections as they were."""
    state = _apply((1, _ROUTES, ''))
    assert list(state.sections) == ['routes']
    assert not state.removed_sections
    command = commands.ReplaceDocument(version=1, body=_ROUTES, source='')
    assert 'workspaces' not in msgspec.to_builtins(command)


def test_record_of_earlier_version_is_decoded():
    """Logs of earlier versions hold replacements without workspaces."""
    record = {'type': 'ReplaceDocument', 'version': 2, 'body': _ROUTES, 'source': 'x'}
    encoded = msgspec.msgpack.encode({'version': commands.COMMAND_FORMAT, 'command': record})
    assert commands.decode_command(encoded).workspaces == ''


@pytest.mark.parametrize(
    'workspaces',
    [_make_workspaces(north='k1', south='k1'), '{"workspaces": 1}', '{', 'workspaces: []'],
)
def test_inconsistent_workspaces_are_refused(workspaces):
    """Neither section of an invalid document may come into force."""
    world = AuthorityWorld()
    reply = world.replace_document(2, _OTHER_ROUTES, workspaces=workspaces)
    assert reply.status == 422
    assert "'k1'" not in repr(reply.body)
    assert world.replace_document(2, _OTHER_ROUTES, workspaces=_NORTH).status == 200


def test_entries_receive_the_workspaces_and_then_only_the_routes():
    """An update to an entry must hold the section that changed, and no other."""
    world = AuthorityWorld()
    for version, body in enumerate((_ROUTES, _OTHER_ROUTES), start=2):
        world.sent.clear()
        world.replace_document(version, body, workspaces=_NORTH)
        world.run(1)
    updates = [send.body for send in world.sent if isinstance(send.body, messages.StateUpdate)]
    received = {row.name for update in updates if update.from_index for row in update.sections}
    assert received == {'routes'}
