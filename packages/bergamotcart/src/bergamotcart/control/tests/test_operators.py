"""Guards against lost, doubled or unauthorised changes by operators."""

from bergamotcart import control, messages
from bergamotcart.control.tests._world import World
from bergamotcart.control.tests.test_engine import DOCUMENT, change, start

OTHER = 'groups: {tickets: {instances: 3, entries_limit: 4}}'


def ask(world: World, command: str, **body: object) -> control.OperatorReply:
    """Ask the leader and wait for its answer."""
    request_id = world.ask(world.leader, control.OperatorCommand(command), **body)
    return answer(world, request_id)


def answer(world: World, request_id: int) -> control.OperatorReply:
    """Wait for an answer."""
    world.run_until(lambda: request_id in world.replies)
    return world.replies[request_id]


def test_a_resent_change_gets_the_first_outcome():
    """An operator whose answer was lost must not see a conflict with the own change."""
    world = start()
    first = answer(world, change(world, base_version=1, change_id='c2', body=OTHER))
    again = answer(world, change(world, base_version=1, change_id='c2', body=OTHER))
    assert first.status == again.status == 200
    assert again.body['revision'] == first.body['revision']
    reused = answer(world, change(world, base_version=2, change_id='c2', body=DOCUMENT))
    assert reused.status == 422
    history = ask(world, 'history', section='databases')
    assert [row['change_id'] for row in history.body['changes']] == ['c1', 'c2']


def test_of_two_racing_changes_one_wins():
    """Both are valid when they are proposed, so only the evaluation at commit decides."""
    world = start()
    requests = [change(world, base_version=1, change_id=name, body=OTHER) for name in ('c2', 'c3')]
    statuses = [answer(world, request_id).status for request_id in requests]
    assert statuses == [200, 409]


def test_a_dry_run_and_a_foreign_token_change_nothing():
    """A dry run must not take effect, and one team must not change another's section."""
    world = start()
    dry_run = answer(world, change(world, base_version=1, body=OTHER, change_id='d', dry_run=True))
    assert dry_run.status == 200
    world.token = 'foreign'
    assert answer(world, change(world, base_version=1, body=OTHER, change_id='e')).status == 403
    document = ask(world, 'get_document')
    assert document.body['sections'][0]['version'] == 1


def test_members_that_may_not_answer_say_so():
    """A caller must find the leader, and must not be answered from an old state."""
    world = start()
    leader = world.leader
    follower = next(member for member in world.members.values() if member is not leader)
    command = control.OperatorCommand.get_document
    misdirected = answer(world, world.ask(follower, command))
    assert (misdirected.status, misdirected.body['leader']) == (421, leader.name)
    world.cut.add(leader.name)
    world.run(0.45)
    assert answer(world, world.ask(leader, command)).status == 503


def test_status_names_the_entries_that_lag():
    """Without the names, an operator waits for a revision and does not know for whom."""
    world = start()
    world.run(0.5)
    world.cut.add('entry-3')
    answer(world, change(world, base_version=1, change_id='c2', body=OTHER))
    world.run(0.1)
    status = ask(world, 'status').body
    assert status['lagging'] == ['entry-3']
    world.cut.clear()
    world.run(0.5)
    assert not ask(world, 'status').body['lagging']


def test_an_emptied_member_gets_its_vote_back():
    """A second loss after a repair must not meet a member that never became a voter."""
    world = start()
    leader = world.leader
    emptied = next(member for member in world.members.values() if member is not leader)
    world.crash(emptied)
    world.run(0.2)
    world.restart(emptied, emptied=True)
    world.run_until(lambda: emptied.engine.status(emptied.clock.at(world.now)).voter)
    rows = {row['name']: row for row in ask(world, 'status').body['members']}
    assert rows[emptied.name]['incarnation'] == emptied.disk.hard.incarnation


def test_members_are_removed_one_at_a_time():
    """Two removals at once could leave two majorities that do not meet."""
    world = start()
    leader = world.leader
    others = [name for name in world.members if name != leader.name]
    requests = [
        world.ask(leader, control.OperatorCommand.members, action='remove', name=name)
        for name in others
    ]
    statuses = [answer(world, request_id).status for request_id in requests]
    assert statuses == [200, 409]
    refused = ask(world, 'members', action='remove', name=leader.name)
    assert refused.status == 409


def test_no_lease_before_the_roster_row_is_committed():
    """A successor would not wait for the lease of an entry that it does not know."""
    world = start()
    for member in world.members.values():
        if member is not world.leader:
            member.alive = False
    world.entries['entry-1'].restart()
    world.run(0.3)
    assert any(decision.action == 'admit_entry' for decision in world.decisions)
    assert world.entries['entry-1'].lease_end == 0
    assert world.entries['entry-1'].applied_index > 0


def test_state_survives_a_restart_of_all_members():
    """Accepted changes must come back from snapshot and log after hundreds of changes."""
    world = start()
    for version in range(1, 320):
        body = OTHER if version % 2 else DOCUMENT
        request_id = change(world, base_version=version, change_id=f'v{version}', body=body)
        assert answer(world, request_id).status == 200
    assert any(member.disk.snapshot for member in world.members.values())
    for member in world.members.values():
        world.crash(member)
        world.restart(member)
    world.run_until(lambda: world.leader is not None)
    assert ask(world, 'get_document').body['sections'][0]['version'] == 320
    assert world.group.phase == messages.GroupPhase.open
