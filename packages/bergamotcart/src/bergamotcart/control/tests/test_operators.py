"""Tests that operators' changes are not lost, applied twice or made without permission."""

import pytest

from bergamotcart import control, messages
from bergamotcart.control.tests._world import World
from bergamotcart.control.tests.test_engine import DOCUMENT, request_change, start_world

OTHER_DOCUMENT = 'groups: {tickets: {instances: 3, entries_limit: 4}}'


def request_reply(world: World, command: str, **body: object) -> control.OperatorReply:
    """Send a request to the leader and return its reply."""
    request_id = world.ask(world.leader, control.OperatorCommand(command), **body)
    return wait_for_reply(world, request_id)


def wait_for_reply(world: World, request_id: int) -> control.OperatorReply:
    """Wait for the reply to a request and return it."""
    world.run_until(lambda: request_id in world.replies)
    return world.replies[request_id]


def test_repeated_change_gets_first_outcome():
    """An operator who repeats a change after a lost reply must not get a conflict with it."""
    world = start_world()
    first = wait_for_reply(
        world, request_change(world, base_version=1, change_id='c2', body=OTHER_DOCUMENT)
    )
    repeated = wait_for_reply(
        world, request_change(world, base_version=1, change_id='c2', body=OTHER_DOCUMENT)
    )
    assert first.status == repeated.status == 200
    assert repeated.body['revision'] == first.body['revision']
    reused = wait_for_reply(
        world, request_change(world, base_version=2, change_id='c2', body=DOCUMENT)
    )
    assert reused.status == 422
    history = request_reply(world, 'history', section='databases')
    assert [row['change_id'] for row in history.body['changes']] == ['c1', 'c2']


def test_one_of_two_concurrent_changes_is_accepted():
    """Both are valid when they are proposed, so the evaluation at commit must refuse one."""
    world = start_world()
    requests = [
        request_change(world, base_version=1, change_id=name, body=OTHER_DOCUMENT)
        for name in ('c2', 'c3')
    ]
    statuses = [wait_for_reply(world, request_id).status for request_id in requests]
    assert statuses == [200, 409]


def test_dry_run_and_foreign_token_change_nothing():
    """A dry run must not take effect, and one team must not change another team's section."""
    world = start_world()
    dry_run = wait_for_reply(
        world,
        request_change(world, base_version=1, body=OTHER_DOCUMENT, change_id='d', dry_run=True),
    )
    assert dry_run.status == 200
    world.token = 'foreign'
    assert (
        wait_for_reply(
            world, request_change(world, base_version=1, body=OTHER_DOCUMENT, change_id='e')
        ).status
        == 403
    )
    document = request_reply(world, 'get_document')
    assert document.body['sections'][0]['version'] == 1


def test_members_without_authority_refuse_requests():
    """A follower must name the leader, and an isolated leader must not answer from an old state."""
    world = start_world()
    leader = world.leader
    follower = next(member for member in world.members.values() if member is not leader)
    command = control.OperatorCommand.get_document
    misdirected = wait_for_reply(world, world.ask(follower, command))
    assert (misdirected.status, misdirected.body['leader']) == (421, leader.name)
    world.cut.add(leader.name)
    world.run(0.45)
    assert wait_for_reply(world, world.ask(leader, command)).status == 503


def test_status_names_lagging_entries():
    """An operator who waits for a revision must see which entries have not applied it."""
    world = start_world()
    world.run(0.5)
    world.cut.add('entry-3')
    wait_for_reply(
        world, request_change(world, base_version=1, change_id='c2', body=OTHER_DOCUMENT)
    )
    world.run(0.1)
    status = request_reply(world, 'status').body
    assert status['lagging'] == ['entry-3']
    world.cut.clear()
    world.run(0.5)
    assert not request_reply(world, 'status').body['lagging']


def test_emptied_member_becomes_voter_again():
    """If a member that lost its data got no vote again, a second loss could end the majority."""
    world = start_world()
    leader = world.leader
    emptied = next(member for member in world.members.values() if member is not leader)
    world.crash(emptied)
    world.run(0.2)
    world.restart(emptied, emptied=True)
    world.run_until(lambda: emptied.engine.status(emptied.clock.local_time(world.now)).voter)
    rows = {row['name']: row for row in request_reply(world, 'status').body['members']}
    assert rows[emptied.name]['incarnation'] == emptied.disk.hard.incarnation


def test_members_are_removed_one_at_a_time():
    """Two concurrent removals could result in two majorities that do not overlap."""
    world = start_world()
    leader = world.leader
    others = [name for name in world.members if name != leader.name]
    requests = [
        world.ask(leader, control.OperatorCommand.members, action='remove', name=name)
        for name in others
    ]
    statuses = [wait_for_reply(world, request_id).status for request_id in requests]
    assert statuses == [200, 409]
    refused = request_reply(world, 'members', action='remove', name=leader.name)
    assert refused.status == 409


def test_no_lease_before_roster_row_is_committed():
    """A new leader would not wait for the lease of an entry that is not in the roster."""
    world = start_world()
    for member in world.members.values():
        if member is not world.leader:
            member.alive = False
    world.entries['entry-1'].restart()
    world.run(0.3)
    assert any(decision.action == 'admit_entry' for decision in world.decisions)
    assert world.entries['entry-1'].lease_end == 0
    assert world.entries['entry-1'].applied_index > 0


def test_state_survives_restart_of_all_members():
    """Hundreds of accepted changes must be restored from the snapshot and the log."""
    world = start_world()
    for version in range(1, 320):
        body = OTHER_DOCUMENT if version % 2 else DOCUMENT
        request_id = request_change(world, base_version=version, change_id=f'v{version}', body=body)
        assert wait_for_reply(world, request_id).status == 200
    assert any(member.disk.snapshot for member in world.members.values())
    for member in world.members.values():
        world.crash(member)
        world.restart(member)
    world.run_until(lambda: world.leader is not None)
    assert request_reply(world, 'get_document').body['sections'][0]['version'] == 320
    assert world.group.phase == messages.GroupPhase.open


@pytest.mark.parametrize(
    ('field', 'status'), [('section', 400), ('change_id', 400), ('kind', 400), ('body', 422)]
)
def test_change_that_fits_into_no_record_is_refused(field, status):
    """Such a change ended the leader that proposed it."""
    world = start_world()
    change = {
        'section': 'more',
        'kind': 'groups',
        'base_version': 0,
        'change_id': 'c2',
        'body': 'groups: {}',
    }
    reply = request_reply(world, 'change', **(change | {field: f'# {"x" * 800_000}'}))
    assert reply.status == status
