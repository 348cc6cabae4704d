"""Tests of membership changes, and of members that lost their disk."""

import msgspec

from bergamotcart import messages
from bergamotcart.consensus import Role
from bergamotcart.consensus._membership import member_id
from bergamotcart.consensus.tests._cluster import Cluster, Server


def _start_cluster(**settings: object) -> Cluster:
    cluster = Cluster(**settings)
    cluster.start_all()
    cluster.elect_leader()
    cluster.propose(b'one')
    cluster.run(1)
    return cluster


def _empty_data_folder(cluster: Cluster, name: str) -> None:
    server = cluster.servers[name]
    server.stop()
    server.empty_disk()
    server.start()


def test_member_with_lost_disk_has_no_vote_before_readmission():
    """A lost disk must not undo a vote, so both other members are needed until readmission."""
    cluster = _start_cluster()
    leader = cluster.find_leader()
    emptied, other = [name for name in 'abc' if name != leader.name]
    _empty_data_folder(cluster, emptied)
    cluster.servers[other].stop()
    cluster.run(10)
    assert cluster.find_leader() is None
    cluster.servers[other].start()
    cluster.elect_leader()
    cluster.run_until_all_are_voters()
    cluster.servers[other].stop()
    cluster.propose(b'two')
    cluster.run(1)
    assert cluster.oracle.committed[-1].command == b'two'


def test_each_member_loses_its_disk_in_turn():
    """The loss of another disk right after a readmission must not lose committed records."""
    cluster = _start_cluster(trailing_records=0)
    for name in 'abcab':
        cluster.find_leader().snapshot()
        _empty_data_folder(cluster, name)
        cluster.run_until_all_are_voters()
    cluster.propose(b'two')
    cluster.run(1)
    commands = [entry.command for entry in cluster.oracle.committed if entry.command]
    assert commands == [b'one', b'two']
    assert len({server.applied for server in cluster.servers.values()}) == 1


def test_members_with_lost_disks_form_no_second_group():
    """Two members of three that lost their disks must not outvote the one that has the log."""
    cluster = _start_cluster()
    elections = len(cluster.oracle.leaders)
    _empty_data_folder(cluster, 'a')
    _empty_data_folder(cluster, 'b')
    cluster.run(20)
    assert len(cluster.oracle.leaders) == elections


def test_delayed_formation_messages_form_no_second_group():
    """Votes granted to a former incarnation must not count after the disk was lost."""
    cluster = Cluster()
    cluster.start_all()
    delayed = []
    while cluster.find_leader() is None:
        delayed.extend(cluster.mail)
        cluster.run(0.01)
    for name in 'abc':
        _empty_data_folder(cluster, name)
        emptied = cluster.servers[name]
        # Only old messages reach the member, as if the others were isolated.
        for _ in range(20):
            cluster.now += 0.1
            emptied.tick()
            for envelope in delayed:
                if envelope.recipient == name:
                    cluster.deliver(envelope)
        assert emptied.node.leader != name
        cluster.run_until_all_are_voters()


def test_operator_replaces_member():
    """An operator must be able to replace a VM by one with another name."""
    cluster = _start_cluster()
    cluster.add_server('d').start()
    cluster.run(2)
    leader = cluster.find_leader()
    newcomer = leader.node.newcomers[0]
    newcomer_as_voter = msgspec.structs.replace(newcomer, voter=True)
    assert (
        leader.node.propose_members(leader.now, (*leader.node.members, newcomer_as_voter)) is None
    )
    assert leader.node.propose_members(leader.now, (*leader.node.members, newcomer))
    leader.drain()
    cluster.run_until_all_are_voters()
    old = cluster.elect_leader()
    remaining = tuple(member for member in old.node.members if member.name != old.name)
    assert old.node.propose_members(old.now, remaining) is None
    old.node.resign(old.now)
    cluster.run(1)
    leader = cluster.elect_leader()
    assert leader.node.propose_members(leader.now, remaining)
    leader.drain()
    cluster.run(3)
    assert {member.name for member in cluster.elect_leader().node.members} == set('abcd') - {
        old.name
    }


def test_change_of_two_voters_is_refused():
    """Majorities before and after a change must overlap, or two leaders could be elected."""
    cluster = _start_cluster()
    leader = cluster.find_leader()
    members = leader.node.members
    only_leader = tuple(member for member in members if member.name == leader.name)
    renamed = msgspec.structs.replace(members[0], incarnation='new')
    assert leader.node.propose_members(leader.now, only_leader) is None
    assert leader.node.propose_members(leader.now, (renamed, *members[1:])) is None
    others = [member for member in members if member.name != leader.name]
    without_one = tuple(member for member in members if member != others[0])
    assert leader.node.propose_members(leader.now, without_one)
    assert leader.node.propose_members(leader.now, members) is None


def test_leader_gives_up_its_vote_only_while_all_other_voters_respond():
    """If the record reached none of them, one voter too few could elect the next leader."""
    cluster = _start_cluster()
    leader = cluster.find_leader()
    members = tuple(
        msgspec.structs.replace(member, voter=member.name != leader.name)
        for member in leader.node.members
    )
    silent = next(server for server in cluster.servers.values() if server is not leader)
    silent.stop()
    cluster.run(0.6)
    assert leader.node.propose_members(leader.now, members) is None
    silent.start()
    cluster.run(1)
    assert leader.node.propose_members(leader.now, members)
    leader.drain()
    cluster.run(5)
    assert cluster.find_leader() is leader
    leader.stop()
    cluster.run(2)
    cluster.propose(b'two')


def test_membership_change_requires_commit_in_own_term():
    """A change on top of an uncommitted one of an earlier leader could split the group."""
    cluster = _start_cluster()
    old = cluster.find_leader()
    old.stop()
    while not any(_is_leader(server) for server in cluster.servers.values()):
        cluster.run(0.01)
    leader = next(server for server in cluster.servers.values() if _is_leader(server))
    without_old = tuple(member for member in leader.node.members if member.name != old.name)
    assert leader.node.propose_members(leader.now, without_old) is None
    cluster.run(1)
    assert leader.node.propose_members(leader.now, without_old)


def test_emptied_member_asks_for_admission_at_once():
    """It waited for an election timeout first, though it has no vote and knows of no leader."""
    cluster = _start_cluster()
    name = next(name for name in 'abc' if name != cluster.find_leader().name)
    cluster.mail.clear()
    _empty_data_folder(cluster, name)
    cluster.servers[name].tick()
    requests = [sent for sent in cluster.mail if isinstance(sent.body, messages.JoinRequest)]
    assert {sent.recipient for sent in requests} == set('abc') - {name}


def test_emptied_member_whose_settings_are_old_is_readmitted():
    """It asked only members that had been replaced, and never the leader that wrote to it."""
    cluster = _start_cluster()
    cluster.add_server('former')
    name = next(name for name in 'abc' if name != cluster.find_leader().name)
    cluster.servers[name].seeds = ('former',)
    _empty_data_folder(cluster, name)
    cluster.run(1)
    cluster.propose_readmission()
    cluster.run(1)
    members = cluster.find_leader().node.members
    assert cluster.servers[name].identity in {member_id(member) for member in members}


def test_new_leader_promotes_no_member_that_is_behind():
    """A leader that has just restarted knows of no committed record that a member could lack."""
    cluster = _start_cluster()
    newcomer = cluster.add_server('d')
    newcomer.start()
    while 'd' not in {member.name for member in cluster.find_leader().node.members}:
        leader = cluster.find_leader()
        leader.node.propose_members(leader.now, (*leader.node.members, *leader.node.newcomers))
        leader.drain()
        cluster.run(0.01)
    newcomer.stop()
    committed = cluster.propose(b'two')
    cluster.run(1)
    for name in 'abc':
        cluster.servers[name].stop()
    cluster.start_all()
    while not newcomer.node.is_voter:
        cluster.run(0.01)
        cluster.propose_readmission()
        if any('d' in _voter_names(server) for server in cluster.servers.values()):
            assert newcomer.disk.last_index >= committed


def test_delayed_join_request_of_former_incarnation_is_ignored():
    """A delayed request would replace the present incarnation while that voter is stopped."""
    cluster = _start_cluster()
    leader = cluster.find_leader()
    name = next(name for name in 'abc' if name != leader.name)
    _empty_data_folder(cluster, name)
    delayed = []
    while not cluster.servers[name].node.is_voter:
        delayed.extend(cluster.mail)
        cluster.run(0.01)
        cluster.propose_readmission()
    _empty_data_folder(cluster, name)
    cluster.run_until_all_are_voters()
    cluster.servers[name].stop()
    cluster.run(5)
    for envelope in delayed:
        if envelope.sender == name:
            cluster.deliver(envelope)
    assert not leader.node.newcomers


def test_restarted_member_grants_no_vote_at_first():
    """The leader may still count a response from before the restart for its check-quorum."""
    cluster = _start_cluster()
    leader = cluster.find_leader()
    voter, candidate = [name for name in 'abc' if name != leader.name]
    cluster.servers[voter].stop()
    cluster.servers[voter].start()
    term = leader.node.term
    cluster.mail.clear()
    cluster.request_vote(candidate, voter)
    assert (cluster.mail, cluster.servers[voter].node.term) == ([], term)
    assert leader.node.has_quorum(leader.now)


def _voter_names(server: Server) -> set[str]:
    return {member.name for member in server.node.members if member.voter}


def _is_leader(server: Server) -> bool:
    return server.node is not None and server.node.role == Role.leader
