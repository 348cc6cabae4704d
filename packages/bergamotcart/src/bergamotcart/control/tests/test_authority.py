"""Tests of replaced whole documents, and of groups whose primary an authority promotes."""

from http import HTTPStatus

from bergamotcart.control._runtime import COVERAGE_AGE_S
from bergamotcart.control.tests._authority_world import GROUP, AuthorityWorld, make_body
from bergamotcart.messages import GroupPhase, Reachability, TargetRole

_PRIMARY = 'a'


def _start_world() -> AuthorityWorld:
    world = AuthorityWorld()
    assert (world.group_row.phase, world.group_row.primary) == (GroupPhase.open, 'a')
    return world


def test_highest_document_version_is_in_force():
    """An older or repeated version must be acknowledged with the version in force, not refused."""
    world = _start_world()
    assert world.replace_document(7, make_body(tickets=GROUP, seats=GROUP)).status == HTTPStatus.OK
    for version in (7, 5, 1):
        reply = world.replace_document(version, make_body(other=GROUP))
        assert reply.status == HTTPStatus.OK
        assert reply.body['version'] == 7
    assert world.read_document()['source'] == 'source 7'


def test_invalid_document_is_refused_at_any_version():
    """An invalid document must neither come into force nor be acknowledged."""
    world = _start_world()
    misspelt = make_body(tickets=GROUP).replace('groups', 'gruppen')
    for version, body in ((9, '{'), (9, '{"routes": []}'), (1, misspelt)):
        reply = world.replace_document(version, body)
        assert reply.status == HTTPStatus.UNPROCESSABLE_ENTITY
        assert reply.body['problems']
    assert world.replace_document(9, make_body(), token='other').status == HTTPStatus.FORBIDDEN
    assert world.read_document()['version'] == 1


def test_document_with_hundreds_of_routes_is_accepted():
    """The size limit must leave room for documents that grow."""
    world = _start_world()
    routes = {f'database-{number}': GROUP for number in range(600)}
    assert world.replace_document(2, make_body(**routes)).status == HTTPStatus.OK


def test_serving_instance_becomes_first_primary():
    """A group that is new to control may have a primary already, which must be kept."""
    world = _start_world()
    assert {name for name, _ in world.authority_calls} <= {'a'}


def test_replica_with_highest_position_replaces_lost_primary():
    """Writes that the chosen instance does not have are lost."""
    world = _start_world()
    world.instances['b'].position = 20
    world.crash_instance(_PRIMARY)
    world.run(1.0)
    assert (world.group_row.phase, world.group_row.primary) == (GroupPhase.open, 'b')
    assert world.authority_calls[-1][0] == 'b'


def test_fencing_token_grows_with_each_decision():
    """A call that takes effect late must not undo the effect of a newer one."""
    world = _start_world()
    world.refuses_calls = True
    world.crash_instance(_PRIMARY)
    world.run(1.0)
    world.refuses_calls = False
    world.run(1.0)
    tokens = [token for _, token in world.authority_calls]
    assert len(set(tokens)) > 1
    assert tokens == sorted(tokens)
    assert world.group_row.phase is GroupPhase.open


def test_unanswered_call_is_repeated_with_same_token():
    """The first call may take effect later; with the same token, it then changes nothing."""
    world = _start_world()
    world.answers_calls = False
    world.crash_instance(_PRIMARY)
    world.run(2.0)
    assert world.group_row.phase is GroupPhase.promoting
    earlier_calls = len(world.authority_calls)
    world.answers_calls = True
    world.run(1.0)
    assert world.group_row.phase is GroupPhase.open
    assert len(set(world.authority_calls[earlier_calls - 1 :])) == 1


def test_group_stays_closed_while_earlier_call_may_promote_another():
    """Guards against a primary that a call of the former leader replaces after it has served.

    Commits that it acknowledged would be lost, and reads at it would lack those of the new primary.
    """
    world = _start_world()
    world.instances[_PRIMARY].position = 20
    world.answers_calls = False
    world.crash_instance(_PRIMARY)
    world.run(1.0)
    assert world.authority_calls[-1][0] != _PRIMARY
    world.instances[_PRIMARY].is_running = True
    world.unreachable.clear()
    world.restart_control()
    world.run(2.0)
    assert world.authority_calls[-1][0] == _PRIMARY
    assert world.group_row.phase is GroupPhase.promoting
    world.answers_calls = True
    world.run(2.0)
    assert (world.group_row.phase, world.group_row.primary) == (GroupPhase.open, _PRIMARY)


def test_leaving_primary_is_replaced_only_by_caught_up_replica():
    """A switchover must not lose a write."""
    world = _start_world()
    world.instances[_PRIMARY].position = 30
    world.instances[_PRIMARY].leaving = True
    world.announce_instances()
    world.run(1.0)
    assert world.group_row.phase is GroupPhase.frozen
    world.instances['c'].position = 30
    world.run(1.0)
    assert (world.group_row.phase, world.group_row.primary) == (GroupPhase.open, 'c')


def test_outdated_announcement_does_not_depose_primary():
    """An announcement may arrive long after it was sent."""
    world = _start_world()
    world.instances[_PRIMARY].role = TargetRole.replica
    world.announce_instances()
    world.instances[_PRIMARY].role = TargetRole.primary
    world.run(1.0)
    assert world.group_row.primary == 'a'
    assert world.group_row.phase is GroupPhase.open


def test_primary_that_reports_itself_as_replica_is_replaced():
    """Its probes still succeed, so only its own status shows that it is a replica."""
    world = _start_world()
    world.instances[_PRIMARY].role = TargetRole.replica
    world.announce_instances()
    world.run(2.0)
    assert world.authority_calls
    assert world.instances[world.group_row.primary].role is TargetRole.primary


def test_silent_primary_is_replaced():
    """A primary that is disconnected does not answer, instead of refusing connections."""
    world = _start_world()
    world.run(5.0)
    world.crash_instance(_PRIMARY, Reachability.silent)
    world.run(1.0)
    assert world.group_row.primary in {'b', 'c'}


def test_lease_grant_contains_positions_of_primaries():
    """Without the positions, each entry would have to ask each primary."""
    world = _start_world()
    world.instances[_PRIMARY].position = 33
    world.run(1.0)
    positions = world.grants[-1].heads
    assert [(position.group, position.position) for position in positions] == [(GROUP, 33)]
    assert positions[0].age_s < 1


def test_lease_grant_contains_open_connections_of_primaries():
    """Entries that keep unused connections do not notice that others are refused."""
    world = _start_world()
    world.instances[_PRIMARY].open_connections = 44
    world.run(1.0)
    assert world.grants[-1].heads[0].open_connections == 44


def test_lease_grant_contains_no_position_of_replica():
    """A replica may lack acknowledged writes, so its position must not be shared."""
    world = _start_world()
    world.instances[_PRIMARY].role = TargetRole.replica
    world.run(0.5)
    assert not world.grants[-1].heads


def test_lease_grant_names_group_of_unanswering_primary():
    """Most entries may not have sent it a request lately, so they must be asked to probe it."""
    world = _start_world()
    world.run(0.5)
    assert not world.grants[-1].suspects
    world.instances[_PRIMARY].is_running = False
    world.run(1.5)
    assert world.grants[-1].suspects == (GROUP,)
    assert world.group_row.primary == _PRIMARY


def test_primary_that_resets_connections_of_all_is_replaced():
    """A relay in front of a crashed primary accepts connections and closes them."""
    world = _start_world()
    world.run(5.0)
    world.crash_instance(_PRIMARY, Reachability.resetting)
    world.run(2.5)
    assert world.group_row.phase is GroupPhase.open
    assert world.group_row.primary in {'b', 'c'}


def test_full_primary_that_answers_control_is_kept():
    """An instance at its limit resets the connections of entries."""
    world = _start_world()
    world.run(5.0)
    world.crash_instance(_PRIMARY, Reachability.resetting)
    world.instances[_PRIMARY].is_running = True
    world.run(5.0)
    assert world.group_row.primary == _PRIMARY
    assert {name for name, _ in world.authority_calls} <= {_PRIMARY}


def test_member_answers_entries_for_members_that_it_hears():
    """An entry then need not pull from every member, most of which are in other regions."""
    world = _start_world()
    answers = world.pull_announcements(after_batch_from='control-2')
    assert answers[0].covered == ('control-2',)
    assert 'relayed' in {sent.announcement.instance for sent in answers[0].sightings}
    world.run(COVERAGE_AGE_S + 0.1)
    assert not world.pull_announcements()[-1].covered
