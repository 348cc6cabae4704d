"""Guards the changes of members that a leader makes by itself."""

import pytest

from bergamotcart.consensus._membership import voter_ids
from bergamotcart.consensus._succession import DEMOTE_VOTER_AFTER_S
from bergamotcart.consensus.tests._cluster import Cluster, Server

_SETTLE_S = 3.0


def _start_cluster(tolerated_losses: int = 1) -> Cluster:
    cluster = Cluster(tolerated_losses=tolerated_losses)
    cluster.start_all()
    cluster.elect()
    cluster.propose(b'one')
    cluster.run(1)
    return cluster


def _run_with_proposals(cluster: Cluster, seconds: float) -> None:
    """Let time pass while the leader proposes what is due, as its systems do."""
    end = cluster.now + seconds
    while cluster.now < end:
        cluster.propose_next_membership()
        cluster.run(0.05)


def _voter_names(cluster: Cluster) -> set[str]:
    members = cluster.elect().node.members
    return {member.name for member in members if member.voter}


def _start_newcomer(cluster: Cluster, name: str) -> Server:
    cluster.add_server(name)
    server = cluster.servers[name]
    server.start()
    return server


def test_a_newcomer_takes_the_place_of_a_voter_that_is_gone_for_good():
    """The replacement of a VM at another address must not wait for an operator."""
    cluster = _start_cluster()
    gone = next(name for name in 'abc' if name != cluster.find_leader().name)
    cluster.servers[gone].stop()
    _start_newcomer(cluster, 'd')
    _run_with_proposals(cluster, DEMOTE_VOTER_AFTER_S + _SETTLE_S)
    assert _voter_names(cluster) == set('abcd') - {gone}
    other = next(name for name in _voter_names(cluster) if name != cluster.find_leader().name)
    cluster.servers[other].stop()
    cluster.propose(b'two')
    cluster.run(1)
    assert cluster.oracle.committed[-1].command == b'two'


def test_a_newcomer_gets_no_vote_while_all_voters_answer():
    """More voters than the tolerated losses need would only slow every commit."""
    cluster = _start_cluster()
    _start_newcomer(cluster, 'd')
    _run_with_proposals(cluster, DEMOTE_VOTER_AFTER_S + _SETTLE_S)
    assert _voter_names(cluster) == set('abc')
    assert 'd' in {member.name for member in cluster.find_leader().node.members}


def test_a_voter_that_is_away_for_a_moment_keeps_its_vote():
    """A restart must not cost a copy of the state that is still on its disk."""
    cluster = _start_cluster()
    _start_newcomer(cluster, 'd')
    _run_with_proposals(cluster, _SETTLE_S)
    away = next(name for name in 'abc' if name != cluster.find_leader().name)
    cluster.servers[away].stop()
    _run_with_proposals(cluster, DEMOTE_VOTER_AFTER_S / 2)
    cluster.servers[away].start()
    _run_with_proposals(cluster, DEMOTE_VOTER_AFTER_S + _SETTLE_S)
    assert _voter_names(cluster) == set('abc')


def test_members_join_until_the_tolerated_losses_are_covered():
    """With two tolerated losses, three voters are too few."""
    cluster = _start_cluster(tolerated_losses=2)
    for name in 'def':
        _start_newcomer(cluster, name)
    _run_with_proposals(cluster, 2 * _SETTLE_S)
    assert len(_voter_names(cluster)) == 5
    for name in sorted(_voter_names(cluster) - {cluster.find_leader().name})[:2]:
        cluster.servers[name].stop()
    cluster.propose(b'two')
    cluster.run(1)
    assert cluster.oracle.committed[-1].command == b'two'


def test_an_emptied_member_comes_back_before_a_spare_one_is_needed():
    """Each member may lose its disk in turn, also while a newcomer waits."""
    cluster = _start_cluster()
    for name in 'abc':
        server = cluster.servers[name]
        server.stop()
        server.replace_disk()
        server.start()
        _run_with_proposals(cluster, _SETTLE_S)
        assert len(voter_ids(cluster.elect().node.members)) == 3
    assert [entry.command for entry in cluster.oracle.committed if entry.command] == [b'one']


def test_a_member_that_may_not_found_a_group_waits_for_admission():
    """A member with an empty folder must not form a second group from its seeds."""
    cluster = Cluster(may_found=False)
    cluster.start_all()
    cluster.run(5)
    assert cluster.find_leader() is None
    assert not cluster.oracle.committed


@pytest.mark.parametrize('moment', range(24))
def test_all_members_may_be_killed_at_any_moment_of_a_replacement(moment):
    """No moment of a change of members may leave a group that cannot elect a leader again."""
    cluster = _start_cluster()
    gone = next(name for name in 'abc' if name != cluster.find_leader().name)
    cluster.servers[gone].stop()
    _start_newcomer(cluster, 'd')
    _run_with_proposals(cluster, DEMOTE_VOTER_AFTER_S - 0.2 + moment * 0.03)
    left = [server for server in cluster.servers.values() if server.name != gone]
    for server in left:
        server.stop()
    cluster.run(0.5)
    for server in left:
        server.start()
    _run_with_proposals(cluster, DEMOTE_VOTER_AFTER_S + _SETTLE_S)
    assert _voter_names(cluster) == set('abcd') - {gone}
    cluster.propose(b'two')
    cluster.run(1)
    commands = [entry.command for entry in cluster.oracle.committed if entry.command]
    assert commands == [b'one', b'two']
