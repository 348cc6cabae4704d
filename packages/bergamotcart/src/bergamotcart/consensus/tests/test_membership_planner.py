"""Tests of the automatic membership changes of a leader."""

import pytest

from bergamotcart.consensus._membership import voter_ids
from bergamotcart.consensus._membership_planner import DEMOTE_VOTER_AFTER_S
from bergamotcart.consensus.tests._cluster import Cluster, Server

_SETTLE_S = 3.0
# Bound of the deployments: a machine counts as lost until this time after its start.
_CATCH_UP_S = 4.0


def _start_cluster(tolerated_losses: int = 1) -> Cluster:
    cluster = Cluster(tolerated_losses=tolerated_losses)
    cluster.start_all()
    cluster.elect_leader()
    cluster.propose(b'one')
    cluster.run(1)
    return cluster


def _run_with_proposals(cluster: Cluster, seconds: float) -> None:
    """Run while the leader proposes the membership changes that are due, as control does."""
    end = cluster.now + seconds
    while cluster.now < end:
        cluster.propose_readmission()
        cluster.run(0.05)


def _run_with_stream(cluster: Cluster, seconds: float) -> None:
    """Run with a new record every 80 ms."""
    end = cluster.now + seconds
    while cluster.now < end:
        if cluster.find_leader():
            cluster.propose(b'next')
        for _ in range(8):
            cluster.propose_readmission()
            cluster.run(0.01)


def _voter_names(cluster: Cluster) -> set[str]:
    members = cluster.elect_leader().node.members
    return {member.name for member in members if member.voter}


def _start_newcomer(cluster: Cluster, name: str) -> Server:
    """Start a member in a zone of its own."""
    server = cluster.add_server(name)
    server.availability_zone = f'zone-{name}'
    server.start()
    return server


def _start_successor(cluster: Cluster, predecessor: str) -> Server:
    server = cluster.add_server(f'{predecessor}1')
    server.start()
    return server


def test_newcomer_replaces_lost_voter():
    """The replacement of a VM by one at another address must not need an operator."""
    cluster = _start_cluster()
    lost = next(name for name in 'abc' if name != cluster.find_leader().name)
    cluster.servers[lost].stop()
    _start_newcomer(cluster, 'd')
    _run_with_proposals(cluster, DEMOTE_VOTER_AFTER_S + _SETTLE_S)
    assert _voter_names(cluster) == set('abcd') - {lost}
    other = next(name for name in _voter_names(cluster) if name != cluster.find_leader().name)
    cluster.servers[other].stop()
    cluster.propose(b'two')
    cluster.run(1)
    assert cluster.oracle.committed[-1].command == b'two'


def test_distant_newcomer_gets_vote_during_steady_writes():
    """A copy that is always one round trip behind the commit index never got the lost vote."""
    cluster = _start_cluster()
    lost = next(name for name in 'abc' if name != cluster.find_leader().name)
    cluster.servers[lost].stop()
    cluster.delays_s['d'] = 0.05
    _start_newcomer(cluster, 'd')
    _run_with_stream(cluster, DEMOTE_VOTER_AFTER_S + _SETTLE_S)
    assert _voter_names(cluster) == set('abcd') - {lost}


def test_newcomer_gets_no_vote_while_all_voters_respond():
    """More voters than the tolerated losses need would only slow down commits."""
    cluster = _start_cluster()
    _start_newcomer(cluster, 'd')
    _run_with_proposals(cluster, DEMOTE_VOTER_AFTER_S + _SETTLE_S)
    assert _voter_names(cluster) == set('abc')
    assert 'd' in {member.name for member in cluster.find_leader().node.members}


def test_voter_keeps_vote_after_short_outage():
    """A restart must not drop a copy of the state that is still on its disk."""
    cluster = _start_cluster()
    _start_newcomer(cluster, 'd')
    _run_with_proposals(cluster, _SETTLE_S)
    stopped = next(name for name in 'abc' if name != cluster.find_leader().name)
    cluster.servers[stopped].stop()
    _run_with_proposals(cluster, DEMOTE_VOTER_AFTER_S / 2)
    cluster.servers[stopped].start()
    _run_with_proposals(cluster, DEMOTE_VOTER_AFTER_S + _SETTLE_S)
    assert _voter_names(cluster) == set('abc')


def test_voters_are_added_for_tolerated_losses():
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


def test_members_with_lost_disks_are_readmitted():
    """Each member may lose its disk in turn, and is readmitted without another member."""
    cluster = _start_cluster()
    for name in 'abc':
        server = cluster.servers[name]
        server.stop()
        server.empty_disk()
        server.start()
        _run_with_proposals(cluster, _SETTLE_S)
        assert len(voter_ids(cluster.elect_leader().node.members)) == 3
    assert [entry.command for entry in cluster.oracle.committed if entry.command] == [b'one']


def test_emptied_member_is_reached_at_its_new_address():
    """The leader wrote to the address of the former incarnation until a join request came."""
    cluster = _start_cluster()
    leader = cluster.find_leader()
    moved = next(server for server in cluster.servers.values() if server is not leader)
    moved.stop()
    moved.empty_disk()
    moved.move()
    _run_with_proposals(cluster, 1)
    moved.start()
    _run_with_proposals(cluster, 0.3)
    assert moved.node.is_voter


def test_newcomer_follows_its_settings_to_a_new_address():
    """It asked at the address from which the member had once answered, and at no other."""
    cluster = _start_cluster()
    leader = cluster.find_leader()
    newcomer = cluster.add_server('d')
    newcomer.seeds = (leader.name,)
    newcomer.start()
    cluster.run(1)
    leader.stop()
    leader.move()
    leader.start()
    newcomer.node.change_contact_points({leader.name: leader.address})
    _run_with_proposals(cluster, _SETTLE_S)
    assert newcomer.node.members


def test_former_incarnation_is_readmitted():
    """Its log lists it, and the leader writes to its name, so it did not ask for admission."""
    cluster = _start_cluster()
    leader = cluster.find_leader()
    server = next(server for server in cluster.servers.values() if server is not leader)
    former_disk = server.disk
    server.stop()
    server.empty_disk()
    _run_with_proposals(cluster, 1)
    server.start()
    _run_with_proposals(cluster, _SETTLE_S)
    server.stop()
    server.disk = former_disk
    _run_with_proposals(cluster, 1)
    server.start()
    _run_with_proposals(cluster, _CATCH_UP_S)
    assert server.identity in voter_ids(leader.node.members)


def test_members_correct_their_zones():
    """The zones of the initial members stayed as the settings of one member had assumed them."""
    cluster = _start_cluster()
    for server in cluster.servers.values():
        server.stop()
        server.availability_zone = f'zone-of-{server.name}'
        server.start()
    _run_with_proposals(cluster, _SETTLE_S)
    members = cluster.elect_leader().node.members
    assert {member.availability_zone for member in members} == {
        server.availability_zone for server in cluster.servers.values()
    }
    assert len(voter_ids(members)) == 3


def test_member_without_bootstrap_forms_no_group():
    """A member with an empty data folder must not form a second group with the initial members."""
    cluster = Cluster(may_bootstrap=False)
    cluster.start_all()
    cluster.run(5)
    assert cluster.find_leader() is None
    assert not cluster.oracle.committed


@pytest.mark.parametrize('leads', [True, False])
def test_replaced_machine_has_no_vote_when_it_is_removed(leads):
    """No leader for good: a disk was lost right after a planned replacement."""
    cluster = _start_cluster()
    old = next(name for name in 'abc' if (name == cluster.find_leader().name) == leads)
    _start_successor(cluster, old)
    _run_with_proposals(cluster, _CATCH_UP_S)
    assert _voter_names(cluster) == set('abc') - {old} | {f'{old}1'}
    assert (cluster.find_leader().name == old) == leads
    cluster.servers[old].stop()
    emptied = cluster.servers[next(name for name in 'abc' if name != old)]
    emptied.stop()
    emptied.empty_disk()
    _run_with_proposals(cluster, 1)
    emptied.start()
    _run_with_proposals(cluster, _CATCH_UP_S)
    assert emptied.node.is_voter


@pytest.mark.parametrize('step', range(8))
@pytest.mark.parametrize('leads', [True, False])
@pytest.mark.parametrize('victim', ['leaving', 'successor', 'other'])
def test_handover_survives_lost_disk(victim, leads, step):
    """One loss more voters than needed must not cost, at whatever step of the handover."""
    cluster = _start_cluster()
    leaving = next(name for name in 'abc' if (name == cluster.find_leader().name) == leads)
    other = next(name for name in 'abc' if name != leaving)
    names = {'leaving': leaving, 'successor': f'{leaving}1', 'other': other}
    _start_successor(cluster, leaving)
    for _ in range(4 + step):
        cluster.propose_readmission()
        cluster.run(0.01)
    lost = cluster.servers[names[victim]]
    lost.stop()
    lost.empty_disk()
    _run_with_proposals(cluster, 1)
    lost.start()
    _run_with_proposals(cluster, _CATCH_UP_S)
    assert len(_voter_names(cluster)) == 3
    assert voter_ids(cluster.find_leader().node.members).issubset(cluster.find_present())


@pytest.mark.parametrize('kill_step', range(24))
def test_replacement_survives_kill_of_all_members(kill_step):
    """A restart of all members at any step of a replacement must not prevent an election."""
    cluster = _start_cluster()
    lost = next(name for name in 'abc' if name != cluster.find_leader().name)
    cluster.servers[lost].stop()
    _start_newcomer(cluster, 'd')
    _run_with_proposals(cluster, DEMOTE_VOTER_AFTER_S - 0.2 + kill_step * 0.03)
    remaining = [server for server in cluster.servers.values() if server.name != lost]
    for server in remaining:
        server.stop()
    cluster.run(0.5)
    for server in remaining:
        server.start()
    _run_with_proposals(cluster, DEMOTE_VOTER_AFTER_S + _SETTLE_S)
    assert _voter_names(cluster) == set('abcd') - {lost}
    cluster.propose(b'two')
    cluster.run(1)
    commands = [entry.command for entry in cluster.oracle.committed if entry.command]
    assert commands == [b'one', b'two']
