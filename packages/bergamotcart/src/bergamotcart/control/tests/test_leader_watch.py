"""Tests of the log lines that show why control has no leader."""

import pytest

from bergamotcart import control, messages
from bergamotcart.actions import Decision
from bergamotcart.control.tests import _fakes as fakes
from bergamotcart.control.tests._world import MEMBERS
from bergamotcart.control.tests.test_engine import start_world


def _find(world, action: str) -> list:
    return [decision for decision in world.decisions if decision.action == action]


def test_outage_of_control_names_the_cause():
    """Without a leader, the log of a member must tell silent voters from refused votes."""
    world = start_world()
    assert not _find(world, 'lack_leader')
    kept = next(member for member in world.members.values() if member is not world.leader)
    lost = [member for member in world.members.values() if member is not kept]
    for member in lost:
        world.crash(member)
    world.run(3.0)
    report = _find(world, 'lack_leader')[0]
    assert report.reason == 'no_majority_heard'
    assert report.detail.startswith('candidate for 1.')
    assert all(f'{member.name}/' in report.detail for member in lost)
    status = kept.engine.status(kept.clock.local_time(world.now))
    assert status.voters == 3
    assert 1 < status.seconds_without_leader < 3
    world.restart(lost[0], emptied=True)
    world.run(6.0)
    assert any('is no voter)' in report.detail for report in _find(world, 'lack_leader'))
    world.restart(lost[1])
    world.run(3.0)
    assert _find(world, 'find_leader')[-1].detail.endswith('s without a leader')


def test_outage_among_reachable_voters_is_told_apart():
    """Voters that hear each other but lose the votes must not be reported as silent."""
    world = start_world()
    world.lost_type = messages.PreVoteResponse
    world.crash(world.leader)
    world.run(3.0)
    reports = _find(world, 'lack_leader')
    assert {report.reason for report in reports} == {'no_majority_grants'}
    assert all('no answer to a vote request' in report.detail for report in reports)


def test_every_change_of_members_is_listed():
    """After a replacement, each log must show the members with their incarnations and votes."""
    world = start_world()
    follower = next(member for member in world.members.values() if member is not world.leader)
    world.crash(follower)
    world.run(3.0)
    world.restart(follower, emptied=True)
    world.run(3.0)
    lists = [decision.detail for decision in _find(world, 'list')]
    assert any(text.count(' voter') == 2 and 'no vote' in text for text in lists)
    assert lists[-1].count(' voter') == 3


@pytest.mark.parametrize(('may_form', 'reason'), [(True, 'not_formed'), (False, 'may_not_form')])
def test_member_that_waits_for_a_domain_says_so(may_form, reason):
    """If all members were told not to form one, none of them logged what they waited for."""
    configuration = control.ControlConfiguration(
        name=MEMBERS[0],
        availability_zone='z',
        address='a:1',
        initial_members=tuple((name, f'{name}:1', 'z') for name in MEMBERS),
        admin_token='admin',
        may_bootstrap=may_form,
    )
    durable = fakes.FakeDisk(control.HardState(incarnation='i')).load()
    engine = control.ControlEngine(configuration, durable)
    engine.step(0, ())
    actions = engine.step(2, ()).actions
    report = next(it for it in actions if isinstance(it, Decision) and it.action == 'lack_leader')
    assert report.reason == reason
    assert all(name in report.detail for name in MEMBERS)
